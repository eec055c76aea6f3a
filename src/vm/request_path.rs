//! The request path: from a caller's request or a forwarded call to its answer.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures::StreamExt;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use xxhash_rust::xxh3::xxh3_64;

use super::admission::reserve;
use super::admission::AdmissionRefusal;
use super::admission::HeldTokens;
use super::call_end::AnswerSink;
use super::call_end::CallEnd;
use super::check_key;
use super::coordinator::Coordinator;
use super::coordinator::Origin;
use super::outcome::explain_end;
use super::outcome::OutcomeRecorder;
use super::resolve;
use super::running_guard::RunningGuard;
use super::CoreEvent;
use super::Phase;
use super::RequestContext;
use crate::caller::EntryAnswer;
use crate::caller::EntryList;
use crate::caller::Gateway;
use crate::caller::ModelList;
use crate::catalog::ClientAccountKey;
use crate::catalog::KeyDigest;
use crate::catalog::RouteKind;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::membership::EntryRanking;
use crate::operator::ExplanationBuilder;
use crate::operator::StepEvent;
use crate::peer::ForwardRequest;
use crate::peer::PeerHandler;
use crate::peer::PeerMessage;
use crate::request::AnswerStream;
use crate::request::Call;
use crate::request::IncomingCall;
use crate::request::Usage;
use crate::telemetry::BookingOutcome;
use crate::telemetry::BookingRecord;

/// The most events of an answer that are buffered for a slow caller.
const SINK_EVENTS: usize = 16;

/// The request path; serves callers and the calls that other VMs forward.
#[derive(Clone)]
pub struct RequestPath {
    context: Arc<RequestContext>,
    entries_ttl: Duration,
}

impl RequestPath {
    /// Creates the request path; `entries_ttl` is the lifetime of entry lists.
    pub fn new(context: Arc<RequestContext>, entries_ttl: Duration) -> Self {
        Self {
            context,
            entries_ttl,
        }
    }

    fn admit(&self) -> Result<RunningGuard, GatewayError> {
        match self.context.blackboard.phase.load() {
            Phase::Booting => {
                let message = "this VM is starting, use another one";
                return Err(GatewayError::new(ErrorKind::NotReady, message));
            }
            Phase::Draining => {
                let message = "this VM is draining, use another one";
                return Err(GatewayError::new(ErrorKind::Draining, message));
            }
            Phase::Serving => {}
        }
        let max = self.context.running_max_requests;
        RunningGuard::try_new(&self.context.blackboard, max).ok_or_else(|| {
            GatewayError::new(
                ErrorKind::Overloaded,
                "this VM runs as many requests as it may",
            )
            .with_retry_after(Duration::from_secs(1))
        })
    }

    fn trace_of_forwarded(&self, from: VmKey, call: &Call) -> ExplanationBuilder {
        let now = self.context.clock.now();
        let mut trace = ExplanationBuilder::new(call.id, now, self.context.clock.wall_time());
        if let Some(vm) = self.context.blackboard.catalog.load().vms.get(from) {
            let from = vm.name.clone();
            trace.add(now, StepEvent::ReceivedForward { from });
        }
        trace
    }

    async fn serve_caller(
        &self,
        incoming: IncomingCall,
        recorder: &mut OutcomeRecorder,
    ) -> Result<AdmittedCall, GatewayError> {
        let guard = self.admit()?;
        let catalog = self.context.blackboard.catalog.load_full();
        recorder.on_target(&catalog, &incoming);
        let received_at = incoming.received_at;
        let call = resolve(&catalog, incoming)?;
        self.context.retry_budget.on_request();
        let held = match reserve(&self.context, &call).await {
            Ok(held) => held,
            Err(AdmissionRefusal { error, standing }) => {
                recorder.on_standing(standing);
                return Err(error);
            }
        };
        recorder.on_admitted(call.reserved_tokens);
        Ok(AdmittedCall {
            call,
            held,
            guard,
            received_at,
        })
    }
}

/// A call that was admitted.
struct AdmittedCall {
    call: Call,
    held: Option<HeldTokens>,
    guard: RunningGuard,
    received_at: Monotonic,
}

impl AdmittedCall {
    /// Runs the call to its end, settles its tokens and records the outcome.
    async fn run(self, context: Arc<RequestContext>, sink: AnswerSink, recorder: OutcomeRecorder) {
        let prompt_tokens = prompt_tokens(&self.call);
        let open_stream = context.telemetry.open_stream();
        let coordinator = Coordinator::new(
            context,
            self.call,
            Origin::Caller,
            self.received_at,
            sink.clone(),
            recorder.trace(),
        );
        let report = coordinator.run().await;
        let passed_chunks = report.progress.passed_chunks;
        let used_tokens = match &report.end {
            CallEnd::Completed(usage) => used_tokens(*usage),
            CallEnd::Failed(error) if error.run == crate::errors::RunState::NotRun => 0,
            CallEnd::Failed(_) | CallEnd::Disconnected => prompt_tokens + passed_chunks,
        };
        if let Some(held) = self.held {
            held.settle(used_tokens);
        }
        if let CallEnd::Failed(error) = &report.end {
            // The caller may have disconnected.
            let _ = sink.send(Err(error.clone())).await;
        }
        recorder.record(report, used_tokens);
        drop(open_stream);
        drop(self.guard);
    }
}

