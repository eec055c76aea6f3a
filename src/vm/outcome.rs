//! Records the outcome of a caller's request in telemetry and explanations.

use std::sync::Arc;

use super::call_end::CallEnd;
use super::coordinator::CallReport;
use super::RequestContext;
use crate::catalog::Catalog;
use crate::catalog::Name;
use crate::errors::GatewayError;
use crate::operator::ExplanationBuilder;
use crate::operator::StepEvent;
use crate::request::CallTarget;
use crate::request::IncomingCall;
use crate::telemetry::AnswerTimes;
use crate::telemetry::RateStanding;
use crate::telemetry::RequestEnd;
use crate::telemetry::RequestOutcome;
use crate::telemetry::ServedIn;

/// Records the outcome of a caller's request in telemetry and explanations.
pub(super) struct OutcomeRecorder {
    context: Arc<RequestContext>,
    client_account: Option<Name>,
    route: Option<Name>,
    standing: RateStanding,
    trace: ExplanationBuilder,
}

impl OutcomeRecorder {
    pub(super) fn new(context: &Arc<RequestContext>, incoming: &IncomingCall) -> Self {
        Self {
            context: Arc::clone(context),
            client_account: None,
            route: None,
            standing: RateStanding::Unknown,
            trace: ExplanationBuilder::new(
                incoming.id,
                incoming.received_at,
                context.clock.wall_time(),
            ),
        }
    }

    /// Returns the explanation so far, for the coordinator to continue.
    pub(super) fn trace(&self) -> ExplanationBuilder {
        self.trace.clone()
    }

    /// Records the client account and the route of the request, as far as they are known.
    pub(super) fn on_target(&mut self, catalog: &Catalog, incoming: &IncomingCall) {
        let account = incoming
            .key_digest
            .and_then(|digest| catalog.client_account_of_key(&digest))
            .and_then(|account| catalog.client_accounts.get(account));
        self.client_account = account.map(|account| account.name.clone());
        let route = match &incoming.target {
            CallTarget::Model(name) => catalog.model_named(name),
            CallTarget::Path(path) => catalog.service_for_path(path),
        };
        let route = route.and_then(|route| catalog.routes.get(route));
        self.route = route.map(|route| route.name.clone());
        if let Some(route) = self.route.clone() {
            let client_account = self.client_account.clone();
            self.step(StepEvent::Resolved {
                client_account,
                route,
            });
        }
    }

    fn step(&mut self, event: StepEvent) {
        let now = self.context.clock.now();
        self.trace.add(now, event);
    }

    pub(super) fn on_standing(&mut self, standing: RateStanding) {
        self.standing = standing;
    }

    /// Records that the tokens of the request were reserved.
    pub(super) fn on_admitted(&mut self, tokens: u64) {
        self.standing = RateStanding::Inside;
        self.step(StepEvent::Reserved { tokens });
    }

    /// Records a request that was refused before admission.
    pub(super) fn record_refusal(mut self, error: &GatewayError) {
        self.step(failed(error));
        self.context.explanations.put(self.trace.clone().build());
        let end = RequestEnd::Refused(error.kind);
        let outcome = self.outcome(end, ServedIn::Nowhere, AnswerTimes::default());
        self.context.telemetry.record(outcome);
    }

    /// Records the end of an admitted request.
    pub(super) fn record(self, report: CallReport, used_tokens: u64) {
        let end = match &report.end {
            CallEnd::Completed(_) => RequestEnd::Answered,
            CallEnd::Failed(error) if is_refusal(error) => RequestEnd::Refused(error.kind),
            CallEnd::Failed(error) => RequestEnd::Failed(error.kind),
            CallEnd::Disconnected => RequestEnd::Cancelled,
        };
        let (timer, trace) = report.progress.into_parts();
        explain_end(&self.context, trace, &report.end, used_tokens);
        let times = timer.into_times();
        let mut outcome = self.outcome(end, report.served_in, times);
        outcome.tokens = used_tokens;
        outcome.booking = report.booking;
        self.context.telemetry.record(outcome);
    }

    fn outcome(&self, end: RequestEnd, served_in: ServedIn, times: AnswerTimes) -> RequestOutcome {
        RequestOutcome {
            ended_at: self.context.clock.wall_time(),
            client_account: self.client_account.clone(),
            route: self.route.clone(),
            end,
            rate_standing: self.standing,
            served_in,
            tokens: 0,
            times,
            booking: None,
        }
    }
}

/// Adds the end of a request to its explanation and stores the explanation.
pub(super) fn explain_end(
    context: &RequestContext,
    mut trace: ExplanationBuilder,
    end: &CallEnd,
    charged_tokens: u64,
) {
    let event = match end {
        CallEnd::Completed(_) => StepEvent::Answered { charged_tokens },
        CallEnd::Failed(error) => failed(error),
        CallEnd::Disconnected => StepEvent::Cancelled,
    };
    trace.add(context.clock.now(), event);
    context.explanations.put(trace.build());
}

const fn failed(error: &GatewayError) -> StepEvent {
    StepEvent::Failed {
        kind: error.kind,
        run: error.run,
    }
}

/// Returns whether the error says that the request did not run.
fn is_refusal(error: &GatewayError) -> bool {
    error.run == crate::errors::RunState::NotRun
}
