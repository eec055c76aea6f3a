//! The client account that a request runs for.

use figramp::catalog::Catalog;
use figramp::catalog::KeyDigest;
use figramp::catalog::Name;
use figramp::clock::Monotonic;
use figramp::configuration::ConfigurationStore;
use figramp::configuration::Ticket;
use figramp::demo::key_object;
use figramp::demo::raw_ticket;
use figramp::errors::ErrorKind;
use figramp::request::CallBody;
use figramp::request::CallTarget;
use figramp::request::HttpMethod;
use figramp::request::IncomingCall;
use figramp::request::RequestId;
use figramp::request::ServiceCall;
use figramp::vm::check_key;
use figramp::vm::resolve;
use serde_json::json;

use super::core_fleet::objects;

/// Returns a catalog with two accounts, one key, a route that needs a key and an open route.
fn catalog(account_of_key: Option<&str>) -> Catalog {
    let mut objects = objects(1, 1, 2);
    objects.push(key_object("k", account_of_key));
    for (name, is_open) in [("closed", false), ("open", true)] {
        let value = json!({
            "kind": "service", "path_prefix": format!("/{name}"), "is_open": is_open,
            "class": "interactive", "repeatability": "idempotent", "deadline_ms": 1_000,
            "first_event_timeout_ms": 500, "silence_timeout_ms": 500, "call_cost_tokens": 1,
        });
        objects.push(json!({"kind": "route", "name": name, "value": value}));
    }
    let ticket = Ticket::try_from(&raw_ticket(1, objects)).expect("the ticket is accepted");
    let mut store = ConfigurationStore::default();
    for record in ticket.records {
        store.merge(record);
    }
    store.build_catalog(&Catalog::default()).0
}

fn incoming(path: &str, key: Option<&str>) -> IncomingCall {
    IncomingCall {
        id: RequestId(1),
        key_digest: key.map(KeyDigest::of_key),
        target: CallTarget::Path(path.to_owned()),
        body: CallBody::Service(ServiceCall {
            method: HttpMethod::Get,
            path_and_query: path.to_owned(),
            content_type: None,
            body: Default::default(),
        }),
        idempotency_key: None,
        received_at: Monotonic::ZERO,
    }
}

#[test]
fn is_the_one_of_the_key_that_came_with_it() {
    let catalog = catalog(Some("account-0"));
    let account = |name| catalog.client_account_named(&Name::new(name).expect("the name is valid"));
    for path in ["/closed", "/open"] {
        let call = resolve(&catalog, incoming(path, Some("k"))).expect("the key is valid");
        assert_eq!(call.client_account, account("account-0"));
        assert_eq!(check_key(&catalog, &call), Ok(()));

        let mut stolen = call.clone();
        stolen.client_account = account("account-1");
        let refused = check_key(&catalog, &stolen).expect_err("the key belongs to another account");
        assert_eq!(refused.kind, ErrorKind::InvalidKey);

        stolen.client_account = None;
        assert!(
            check_key(&catalog, &stolen).is_err(),
            "a call with a key and no account"
        );
    }
}

#[test]
fn is_none_on_a_route_open_to_all_and_no_other() {
    let catalog = catalog(Some("account-0"));
    let open = resolve(&catalog, incoming("/open", None)).expect("the route is open");
    assert_eq!(open.client_account, None);
    assert_eq!(check_key(&catalog, &open), Ok(()));
    let missing = resolve(&catalog, incoming("/closed", None)).expect_err("the key is missing");
    assert_eq!(missing.kind, ErrorKind::MissingKey);
    for path in ["/closed", "/open"] {
        let unknown = resolve(&catalog, incoming(path, Some("x"))).expect_err("the key is unknown");
        assert_eq!(unknown.kind, ErrorKind::InvalidKey);
    }
}

#[test]
fn loses_its_calls_when_its_key_is_revoked_or_moved_to_another_account() {
    let before = catalog(Some("account-0"));
    let call = resolve(&before, incoming("/closed", Some("k"))).expect("the key is valid");
    for after in [catalog(None), catalog(Some("account-1"))] {
        let refused =
            check_key(&after, &call).expect_err("the key no longer belongs to the account");
        assert_eq!(refused.kind, ErrorKind::InvalidKey);
    }
}
