//! A client's request, checked and read to its end.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http_body_util::Full;

use super::client_connection::ClientConnection;
use super::continuation::Continuation;
use super::forward_headers::ForwardHeaders;
use super::served_request::ServedRequest;
use crate::catalog::Name;
use crate::clock::Monotonic;
use crate::deployment::AccountPolicy;
use crate::deployment::RegionKey;
use crate::deployment::RetrySafety;
use crate::deployment::ServedRoute;
use crate::deployment::ServiceProfile;
use crate::entry::BodyPermit;
use crate::platform::set_endpoint_headers;
use crate::platform::set_resume_position;
use crate::platform::EndpointHeaders;
use crate::platform::RequestHead;
use crate::quarantine::PartHash;
use crate::streams::StreamKey;

/// A client's request, checked and read to its end.
pub(super) struct ClientRequest {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) head: RequestHead,
    /// The hash that repeats of the request have in common.
    pub(super) fingerprint: PartHash,
    pub(super) host: String,
    /// The version of the configuration by which the request was accepted.
    pub(super) configuration_version: u64,
    pub(super) route: ServedRoute,
    pub(super) service: ServiceProfile,
    pub(super) account: Option<AccountPolicy>,
    /// The order in which endpoints admit it, 0 first.
    pub(super) rank: u8,
    pub(super) deadline: Monotonic,
    pub(super) forwarded: Option<ForwardHeaders>,
    /// The connection on which the request came.
    pub(super) client: ClientConnection,
    pub(super) _permit: BodyPermit,
    pub(super) _served: ServedRequest,
}

impl ClientRequest {
    /// Returns the time until the deadline of the request.
    pub(super) fn time_left(&self, now: Monotonic) -> Duration {
        self.deadline.since(now)
    }

    /// Returns whether its client still waits for an answer.
    pub(super) fn is_wanted(&self, now: Monotonic) -> bool {
        now < self.deadline && !self.client.is_closed()
    }

    /// Returns the maximum number of endpoints that may run the request.
    pub(super) fn attempts_max(&self) -> u32 {
        self.forwarded
            .map_or(self.route.attempts_max, |forwarded| forwarded.attempts_max)
    }

    /// Returns whether the route and the account allowed a region when the request was accepted.
    pub(super) fn allows(&self, region: RegionKey) -> bool {
        let account_homes = self.account.as_ref().map(|account| &account.home_regions);
        self.route.home_regions.allows(region)
            && account_homes.is_none_or(|homes| homes.allows(region))
    }

    /// Returns whether the client takes up a stream, which must go on at the version that began it.
    pub(super) fn is_take_up(&self) -> bool {
        self.head.is_take_up && self.route.retry_safety == RetrySafety::ResumableStream
    }

    /// Returns the key of the stream that the request begins or takes up; `None` if the client doesn't say
    /// which attempt began it.
    pub(super) fn stream_key(&self) -> Option<StreamKey> {
        let first_attempt = match self.head.is_take_up {
            true => self.head.resumes.as_deref()?,
            false => &*self.head.request_id,
        };
        Some(StreamKey::new(
            first_attempt,
            self.fingerprint,
            &self.service.name,
        ))
    }

    /// Returns the parts that may crash an endpoint, the fingerprint first.
    pub(super) fn parts(&self) -> impl Iterator<Item = PartHash> + '_ {
        let prompt_parts = self.head.prefix.shared_parts().map(PartHash::from);
        std::iter::once(self.fingerprint).chain(prompt_parts)
    }

    /// Returns the hashes of the shared parts of the prompt, for logs.
    pub(super) fn prompt_parts_text(&self) -> String {
        let parts = self.head.prefix.shared_parts().map(PartHash::from);
        let parts: Vec<String> = parts.map(|part| part.to_string()).collect();
        parts.join(",")
    }

    fn account_name(&self) -> Option<&Name> {
        self.account.as_ref().map(|account| &account.name)
    }

    /// Builds the request to an endpoint.
    pub(super) fn to_endpoint(
        &self,
        now: Monotonic,
        instance: &Name,
        copy_prefix_from: Option<SocketAddr>,
        resume_after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = self.copy();
        set_endpoint_headers(
            request.headers_mut(),
            &EndpointHeaders {
                instance: instance.as_str(),
                account: self.account_name(),
                time_left: self.time_left(now),
                copy_prefix_from,
                priority: self.service.is_engine.then_some(self.rank),
            },
        );
        if let Some(last_event_id) = resume_after {
            set_resume_position(request.headers_mut(), last_event_id);
        }
        request
    }

    /// Builds the request to another VM.
    pub(super) fn to_vm(
        &self,
        now: Monotonic,
        attempts_max: u32,
        continuation: Continuation,
    ) -> Request<Full<Bytes>> {
        let mut request = self.copy();
        let headers = request.headers_mut();
        RequestHead::set_time_left(headers, self.time_left(now));
        ForwardHeaders {
            attempts_max,
            version: continuation.version,
        }
        .encode(headers);
        if let Some(last_event_id) = continuation.after_event {
            set_resume_position(headers, last_event_id);
        }
        request
    }

    fn copy(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}
