//! What VMs tell each other about streams fits the bound at the size that figramp is designed for.

use std::net::Ipv4Addr;

use figramp::clock::Monotonic;
use figramp::deployment::SoftwareVersion;
use figramp::deployment::Topology;
use figramp::deployment::ZoneKey;
use figramp::fleet::FleetView;
use figramp::streams::encode_origin_message;
use figramp::streams::OriginMessage;
use figramp::streams::StreamKey;
use figramp::streams::StreamOrigin;
use xxhash_rust::xxh3::xxh3_64;

use crate::belief::support::name;
use crate::fleet::support::row;

const VMS: u32 = 790;
const REGIONS: u16 = 27;

/// The requests of all VMs in a second, each taken as a stream of a service with several versions.
const STREAMS_PER_S: u64 = 16_000;

/// The bound on what a VM sends, or receives, in a second.
const BYTES_PER_S_MAX: u64 = 4_000;

/// The headers of IPv4 and UDP.
const HEADER_BYTES: usize = 28;

#[test]
fn each_vm_sends_and_receives_less_than_the_bound() {
    let topology = Topology::new((0..REGIONS).map(|region| {
        (
            name(&format!("zone-{region}")),
            name(&format!("region-{region}")),
        )
    }));
    let now = Monotonic::from_ms(1_000);
    let own = row(1, 1);
    let mut view = FleetView::new(topology, own);
    for number in 2..=VMS {
        let mut other = row(1, 1);
        other.ip = Ipv4Addr::from(0x0a00_0000 + number);
        other.zone = ZoneKey(u16::try_from(number % u32::from(REGIONS)).expect("a zone"));
        view.merge(now, &other, true);
    }
    let (mut sent, mut count) = (0, 0_u64);
    for stream in 0..2_000_u64 {
        let stream = StreamKey(xxh3_64(&stream.to_le_bytes()));
        for _ in view.stream_replicas(now, stream) {
            let version = SoftwareVersion::from_name("v1.2").expect("a version");
            let message = OriginMessage {
                origins: vec![StreamOrigin { stream, version }],
                ..OriginMessage::default()
            };
            let bytes = encode_origin_message(&message).expect("the message can be encoded");
            sent += (bytes.len() + HEADER_BYTES) as u64;
        }
        count += 1;
    }
    let bytes_per_s = STREAMS_PER_S * sent / count / u64::from(VMS);
    println!("{bytes_per_s} B/s a VM");
    assert!(bytes_per_s < BYTES_PER_S_MAX, "{bytes_per_s} B/s");
}
