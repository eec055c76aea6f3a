//! Encoding and decoding of idempotency messages.

use std::time::Duration;

use figramp::catalog::Catalog;
use figramp::idempotency::AttemptId;
use figramp::idempotency::CallOutcome;
use figramp::idempotency::CopyState;
use figramp::idempotency::Fingerprint;
use figramp::idempotency::IdempotencyMessage;
use figramp::idempotency::RecordCopy;
use figramp::idempotency::RecordId;
use figramp::peer::generated::idempotency_capnp::idempotency_message;
use figramp::peer::WireError;
use figramp::request::RequestId;

use super::fleet::stored_answer;
use super::fleet::Fleet;

fn round_trip(
    message: &IdempotencyMessage,
    from: &Catalog,
    to: &Catalog,
) -> Result<IdempotencyMessage, WireError> {
    let mut builder = capnp::message::Builder::new_default();
    message.write(
        from,
        builder.init_root::<idempotency_message::Builder<'_>>(),
    );
    let bytes = capnp::serialize::write_message_to_words(&builder);
    let reader = capnp::serialize::read_message(&bytes[..], Default::default()).unwrap();
    IdempotencyMessage::read(reader.get_root().unwrap(), to)
}

fn messages(fleet: &Fleet) -> Vec<IdempotencyMessage> {
    let call = fleet.call(RequestId(1), 0);
    let id = RecordId::of_call(&call).unwrap();
    let open = RecordId {
        client_account: None,
        ..id.clone()
    };
    let attempt = AttemptId {
        coordinator: fleet.nodes[0].key,
        boot: u64::MAX,
        sequence: 7,
    };
    let copy = |state| RecordCopy {
        id: id.clone(),
        route: call.route,
        fingerprint: Fingerprint(u128::MAX - 5),
        attempt,
        state,
        age: Duration::from_millis(1_234),
    };
    let copies = vec![
        copy(CopyState::Prepared),
        copy(CopyState::Finished(CallOutcome::Unknown)),
        copy(CopyState::Finished(CallOutcome::RanUnkept)),
        copy(CopyState::Finished(CallOutcome::NotRun)),
        copy(CopyState::Finished(CallOutcome::Completed(stored_answer()))),
    ];
    let id = open;
    vec![
        IdempotencyMessage::Prepare(Box::new(copies[0].clone())),
        IdempotencyMessage::Prepared {
            id: id.clone(),
            attempt,
        },
        IdempotencyMessage::Unsettled {
            id: id.clone(),
            attempt,
        },
        IdempotencyMessage::Known {
            asked: attempt,
            copy: Box::new(copies[1].clone()),
        },
        IdempotencyMessage::Update(Box::new(copies[4].clone())),
        IdempotencyMessage::Query {
            id: id.clone(),
            attempt,
        },
        IdempotencyMessage::Release {
            id: id.clone(),
            attempt,
        },
        IdempotencyMessage::SyncRequest {
            boot: 3,
            after: None,
        },
        IdempotencyMessage::SyncPage {
            boot: 3,
            after: Some(id.clone()),
            records: copies,
            next: Some(id),
        },
    ]
}

#[test]
fn messages_survive_a_round_trip() {
    let fleet = Fleet::new();
    for message in messages(&fleet) {
        let read = round_trip(&message, &fleet.catalog, &fleet.catalog);
        assert_eq!(read, Ok(message));
    }
}

#[test]
fn a_message_that_names_an_unknown_object_is_rejected() {
    let fleet = Fleet::new();
    let message = &messages(&fleet)[0];
    let read = round_trip(message, &fleet.catalog, &Catalog::default());
    assert!(matches!(read, Err(WireError::UnknownName { .. })));
}

#[test]
fn a_record_of_a_removed_account_is_not_read_as_one_without_an_account() {
    let fleet = Fleet::new();
    let mut left = Catalog::clone(&fleet.catalog);
    left.client_accounts.clear();
    let call = fleet.call(RequestId(1), 0);
    let message = IdempotencyMessage::Release {
        id: RecordId::of_call(&call).unwrap(),
        attempt: AttemptId {
            coordinator: fleet.nodes[0].key,
            boot: 1,
            sequence: 1,
        },
    };
    let read = round_trip(&message, &left, &fleet.catalog);
    assert!(
        matches!(read, Err(WireError::UnknownName { .. })),
        "{read:?}"
    );
}
