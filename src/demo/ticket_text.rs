//! Builds change tickets and their objects in JSON.

use bytes::Bytes;
use serde_json::json;
use serde_json::Value;

use super::plan::AccountPlan;
use super::plan::DeploymentPlan;
use crate::catalog::KeyDigest;
use crate::catalog::TicketNumber;
use crate::configuration::RawTicket;

/// Returns a change ticket as the platform publishes it.
pub fn raw_ticket(number: u64, objects: Vec<Value>) -> RawTicket {
    let body = json!({ "number": number, "objects": objects }).to_string();
    RawTicket {
        number: TicketNumber(number),
        body: Bytes::from(body),
    }
}

/// Returns the object of an API key; an account of `None` revokes the key.
pub fn key_object(key: &str, client_account: Option<&str>) -> Value {
    let value = client_account.map(|account| json!({ "client_account": account }));
    json!({
        "kind": "api_key",
        "name": KeyDigest::of_key(key).to_hex(),
        "value": value,
    })
}

/// Returns the object of a client account; `regions` are the allowed ones if the plan names none.
pub fn account_object(account: &AccountPlan, regions: &[&str]) -> Value {
    let allowed_regions = if account.allowed_regions.is_empty() {
        regions.to_vec()
    } else {
        account.allowed_regions.clone()
    };
    json!({
        "kind": "client_account",
        "name": account.name,
        "value": {
            "allowed_regions": allowed_regions,
            "rate_tokens_per_s": account.rate_tokens_per_s,
            "burst_tokens": account.burst_tokens,
            "weight": 1,
        },
    })
}

/// Returns the objects of regions, routes, accounts and keys.
pub(super) fn fixed_objects(plan: &DeploymentPlan) -> Vec<Value> {
    let names: Vec<&str> = plan.regions.iter().map(|region| region.name).collect();
    let mut objects: Vec<Value> = names.iter().map(|name| region(plan, name)).collect();
    objects.push(model("plant-tips", "interactive", 10_000, 512));
    objects.push(model("plan-reviews", "long", 60_000, 4_096));
    objects.push(json!({
        "kind": "route",
        "name": "bookings",
        "value": {
            "kind": "service",
            "path_prefix": "/bookings",
            "class": "interactive",
            "repeatability": "non_idempotent",
            "deadline_ms": 10_000,
            "first_event_timeout_ms": 5_000,
            "silence_timeout_ms": 5_000,
            "call_cost_tokens": 10,
        },
    }));
    for account in &plan.client_accounts {
        objects.push(account_object(account, &names));
        let key = format!("key-{}", account.name);
        objects.push(key_object(&key, Some(account.name)));
    }
    objects
}

/// Returns the name of the only availability zone of a region.
pub(super) fn zone_of(region: &str) -> String {
    format!("{region}-a")
}

fn region(plan: &DeploymentPlan, name: &str) -> Value {
    let links: Vec<Value> = plan
        .regions
        .iter()
        .filter(|other| other.name != name)
        .map(|other| {
            json!({
                "to": other.name,
                "one_way_us": plan.one_way_us,
                "bandwidth_bits_per_s": plan.bandwidth_bits_per_s,
            })
        })
        .collect();
    json!({
        "kind": "region",
        "name": name,
        "value": { "availability_zones": [zone_of(name)], "links": links },
    })
}

fn model(name: &str, class: &str, deadline_ms: u64, answer_max_tokens: u64) -> Value {
    json!({
        "kind": "route",
        "name": name,
        "value": {
            "kind": "model",
            "class": class,
            "repeatability": "idempotent",
            "deadline_ms": deadline_ms,
            "first_event_timeout_ms": 5_000,
            "silence_timeout_ms": 3_000,
            "answer_max_tokens": answer_max_tokens,
        },
    })
}
