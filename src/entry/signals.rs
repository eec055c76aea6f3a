//! The signals that stop the daemon or reload its settings.

use std::io;

use tokio::signal::unix::signal;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    /// Finish the running requests and stop.
    Stop,
    /// Validate the settings file again.
    Reload,
}

/// The signal handlers of the daemon: SIGTERM, SIGINT and SIGHUP.
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
