//! The HTTP server for callers.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use rocket::catchers;
use rocket::routes;

use super::caller_connections::CallerConnections;
use super::caller_listener::CallerListener;
use super::caller_state::CallerState;
use super::catchers;
use super::completion_routes;
use super::information_routes;
use super::service_route::service_routes;
use super::CallerLimits;
use super::Gateway;
use super::HttpServer;
use super::LaunchError;
use crate::clock::Clock;
use crate::endpoint::AnswerBudget;

/// The memory for answers that are collected before they are sent.
const WHOLE_ANSWERS_MAX_BYTES: usize = 64 << 20;

/// The HTTP server listens on loopback, as only the `CallerListener` connects to it.
const SERVER_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// A running server for callers: a listener that relays connections to an HTTP server.
#[derive(Debug)]
pub struct CallerServer {
    listener: CallerListener,
    server: HttpServer,
}

impl CallerServer {
    /// Starts a server on `bind_address`; port 0 chooses a free port.
    ///
    /// # Errors
    ///
    /// Returns a [`LaunchError`] if it can't listen on the address.
    pub async fn launch(
        bind_address: SocketAddr,
        gateway: Arc<dyn Gateway>,
        clock: Arc<dyn Clock>,
        limits: CallerLimits,
    ) -> Result<Self, LaunchError> {
        let connections = Arc::new(CallerConnections::default());
        let state = CallerState {
            gateway,
            clock,
            limits,
            whole_answers: AnswerBudget::new(
                limits.service_answer_max_bytes,
                WHOLE_ANSWERS_MAX_BYTES,
            ),
            connections: Arc::clone(&connections),
        };
        let rocket = HttpServer::build(SERVER_ADDRESS)
            .manage(state)
            .mount("/", routes![completion_routes::complete])
            .mount("/", routes![information_routes::models])
            .mount("/", routes![information_routes::entries])
            .mount("/", service_routes())
            .register("/", catchers![catchers::unrouted]);
        let server = HttpServer::launch(rocket).await?;
        let listener =
            CallerListener::start(bind_address, server.address(), connections, limits).await?;
        Ok(Self { listener, server })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops the server.
    ///
    /// New connections are refused and idle ones closed at once. Completes when the answers in
    /// flight are sent; there is no time limit.
    pub async fn shutdown(self) {
        self.listener.stop_accepting();
        self.server.stop_accepting();
        self.listener.closed().await;
    }
}
