//! The process that an endpoint stand-in simulates.

use std::time::Instant;

use tokio::task::JoinHandle;

/// The process of an endpoint: its identifier, its listening socket with the accepted connections,
/// and its crashes.
#[derive(Debug, Default)]
pub(super) struct EndpointProcess {
    pub(super) id: String,
    /// The task that owns the sockets; `None` while the process is down.
    task: Option<JoinHandle<()>>,
    crashes: Vec<Instant>,
}

impl EndpointProcess {
    pub(super) fn start(&mut self, id: &str, task: JoinHandle<()>) {
        id.clone_into(&mut self.id);
        self.task = Some(task);
    }

    /// Closes all sockets; new connections are refused.
    pub(super) fn stop(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
        }
    }

    /// Stops and records a crash, unless the process is down.
    pub(super) fn crash(&mut self) {
        if self.is_running() {
            self.stop();
            self.crashes.push(Instant::now());
        }
    }

    pub(super) const fn is_running(&self) -> bool {
        self.task.is_some()
    }

    pub(super) fn crashes(&self) -> &[Instant] {
        &self.crashes
    }
}
