//! The HTTP server of the stand-in service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rocket::routes;

use super::control_routes;
use super::service_route::service_routes;
use super::service_state::ServiceState;
use super::ExecutionLog;
use super::ServiceFaults;
use super::ServiceOptions;
use crate::caller::HttpServer;
use crate::caller::LaunchError;
use crate::stand_in::attempt_name::name_attempts;
use crate::stand_in::silence::Silence;

/// A running stand-in service; it stops when it is dropped.
#[derive(Debug)]
pub struct ServiceServer {
    server: HttpServer,
    state: Arc<ServiceState>,
}

impl ServiceServer {
    /// Starts a service.
    ///
    /// # Errors
    ///
    /// Returns a [`LaunchError`] if the address can't be listened on.
    pub async fn launch(options: ServiceOptions) -> Result<Self, LaunchError> {
        let state = Arc::new(ServiceState {
            options,
            faults: Mutex::default(),
            log: Mutex::default(),
            silence: Silence::default(),
        });
        let rocket = HttpServer::build(options.bind_address)
            .manage(Arc::clone(&state))
            .attach(name_attempts())
            .mount("/", service_routes())
            .mount("/", routes![control_routes::faults])
            .mount("/", routes![control_routes::set_faults])
            .mount("/", routes![control_routes::executions]);
        let server = HttpServer::launch(rocket).await?;
        Ok(Self { server, state })
    }

    /// Runs a service until the process ends.
    ///
    /// # Errors
    ///
    /// Returns a [`LaunchError`] if the address can't be listened on.
    pub async fn run(options: ServiceOptions) -> Result<(), LaunchError> {
        let service = Self::launch(options).await?;
        log::info!("the stand-in service listens on {}", service.address());
        std::future::pending().await
    }

    /// Returns the address that the service listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all simulated faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        *self.state.faults.lock() = faults;
    }

    /// Makes the service silent for `duration`; then it goes on.
    pub fn fall_silent(&self, duration: Duration) {
        self.state.silence.begin(duration);
    }

    /// Returns the execution log.
    pub fn executions(&self) -> ExecutionLog {
        self.state.log.lock().clone()
    }
}
