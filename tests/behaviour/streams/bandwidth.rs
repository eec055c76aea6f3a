//! What VMs tell each other about streams fits the bound at the size that figramp is designed for.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use figramp::clock::Monotonic;
use figramp::deployment::SoftwareVersion;
use figramp::deployment::Topology;
use figramp::deployment::ZoneKey;
use figramp::fleet::FleetView;
use figramp::fleet::VmRow;
use figramp::streams::encode_origin_message;
use figramp::streams::OriginMessage;
use figramp::streams::OriginRepair;
use figramp::streams::ReplicaCount;
use figramp::streams::StreamKey;
use figramp::streams::StreamOrigin;
use figramp::streams::StreamOrigins;
use rand::rngs::SmallRng;
use rand::RngExt;
use rand::SeedableRng;
use xxhash_rust::xxh3::xxh3_64;

use crate::belief::support::name;
use crate::fleet::support::row;

const VMS: u32 = 790;
const REGIONS: u16 = 27;

/// The requests of all VMs in a second, each taken as a stream of a service with several versions.
const STREAMS_PER_S: u64 = 16_000;

/// The bound on what a VM sends, or receives, in a second.
const BYTES_PER_S_MAX: u64 = 4_000;

/// The streams that a VM holds: it began a third of them, at the rate above, and keeps them for 15 s.
const HELD_STREAMS: u64 = 1_200;

/// The bounds on repair in a round of gossip.
const REPAIR_DATAGRAMS_MAX: usize = 40;
const REPAIR_BYTES_MAX: u64 = 8_000;

const REPAIR_ROUNDS_MAX: u64 = 20;

/// The headers of IPv4 and UDP.
const HEADER_BYTES: usize = 28;

fn view() -> FleetView {
    let topology = Topology::new((0..REGIONS).map(|region| {
        (
            name(&format!("zone-{region}")),
            name(&format!("region-{region}")),
        )
    }));
    let mut view = FleetView::new(topology, row(1, 1));
    for number in 2..=VMS {
        view.merge(at_ms(0), &other(number, 1), true);
    }
    view
}

fn other(number: u32, incarnation: u64) -> VmRow {
    VmRow {
        ip: Ipv4Addr::from(0x0a00_0000 + number),
        zone: ZoneKey(u16::try_from(number % u32::from(REGIONS)).expect("a zone")),
        incarnation,
        ..row(1, 1)
    }
}

const fn at_ms(ms: u64) -> Monotonic {
    Monotonic::from_ms(1_000 + ms)
}

fn origin(stream: u64) -> StreamOrigin {
    StreamOrigin {
        stream: StreamKey(xxh3_64(&stream.to_le_bytes())),
        version: SoftwareVersion::from_name("v1.2").expect("a version"),
    }
}

fn datagram_bytes(origins: Vec<StreamOrigin>) -> u64 {
    let message = OriginMessage {
        origins,
        ..OriginMessage::default()
    };
    let bytes = encode_origin_message(&message).expect("the message can be encoded");
    (bytes.len() + HEADER_BYTES) as u64
}

/// Returns the bytes that a VM sends in a second, and how many VMs it tells of a stream, on average.
fn telling(streams_per_s: f64) -> (u64, f64) {
    let replicas = view().stream_replicas(at_ms(0));
    let mut count = ReplicaCount::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let (mut time_ms, mut streams, mut datagrams, mut bytes) = (0.0, 0_u32, 0_u32, 0);
    while time_ms < 300_000.0 {
        time_ms += -rng.random::<f64>().ln() * 1_000.0 / streams_per_s;
        let now = at_ms(time_ms as u64);
        count.on_streams(now, 1);
        // The average settles within some of its times.
        if time_ms < 30_000.0 {
            continue;
        }
        let origin = origin(u64::from(streams));
        let told = replicas.told(origin.stream, count.get(now)).len();
        streams += 1;
        datagrams += u32::try_from(told).expect("few VMs");
        bytes += told as u64 * datagram_bytes(vec![origin]);
    }
    let told = f64::from(datagrams) / f64::from(streams);
    (bytes / 270, told)
}

#[test]
fn each_vm_sends_and_receives_less_than_the_bound() {
    let design_per_s = STREAMS_PER_S as f64 / f64::from(VMS);
    for streams_per_s in [1.0, 4.0, 8.0, 9.0, 12.0, 16.0, design_per_s, 25.0, 30.0] {
        let (bytes_per_s, told) = telling(streams_per_s);
        println!(
            "{streams_per_s:.2} streams/s: {bytes_per_s} B/s a VM, {told:.2} datagrams a stream"
        );
        assert!(told >= 2.0, "{told}");
        assert!(bytes_per_s < BYTES_PER_S_MAX, "{bytes_per_s} B/s");
    }
}

#[test]
fn a_herd_of_restarts_does_not_load_the_others() {
    let mut view = view();
    let mut origins = StreamOrigins::default();
    for stream in 0..HELD_STREAMS {
        origins.record_told(at_ms(0), origin(stream));
    }
    let mut repair = OriginRepair::default();
    repair.start_if_changed(view.members(at_ms(0)), Vec::new);
    for number in 2..=VMS * 3 / 5 {
        view.merge(at_ms(0), &other(number, 2), true);
    }
    repair.start_if_changed(view.members(at_ms(0)), || origins.told(|_| true));
    let replicas = view.stream_replicas(at_ms(0));
    let (mut rounds, mut bytes, mut told) = (0, 0, 0);
    while !repair.is_idle() {
        let mut datagrams: BTreeMap<Ipv4Addr, Vec<StreamOrigin>> = BTreeMap::new();
        for (vm, origin) in repair.next_round(&replicas, &origins, 3) {
            datagrams.entry(vm).or_default().push(origin);
            told += 1;
        }
        assert!(datagrams.len() <= REPAIR_DATAGRAMS_MAX);
        bytes += datagrams.into_values().map(datagram_bytes).sum::<u64>();
        rounds += 1;
    }
    println!(
        "{told} streams told in {rounds} rounds, {} B a round",
        bytes / rounds
    );
    assert!(told > HELD_STREAMS, "{told}");
    assert!(rounds <= REPAIR_ROUNDS_MAX, "{rounds}");
    assert!(bytes / rounds < REPAIR_BYTES_MAX, "{bytes}");
}
