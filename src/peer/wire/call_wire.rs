//! Cap'n Proto encoding of forwarded calls.

use std::time::Duration;

use bytes::Bytes;

use super::text::as_us;
use super::text::read_all_known;
use super::text::read_known;
use super::text::read_request_id;
use super::text::write_request_id;
use crate::catalog::Catalog;
use crate::catalog::KeyDigest;
use crate::catalog::Name;
use crate::catalog::Repeatability;
use crate::peer::generated::call_capnp::completion_call;
use crate::peer::generated::call_capnp::forward_request;
use crate::peer::generated::call_capnp::service_call;
use crate::peer::generated::call_capnp::Repeatability as WireRepeatability;
use crate::peer::ForwardRequest;
use crate::peer::WireError;
use crate::request::Call;
use crate::request::CallBody;
use crate::request::CompletionCall;
use crate::request::HttpMethod;
use crate::request::IdempotencyKey;
use crate::request::ServiceCall;
use crate::request::Visited;

/// Writes a forwarded call; catalog keys, which are local to a VM, are written as names.
///
/// # Errors
///
/// Returns [`WireError::UnknownName`] if an object of the call is no longer in the catalog.
pub fn write_forward(
    request: &ForwardRequest,
    catalog: &Catalog,
    mut builder: forward_request::Builder<'_>,
) -> Result<(), WireError> {
    let call = &request.call;
    write_request_id(call.id, builder.reborrow().init_request_id());
    if let Some(digest) = &call.key_digest {
        builder.set_key_digest(digest.as_bytes());
    }
    if let Some(key) = call.client_account {
        let account = catalog.client_accounts.get(key);
        builder.set_client_account(name_of(account.map(|it| &it.name), "client account")?);
    }
    let route = catalog.routes.get(call.route);
    builder.set_route(name_of(route.map(|it| &it.name), "route")?);
    builder.set_repeatability(match call.repeatability {
        Repeatability::Idempotent => WireRepeatability::Idempotent,
        Repeatability::NonIdempotent => WireRepeatability::NonIdempotent,
    });
    if let Some(key) = &call.idempotency_key {
        builder.set_idempotency_key(key.as_str());
    }
    builder.set_reserved_tokens(call.reserved_tokens);
    builder.set_remaining_us(as_us(call.remaining));
    write_visited(&call.visited, catalog, builder.reborrow())?;
    let preferred = request
        .preferred_endpoint
        .and_then(|key| catalog.endpoints.get(key));
    if let Some(endpoint) = preferred {
        builder.set_preferred_endpoint(endpoint.name.as_str());
    }
    match &call.body {
        CallBody::Completion(completion) => {
            write_completion(completion, builder.init_completion());
        }
        CallBody::Service(service) => write_service(service, builder.init_service()),
    }
    Ok(())
}

/// Reads a forwarded call.
///
/// # Errors
///
/// Returns a [`WireError`] if the message is malformed or names an object that is not in `catalog`;
/// an unknown preferred endpoint is ignored.
pub fn read_forward(
    reader: forward_request::Reader<'_>,
    catalog: &Catalog,
) -> Result<ForwardRequest, WireError> {
    let client_account = reader.get_client_account()?;
    let client_account = if client_account.is_empty() {
        None
    } else {
        let find = |name: &Name| catalog.client_account_named(name);
        Some(read_known(client_account, "client account", find)?)
    };
    let body = match reader.which()? {
        forward_request::Completion(completion) => {
            CallBody::Completion(read_completion(completion?)?)
        }
        forward_request::Service(service) => CallBody::Service(read_service(service?)?),
    };
    let call = Call {
        id: read_request_id(reader.get_request_id()?),
        key_digest: read_digest(reader.get_key_digest()?)?,
        client_account,
        route: read_known(reader.get_route()?, "route", |name| {
            catalog.route_named(name)
        })?,
        repeatability: match reader.get_repeatability()? {
            WireRepeatability::Idempotent => Repeatability::Idempotent,
            WireRepeatability::NonIdempotent => Repeatability::NonIdempotent,
        },
        body,
        idempotency_key: read_idempotency_key(reader.get_idempotency_key()?.to_str()?)?,
        reserved_tokens: reader.get_reserved_tokens(),
        remaining: Duration::from_micros(reader.get_remaining_us()),
        visited: Visited {
            vms: read_all_known(reader.get_visited_vms()?, "VM", |name| {
                catalog.vm_named(name)
            })?,
            regions: read_all_known(reader.get_visited_regions()?, "region", |name| {
                catalog.region_named(name)
            })?,
        },
    };
    let preferred = reader.get_preferred_endpoint()?.to_str()?;
    let preferred_endpoint = Name::new(preferred)
        .ok()
        .and_then(|name| catalog.endpoint_named(&name));
    Ok(ForwardRequest {
        call,
        preferred_endpoint,
    })
}

