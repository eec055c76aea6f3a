//! The server of the stand-in engine.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::routes;

use super::engine_routes;
use super::engine_state::EngineState;
use super::EngineOptions;
use crate::caller::HttpServer;
use crate::caller::LaunchError;

/// A running stand-in engine; it stops when it is dropped.
#[derive(Debug)]
pub struct EngineServer {
    server: HttpServer,
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
            .manage(state)
            .mount("/", routes![engine_routes::complete]);
        Ok(Self {
            server: HttpServer::launch(rocket).await?,
        })
    }

    /// Returns the address that the engine listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }
}
