//! The owner of the queue of requests that wait for a slot at an endpoint.

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
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);

/// A slot at an endpoint that a request was given.
#[derive(Debug)]
pub struct Slot {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The request at the endpoint, already counted.
    pub attempt: Attempt,
}

/// A request that asks for a slot.
#[derive(Debug)]
pub(super) struct SlotRequest {
    /// The call.
    pub(super) call: Arc<Call>,
    /// Endpoints that were tried.
    pub(super) excluded: Vec<EndpointKey>,
    /// The latest start.
    pub(super) start_by: Monotonic,
    /// Where the slot or the refusal goes.
    pub(super) reply: oneshot::Sender<Result<Slot, GatewayError>>,
}

/// Reaches the dispatcher from the path of a request.
#[derive(Clone, Debug)]
pub struct DispatcherHandle {
    offers: mpsc::Sender<SlotRequest>,
    shared: Arc<QueueGauge>,
}

/// What the path of a request sees of the queue.
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
    /// Tells whether requests of a class wait.
    pub fn has_waiting(&self, class: WorkClass) -> bool {
        self.shared.class(class).len.load(Ordering::Relaxed) > 0
    }

    /// Returns the expected wait of a request that comes now.
    pub fn expected_wait(&self, class: WorkClass) -> Duration {
        Duration::from_micros(self.shared.class(class).wait_us.load(Ordering::Relaxed))
    }

    /// Tells the dispatcher that a slot was freed.
    pub fn on_slot_freed(&self) {
        self.shared.freed.notify_one();
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the refusal, with run state `NotRun`, at once if the request cannot start in time.
    pub async fn acquire(
        &self,
        call: Arc<Call>,
        excluded: Vec<EndpointKey>,
        start_by: Monotonic,
    ) -> Result<Slot, GatewayError> {
        let (reply, slot) = oneshot::channel();
        let offer = SlotRequest {
            call,
            excluded,
            start_by,
            reply,
        };
        let full = || GatewayError::new(ErrorKind::Overloaded, "the queue of this VM is full");
        self.offers.try_send(offer).map_err(|_| full())?;
        slot.await.map_err(|_| full())?
    }
}

/// Owns the queue and hands out slots.
pub struct Dispatcher {
    clock: Arc<dyn Clock>,
    blackboard: Arc<Blackboard>,
    queue: FairQueue<usize>,
    waiting: Slab<SlotRequest>,
    offers: mpsc::Receiver<SlotRequest>,
    shared: Arc<QueueGauge>,
    rng: SmallRng,
}

impl Dispatcher {
    /// Creates the dispatcher and the handle that reaches it.
    pub fn new(
        clock: Arc<dyn Clock>,
        blackboard: Arc<Blackboard>,
        limits: QueueLimits,
        rng: SmallRng,
    ) -> (Self, DispatcherHandle) {
        let (sender, offers) = mpsc::channel(SLOT_REQUESTS_MAX);
        let shared = Arc::new(QueueGauge::default());
        let handle = DispatcherHandle {
            offers: sender,
            shared: Arc::clone(&shared),
        };
        let dispatcher = Self {
            clock,
            blackboard,
            queue: FairQueue::new(limits),
            waiting: Slab::new(),
            offers,
            shared,
            rng,
        };
        (dispatcher, handle)
    }

    /// Runs until all handles are dropped.
    pub async fn run(mut self) {
        let mut reviews = interval(REVIEW_INTERVAL);
        loop {
            tokio::select! {
                offer = self.offers.recv() => match offer {
                    Some(offer) => self.enqueue(offer),
                    None => return,
                },
                () = self.shared.freed.notified() => {}
                _ = reviews.tick(), if !self.queue.is_empty() => self.review(),
            }
            self.hand_out();
            self.publish();
        }
    }

    fn enqueue(&mut self, offer: SlotRequest) {
        let now = self.clock.now();
        let start_by = offer.start_by;
        let call = Arc::clone(&offer.call);
        let slot = self.waiting.insert(offer);
        let item = self.queue_item(&call, start_by, slot);
        if let Err(refused) = self.queue.offer(now, item) {
            self.answer(slot, Err(refused.into()));
        }
    }

    fn queue_item(&self, call: &Call, start_by: Monotonic, slot: usize) -> QueueItem<usize> {
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
            payload: slot,
        }
    }

    /// Drops what is no longer wanted, what came too late and what lost its key.
    fn review(&mut self) {
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
        let withdrawn = self
            .queue
            .remove_where(|item| check_key(&catalog, &waiting[item.payload].call).is_err());
        for item in withdrawn {
            self.refuse(item.payload, ErrorKind::InvalidKey, "the key was withdrawn");
        }
        let waiting = &self.waiting;
        let given_up = self
            .queue
            .remove_where(|item| waiting[item.payload].reply.is_closed());
        for item in given_up {
            self.waiting.remove(item.payload);
        }
    }

    fn hand_out(&mut self) {
        let now = self.clock.now();
        while let Some(offer) = self.next_startable(now) {
            self.start(now, offer);
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

    fn start(&mut self, now: Monotonic, offer: SlotRequest) {
        let endpoint = local_endpoint(now, &self.blackboard, &offer, &mut self.rng);
        let loads = self.blackboard.endpoint_loads.load();
        let load = endpoint.and_then(|endpoint| Some((endpoint, loads.get(endpoint)?)));
        let Some((endpoint, load)) = load else {
            let error = GatewayError::new(ErrorKind::NoEndpoint, "the endpoint has left");
            // A request that has given up does not listen any more.
            let _ = offer.reply.send(Err(error));
            return;
        };
        let attempt = load.on_sent(now, &offer.call);
        let slot = Slot { endpoint, attempt };
        if let Err(Ok(slot)) = offer.reply.send(Ok(slot)) {
            load.on_failed(now, slot.attempt, EndpointFailure::Unrelated);
        }
    }

    fn refuse(&mut self, slot: usize, kind: ErrorKind, message: &str) {
        self.answer(slot, Err(GatewayError::new(kind, message)));
    }

    fn answer(&mut self, slot: usize, outcome: Result<Slot, GatewayError>) {
        let offer = self.waiting.remove(slot);
        // A request that has given up does not listen any more.
        let _ = offer.reply.send(outcome);
    }

    fn publish(&self) {
        let now = self.clock.now();
        for class in [WorkClass::Interactive, WorkClass::Long] {
            let wait = self.queue.backlog_wait(now, class);
            let wait_us = u64::try_from(wait.as_micros()).unwrap_or(u64::MAX);
            let gauge = self.shared.class(class);
            gauge.len.store(self.queue.len(class), Ordering::Relaxed);
            gauge.wait_us.store(wait_us, Ordering::Relaxed);
        }
    }
}

/// Finds an endpoint of the own region with a free slot.
fn local_endpoint(
    now: Monotonic,
    blackboard: &Blackboard,
    offer: &SlotRequest,
    rng: &mut SmallRng,
) -> Option<EndpointKey> {
    let catalog = blackboard.catalog.load();
    let view = blackboard.membership.load();
    let loads = blackboard.endpoint_loads.load();
    let query = RouteQuery {
        catalog: &catalog,
        view: &view,
        loads: &loads,
        call: &offer.call,
        excluded: &offer.excluded,
        forwards_max: 0,
        queue_wait: Duration::ZERO,
    };
    match choose(now, &query, rng).ok()?.choice {
        RouteChoice::Local(endpoint) => Some(endpoint),
        RouteChoice::Queue | RouteChoice::Forward { .. } => None,
    }
}
