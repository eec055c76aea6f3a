//! The HTTP server of the platform stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use rocket::data::ByteUnit;
use rocket::data::Limits;
use rocket::fairing::AdHoc;
use rocket::Shutdown;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::routes;
use super::state::PlatformState;
use super::CallCounts;
use super::DirectoryEntryWire;
use super::PlatformFaults;
use crate::configuration::RawTicket;
use crate::publication::VmWire;

const BODY_MAX: ByteUnit = ByteUnit::Mebibyte(2);

/// The platform stand-in, running in this process until [`stop`](Self::stop) is called.
#[derive(Debug)]
pub struct PlatformStandIn {
    address: SocketAddr,
    state: Arc<PlatformState>,
    shutdown: Shutdown,
    task: JoinHandle<Result<rocket::Rocket<rocket::Ignite>, rocket::Error>>,
}

/// Why the platform stand-in did not start.
#[derive(Debug, Error)]
pub enum PlatformStandInError {
    /// The HTTP server did not start.
    #[error("the platform stand-in did not start at {address}: {reason}")]
    Launch {
        /// The requested address.
        address: SocketAddr,
        /// The error that the server reported.
        reason: String,
    },
}

impl PlatformStandIn {
    /// Starts a stand-in that publishes nothing yet; port 0 chooses a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(address: SocketAddr) -> Result<Self, PlatformStandInError> {
        let launch_error = |reason: String| PlatformStandInError::Launch { address, reason };
        let state = Arc::new(PlatformState::new(Instant::now()));
        let (bound_sender, bound) = oneshot::channel();
        let rocket = rocket::custom(config(address))
            .manage(Arc::clone(&state))
            .mount("/", routes::routes())
            .attach(AdHoc::on_liftoff("address", |rocket| {
                let config = rocket.config();
                let _ = bound_sender.send(SocketAddr::new(config.address, config.port));
                Box::pin(async {})
            }))
            .ignite()
            .await
            .map_err(|error| launch_error(error.to_string()))?;
        let shutdown = rocket.shutdown();
        let task = tokio::spawn(rocket.launch());
        let Ok(address) = bound.await else {
            let reason = match task.await {
                Ok(Err(error)) => error.to_string(),
                _ => "the server ended before it listened".to_owned(),
            };
            return Err(launch_error(reason));
        };
        Ok(Self {
            address,
            state,
            shutdown,
            task,
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Publishes a ticket without checking its text.
    pub fn publish(&self, ticket: RawTicket) {
        self.state.publish(ticket);
    }

    /// Replaces the list of VMs.
    pub fn set_vms(&self, vms: impl IntoIterator<Item = VmWire>) {
        self.state
            .set_vms(Instant::now(), vms.into_iter().collect());
    }

    /// Replaces the directory.
    pub fn set_directory(&self, vms: impl IntoIterator<Item = DirectoryEntryWire>) {
        self.state.set_directory(vms.into_iter().collect());
    }

    /// Replaces all simulated faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults);
    }

    /// Returns the counts of the calls received.
    pub fn counts(&self) -> CallCounts {
        self.state.counts(Instant::now())
    }

    /// Waits until the server ends without a call of [`stop`](Self::stop), as on an interrupt.
    pub async fn wait(self) {
        let _ = self.task.await;
    }

    /// Stops the server.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}

fn config(address: SocketAddr) -> rocket::Config {
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: std::collections::HashSet::new(),
        grace: 0,
        mercy: 0,
        ..rocket::config::Shutdown::default()
    };
    let limits = Limits::default()
        .limit("bytes", BODY_MAX)
        .limit("json", BODY_MAX);
    rocket::Config {
        limits,
        address: address.ip(),
        port: address.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..rocket::Config::release_default()
    }
}
