//! `figramp stand-in`.

use std::net::SocketAddr;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use serde_json::Map;
use serde_json::Value;

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

/// Runs an endpoint stand-in until it is interrupted.
pub(super) fn endpoint(endpoint: &StandInEndpoint) -> Result<(), CliError> {
    match endpoint.kind {
        StandInKind::Engine => engine(endpoint),
        StandInKind::Service => service(endpoint),
    }
}

fn engine(endpoint: &StandInEndpoint) -> Result<(), CliError> {
    let faults: EngineFaults = read_faults(&endpoint.faults)?;
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
    let faults: ServiceFaults = read_faults(&endpoint.faults)?;
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

/// Reads faults of the form `NAME=VALUE`; a value is JSON or a plain word.
fn read_faults<T: DeserializeOwned>(faults: &[String]) -> Result<T, CliError> {
    let mut fields = Map::new();
    for fault in faults {
        let Some((name, value)) = fault.split_once('=') else {
            let problem = format!("expected NAME=VALUE, got {fault:?}");
            return Err(CliError::Failed(problem));
        };
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        fields.insert(name.to_owned(), value);
    }
    serde_json::from_value(Value::Object(fields))
        .map_err(|error| CliError::Failed(format!("the faults are not accepted: {error}")))
}
