//! The signals that a daemon reacts to.

use std::io;

use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    /// Finish what runs and stop.
    Stop,
    /// Read the settings again.
    Reload,
}

/// The signals that a daemon reacts to.
pub(super) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    pub(super) fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    pub(super) async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.hangup.recv() => SignalRequest::Reload,
        }
    }
}
