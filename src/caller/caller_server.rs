//! The HTTP server towards callers.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::routes;

use super::caller_state::CallerState;
use super::completion_routes;
use super::information_routes;
use super::service_route::service_routes;
use super::CallerLimits;
use super::Gateway;
use super::HttpServer;
use super::LaunchError;
use crate::clock::Clock;

/// A running server towards callers.
#[derive(Debug)]
pub struct CallerServer {
    server: HttpServer,
}

impl CallerServer {
    /// Starts a server on `bind_address`; port 0 chooses a free one.
    ///
    /// # Errors
    ///
    /// Returns a [`LaunchError`] if the address can't be listened on.
    pub async fn launch(
        bind_address: SocketAddr,
        gateway: Arc<dyn Gateway>,
        clock: Arc<dyn Clock>,
        limits: CallerLimits,
    ) -> Result<Self, LaunchError> {
        let state = CallerState {
            gateway,
            clock,
            limits,
        };
        let rocket = HttpServer::build(bind_address)
            .manage(state)
            .mount("/", routes![completion_routes::complete])
            .mount("/", routes![information_routes::models])
            .mount("/", routes![information_routes::entries])
            .mount("/", service_routes());
        Ok(Self {
            server: HttpServer::launch(rocket).await?,
        })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Stops the server.
    pub async fn shutdown(self) {
        self.server.stop_accepting();
    }
}
