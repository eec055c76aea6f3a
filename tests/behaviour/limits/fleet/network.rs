//! The network between the VMs of a fleet, with its faults.

use std::collections::HashMap;

use capnp::message::Builder;
use capnp::serialize;
use figramp::catalog::Catalog;
use figramp::catalog::VmKey;
use figramp::limits::LimitsMessage;
use figramp::membership::MembershipMessage;
use figramp::peer::generated::limits_capnp::limits_message;
use figramp::peer::generated::membership_capnp::membership_message;
use rand::rngs::StdRng;
use rand::RngExt;

use super::events::Message;

/// The network between the VMs of a fleet, with its faults.
#[derive(Debug, Default)]
pub struct Network {
    pub loss: f64,
    pub duplicated: f64,
    pub delayed: f64,
    /// VMs in different groups cannot exchange messages; VMs without an entry are in group 0.
    pub groups: HashMap<VmKey, usize>,
    pub counts_bytes: bool,
    pub membership_bytes: u64,
    pub limits_bytes: u64,
    pub messages: u64,
}

impl Network {
    pub fn is_partitioned(&self, a: VmKey, b: VmKey) -> bool {
        let group = |vm| self.groups.get(vm).copied().unwrap_or(0);
        group(&a) != group(&b)
    }

    /// Returns the delays after which copies of a message arrive.
    pub fn delays_us(
        &self,
        catalog: &Catalog,
        from: VmKey,
        to: VmKey,
        rng: &mut StdRng,
    ) -> Vec<u64> {
        let mut copies = 1;
        if rng.random_bool(self.loss) {
            copies -= 1;
        }
        if rng.random_bool(self.duplicated) {
            copies += 1;
        }
        let base_us = match (catalog.vms.get(from), catalog.vms.get(to)) {
            (Some(from), Some(to)) if from.region == to.region => 1_000,
            _ => 55_000,
        };
        let mut delay_us = || {
            let jitter_us = rng.random_range(0..base_us / 2);
            let extra_us = match rng.random_bool(self.delayed) {
                true => rng.random_range(0..20_000_000),
                false => 0,
            };
            base_us + jitter_us + extra_us
        };
        (0..copies).map(|_| delay_us()).collect()
    }

    /// Encodes and decodes a message and counts its bytes, if `counts_bytes` is set.
    pub fn round_trip(&mut self, catalog: &Catalog, message: Message) -> Message {
        if !self.counts_bytes {
            return message;
        }
        self.messages += 1;
        match message {
            Message::Membership(message) => {
                let (len, message) = membership_wire(catalog, &message);
                self.membership_bytes += len;
                Message::Membership(message)
            }
            Message::Limits(message) => {
                let (len, message) = limits_wire(catalog, &message);
                self.limits_bytes += len;
                Message::Limits(message)
            }
        }
    }
}

fn membership_wire(catalog: &Catalog, message: &MembershipMessage) -> (u64, MembershipMessage) {
    let mut builder = Builder::new_default();
    message.write(
        catalog,
        builder.init_root::<membership_message::Builder<'_>>(),
    );
    let root = builder.get_root_as_reader().unwrap();
    let read = MembershipMessage::read(root, catalog).unwrap();
    (
        serialize::compute_serialized_size_in_words(&builder) as u64 * 8,
        read,
    )
}

fn limits_wire(catalog: &Catalog, message: &LimitsMessage) -> (u64, LimitsMessage) {
    let mut builder = Builder::new_default();
    message.write(catalog, builder.init_root::<limits_message::Builder<'_>>());
    let root = builder.get_root_as_reader().unwrap();
    let read = LimitsMessage::read(root, catalog).unwrap();
    (
        serialize::compute_serialized_size_in_words(&builder) as u64 * 8,
        read,
    )
}
