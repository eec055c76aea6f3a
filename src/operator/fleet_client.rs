//! Queries the other VMs for their reports and explanations.

use std::time::Duration;

use futures::stream;
use futures::StreamExt;
use reqwest::Client;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::timeout;

use super::wire::ExplanationSetWire;
use super::wire::ReportWireError;
use super::wire::VmReportWire;
use super::FleetReport;
use super::OperatorAddress;
use super::VmReport;
use crate::request::RequestId;

/// The timeout of one round of queries to all VMs.
const FLEET_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CONCURRENT_QUERIES_MAX: usize = 64;
const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Queries the other VMs, each round within `FLEET_TIMEOUT`.
#[derive(Clone, Debug)]
pub(super) struct FleetClient {
    http: Client,
}

#[derive(Debug, Error)]
enum FleetError {
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("the response body has more than {BODY_MAX_BYTES} bytes")]
    TooLarge,
    #[error("the response body cannot be parsed: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the report is invalid: {0}")]
    Report(#[from] ReportWireError),
    #[error("the report is from VM {0}, which is not the queried one")]
    UnexpectedVm(String),
}

impl FleetClient {
    /// Creates a client that uses no proxy.
    ///
    /// # Errors
    ///
    /// Returns the error of `reqwest` if the HTTP client cannot be created.
    pub(super) fn new() -> Result<Self, reqwest::Error> {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self { http })
    }

    /// Returns the merged reports of `vms`, with the VMs that gave none listed as missing.
    pub(super) async fn reports(&self, vms: Vec<OperatorAddress>) -> FleetReport {
        let responses = self.query_all(vms, |client, target| async move {
            let report = client.report(&target).await?;
            Ok(FleetReport::from(report))
        });
        let mut fleet = FleetReport::default();
        for (target, report) in responses.await {
            let report = report.unwrap_or_else(|| FleetReport::missing(target.vm));
            fleet = fleet.merge(report);
        }
        fleet
    }

    /// Returns the explanations of a request from `vms`, with the VMs that gave no answer listed as
    /// missing.
    pub(super) async fn explanations(
        &self,
        vms: Vec<OperatorAddress>,
        request_id: RequestId,
    ) -> ExplanationSetWire {
        let responses = self.query_all(vms, move |client, target| async move {
            let path = format!("v1/explain/{request_id}?scope=vm");
            client.get::<ExplanationSetWire>(&target, &path).await
        });
        let mut all = ExplanationSetWire {
            request_id: request_id.to_string(),
            explanations: Vec::new(),
            missing_vms: Vec::new(),
        };
        for (target, set) in responses.await {
            match set {
                Some(set) => all.explanations.extend(set.explanations),
                None => all.missing_vms.push(target.vm.to_string()),
            }
        }
        all
    }

    async fn query_all<T, F>(
        &self,
        vms: Vec<OperatorAddress>,
        send: impl Fn(Self, OperatorAddress) -> F,
    ) -> Vec<(OperatorAddress, Option<T>)>
    where
        F: std::future::Future<Output = Result<T, FleetError>>,
    {
        let deadline = tokio::time::Instant::now() + FLEET_TIMEOUT;
        let queries = vms.into_iter().map(|target| {
            let query = send(self.clone(), target.clone());
            async move {
                let remaining = deadline.saturating_duration_since(tokio::time::Instant::now());
                let response = match timeout(remaining, query).await {
                    Ok(Ok(response)) => Some(response),
                    Ok(Err(error)) => {
                        log::debug!("operator query to VM {} failed: {error}", target.vm);
                        None
                    }
                    Err(_) => None,
                };
                (target, response)
            }
        });
        stream::iter(queries)
            .buffer_unordered(CONCURRENT_QUERIES_MAX)
            .collect()
            .await
    }

    async fn report(&self, target: &OperatorAddress) -> Result<VmReport, FleetError> {
        let wire: VmReportWire = self.get(target, "v1/report").await?;
        let report = VmReport::try_from(wire)?;
        if report.vm != target.vm {
            return Err(FleetError::UnexpectedVm(report.vm.to_string()));
        }
        Ok(report)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        target: &OperatorAddress,
        path: &str,
    ) -> Result<T, FleetError> {
        let url = format!("http://{}/{path}", target.address);
        let mut response = self.http.get(url).send().await?.error_for_status()?;
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await? {
            if body.len() + chunk.len() > BODY_MAX_BYTES {
                return Err(FleetError::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(serde_json::from_slice(&body)?)
    }
}
