//! The report of one VM in JSON.

use serde::Deserialize;
use serde::Serialize;

use super::statistics_wire::StatisticsWire;
use super::ReportWireError;
use crate::catalog::Name;
use crate::catalog::TicketNumber;
use crate::clock::WallTime;
use crate::operator::ChangeReport;
use crate::operator::EndpointReport;
use crate::operator::EndpointState;
use crate::operator::LimitReport;
use crate::operator::VmReport;
use crate::operator::VmState;

/// The report of one VM, as VMs exchange it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct VmReportWire {
    vm: String,
    region: String,
    state: String,
    ticket_in_force: u64,
    made_at_unix_ms: u64,
    open_streams: u64,
    notices: Vec<String>,
    statistics: StatisticsWire,
    endpoints: Vec<EndpointWire>,
    limits: Vec<LimitWire>,
    changes: Vec<ChangeWire>,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct EndpointWire {
    endpoint: String,
    region: String,
    state: String,
    running: u64,
    concurrency: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct LimitWire {
    client_account: String,
    rate_tokens_per_s: u64,
    burst_tokens: u64,
    held_tokens: u64,
}

#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
struct ChangeWire {
    at_unix_ms: u64,
    ticket: Option<u64>,
    summary: String,
}

impl From<&VmReport> for VmReportWire {
    fn from(report: &VmReport) -> Self {
        Self {
            vm: report.vm.to_string(),
            region: report.region.to_string(),
            state: report.state.as_str().to_owned(),
            ticket_in_force: report.ticket_in_force.0,
            made_at_unix_ms: report.made_at.unix_ms,
            open_streams: report.open_streams,
            notices: report.notices.clone(),
            statistics: StatisticsWire::from(&report.statistics),
            endpoints: report.endpoints.iter().map(EndpointWire::from).collect(),
            limits: report.limits.iter().map(LimitWire::from).collect(),
            changes: report.changes.iter().map(ChangeWire::from).collect(),
        }
    }
}

impl TryFrom<VmReportWire> for VmReport {
    type Error = ReportWireError;

    fn try_from(wire: VmReportWire) -> Result<Self, Self::Error> {
        let endpoints = wire.endpoints.into_iter().map(EndpointReport::try_from);
        let limits = wire.limits.into_iter().map(LimitReport::try_from);
        Ok(Self {
            vm: Name::new(wire.vm)?,
            region: Name::new(wire.region)?,
            state: VmState::from_text(&wire.state)
                .ok_or(ReportWireError::UnknownState(wire.state))?,
            ticket_in_force: TicketNumber(wire.ticket_in_force),
            made_at: WallTime {
                unix_ms: wire.made_at_unix_ms,
            },
            open_streams: wire.open_streams,
            notices: wire.notices,
            statistics: wire.statistics.try_into()?,
            endpoints: endpoints.collect::<Result<_, _>>()?,
            limits: limits.collect::<Result<_, _>>()?,
            changes: wire.changes.into_iter().map(ChangeReport::from).collect(),
        })
    }
}

impl From<&EndpointReport> for EndpointWire {
    fn from(report: &EndpointReport) -> Self {
        Self {
            endpoint: report.endpoint.to_string(),
            region: report.region.to_string(),
            state: report.state.as_str().to_owned(),
            running: report.running,
            concurrency: report.concurrency,
        }
    }
}

impl TryFrom<EndpointWire> for EndpointReport {
    type Error = ReportWireError;

    fn try_from(wire: EndpointWire) -> Result<Self, Self::Error> {
        Ok(Self {
            endpoint: Name::new(wire.endpoint)?,
            region: Name::new(wire.region)?,
            state: EndpointState::from_text(&wire.state)
                .ok_or(ReportWireError::UnknownState(wire.state))?,
            running: wire.running,
            concurrency: wire.concurrency,
        })
    }
}

impl From<&LimitReport> for LimitWire {
    fn from(report: &LimitReport) -> Self {
        Self {
            client_account: report.client_account.to_string(),
            rate_tokens_per_s: report.rate_tokens_per_s,
            burst_tokens: report.burst_tokens,
            held_tokens: report.held_tokens,
        }
    }
}

impl TryFrom<LimitWire> for LimitReport {
    type Error = ReportWireError;

    fn try_from(wire: LimitWire) -> Result<Self, Self::Error> {
        Ok(Self {
            client_account: Name::new(wire.client_account)?,
            rate_tokens_per_s: wire.rate_tokens_per_s,
            burst_tokens: wire.burst_tokens,
            held_tokens: wire.held_tokens,
        })
    }
}

impl From<&ChangeReport> for ChangeWire {
    fn from(report: &ChangeReport) -> Self {
        Self {
            at_unix_ms: report.at.unix_ms,
            ticket: report.ticket.map(|ticket| ticket.0),
            summary: report.summary.clone(),
        }
    }
}

impl From<ChangeWire> for ChangeReport {
    fn from(wire: ChangeWire) -> Self {
        Self {
            at: WallTime {
                unix_ms: wire.at_unix_ms,
            },
            ticket: wire.ticket.map(TicketNumber),
            summary: wire.summary,
        }
    }
}
