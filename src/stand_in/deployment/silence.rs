//! A time in which an endpoint stand-in sends no byte.

use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::time::sleep_until;

/// A time in which an endpoint sends no byte.
#[derive(Debug, Default)]
pub(super) struct Silence {
    until: Mutex<Option<Instant>>,
}

impl Silence {
    /// Begins a silence of this duration.
    pub(super) fn begin(&self, duration: Duration) {
        *self.until.lock() = Some(Instant::now() + duration);
    }

    /// Waits while the endpoint is silent.
    pub(super) async fn wait(&self) {
        loop {
            let until = *self.until.lock();
            match until.filter(|until| Instant::now() < *until) {
                Some(until) => sleep_until(until.into()).await,
                None => return,
            }
        }
    }
}