fn name_of<'a>(name: Option<&'a Name>, object: &'static str) -> Result<&'a str, WireError> {
    name.map(Name::as_str).ok_or(WireError::UnknownName {
        object,
        name: String::new(),
    })
}

fn write_visited(
    visited: &Visited,
    catalog: &Catalog,
    mut builder: forward_request::Builder<'_>,
) -> Result<(), WireError> {
    let mut vms = builder
        .reborrow()
        .init_visited_vms(list_len(visited.vms.len())?);
    for (index, key) in (0..).zip(&visited.vms) {
        let vm = catalog.vms.get(*key);
        vms.set(index, name_of(vm.map(|it| &it.name), "VM")?);
    }
    let mut regions = builder.init_visited_regions(list_len(visited.regions.len())?);
    for (index, key) in (0..).zip(&visited.regions) {
        let region = catalog.regions.get(*key);
        regions.set(index, name_of(region.map(|it| &it.name), "region")?);
    }
    Ok(())
}

fn list_len(len: usize) -> Result<u32, WireError> {
    u32::try_from(len).map_err(|_| WireError::OutOfRange { field: "visited" })
}

fn write_completion(call: &CompletionCall, mut builder: completion_call::Builder<'_>) {
    builder.set_body(&call.body);
    builder.set_prompt_tokens(call.prompt_tokens);
    builder.set_answer_max_tokens(call.answer_max_tokens);
    builder.set_is_stream(call.is_stream);
    // Hashes are a hint; a list too long for Cap'n Proto is left out.
    let len = u32::try_from(call.prefix_hashes.len()).unwrap_or(0);
    let mut hashes = builder.init_prefix_hashes(len);
    for (index, hash) in (0..len).zip(&call.prefix_hashes) {
        hashes.set(index, *hash);
    }
}

fn read_completion(reader: completion_call::Reader<'_>) -> Result<CompletionCall, WireError> {
    Ok(CompletionCall {
        body: Bytes::copy_from_slice(reader.get_body()?),
        prompt_tokens: reader.get_prompt_tokens(),
        answer_max_tokens: reader.get_answer_max_tokens(),
        is_answer_length_unset: false,
        is_stream: reader.get_is_stream(),
        prefix_hashes: reader.get_prefix_hashes()?.iter().collect(),
    })
}

fn write_service(call: &ServiceCall, mut builder: service_call::Builder<'_>) {
    builder.set_method(call.method.as_str());
    builder.set_path_and_query(&call.path_and_query);
    builder.set_has_content_type(call.content_type.is_some());
    builder.set_content_type(call.content_type.as_deref().unwrap_or_default());
    builder.set_body(&call.body);
}

fn read_service(reader: service_call::Reader<'_>) -> Result<ServiceCall, WireError> {
    let method = reader.get_method()?.to_str()?;
    let method = HttpMethod::ALL
        .into_iter()
        .find(|known| known.as_str() == method)
        .ok_or(WireError::OutOfRange { field: "method" })?;
    let content_type = reader.get_content_type()?.to_str()?.to_owned();
    Ok(ServiceCall {
        method,
        path_and_query: reader.get_path_and_query()?.to_str()?.to_owned(),
        content_type: reader.get_has_content_type().then_some(content_type),
        body: Bytes::copy_from_slice(reader.get_body()?),
    })
}

fn read_digest(bytes: &[u8]) -> Result<Option<KeyDigest>, WireError> {
    if bytes.is_empty() {
        return Ok(None);
    }
    let bytes = bytes
        .try_into()
        .map_err(|_| WireError::OutOfRange { field: "keyDigest" })?;
    Ok(Some(KeyDigest::from_bytes(bytes)))
}

fn read_idempotency_key(text: &str) -> Result<Option<IdempotencyKey>, WireError> {
    if text.is_empty() {
        return Ok(None);
    }
    let key = IdempotencyKey::new(text).map_err(|_| WireError::OutOfRange {
        field: "idempotencyKey",
    })?;
    Ok(Some(key))
}
