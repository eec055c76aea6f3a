//! When messages of other VMs were sent, by the local clock.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::clock::Monotonic;

/// The largest drift between two clocks: one part in so many.
const DRIFT_DIVISOR: u64 = 10_000;

/// How far a VM's clock is behind the local one, by its fastest message.
#[derive(Clone, Copy, Debug)]
struct PeerClock {
    incarnation: u64,
    offset_us: i64,
    received_at: Monotonic,
}

/// The clocks of other VMs.
///
/// A message may be read long after it arrives. The fastest one of a VM shows how its clock differs from the
/// local one, so that all others can be dated (Cristian, "Probabilistic clock synchronization", 1989).
#[derive(Debug, Default)]
pub struct PeerClocks {
    by_ip: HashMap<Ipv4Addr, PeerClock>,
}

impl PeerClocks {
    /// Returns when a message was sent, by the local clock; late by the time in transit of the fastest message
    /// of the VM at most. `sent_at` is by the clock of the VM.
    pub fn sending_time(
        &mut self,
        now: Monotonic,
        from: Ipv4Addr,
        incarnation: u64,
        sent_at: Monotonic,
    ) -> Monotonic {
        let sample_us = signed_us(now) - signed_us(sent_at);
        let known = self.by_ip.get(&from);
        let known = known.filter(|known| known.incarnation == incarnation);
        let known_us = known.map(|known| known.offset_us + drift_us(now.since(known.received_at)));
        let offset_us = known_us.map_or(sample_us, |known_us| known_us.min(sample_us));
        let clock = PeerClock {
            incarnation,
            offset_us,
            received_at: now,
        };
        self.by_ip.insert(from, clock);
        let at_us = signed_us(sent_at).saturating_add(offset_us);
        Monotonic::from_us(u64::try_from(at_us).unwrap_or(0))
    }
}

fn signed_us(at: Monotonic) -> i64 {
    i64::try_from(at.as_us()).unwrap_or(i64::MAX)
}

fn drift_us(elapsed: Duration) -> i64 {
    let drift_us = elapsed.as_micros() / u128::from(DRIFT_DIVISOR);
    i64::try_from(drift_us).unwrap_or(i64::MAX)
}
