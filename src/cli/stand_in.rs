//! `figramp stand-in`.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::runtime;
use super::ticket_file::TicketFile;
use super::CliError;
use super::StandInEndpoint;
use super::StandInKind;
use crate::stand_in::platform::PlatformStandIn;

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
    let command = match endpoint.kind {
        StandInKind::Engine => "stand-in engine",
        StandInKind::Service => "stand-in service",
    };
    Err(CliError::Unavailable { command })
}
