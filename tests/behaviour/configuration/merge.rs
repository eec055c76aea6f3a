//! The merge of records is the join of a semilattice.

use figramp::catalog::ApiKeySpec;
use figramp::catalog::KeyDigest;
use figramp::catalog::ObjectSpec;
use figramp::catalog::TicketNumber;
use figramp::configuration::ConfigurationStore;
use figramp::configuration::ObjectId;
use figramp::configuration::ObjectKind;
use figramp::configuration::ObjectRecord;
use quickcheck::quickcheck;
use quickcheck::Arbitrary;
use quickcheck::Gen;

use super::fleet::name;

#[derive(Clone, Debug)]
struct AnyRecord(ObjectRecord);

impl Arbitrary for AnyRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        let id = ObjectId {
            kind: ObjectKind::ApiKey,
            name: name(&KeyDigest::of_key([u8::arbitrary(g) % 4]).to_hex()),
        };
        let ticket = TicketNumber(1 + u64::arbitrary(g) % 4);
        if bool::arbitrary(g) {
            return Self(ObjectRecord::tombstone(ticket, id));
        }
        let spec = ApiKeySpec {
            client_account: name(["mulch", "seeds", "soil"][usize::arbitrary(g) % 3]),
        };
        Self(ObjectRecord::with_value(
            ticket,
            id,
            ObjectSpec::ApiKey(spec),
        ))
    }
}

fn store<'a>(records: impl Iterator<Item = &'a AnyRecord>) -> ConfigurationStore {
    let mut store = ConfigurationStore::default();
    for record in records {
        store.merge(record.0.clone());
    }
    store
}

fn is_same(a: &ConfigurationStore, b: &ConfigurationStore) -> bool {
    a.digest() == b.digest() && a.records().eq(b.records())
}

fn joined(a: &ConfigurationStore, b: &ConfigurationStore) -> ConfigurationStore {
    let mut joined = a.clone();
    for record in b.records() {
        joined.merge(record.clone());
    }
    joined
}

quickcheck! {
    fn the_merge_is_commutative(a: Vec<AnyRecord>, b: Vec<AnyRecord>) -> bool {
        let (a, b) = (store(a.iter()), store(b.iter()));
        is_same(&joined(&a, &b), &joined(&b, &a))
    }

    fn the_merge_is_associative(a: Vec<AnyRecord>, b: Vec<AnyRecord>, c: Vec<AnyRecord>) -> bool {
        let (a, b, c) = (store(a.iter()), store(b.iter()), store(c.iter()));
        is_same(&joined(&joined(&a, &b), &c), &joined(&a, &joined(&b, &c)))
    }

    fn the_merge_is_idempotent(a: Vec<AnyRecord>) -> bool {
        let a = store(a.iter());
        is_same(&joined(&a, &a), &a)
    }

    fn no_object_returns_to_an_earlier_version(a: Vec<AnyRecord>) -> bool {
        let mut store = ConfigurationStore::default();
        a.iter().all(|record| {
            let before = store.get(&record.0.id).map(|stored| stored.version);
            store.merge(record.0.clone());
            before <= store.get(&record.0.id).map(|stored| stored.version)
        })
    }

    fn equal_digests_mean_equal_states(a: Vec<AnyRecord>, b: Vec<AnyRecord>) -> bool {
        let (a, b) = (store(a.iter()), store(b.iter()));
        (a.digest().root() == b.digest().root()) == a.records().eq(b.records())
    }
}

#[test]
fn a_tombstone_wins_over_a_value_with_the_same_ticket_number() {
    let id = ObjectId {
        kind: ObjectKind::ApiKey,
        name: name(&KeyDigest::of_key("key").to_hex()),
    };
    let client_account = name("mulch");
    let spec = ObjectSpec::ApiKey(ApiKeySpec { client_account });
    let value = ObjectRecord::with_value(TicketNumber(7), id.clone(), spec);
    let tombstone = ObjectRecord::tombstone(TicketNumber(7), id.clone());
    for records in [[&value, &tombstone], [&tombstone, &value]] {
        let mut store = ConfigurationStore::default();
        for record in records {
            store.merge(record.clone());
        }
        assert_eq!(store.get(&id), Some(&tombstone));
    }
}
