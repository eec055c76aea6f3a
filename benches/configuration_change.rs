//! Measures the time of a VM to apply one change ticket, over growing numbers of published objects.

use std::hint::black_box;
use std::time::Duration;

use bytes::Bytes;
use criterion::criterion_group;
use criterion::criterion_main;
use criterion::BatchSize;
use criterion::BenchmarkId;
use criterion::Criterion;
use figramp::catalog::KeyDigest;
use figramp::catalog::Name;
use figramp::catalog::ServiceState;
use figramp::catalog::TicketNumber;
use figramp::catalog::VmSpec;
use figramp::clock::Monotonic;
use figramp::configuration::ConfigurationController;
use figramp::configuration::ConfigurationSettings;
use figramp::configuration::RawTicket;
use figramp::configuration::ReadKind;
use figramp::configuration::VmIdentity;
use figramp::publication::TicketBatch;
use serde_json::json;
use serde_json::Value;

const OBJECT_COUNTS: [u64; 3] = [100, 1_000, 5_000];

fn name(text: &str) -> Name {
    Name::new(text).expect("the name is valid")
}

fn ticket(number: u64, objects: Vec<Value>) -> TicketBatch {
    let text = json!({"number": number, "objects": objects}).to_string();
    let ticket = RawTicket {
        number: TicketNumber(number),
        body: Bytes::from(text),
    };
    TicketBatch {
        tickets: vec![ticket],
    }
}

fn endpoint(index: u64) -> Value {
    let value = json!({
        "kind": "engine", "address": "127.0.0.1:9000", "region": "boyaca",
        "availability_zone": "boyaca-a", "routes": ["assistant"], "state": "active",
        "concurrency": 16,
    });
    json!({"kind": "endpoint", "name": format!("engine-{index}"), "value": value})
}

fn key(account: &str) -> Value {
    let digest = KeyDigest::of_key("key").to_hex();
    json!({"kind": "api_key", "name": digest, "value": {"client_account": account}})
}

fn controller(object_count: u64) -> ConfigurationController {
    let address = |port: u16| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    let local_vm = VmIdentity {
        name: name("boyaca-1"),
        spec: VmSpec {
            region: name("boyaca"),
            availability_zone: name("boyaca-a"),
            caller_address: address(1),
            peer_address: address(2),
            operator_address: address(3),
            state: ServiceState::Active,
        },
    };
    let now = Monotonic::ZERO;
    let settings = ConfigurationSettings::default();
    let mut controller = ConfigurationController::new(settings, local_vm, Vec::new(), now);
    for start in (0..object_count).step_by(1_000) {
        let end = (start + 1_000).min(object_count);
        let batch = ticket(1 + start, (start..end).map(endpoint).collect());
        controller.on_read(now, ReadKind::Poll, Ok(batch), &mut Vec::new());
    }
    controller
}

fn change(c: &mut Criterion) {
    let mut group = c.benchmark_group("configuration_change");
    group
        .sample_size(20)
        .measurement_time(Duration::from_secs(3));
    for object_count in OBJECT_COUNTS {
        let controller = controller(object_count);
        let batch = ticket(100_000, vec![key("mulch")]);
        group.bench_function(BenchmarkId::from_parameter(object_count), |bencher| {
            bencher.iter_batched_ref(
                || controller.clone(),
                |controller| {
                    let mut out = Vec::new();
                    let batch = Ok(batch.clone());
                    controller.on_read(Monotonic::ZERO, ReadKind::Watch, batch, &mut out);
                    black_box(out)
                },
                BatchSize::LargeInput,
            );
        });
    }
    group.finish();
}

criterion_group!(benches, change);
criterion_main!(benches);
