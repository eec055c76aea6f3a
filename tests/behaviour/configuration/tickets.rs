//! Tickets are accepted or refused as a whole, and the error names the object, the field and the
//! expected value.

use figramp::catalog::TicketNumber;
use figramp::configuration::RawTicket;
use figramp::configuration::Ticket;
use serde_json::json;

fn refusal(objects: serde_json::Value) -> String {
    let body = json!({"number": 12, "objects": objects}).to_string();
    check(&body).unwrap_err().to_string()
}

fn check(body: &str) -> Result<Ticket, figramp::configuration::TicketError> {
    Ticket::try_from(&RawTicket {
        number: TicketNumber(12),
        body: body.to_owned().into(),
    })
}

fn account(field: &str, value: serde_json::Value) -> serde_json::Value {
    let mut spec = json!({
        "allowed_regions": ["sydney"], "rate_tokens_per_s": 5, "burst_tokens": 5, "weight": 1,
    });
    spec[field] = value;
    json!([{"kind": "client_account", "name": "mulch", "value": spec}])
}

#[test]
fn errors_name_the_invalid_account_field() {
    let table = [
        (
            "rate_tokens_per_s",
            json!(0),
            "expected an integer from 1 to 1000000000000, got 0",
        ),
        (
            "burst_tokens",
            json!(0),
            "expected an integer from 1 to 1000000000000000, got 0",
        ),
        (
            "weight",
            json!(0),
            "expected an integer from 1 to 1000000, got 0",
        ),
        (
            "weight",
            json!("2"),
            "invalid type: string \"2\", expected u32",
        ),
        (
            "rate_tokens_per_s",
            json!(-1),
            "invalid value: integer `-1`, expected u64",
        ),
        ("allowed_regions", json!([]), "expected at least one entry"),
        (
            "allowed_regions",
            json!(["a", "a"]),
            "expected each entry once, got a twice",
        ),
    ];
    for (field, value, problem) in table {
        let expected = format!("ticket 12: client_account \"mulch\": {field}: {problem}");
        assert_eq!(refusal(account(field, value)), expected);
    }
    let share = refusal(account(
        "region_shares",
        json!([{"region": "perth", "weight": 1}]),
    ));
    assert_eq!(
        share,
        "ticket 12: client_account \"mulch\": region_shares[0].region: \
         expected one of allowed_regions, got \"perth\""
    );
}

#[test]
fn errors_name_the_invalid_object() {
    let digest = "AB".repeat(32);
    let table = [
        (
            json!([{"kind": "api_key", "name": digest, "value": null}]),
            format!("ticket 12: api_key \"{digest}\": name: expected the SHA-256 of the key in 64 lower-case hexadecimal digits"),
        ),
        (
            json!([{"kind": "vm", "name": "a", "value": null}, {"kind": "vm", "name": "a", "value": null}]),
            "ticket 12: objects: expected each object once, got vm \"a\" twice".to_owned(),
        ),
        (json!([]), "ticket 12: objects: expected 1 to 10000, got 0".to_owned()),
        (
            json!([{"kind": "route", "name": "a b", "value": null}]),
            "ticket 12: objects[0].name: a name may hold letters, digits, '-', '_', '.' and '/' only, got \"a b\"".to_owned(),
        ),
        (
            json!([{"kind": "region", "name": "x", "value": {"availability_zones": ["x-a"], "links": [
                {"to": "x", "one_way_us": 1, "bandwidth_bits_per_s": 1}]}}]),
            "ticket 12: region \"x\": links: expected links to other regions, got one to \"x\" itself".to_owned(),
        ),
        (
            json!([{"kind": "vm", "name": "v", "value": {"region": "x", "availability_zone": "x-a", "state": "active",
                "caller_address": "10.0.0.1:0", "peer_address": "10.0.0.1:2", "operator_address": "10.0.0.1:3"}}]),
            "ticket 12: vm \"v\": caller_address: expected the IP address and port of one machine, got 10.0.0.1:0".to_owned(),
        ),
    ];
    for (objects, expected) in table {
        assert_eq!(refusal(objects), expected);
    }
}

#[test]
fn errors_name_the_invalid_route_field() {
    let table = [
        (
            "path_prefix",
            json!("/v1/chat"),
            "expected a path outside /v1, got \"/v1/chat\"",
        ),
        (
            "path_prefix",
            json!("/a/../b"),
            "expected a path such as \"/bookings\", got \"/a/../b\"",
        ),
        (
            "path_prefix",
            json!(null),
            "expected a path such as \"/bookings\", got none",
        ),
        (
            "silence_timeout_ms",
            json!(60_000),
            "expected an integer from 1 to 1000, got 60000",
        ),
        ("deadline", json!(5), "unknown field `deadline`"),
    ];
    for (field, value, problem) in table {
        let mut spec = json!({
            "kind": "service", "path_prefix": "/bookings", "class": "interactive",
            "repeatability": "non_idempotent", "deadline_ms": 1_000,
            "first_event_timeout_ms": 500, "silence_timeout_ms": 500,
        });
        spec[field] = value;
        let message = refusal(json!([{"kind": "route", "name": "bookings", "value": spec}]));
        assert!(
            message.starts_with("ticket 12: route \"bookings\": "),
            "{message}"
        );
        assert!(message.contains(problem), "{message}");
    }
}

#[test]
fn a_ticket_is_refused_as_a_whole() {
    let good = json!({"kind": "vm", "name": "v", "value": null});
    let bad = json!({"kind": "client_account", "name": "c", "value": {}});
    assert!(refusal(json!([good, bad])).contains("client_account \"c\""));
}

#[test]
fn malformed_texts_are_refused() {
    let table = [
        (
            "{",
            "ticket 12: body: EOF while parsing an object at line 1 column 1",
        ),
        (
            "{\"number\":13,\"objects\":[]}",
            "ticket 12: number: expected 12, got 13",
        ),
        (
            "{\"number\":12,\"objects\":[{\"kind\":\"vm\",\"name\":\"v\"}]}",
            "missing field `value`",
        ),
        (
            "{\"number\":12,\"objects\":[{\"kind\":\"pod\",\"name\":\"v\",\"value\":null}]}",
            "unknown variant `pod`",
        ),
    ];
    for (body, expected) in table {
        let message = check(body).unwrap_err().to_string();
        assert!(message.contains(expected), "{message}");
    }
    let long = format!(
        "{{\"number\":12,\"objects\":[]}}{}",
        " ".repeat(1024 * 1024)
    );
    let message = check(&long).unwrap_err().to_string();
    assert_eq!(
        message,
        format!(
            "ticket 12: body: expected at most 1048576 bytes, got {}",
            long.len()
        )
    );
}
