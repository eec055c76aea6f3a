//! The queue of requests that wait for a slot at an endpoint of the local region.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::SmallRng;
use slab::Slab;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio::time::interval;

use super::check_key;
use super::Blackboard;
use crate::catalog::EndpointKey;
use crate::catalog::WorkClass;
use crate::clock::Clock;
use crate::clock::Monotonic;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::queueing::FairQueue;
use crate::queueing::QueueItem;
use crate::queueing::QueueLimits;
use crate::request::Call;
use crate::routing::choose;
use crate::routing::Attempt;
use crate::routing::EndpointFailure;
use crate::routing::RouteChoice;
use crate::routing::RouteQuery;

const SLOT_REQUESTS_MAX: usize = 4_096;
const PRUNE_INTERVAL: Duration = Duration::from_millis(20);

/// A slot at an endpoint, assigned to a request.
#[derive(Debug)]
pub struct Slot {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The attempt, already counted in the endpoint's load.
    pub attempt: Attempt,
}

/// A request that waits for a slot.
#[derive(Debug)]
pub(super) struct SlotRequest {
    /// The call.
    pub(super) call: Arc<Call>,
    /// Endpoints that were already tried.
    pub(super) excluded: Vec<EndpointKey>,
    /// The latest time at which the request may start.
    pub(super) start_by: Monotonic,
    /// Receives the slot or the refusal.
    pub(super) reply: oneshot::Sender<Result<Slot, GatewayError>>,
}

/// The request path's handle to the [`Dispatcher`].
#[derive(Clone, Debug)]
pub struct DispatcherHandle {
    requests: mpsc::Sender<SlotRequest>,
    gauge: Arc<QueueGauge>,
}

/// State of the queue that the request path reads without asking the dispatcher.
#[derive(Debug, Default)]
struct QueueGauge {
    interactive: ClassGauge,
    long: ClassGauge,
    freed: Notify,
}

#[derive(Debug, Default)]
struct ClassGauge {
    len: AtomicUsize,
    wait_us: AtomicU64,
}

impl QueueGauge {
    fn class(&self, class: WorkClass) -> &ClassGauge {
        match class {
            WorkClass::Interactive => &self.interactive,
            WorkClass::Long => &self.long,
        }
    }
}

impl DispatcherHandle {
    /// Returns whether requests of a class wait.
    pub fn has_waiting(&self, class: WorkClass) -> bool {
        self.gauge.class(class).len.load(Ordering::Relaxed) > 0
    }

    /// Returns the expected wait of a request that would be enqueued now.
    pub fn expected_wait(&self, class: WorkClass) -> Duration {
        Duration::from_micros(self.gauge.class(class).wait_us.load(Ordering::Relaxed))
    }

    /// Wakes the dispatcher, since a slot was freed or an endpoint's load changed.
    pub fn on_slot_freed(&self) {
        self.gauge.freed.notify_one();
    }

    /// Enqueues a call and waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns a refusal, with run state `NotRun`, as soon as the request cannot start in time.
    pub async fn acquire(
        &self,
        call: Arc<Call>,
        excluded: Vec<EndpointKey>,
        start_by: Monotonic,
    ) -> Result<Slot, GatewayError> {
        let (reply, slot) = oneshot::channel();
        let request = SlotRequest {
            call,
            excluded,
            start_by,
            reply,
        };
        let full = || GatewayError::new(ErrorKind::Overloaded, "the queue of this VM is full");
        self.requests.try_send(request).map_err(|_| full())?;
        slot.await.map_err(|_| full())?
    }
}

/// Owns the queue and assigns free slots to waiting requests.
pub struct Dispatcher {
    clock: Arc<dyn Clock>,
    blackboard: Arc<Blackboard>,
    queue: FairQueue<usize>,
    waiting: Slab<SlotRequest>,
    requests: mpsc::Receiver<SlotRequest>,
    gauge: Arc<QueueGauge>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates a dispatcher and its handle.
    pub fn new(
        clock: Arc<dyn Clock>,
        blackboard: Arc<Blackboard>,
        limits: QueueLimits,
        rng: SmallRng,
    ) -> (Self, DispatcherHandle) {
        let (sender, requests) = mpsc::channel(SLOT_REQUESTS_MAX);
        let gauge = Arc::new(QueueGauge::default());
        let handle = DispatcherHandle {
            requests: sender,
            gauge: Arc::clone(&gauge),
        };
        let dispatcher = Self {
            clock,
            blackboard,
            queue: FairQueue::new(limits),
            waiting: Slab::new(),
            requests,
            gauge,
            rng,
        };
        (dispatcher, handle)
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        let mut prune_ticks = interval(PRUNE_INTERVAL);
        loop {
            tokio::select! {
                request = self.requests.recv() => match request {
                    Some(request) => self.enqueue(request),
                    None => return,
                },
                () = self.gauge.freed.notified() => {}
                _ = prune_ticks.tick(), if !self.queue.is_empty() => self.prune(),
            }
            self.assign_slots();
            self.publish();
        }
    }

