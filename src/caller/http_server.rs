//! A Rocket server that only the program starts and stops.

use std::collections::HashSet;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use rocket::config::LogLevel;
use rocket::config::Shutdown;
use rocket::fairing::AdHoc;
use rocket::figment::Figment;
use rocket::Build;
use rocket::Config;
use rocket::Rocket;
use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Rocket's grace period for open connections, in seconds; the process exits earlier.
const GRACE_S: u32 = 24 * 60 * 60;

/// The reason why a server did not start.
#[derive(Debug, Error)]
pub enum LaunchError {
    /// Rocket can't listen on the address, or the routes collide.
    #[error("the server did not start: {0}")]
    Server(String),

    /// The socket can't listen on the address.
    #[error("could not listen on the address: {0}")]
    Listen(#[from] io::Error),
}

/// A running Rocket server.
///
/// It handles no signals, writes no log and reads no configuration from files or the environment.
/// After [`Self::stop_accepting`], answers in flight go on until they end or the server is dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    shutdown: rocket::Shutdown,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Returns a server without routes, ready to be configured; port 0 chooses a free port.
    pub fn build(bind_address: SocketAddr) -> Rocket<Build> {
        rocket::custom(server_config(bind_address))
    }

    /// Starts a server.
    ///
    /// # Errors
    ///
    /// Returns a [`LaunchError`] if it can't listen on the address or the routes collide.
    pub async fn launch(rocket: Rocket<Build>) -> Result<Self, LaunchError> {
        let (launched, on_launch) = oneshot::channel();
        let rocket = rocket
            .attach(report_launch(launched))
            .ignite()
            .await
            .map_err(|error| launch_error(&error))?;
        let shutdown = rocket.shutdown();
        let (failed, on_failure) = oneshot::channel();
        let task = tokio::spawn(async move {
            if let Err(error) = rocket.launch().await {
                let _ = failed.send(launch_error(&error));
            }
        });
        let address = tokio::select! {
            Ok(address) = on_launch => address,
            Ok(error) = on_failure => return Err(error),
        };
        Ok(Self {
            address,
            shutdown,
            task,
        })
    }

    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses new connections and closes idle ones; answers in flight are completed.
    pub fn stop_accepting(&self) {
        self.shutdown.clone().notify();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.shutdown.clone().notify();
        self.task.abort();
    }
}

fn server_config(bind_address: SocketAddr) -> Figment {
    let address: IpAddr = bind_address.ip();
    let shutdown = Shutdown {
        ctrlc: false,
        signals: HashSet::new(),
        force: false,
        grace: GRACE_S,
        ..Shutdown::default()
    };
    Figment::from(Config {
        address,
        port: bind_address.port(),
        log_level: LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..Config::release_default()
    })
}

fn report_launch(launched: oneshot::Sender<SocketAddr>) -> AdHoc {
    AdHoc::on_liftoff("report the bound address", move |rocket| {
        Box::pin(async move {
            let config = rocket.config();
            let _ = launched.send(SocketAddr::new(config.address, config.port));
        })
    })
}

fn launch_error(error: &rocket::Error) -> LaunchError {
    LaunchError::Server(error.kind().to_string())
}
