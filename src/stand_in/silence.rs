//! A silence of a stand-in endpoint, which ends by itself.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::sleep_until;
use tokio::time::Instant;

/// A silence, in which an endpoint accepts connections, but sends nothing and begins nothing.
#[derive(Debug, Default)]
pub(super) struct Silence {
    until: Mutex<Option<Instant>>,
}

impl Silence {
    /// Begins a silence, in place of a running one.
    pub(super) fn begin(&self, duration: Duration) {
        *self.until.lock() = Some(Instant::now() + duration);
    }

    /// Waits until the endpoint is not silent.
    pub(super) async fn ended(&self) {
        loop {
            let until = *self.until.lock();
            match until {
                Some(until) if Instant::now() < until => sleep_until(until).await,
                _ => return,
            }
        }
    }
}
