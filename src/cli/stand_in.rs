//! `figramp stand-in`.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::runtime;
use super::ticket_file::TicketFile;
use super::CliError;
use super::StandInEndpoint;
use super::StandInKind;
use crate::stand_in::engine::EngineFaults;
use crate::stand_in::engine::EngineOptions;
use crate::stand_in::engine::EngineServer;
use crate::stand_in::platform::PlatformStandIn;
use crate::stand_in::service::ServiceFaults;
use crate::stand_in::service::ServiceOptions;
use crate::stand_in::service::ServiceServer;

/// Runs the platform stand-in until it is interrupted.
pub(super) fn platform(address: SocketAddr, tickets: &[PathBuf]) -> Result<(), CliError> {
    let tickets = tickets
        .iter()
        .map(|path| TicketFile::load(path).map_err(|error| CliError::Failed(error.to_string())))
        .collect::<Result<Vec<TicketFile>, CliError>>()?;
    runtime::block_on(async move {
        let stand_in = PlatformStandIn::start(address).await?;
        for ticket in tickets {
            stand_in.publish(ticket.raw);
        }
        println!("platform stand-in at http://{}", stand_in.address());
        stand_in.wait().await;
        Ok(())
    })
}

/// Runs an endpoint stand-in until the process ends.
pub(super) fn endpoint(endpoint: &StandInEndpoint) -> Result<(), CliError> {
    match endpoint.kind {
        StandInKind::Engine => engine(endpoint),
        StandInKind::Service => service(endpoint),
    }
}

fn engine(endpoint: &StandInEndpoint) -> Result<(), CliError> {
    let faults: EngineFaults = serde_json::from_str(&endpoint.faults).map_err(CliError::Faults)?;
    let options = EngineOptions {
        bind_address: endpoint.address,
        ..EngineOptions::default()
    };
    runtime::block_on(async move {
        let engine = EngineServer::launch(options).await?;
        engine.set_faults(faults);
        println!("engine stand-in at http://{}", engine.address());
        std::future::pending().await
    })
}

fn service(endpoint: &StandInEndpoint) -> Result<(), CliError> {
    let faults: ServiceFaults = serde_json::from_str(&endpoint.faults).map_err(CliError::Faults)?;
    let options = ServiceOptions {
        bind_address: endpoint.address,
        ..ServiceOptions::default()
    };
    runtime::block_on(async move {
        let service = ServiceServer::launch(options).await?;
        service.set_faults(faults);
        println!("service stand-in at http://{}", service.address());
        std::future::pending().await
    })
}
