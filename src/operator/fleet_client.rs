//! Asks the other VMs for their part.

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

/// The longest time for all answers together.
const FLEET_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const QUERIES_AT_ONCE: usize = 64;
const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Asks the other VMs for their part, within a bounded time.
#[derive(Clone, Debug)]
pub(super) struct FleetClient {
    http: Client,
}

#[derive(Debug, Error)]
enum FleetError {
    #[error("{0}")]
    Http(#[from] reqwest::Error),
    #[error("the answer is too large")]
    TooLarge,
    #[error("the answer does not parse: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the report is not valid: {0}")]
    Report(#[from] ReportWireError),
    #[error("the answer is of VM {0}")]
    OtherVm(String),
}

impl FleetClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns the library's error if it cannot be set up.
    pub(super) fn new() -> Result<Self, reqwest::Error> {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .no_proxy()
            .build()?;
        Ok(Self { http })
    }

    /// Returns the merged reports of `vms`; those that give none are named in it.
    pub(super) async fn reports(&self, vms: Vec<OperatorAddress>) -> FleetReport {
        let answers = self.ask_all(vms, |client, entry| async move {
            let report = client.report(&entry).await?;
            Ok(FleetReport::from(report))
        });
        let mut fleet = FleetReport::default();
        for (entry, report) in answers.await {
            let report = report.unwrap_or_else(|| FleetReport::missing(entry.vm));
            fleet = fleet.merge(report);
        }
        fleet
    }

    /// Returns what `vms` did with a request; those that do not answer are named in it.
    pub(super) async fn explanations(
        &self,
        vms: Vec<OperatorAddress>,
        request_id: RequestId,
    ) -> ExplanationSetWire {
        let answers = self.ask_all(vms, move |client, entry| async move {
            let path = format!("v1/explain/{request_id}?scope=vm");
            client.get::<ExplanationSetWire>(&entry, &path).await
        });
        let mut all = ExplanationSetWire {
            request_id: request_id.to_string(),
            explanations: Vec::new(),
            missing_vms: Vec::new(),
        };
        for (entry, set) in answers.await {
            match set {
                Some(set) => all.explanations.extend(set.explanations),
                None => all.missing_vms.push(entry.vm.to_string()),
            }
        }
        all
    }

    async fn ask_all<T, F>(
        &self,
        vms: Vec<OperatorAddress>,
        ask: impl Fn(Self, OperatorAddress) -> F,
    ) -> Vec<(OperatorAddress, Option<T>)>
    where
        F: std::future::Future<Output = Result<T, FleetError>>,
    {
        let deadline = tokio::time::Instant::now() + FLEET_TIMEOUT;
        let questions = vms.into_iter().map(|entry| {
            let question = ask(self.clone(), entry.clone());
            async move {
                let left = deadline.saturating_duration_since(tokio::time::Instant::now());
                let answer = match timeout(left, question).await {
                    Ok(Ok(answer)) => Some(answer),
                    Ok(Err(error)) => {
                        log::debug!("VM {} gave no report: {error}", entry.vm);
                        None
                    }
                    Err(_) => None,
                };
                (entry, answer)
            }
        });
        stream::iter(questions)
            .buffer_unordered(QUERIES_AT_ONCE)
            .collect()
            .await
    }

    async fn report(&self, entry: &OperatorAddress) -> Result<VmReport, FleetError> {
        let wire: VmReportWire = self.get(entry, "v1/report").await?;
        let report = VmReport::try_from(wire)?;
        if report.vm != entry.vm {
            return Err(FleetError::OtherVm(report.vm.to_string()));
        }
        Ok(report)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        entry: &OperatorAddress,
        path: &str,
    ) -> Result<T, FleetError> {
        let url = format!("http://{}/{path}", entry.address);
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
