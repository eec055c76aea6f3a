//! Messages are unchanged after encoding and decoding, and an invalid one is refused.

use capnp::message::Builder;
use figramp::catalog::TicketNumber;
use figramp::configuration::BucketIndex;
use figramp::configuration::ConfigurationMessage;
use figramp::configuration::ConfigurationStore;
use figramp::configuration::ObjectHash;
use figramp::configuration::ReplyMode;
use figramp::configuration::RootDigest;
use figramp::configuration::SenderPhase;
use figramp::configuration::Summary;
use figramp::configuration::Ticket;
use figramp::peer::generated::configuration_capnp::configuration_message;
use figramp::peer::WireError;

use super::fleet::identity;
use super::fleet::key_ticket;
use super::fleet::roster_ticket;

fn store() -> ConfigurationStore {
    let vms: Vec<_> = (0..5).map(|index| identity("boyaca", index)).collect();
    let mut store = ConfigurationStore::default();
    for raw in [roster_ticket(&vms), key_ticket(2, "nursery-key", None)] {
        for record in Ticket::try_from(&raw).unwrap().records {
            store.merge(record);
        }
    }
    store
}

#[test]
fn messages_are_unchanged_after_encoding_and_decoding() {
    let store = store();
    let summary = Summary {
        root: RootDigest(7),
        ticket: TicketNumber(2),
        phase: SenderPhase::Ready,
        reply: ReplyMode::Wanted,
    };
    let versions = BucketIndex::all().map(|index| store.versions(index));
    let messages = [
        ConfigurationMessage::Summary(summary),
        ConfigurationMessage::Buckets(store.digest()),
        ConfigurationMessage::Versions(versions.collect()),
        ConfigurationMessage::Wanted(vec![ObjectHash(1), ObjectHash(u64::MAX)]),
        ConfigurationMessage::Objects(store.records().cloned().collect()),
    ];
    for message in messages {
        let mut builder = Builder::new_default();
        message.write(builder.init_root::<configuration_message::Builder<'_>>());
        let read = ConfigurationMessage::read(builder.get_root_as_reader().unwrap());
        assert_eq!(read, Ok(message));
    }
}

#[test]
fn an_invalid_record_is_refused() {
    let mut builder = Builder::new_default();
    let message = builder.init_root::<configuration_message::Builder<'_>>();
    let mut record = message.init_objects(1).get(0);
    record.set_name("nursery");
    record.set_ticket(3);
    record.set_value(b"{\"weight\":0}");
    let read = ConfigurationMessage::read(builder.get_root_as_reader().unwrap());
    assert_eq!(read, Err(WireError::OutOfRange { field: "value" }));
}