    fn enqueue(&mut self, request: SlotRequest) {
        let now = self.clock.now();
        let start_by = request.start_by;
        let call = Arc::clone(&request.call);
        let index = self.waiting.insert(request);
        let item = self.queue_item(&call, start_by, index);
        if let Err(refused) = self.queue.offer(now, item) {
            self.answer(index, Err(refused.into()));
        }
    }

    fn queue_item(&self, call: &Call, start_by: Monotonic, index: usize) -> QueueItem<usize> {
        let catalog = self.blackboard.catalog.load();
        let account = call
            .client_account
            .and_then(|account| catalog.client_accounts.get(account));
        let route = catalog.routes.get(call.route);
        QueueItem {
            client_account: call.client_account,
            key_digest: call.key_digest,
            weight: account.map_or(1, |account| account.weight),
            class: route.map_or(WorkClass::Long, |route| route.class),
            route: call.route,
            cost_tokens: call.reserved_tokens,
            start_by,
            payload: index,
        }
    }

    /// Refuses requests past their latest start or with a revoked key, and drops cancelled ones.
    fn prune(&mut self) {
        let now = self.clock.now();
        for item in self.queue.expire(now) {
            self.refuse(
                item.payload,
                ErrorKind::DeadlineUnreachable,
                "no endpoint became free in time",
            );
        }
        let catalog = self.blackboard.catalog.load_full();
        let waiting = &self.waiting;
        let revoked = self
            .queue
            .remove_where(|item| check_key(&catalog, &waiting[item.payload].call).is_err());
        for item in revoked {
            self.refuse(item.payload, ErrorKind::InvalidKey, "the key was revoked");
        }
        let waiting = &self.waiting;
        let cancelled = self
            .queue
            .remove_where(|item| waiting[item.payload].reply.is_closed());
        for item in cancelled {
            self.waiting.remove(item.payload);
        }
    }

    fn assign_slots(&mut self) {
        let now = self.clock.now();
        while let Some(request) = self.next_startable(now) {
            self.start(now, request);
        }
    }

    fn next_startable(&mut self, now: Monotonic) -> Option<SlotRequest> {
        let waiting = &self.waiting;
        let rng = &mut self.rng;
        let blackboard = &self.blackboard;
        let item = self.queue.next(now, |item| {
            local_endpoint(now, blackboard, &waiting[item.payload], rng).is_some()
        })?;
        Some(self.waiting.remove(item.payload))
    }

    fn start(&mut self, now: Monotonic, request: SlotRequest) {
        let endpoint = local_endpoint(now, &self.blackboard, &request, &mut self.rng);
        let loads = self.blackboard.endpoint_loads.load();
        let load = endpoint.and_then(|endpoint| Some((endpoint, loads.get(endpoint)?)));
        let Some((endpoint, load)) = load else {
            let error = GatewayError::new(ErrorKind::NoEndpoint, "the endpoint was removed");
            // The receiver of a cancelled request is closed.
            let _ = request.reply.send(Err(error));
            return;
        };
        let attempt = load.on_sent(now, &request.call);
        let slot = Slot { endpoint, attempt };
        if let Err(Ok(slot)) = request.reply.send(Ok(slot)) {
            load.on_failed(now, slot.attempt, EndpointFailure::Unrelated);
        }
    }

    fn refuse(&mut self, index: usize, kind: ErrorKind, message: &str) {
        self.answer(index, Err(GatewayError::new(kind, message)));
    }

    fn answer(&mut self, index: usize, outcome: Result<Slot, GatewayError>) {
        let request = self.waiting.remove(index);
        // The receiver of a cancelled request is closed.
        let _ = request.reply.send(outcome);
    }

    fn publish(&self) {
        let now = self.clock.now();
        for class in [WorkClass::Interactive, WorkClass::Long] {
            let wait = self.queue.backlog_wait(now, class);
            let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
            let gauge = self.gauge.class(class);
            gauge.len.store(self.queue.len(class), Ordering::Relaxed);
            gauge.wait_us.store(wait_us, Ordering::Relaxed);
        }
    }
}

/// Returns an endpoint of the local region with a free slot for the request.
fn local_endpoint(
    now: Monotonic,
    blackboard: &Blackboard,
    request: &SlotRequest,
    rng: &mut SmallRng,
) -> Option<EndpointKey> {
    let catalog = blackboard.catalog.load();
    let view = blackboard.membership.load();
    let loads = blackboard.endpoint_loads.load();
    let query = RouteQuery {
        catalog: &catalog,
        view: &view,
        loads: &loads,
        call: &request.call,
        excluded: &request.excluded,
        forwards_max: 0,
        queue_wait: Duration::ZERO,
    };
    match choose(now, &query, rng).ok()?.choice {
        RouteChoice::Local(endpoint) => Some(endpoint),
        RouteChoice::Queue | RouteChoice::Forward { .. } => None,
    }
}
