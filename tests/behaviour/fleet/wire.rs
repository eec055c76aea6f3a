//! Datagrams decode to what was encoded; other bytes do not crash the decoder.

use std::num::NonZeroU32;
use std::time::Duration;

use figramp::deployment::EndpointListing;
use figramp::deployment::EndpointPhase;
use figramp::deployment::ListingVersion;
use figramp::deployment::SoftwareVersion;
use figramp::fleet::decode_message;
use figramp::fleet::encode_message;
use figramp::fleet::AccountUsage;
use figramp::fleet::EndpointLoad;
use figramp::fleet::FleetMessage;
use figramp::fleet::MessageAnsweredPart;
use figramp::fleet::MessageCrash;
use figramp::fleet::MessageCrashes;
use figramp::fleet::MessageDigest;
use figramp::fleet::MessageEnd;
use figramp::fleet::MessageProcess;
use figramp::fleet::MessageRate;
use figramp::fleet::MessageSighting;
use figramp::fleet::MessageVersions;
use figramp::fleet::NameHash;
use figramp::fleet::ServiceLoad;
use figramp::fleet::ServiceWait;
use figramp::quarantine::InstanceHash;
use figramp::quarantine::PartHash;
use quickcheck::quickcheck;

use super::support::row;
use crate::belief::support::at;
use crate::belief::support::listing;

fn crashes() -> MessageCrashes {
    MessageCrashes {
        crashes: vec![MessageCrash {
            endpoint: InstanceHash(5),
            began_age: Duration::from_millis(700),
            crashed_age: Duration::from_millis(640),
            parts: vec![PartHash(1), PartHash(u64::MAX)],
        }],
        answered: vec![MessageAnsweredPart {
            part: PartHash(1),
            age: Duration::from_millis(20),
        }],
    }
}

fn message(listing: Option<EndpointListing>) -> FleetMessage {
    let mut own = row(1, 77);
    own.waits.push(ServiceWait {
        service: NameHash(4),
        wait_ms: 250,
    });
    own.usage.push(AccountUsage {
        account: NameHash(9),
        units: 1 << 40,
    });
    let load = EndpointLoad {
        endpoint: NameHash(6),
        local_centi: 150,
        total_centi: NonZeroU32::new(3_600),
    };
    let unknown = EndpointLoad {
        total_centi: None,
        ..load
    };
    own.loads.push(ServiceLoad {
        service: NameHash(4),
        endpoints: vec![load, unknown],
    });
    FleetMessage {
        sent_at: at(1_234),
        request_sent_at: Some(at(1_200)),
        digest: MessageDigest {
            configuration_version: 8,
            configuration_age: Some(Duration::from_millis(300)),
            listing_version: ListingVersion {
                era: 3,
                revision: 41,
            },
            listing_hash: u64::MAX,
            listing_age: None,
        },
        rows: vec![own, row(2, 3)],
        listing,
        crashes: crashes(),
        rates: rates(),
        refusal_rates: rates(),
        versions: versions(),
        ends: ends(),
        processes: processes(),
    }
}

fn ends() -> Vec<MessageEnd> {
    let certain = MessageEnd {
        endpoint: InstanceHash(5),
        ended_age: Duration::from_millis(1_500),
        is_certain: true,
        returned_age: Some(Duration::from_millis(300)),
    };
    let uncertain = MessageEnd {
        is_certain: false,
        returned_age: None,
        ..certain
    };
    vec![certain, uncertain]
}

fn processes() -> Vec<MessageProcess> {
    vec![MessageProcess {
        endpoint: InstanceHash(5),
        since_age: Duration::from_millis(9_000),
        seen_age: Duration::from_millis(20),
    }]
}

fn versions() -> MessageVersions {
    let sighting = MessageSighting {
        service: NameHash(11),
        version: SoftwareVersion::from_name("v1.2"),
        seen_age: Duration::from_millis(7_000),
    };
    let unknown = MessageSighting {
        version: None,
        ..sighting
    };
    MessageVersions {
        complete_age: Some(Duration::from_secs(40)),
        sightings: vec![sighting, unknown],
    }
}

fn rates() -> Vec<MessageRate> {
    let ended = MessageRate {
        endpoint: InstanceHash(7),
        rate_per_s: 1.5,
        named_age: Duration::from_millis(900),
        unlimited_age: Some(Duration::from_millis(100)),
    };
    let in_force = MessageRate {
        endpoint: InstanceHash(8),
        unlimited_age: None,
        ..ended
    };
    vec![ended, in_force]
}

#[test]
fn a_message_decodes_to_what_was_encoded() {
    let mut sent = listing(&["a", "b"]);
    sent.endpoints[1].phase = EndpointPhase::Draining;
    sent.endpoints[1].cold_remaining = Duration::from_millis(900);
    sent.evacuated.insert(figramp::deployment::ZoneKey(2));
    let bytes = encode_message(&message(Some(sent.clone()))).expect("encodes");
    let received = decode_message(&bytes).expect("decodes");
    assert_eq!(received.rows, message(None).rows);
    assert_eq!(received.listing, Some(sent));
    assert_eq!(received.crashes, crashes());
    assert_eq!(received.rates, rates());
    assert_eq!(received.refusal_rates, rates());
    assert_eq!(received.versions, versions());
    assert_eq!(received.ends, ends());
    // The age of the last sighting is rounded up.
    let expected: Vec<MessageProcess> = processes()
        .into_iter()
        .map(|process| MessageProcess {
            seen_age: process.seen_age + Duration::from_millis(1),
            ..process
        })
        .collect();
    assert_eq!(received.processes, expected);
    assert_eq!(received.request_sent_at, Some(at(1_200)));
    assert_eq!(received.digest.listing_age, None);
    assert_eq!(
        received.digest.listing_version,
        message(None).digest.listing_version
    );
}

#[test]
fn an_age_does_not_shrink_in_transit() {
    let bytes = encode_message(&message(None)).expect("encodes");
    let age = decode_message(&bytes)
        .expect("decodes")
        .digest
        .configuration_age;
    assert!(age >= Some(Duration::from_millis(300)));
    assert!(age <= Some(Duration::from_millis(302)));
}

quickcheck! {
    fn arbitrary_bytes_are_rejected_or_decode_to_a_message_with_rows(bytes: Vec<u8>) -> bool {
        decode_message(&bytes).map_or(true, |message| !message.rows.is_empty())
    }

    fn a_truncated_message_is_rejected(length: usize) -> bool {
        let bytes = encode_message(&message(Some(listing(&["a"])))).expect("encodes");
        decode_message(&bytes[..length % bytes.len()]).is_err()
    }
}
