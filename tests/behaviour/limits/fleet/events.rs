//! Events of a fleet, in the order of virtual time.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use figramp::catalog::VmKey;
use figramp::limits::LimitsMessage;
use figramp::membership::MembershipMessage;

use super::Request;

/// A message between VMs.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Membership(MembershipMessage),
    Limits(LimitsMessage),
}

/// An event at one VM or of the traffic.
#[derive(Clone, Debug)]
pub enum Event {
    Tick {
        vm: VmKey,
        process: u64,
    },
    Deliver {
        from: VmKey,
        to: VmKey,
        message: Message,
    },
    ApplyCatalog {
        vm: VmKey,
        catalog: usize,
    },
    Arrival {
        traffic: usize,
    },
    Finish {
        vm: VmKey,
        process: u64,
        run: usize,
    },
    WaitTimeout {
        vm: VmKey,
        process: u64,
        waiter: u64,
    },
    IdealRefund {
        account: usize,
        tokens: u64,
    },
}

impl Event {
    /// Returns the VM at which the event happens.
    pub fn vm(&self) -> Option<VmKey> {
        match self {
            Self::Tick { vm, .. }
            | Self::ApplyCatalog { vm, .. }
            | Self::Finish { vm, .. }
            | Self::WaitTimeout { vm, .. } => Some(*vm),
            Self::Deliver { to, .. } => Some(*to),
            Self::Arrival { .. } | Self::IdealRefund { .. } => None,
        }
    }
}

/// A request that waits for tokens.
#[derive(Clone, Debug)]
pub struct Waiter {
    pub id: u64,
    pub request: Request,
}

/// The pending events, in the order of time.
#[derive(Debug, Default)]
pub struct EventQueue {
    events: BTreeMap<(u64, u64), Event>,
    last: u64,
}

impl EventQueue {
    pub fn push(&mut self, at_us: u64, event: Event) {
        self.last += 1;
        self.events.insert((at_us, self.last), event);
    }

    pub fn pop_until(&mut self, end_us: u64) -> Option<(u64, Event)> {
        let ((at_us, _), _) = self.events.first_key_value()?;
        if Reverse(*at_us) < Reverse(end_us) {
            return None;
        }
        self.events
            .pop_first()
            .map(|((at_us, _), event)| (at_us, event))
    }
}