fn prompt_tokens(call: &Call) -> u64 {
    match &call.body {
        crate::request::CallBody::Completion(completion) => completion.prompt_tokens,
        crate::request::CallBody::Service(_) => call.reserved_tokens,
    }
}

fn used_tokens(usage: Usage) -> u64 {
    usage.prompt_tokens.saturating_add(usage.answer_tokens)
}

/// Records the outcome of a non-idempotent call that another VM forwarded.
fn record_booking(
    context: &RequestContext,
    client_account: Option<ClientAccountKey>,
    outcome: BookingOutcome,
) {
    let catalog = context.blackboard.catalog.load();
    let account = client_account.and_then(|account| catalog.client_accounts.get(account));
    context.telemetry.record_booking(BookingRecord {
        ended_at: context.clock.wall_time(),
        client_account: account.map(|account| account.name.clone()),
        outcome,
    });
}

/// Waits for the first event, so that an error before it can still set the HTTP status.
async fn first_event(
    mut receiver: mpsc::Receiver<Result<crate::request::AnswerEvent, GatewayError>>,
) -> Result<AnswerStream, GatewayError> {
    let first = receiver
        .recv()
        .await
        .ok_or_else(|| GatewayError::new(ErrorKind::Internal, "the call ended without an event"))?;
    let first = first?;
    let rest = ReceiverStream::new(receiver);
    Ok(futures::stream::iter([Ok(first)]).chain(rest).boxed())
}

#[async_trait]
impl Gateway for RequestPath {
    async fn call(&self, incoming: IncomingCall) -> Result<AnswerStream, GatewayError> {
        let mut recorder = OutcomeRecorder::new(&self.context, &incoming);
        let admitted = match self.serve_caller(incoming, &mut recorder).await {
            Ok(admitted) => admitted,
            Err(error) => {
                recorder.record_refusal(&error);
                return Err(error);
            }
        };
        let (sink, receiver) = mpsc::channel(SINK_EVENTS);
        tokio::spawn(admitted.run(Arc::clone(&self.context), sink, recorder));
        first_event(receiver).await
    }

    fn entries(&self, key_digest: Option<KeyDigest>) -> EntryList {
        let catalog = self.context.blackboard.catalog.load();
        let view = self.context.blackboard.membership.load();
        // Callers of one account get the same order, so that few VMs hold its tokens.
        let account = key_digest
            .and_then(|digest| catalog.client_account_of_key(&digest))
            .and_then(|account| catalog.client_accounts.get(account));
        let tie = account.map_or(0, |account| xxh3_64(account.name.as_str().as_bytes()));
        let ranking = EntryRanking::new(&catalog, &view, None, tie, self.entries_ttl);
        let entries = ranking
            .vms
            .into_iter()
            .filter_map(|vm| {
                let vm = catalog.vms.get(vm)?;
                Some(EntryAnswer {
                    vm: vm.name.clone(),
                    region: catalog.regions.get(vm.region)?.name.clone(),
                    address: vm.caller_address,
                })
            })
            .collect();
        EntryList {
            entries,
            time_to_live: ranking.time_to_live,
        }
    }

    fn models(&self, key_digest: Option<KeyDigest>) -> Result<ModelList, GatewayError> {
        let catalog = self.context.blackboard.catalog.load();
        let account = key_digest.and_then(|digest| catalog.client_account_of_key(&digest));
        if key_digest.is_some() && account.is_none() {
            return Err(GatewayError::new(
                ErrorKind::InvalidKey,
                "the key is not valid",
            ));
        }
        let mut models: Vec<_> = catalog
            .routes
            .values()
            .filter(|route| route.kind == RouteKind::Model)
            .filter(|route| route.is_open || account.is_some())
            .map(|route| route.name.clone())
            .collect();
        models.sort();
        Ok(ModelList { models })
    }
}

#[async_trait]
impl PeerHandler for RequestPath {
    fn on_message(&self, from: VmKey, message: PeerMessage) {
        // Control messages may be lost; the sender sends important ones again.
        self.context
            .control
            .try_event(CoreEvent::Peer { from, message });
    }

    async fn on_forward(
        &self,
        from: VmKey,
        request: ForwardRequest,
    ) -> Result<AnswerStream, GatewayError> {
        let guard = self.admit()?;
        let call = request.call;
        check_key(&self.context.blackboard.catalog.load(), &call)?;
        let (sink, receiver) = mpsc::channel(SINK_EVENTS);
        let trace = self.trace_of_forwarded(from, &call);
        let client_account = call.client_account;
        let context = Arc::clone(&self.context);
        let received_at = self.context.clock.now();
        tokio::spawn(async move {
            let coordinator = Coordinator::new(
                Arc::clone(&context),
                call,
                Origin::Peer,
                received_at,
                sink.clone(),
                trace,
            );
            let report = coordinator.run().await;
            if let Some(outcome) = report.booking {
                record_booking(&context, client_account, outcome);
            }
            let (_, trace) = report.progress.into_parts();
            explain_end(&context, trace, &report.end, 0);
            if let CallEnd::Failed(error) = report.end {
                // The other VM may have cancelled the call.
                let _ = sink.send(Err(error)).await;
            }
            drop(guard);
        });
        first_event(receiver).await
    }
}
