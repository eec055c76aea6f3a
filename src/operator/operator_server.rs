//! Serves operators over HTTP.

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

/// Serves operators over HTTP until it is shut down.
#[derive(Debug)]
pub struct OperatorServer {
    address: SocketAddr,
    shutdown: Shutdown,
}

/// The reason why the operators' port is not served.
#[derive(Debug, Error)]
pub enum OperatorServerError {
    /// The HTTP client for the other VMs could not be set up.
    #[error("the HTTP client could not be set up: {0}")]
    Client(#[from] reqwest::Error),
    /// The server did not start.
    #[error("the operator address {address} cannot be served: {reason}")]
    Start {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}

impl OperatorServer {
    /// Binds `address` and serves what `source` tells.
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
        let (started, start) = oneshot::channel();
        let started = std::sync::Mutex::new(Some(started));
        let liftoff = AdHoc::on_liftoff("address", move |rocket| {
            let bound = SocketAddr::new(rocket.config().address, rocket.config().port);
            let waiting = started.lock().ok().and_then(|mut it| it.take());
            if let Some(waiting) = waiting {
                // A launcher that is gone needs no address.
                let _ = waiting.send((bound, rocket.shutdown()));
            }
            Box::pin(async {})
        });
        let server = rocket::custom(config(address))
            .manage(state)
            .attach(liftoff)
            .mount("/", routes::routes());
        let mut running = tokio::spawn(server.launch());
        tokio::select! {
            Ok((address, shutdown)) = start => Ok(Self { address, shutdown }),
            ended = &mut running => Err(OperatorServerError::Start {
                address,
                reason: match ended {
                    Ok(Err(error)) => error.pretty_print_off(),
                    Ok(Ok(_)) => "it stopped at once".to_owned(),
                    Err(error) => error.to_string(),
                },
            }),
        }
    }

    /// Returns the address that is bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving.
    pub fn shutdown(&self) {
        self.shutdown.clone().notify();
    }
}

trait ErrorText {
    fn pretty_print_off(self) -> String;
}

impl ErrorText for rocket::Error {
    /// Returns the kind of the error; an error that is looked at does not panic when dropped.
    fn pretty_print_off(self) -> String {
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
