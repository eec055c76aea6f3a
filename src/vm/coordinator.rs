//! Runs a call; a non-idempotent one is recorded in its home region first.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use super::call_end::AnswerSink;
use super::call_end::CallEnd;
use super::call_end::DisconnectPolicy;
use super::call_task::CallTask;
use super::forward_watch::ForwardWatch;
use super::progress::AnswerStorage;
use super::progress::Progress;
use super::BeginReply;
use super::RequestContext;
use crate::catalog::RegionKey;
use crate::catalog::Repeatability;
use crate::catalog::VmKey;
use crate::clock::Monotonic;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;
use crate::idempotency::home_region;
use crate::idempotency::home_vm;
use crate::idempotency::CallOutcome;
use crate::idempotency::IdempotencyAnswer;
use crate::idempotency::RecordId;
use crate::idempotency::StoredAnswer;
use crate::operator::ExplanationBuilder;
use crate::operator::StepEvent;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::Call;
use crate::request::RequestId;
use crate::routing::FORWARDS_MAX;
use crate::telemetry::BookingOutcome;
use crate::telemetry::ServedIn;

/// The most VMs of the home region that a non-idempotent call is forwarded to in turn.
const HOME_VMS_TRIED_MAX: usize = 2;

/// The longest wait of a duplicate for the outcome of the first submission. A caller may have the
/// answer before the replicas have the outcome, and a replica that missed it asks each second.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(2);

const OUTCOME_POLL_MIN: Duration = Duration::from_millis(10);
const OUTCOME_POLL_MAX: Duration = Duration::from_millis(200);

/// Where a call came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Origin {
    /// From a caller.
    Caller,
    /// From another VM, by a forward.
    Peer,
}

/// How a call ended and what is recorded of it.
pub(super) struct CallReport {
    pub(super) end: CallEnd,
    pub(super) progress: Progress,
    pub(super) served_in: ServedIn,
    pub(super) booking: Option<BookingOutcome>,
}

/// Runs one call.
pub(super) struct Coordinator {
    context: Arc<RequestContext>,
    call: Arc<Call>,
    deadline: Monotonic,
    sink: AnswerSink,
    origin: Origin,
    received_at: Monotonic,
    trace: ExplanationBuilder,
}

impl Coordinator {
    /// Creates the coordinator of a call that came in at `received_at`.
    pub(super) fn new(
        context: Arc<RequestContext>,
        call: Call,
        origin: Origin,
        received_at: Monotonic,
        sink: AnswerSink,
        trace: ExplanationBuilder,
    ) -> Self {
        Self {
            context,
            deadline: received_at + call.remaining,
            call: Arc::new(call),
            sink,
            origin,
            received_at,
            trace,
        }
    }

    /// Runs the call to its end.
    pub(super) async fn run(self) -> CallReport {
        match self.call.repeatability {
            Repeatability::Idempotent => {
                let mut task = self.task(
                    DisconnectPolicy::Cancel,
                    FORWARDS_MAX,
                    AnswerStorage::Discarded,
                );
                let end = task.run().await;
                report(end, task, None)
            }
            Repeatability::NonIdempotent => self.run_recorded().await,
        }
    }

    async fn run_recorded(self) -> CallReport {
        let catalog = self.context.blackboard.catalog.load_full();
        let view = self.context.blackboard.membership.load_full();
        let record_id = RecordId::of_call(&self.call);
        let home = record_id
            .as_ref()
            .and_then(|id| home_region(&catalog, self.call.route, id));
        let (Some(record_id), Some(home)) = (record_id, home) else {
            let message = "no allowed region serves this route";
            return self.refused(ErrorKind::NoEndpoint, message);
        };
        let local_region = catalog.vms.get(view.local_vm).map(|vm| vm.region);
        if local_region == Some(home) {
            return self.run_locally().await;
        }
        match self.origin {
            Origin::Caller => self.forward_home(home, &record_id).await,
            Origin::Peer => {
                let message = "the call's home region is another one, or is changing";
                self.refused(ErrorKind::RecordUnacknowledged, message)
            }
        }
    }

    /// Records the call and sends it to an endpoint of the local region, at most once.
    async fn run_locally(self) -> CallReport {
        let storage = AnswerStorage::Stored {
            max_bytes: self.context.stored_answer_max_bytes,
        };
        let mut task = self.task(DisconnectPolicy::Finish, 0, storage);
        match self.begin().await {
            Ok(BeginReply::Proceed) => {
                let end = task.run().await;
                let outcome = call_outcome(&end, &task.progress);
                let booking = booking_outcome(&outcome);
                self.context
                    .control
                    .finish_call(self.call.id, outcome)
                    .await;
                report(end, task, booking)
            }
            Ok(BeginReply::Answer(IdempotencyAnswer::Stored(answer))) => {
                let now = self.context.clock.now();
                task.progress.trace.add(now, StepEvent::Replayed);
                let end = send_stored_answer(&self.sink, self.call.id, answer).await;
                report(end, task, Some(BookingOutcome::Repeated))
            }
            Ok(BeginReply::Answer(IdempotencyAnswer::Failed(error))) | Err(error) => {
                let is_unknown = error.kind == ErrorKind::OutcomeUnknown;
                let booking = is_unknown.then_some(BookingOutcome::Unknown);
                report(CallEnd::Failed(error), task, booking)
            }
        }
    }

