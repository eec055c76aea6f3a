//! The HTTP server of the stand-in engine.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::routes;

use super::completion_route;
use super::control_routes;
use super::engine_state::EngineState;
use super::operation_routes;
use super::EngineCounts;
use super::EngineFaults;
use super::EngineOptions;
use crate::caller::HttpServer;
use crate::caller::LaunchError;
use crate::stand_in::attempt_name::name_attempts;

/// A running stand-in engine; it stops when it is dropped.
#[derive(Debug)]
pub struct EngineServer {
    server: HttpServer,
    state: Arc<EngineState>,
}

impl EngineServer {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Returns a [`LaunchError`] if the address can't be listened on.
    pub async fn launch(options: EngineOptions) -> Result<Self, LaunchError> {
        let state = Arc::new(EngineState::new(options));
        let rocket = HttpServer::build(options.bind_address)
            .manage(Arc::clone(&state))
            .attach(name_attempts())
            .mount("/", routes![completion_route::complete])
            .mount("/", routes![operation_routes::load])
            .mount("/", routes![operation_routes::cancel])
            .mount("/", routes![operation_routes::order])
            .mount("/", routes![control_routes::faults])
            .mount("/", routes![control_routes::set_faults])
            .mount("/", routes![control_routes::counts]);
        let server = HttpServer::launch(rocket).await?;
        Ok(Self { server, state })
    }

    /// Runs an engine until the process ends.
    ///
    /// # Errors
    ///
    /// Returns a [`LaunchError`] if the address can't be listened on.
    pub async fn run(options: EngineOptions) -> Result<(), LaunchError> {
        let engine = Self::launch(options).await?;
        log::info!("the stand-in engine listens on {}", engine.address());
        std::future::pending().await
    }

    /// Returns the address that the engine listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces all simulated faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        *self.state.faults.lock() = faults;
    }

    /// Makes the engine silent for `duration`; then it goes on.
    pub fn fall_silent(&self, duration: Duration) {
        self.state.silence.begin(duration);
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> EngineCounts {
        *self.state.counts.lock()
    }
}
