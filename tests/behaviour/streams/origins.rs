//! The memory of the beginnings of streams.

use std::time::Duration;

use figramp::clock::Monotonic;
use figramp::deployment::SoftwareVersion;
use figramp::fleet::NameHash;
use figramp::streams::decode_origin_message;
use figramp::streams::encode_origin_message;
use figramp::streams::OriginMessage;
use figramp::streams::OriginState;
use figramp::streams::StreamKey;
use figramp::streams::StreamOrigin;
use figramp::streams::StreamOrigins;
use quickcheck::quickcheck;

const LIFETIME: Duration = Duration::from_secs(10);
const SERVICE: NameHash = NameHash(1);

const fn at(s: u64) -> Monotonic {
    Monotonic::from_ms(s * 1_000)
}

fn version(name: &str) -> SoftwareVersion {
    SoftwareVersion::from_name(name).expect("a version")
}

fn origin(stream: u64, name: &str) -> StreamOrigin {
    StreamOrigin {
        stream: StreamKey(stream),
        version: version(name),
    }
}

#[test]
fn a_stream_is_remembered_for_a_lifetime() {
    let mut origins = StreamOrigins::default();
    origins.record_own(at(0), origin(1, "v1"), SERVICE);
    origins.remove_expired(at(10), LIFETIME);
    let known = OriginState::Known(version("v1"));
    assert_eq!(origins.get(StreamKey(1)), known);
    origins.remove_expired(at(11), LIFETIME);
    assert_eq!(origins.get(StreamKey(1)), OriginState::Unknown);
}

#[test]
fn a_take_up_extends_the_memory() {
    let mut origins = StreamOrigins::default();
    origins.record_told(at(0), origin(1, "v1"));
    origins.record_own(at(8), origin(1, "v1"), SERVICE);
    origins.remove_expired(at(15), LIFETIME);
    let known = OriginState::Known(version("v1"));
    assert_eq!(origins.get(StreamKey(1)), known);
}

#[test]
fn two_beginnings_at_different_versions_are_ambiguous() {
    let mut origins = StreamOrigins::default();
    origins.record_own(at(0), origin(1, "v1"), SERVICE);
    origins.record_told(at(1), origin(1, "v2"));
    origins.record_told(at(2), origin(1, "v2"));
    assert_eq!(origins.get(StreamKey(1)), OriginState::Ambiguous);
    assert_eq!(origins.take_untold(|_| true), Vec::new());
}

#[test]
fn each_own_stream_is_told_once() {
    let mut origins = StreamOrigins::default();
    origins.record_own(at(0), origin(1, "v1"), SERVICE);
    origins.record_told(at(0), origin(2, "v1"));
    assert_eq!(origins.take_untold(|_| false), Vec::new());
    let told = origins.take_untold(|service| service == SERVICE);
    assert_eq!(told, vec![origin(1, "v1")]);
    assert_eq!(origins.take_untold(|_| true), Vec::new());
}

#[test]
fn streams_of_services_with_one_version_are_not_handed_on() {
    const OTHER_SERVICE: NameHash = NameHash(2);
    let mut origins = StreamOrigins::default();
    origins.record_told(at(0), origin(1, "v1"));
    origins.record_own(at(1), origin(2, "v1"), SERVICE);
    origins.record_own(at(2), origin(3, "v1"), OTHER_SERVICE);
    let is_needed = |service| service == SERVICE;
    assert_eq!(origins.told(is_needed), vec![StreamKey(1)]);
    origins.take_untold(is_needed);
    assert_eq!(origins.told(is_needed), vec![StreamKey(1), StreamKey(2)]);
    origins.record_told(at(3), origin(1, "v1"));
    assert_eq!(origins.told(is_needed), vec![StreamKey(2), StreamKey(1)]);
}

quickcheck! {
    fn a_message_is_decoded_as_it_was_encoded(told: Vec<u64>, asked: Vec<u64>, unknown: Vec<u64>) -> bool {
        let message = OriginMessage {
            origins: told.iter().map(|stream| origin(*stream, "v1")).collect(),
            questions: asked.into_iter().map(StreamKey).collect(),
            unknown: unknown.into_iter().map(StreamKey).collect(),
        };
        let bytes = encode_origin_message(&message).expect("the message can be encoded");
        decode_origin_message(&bytes).expect("a message") == message
    }

    fn any_bytes_are_decoded_or_rejected(bytes: Vec<u8>) -> bool {
        let _ = decode_origin_message(&bytes);
        true
    }
}
