//! The HTTP server for operators.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::config::LogLevel;
use rocket::config::Shutdown as ShutdownConfig;
use rocket::fairing::AdHoc;
use rocket::Config;
use rocket::Shutdown;
use thiserror::Error;
use tokio::sync::oneshot;

use super::fleet_client::FleetClient;
use super::routes;
use super::routes::OperatorState;
use super::ReportSource;
use crate::clock::Clock;

const GRACE_S: u32 = 1;
const MERCY_S: u32 = 1;

/// The HTTP server for operators; it runs until [`OperatorServer::shutdown`].
#[derive(Debug)]
pub struct OperatorServer {
    address: SocketAddr,
    shutdown: Shutdown,
}

/// Why the HTTP server for operators did not start.
#[derive(Debug, Error)]
pub enum OperatorServerError {
    /// The HTTP client for queries to other VMs could not be created.
    #[error("the HTTP client for queries to other VMs could not be created: {0}")]
    Client(#[from] reqwest::Error),
    /// The server could not bind its address or stopped during startup.
    #[error("the operator server on {address} did not start: {reason}")]
    Start {
        /// The address.
        address: SocketAddr,
        /// The error of the HTTP server.
        reason: String,
    },
}

impl OperatorServer {
    /// Binds `address` and serves the data of `source`.
    ///
    /// # Errors
    ///
    /// Returns an [`OperatorServerError`] if the address cannot be bound.
    pub async fn launch(
        address: SocketAddr,
        source: Arc<dyn ReportSource>,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, OperatorServerError> {
        let state = OperatorState {
            source,
            clock,
            fleet: FleetClient::new()?,
        };
        let (start_sender, start) = oneshot::channel();
        let start_sender = std::sync::Mutex::new(Some(start_sender));
        let report_address = AdHoc::on_liftoff("address", move |rocket| {
            let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
            let launcher = start_sender.lock().ok().and_then(|mut it| it.take());
            if let Some(launcher) = launcher {
                // Fails only if `launch` was dropped, and then nobody needs the address.
                let _ = launcher.send((bound, rocket.shutdown()));
            }
            Box::pin(async {})
        });
        let server = rocket::custom(config(address))
            .manage(state)
            .attach(report_address)
            .mount("/", routes::routes());
        let mut server_task = tokio::spawn(server.launch());
        tokio::select! {
            Ok((address, shutdown)) = start => Ok(Self { address, shutdown }),
            ended = &mut server_task => Err(OperatorServerError::Start {
                address,
                reason: match ended {
                    Ok(Err(error)) => error.into_text(),
                    Ok(Ok(_)) => "it stopped during startup".to_owned(),
                    Err(error) => error.to_string(),
                },
            }),
        }
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a graceful shutdown and returns immediately.
    pub fn shutdown(&self) {
        self.shutdown.clone().notify();
    }
}

trait ErrorText {
    fn into_text(self) -> String;
}

impl ErrorText for rocket::Error {
    /// Returns the kind of the error; reading it also keeps `rocket::Error` from panicking on drop.
    fn into_text(self) -> String {
        self.kind().to_string()
    }
}

fn config(address: SocketAddr) -> Config {
    Config {
        address: address.ip(),
        port: address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: std::collections::HashSet::new(),
            grace: GRACE_S,
            mercy: MERCY_S,
            ..ShutdownConfig::default()
        },
        ..Config::default()
    }
}
