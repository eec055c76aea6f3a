//! Invalid settings are refused with file, line, field and the expected value.

use std::time::Duration;

use figramp::settings::Settings;

const GOOD: &str = r#"[vm]
name = "sydney-1"
region = "sydney"
availability_zone = "sydney-a"
caller_address = "10.0.0.1:7100"
peer_address = "10.0.0.1:7200"
operator_address = "10.0.0.1:7300"
[platform]
address = "10.0.0.9:7000"
[peers]
secret_file = "peer.secret"
[[peers.seeds]]
name = "sydney-2"
region = "sydney"
availability_zone = "sydney-a"
caller_address = "10.0.0.2:7100"
peer_address = "10.0.0.2:7200"
operator_address = "10.0.0.2:7300"
[bounds]
body_max_bytes = 1000
[intervals]
tick_ms = 50
"#;

const ADDRESS: &str =
    "expected the IP address of one machine and a port, such as \"10.0.0.1:7100\", got";

fn refusal(from: &str, to: &str) -> String {
    assert!(GOOD.contains(from), "{from}");
    let text = GOOD.replacen(from, to, 1);
    let error = Settings::parse("vm.toml", &text).expect_err(to);
    error.to_string()
}

#[test]
fn good_settings_are_accepted() {
    let settings = Settings::parse("vm.toml", GOOD).unwrap();
    assert_eq!(settings.bounds.body_max_bytes, 1_000);
    assert_eq!(settings.intervals.tick, Duration::from_millis(50));
    assert_eq!(settings.peers.seeds.len(), 1);
}

#[test]
fn bad_settings_are_refused_with_file_line_and_field() {
    let table = [
        ("region = \"sydney\"", "regoin = \"sydney\"", "vm.toml:3: vm.regoin: unknown field `regoin`, expected one of `name`, `region`, `availability_zone`, `caller_address`, `peer_address`, `operator_address`".to_owned()),
        ("\"sydney-1\"", "\"sydney 1\"", "vm.toml:2: vm.name: a name may hold letters, digits, '-', '_', '.' and '/' only, got \"sydney 1\"".to_owned()),
        ("\"10.0.0.1:7100\"", "\"localhost:7100\"", format!("vm.toml:5: vm.caller_address: {ADDRESS} \"localhost:7100\"")),
        ("\"10.0.0.1:7100\"", "\"0.0.0.0:7100\"", format!("vm.toml:5: vm.caller_address: {ADDRESS} \"0.0.0.0:7100\"")),
        ("\"10.0.0.1:7200\"", "\"10.0.0.1:7100\"", "vm.toml:6: vm.peer_address: expected a unique value, got \"10.0.0.1:7100\" as in vm.caller_address".to_owned()),
        ("\"10.0.0.2:7200\"", "\"10.0.0.9:7000\"", "vm.toml:17: peers.seeds[0].peer_address: expected a unique value, got \"10.0.0.9:7000\" as in platform.address".to_owned()),
        ("\"sydney-2\"", "\"sydney-1\"", "vm.toml:13: peers.seeds[0].name: expected a unique value, got \"sydney-1\" as in vm.name".to_owned()),
        ("\"peer.secret\"", "\"\"", "vm.toml:11: peers.secret_file: expected the path of a file, got \"\"".to_owned()),
        ("body_max_bytes = 1000", "body_max_bytes = 0", "vm.toml:20: bounds.body_max_bytes: expected an integer from 1 to 268435456, got 0".to_owned()),
        ("body_max_bytes = 1000", "body_max_bytes = \"1 MB\"", "vm.toml:20: bounds.body_max_bytes: invalid type: string \"1 MB\", expected u64".to_owned()),
        ("body_max_bytes = 1000", "body_max_bytes = -1", "vm.toml:20: bounds.body_max_bytes: invalid value: integer `-1`, expected u64".to_owned()),
        ("tick_ms = 50", "tick_s = 1", "vm.toml:22: intervals.tick_s: unknown field `tick_s`, expected one of `tick_ms`, `heartbeat_ms`, `lease_ms`, `gossip_ms`, `boot_wait_ms`, `watch_wait_ms`, `poll_ms`, `load_report_ms`, `entries_ttl_ms`, `drain_notice_ms`".to_owned()),
        ("tick_ms = 50", "tick_ms = 1000", "vm.toml:22: intervals.tick_ms: expected at least 4 ticks of 1000 ms, got 2000 ms".to_owned()),
        ("tick_ms = 50", "tick_ms = 50\ntick_ms = 60", "vm.toml:23: file: duplicate key".to_owned()),
        ("[platform]", "[platfrom]", "vm.toml:8: platfrom: unknown field `platfrom`, expected one of `vm`, `platform`, `peers`, `log`, `bounds`, `intervals`".to_owned()),
        ("[peers]", "[log]\nformat = \"xml\"\n[peers]", "vm.toml:11: log.format: unknown variant `xml`, expected `text` or `json`".to_owned()),
        ("name = \"sydney-1\"\n", "", "vm.toml:1: vm: missing field `name`".to_owned()),
    ];
    for (from, to, expected) in table {
        assert_eq!(refusal(from, to), expected);
    }
}