    /// Records the submission; a duplicate waits for the outcome of the first submission.
    async fn begin(&self) -> Result<BeginReply, GatewayError> {
        let now = self.context.clock.now();
        let give_up_at = (now + OUTCOME_TIMEOUT).min(self.deadline);
        let mut pause = OUTCOME_POLL_MIN;
        loop {
            let call = Call::clone(&self.call);
            let reply = self.context.control.begin_call(call).await?;
            let next_poll = self.context.clock.now() + pause;
            if !is_in_progress(&reply) || next_poll >= give_up_at {
                return Ok(reply);
            }
            sleep(pause).await;
            if self.sink.is_closed() {
                return Ok(reply);
            }
            pause = (pause * 2).min(OUTCOME_POLL_MAX);
        }
    }

    /// Forwards the call to a VM of its home region.
    async fn forward_home(self, home: RegionKey, record_id: &RecordId) -> CallReport {
        let mut task = self.task(
            DisconnectPolicy::Cancel,
            FORWARDS_MAX,
            AnswerStorage::Discarded,
        );
        let mut end = CallEnd::Failed(GatewayError::new(
            ErrorKind::PeerUnreachable,
            "no VM of the call's home region is reachable",
        ));
        for vm in self.home_vms(home, record_id) {
            end = task.forward(vm, None, &mut ForwardWatch::Uncounted).await;
            if !is_unreached(&end) {
                break;
            }
        }
        // The VM that runs the call records its outcome; if that VM became unreachable after the
        // call may have run, the outcome is unknown.
        let is_lost = matches!(&end, CallEnd::Failed(error) if error.kind == ErrorKind::PeerUnreachable
            && error.run != RunState::NotRun);
        let booking = is_lost.then_some(BookingOutcome::Unknown);
        report(end, task, booking)
    }

    fn home_vms(&self, home: RegionKey, record_id: &RecordId) -> Vec<VmKey> {
        let catalog = self.context.blackboard.catalog.load();
        let view = self.context.blackboard.membership.load();
        let first = home_vm(&catalog, &view, home, record_id);
        let others = view.serving_in(&catalog, home);
        let mut vms: Vec<VmKey> = first.into_iter().collect();
        vms.extend(others.filter(|vm| Some(*vm) != first));
        vms.truncate(HOME_VMS_TRIED_MAX);
        vms
    }

    fn task(
        &self,
        on_disconnect: DisconnectPolicy,
        forwards_max: usize,
        storage: AnswerStorage,
    ) -> CallTask {
        CallTask {
            context: Arc::clone(&self.context),
            call: Arc::clone(&self.call),
            deadline: self.deadline,
            sink: self.sink.clone(),
            on_disconnect,
            forwards_max,
            progress: self.progress(storage),
            served_in: ServedIn::LocalRegion,
        }
    }

    fn progress(&self, storage: AnswerStorage) -> Progress {
        Progress::new(self.received_at, storage, self.trace.clone())
    }

    fn refused(&self, kind: ErrorKind, message: &str) -> CallReport {
        CallReport {
            end: CallEnd::Failed(GatewayError::new(kind, message)),
            progress: self.progress(AnswerStorage::Discarded),
            served_in: ServedIn::Nowhere,
            booking: None,
        }
    }
}

fn report(end: CallEnd, task: CallTask, booking: Option<BookingOutcome>) -> CallReport {
    let is_nowhere = matches!(&end, CallEnd::Failed(error) if error.run == RunState::NotRun);
    CallReport {
        end,
        served_in: if is_nowhere {
            ServedIn::Nowhere
        } else {
            task.served_in
        },
        progress: task.progress,
        booking,
    }
}

/// Returns whether a forwarded call certainly reached no VM that could run it.
fn is_unreached(end: &CallEnd) -> bool {
    match end {
        CallEnd::Failed(error) => {
            let is_transient = matches!(
                error.kind,
                ErrorKind::PeerUnreachable | ErrorKind::Draining | ErrorKind::NotReady
            );
            is_transient && error.run == RunState::NotRun
        }
        CallEnd::Completed(_) | CallEnd::Disconnected => false,
    }
}

fn is_in_progress(reply: &BeginReply) -> bool {
    matches!(reply, BeginReply::Answer(IdempotencyAnswer::Failed(error))
        if error.kind == ErrorKind::CallInProgress)
}

fn call_outcome(end: &CallEnd, progress: &Progress) -> CallOutcome {
    match end {
        CallEnd::Completed(usage) => progress.completed_outcome(*usage),
        CallEnd::Failed(error) => match error.run {
            RunState::NotRun => CallOutcome::NotRun,
            RunState::MayHaveRun => CallOutcome::Unknown,
            RunState::Ran => CallOutcome::RanUnkept,
        },
        CallEnd::Disconnected => CallOutcome::Unknown,
    }
}

fn booking_outcome(outcome: &CallOutcome) -> Option<BookingOutcome> {
    match outcome {
        CallOutcome::Completed(_) | CallOutcome::RanUnkept => Some(BookingOutcome::Run),
        CallOutcome::Unknown => Some(BookingOutcome::Unknown),
        CallOutcome::NotRun => None,
    }
}

/// Sends the stored answer of an earlier submission.
async fn send_stored_answer(
    sink: &AnswerSink,
    request_id: RequestId,
    answer: StoredAnswer,
) -> CallEnd {
    let payloads = [
        AnswerPayload::Head {
            status: answer.status,
            content_type: answer.content_type,
        },
        AnswerPayload::Chunk(Bytes::clone(&answer.body)),
        AnswerPayload::End(answer.usage),
    ];
    // The head does not count as a chunk.
    for (offset, payload) in [0, 0, 1].into_iter().zip(payloads) {
        let event = AnswerEvent {
            request_id,
            offset,
            payload,
        };
        if sink.send(Ok(event)).await.is_err() {
            return CallEnd::Disconnected;
        }
    }
    CallEnd::Completed(answer.usage)
}
