//! The running daemon of one VM.

use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::load_poller::LoadPoller;
use super::report::BlackboardReport;
use super::Blackboard;
use super::ControlContext;
use super::ControlLoop;
use super::Core;
use super::CoreEvent;
use super::CoreSettings;
use super::DaemonError;
use super::Dispatcher;
use super::Phase;
use super::RequestContext;
use super::RequestPath;
use crate::audit::AuditEvent;
use crate::audit::AuditTrail;
use crate::caller::CallerLimits;
use crate::caller::CallerServer;
use crate::clock::Clock;
use crate::endpoint::EndpointClient;
use crate::membership::Incarnation;
use crate::operator::Explanations;
use crate::operator::OperatorServer;
use crate::peer::CapnpPeerLink;
use crate::peer::PeerContext;
use crate::peer::PeerLink;
use crate::peer::PeerSecret;
use crate::peer::PeerServer;
use crate::publication::PlatformClient;
use crate::queueing::QueueLimits;
use crate::retry::RetryBudget;
use crate::retry::RetryPolicy;
use crate::settings::Settings;
use crate::telemetry::Telemetry;

const DRAIN_POLL: Duration = Duration::from_millis(10);
const CATCH_UP_PERIOD: Duration = Duration::from_millis(250);
const VM_LIST_PERIOD: Duration = Duration::from_secs(30);

/// The parts of a daemon that tests and demos may replace.
pub struct DaemonParts {
    /// The time source.
    pub clock: Arc<dyn Clock>,
    /// The client of the platform's services.
    pub platform: Arc<dyn PlatformClient>,
    /// The client that sends calls to endpoints.
    pub endpoints: Arc<dyn EndpointClient>,
    /// The secret by which VMs authenticate each other.
    pub secret: PeerSecret,
    /// The settings of the core.
    pub core: CoreSettings,
}

/// The running daemon of one VM.
pub struct Daemon {
    context: Arc<RequestContext>,
    drain_notice: Duration,
    caller: CallerServer,
    operator: OperatorServer,
    peer: PeerServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Binds the ports for callers, operators and other VMs, and starts the tasks of the daemon.
    ///
    /// # Errors
    ///
    /// Returns a [`DaemonError`] if a port cannot be bound.
    pub async fn launch(settings: &Settings, parts: DaemonParts) -> Result<Self, DaemonError> {
        let clock = parts.clock;
        let local_name = parts.core.local_vm.name.clone();
        let core = new_core(clock.as_ref(), parts.core);
        let view = core.view().as_ref().clone();
        let blackboard = Arc::new(Blackboard::new(core.catalog(), view));
        let catalog = Arc::clone(&blackboard.catalog);
        let peer_context = Arc::new(PeerContext::new(local_name, parts.secret, catalog));
        let telemetry = Arc::new(Telemetry::new(Arc::clone(&peer_context.counters)));
        let link = CapnpPeerLink::launch(Arc::clone(&peer_context)).map_err(DaemonError::Peer)?;
        let peers: Arc<dyn PeerLink> = Arc::new(link);
        let audit = Arc::new(Mutex::new(AuditTrail::new(
            settings.bounds.audit_max_entries,
        )));
        let control_context = ControlContext {
            clock: Arc::clone(&clock),
            blackboard: Arc::clone(&blackboard),
            peers: Arc::clone(&peers),
            platform: Arc::clone(&parts.platform),
            audit: Arc::clone(&audit),
            running_max_requests: settings.bounds.running_max_requests,
        };
        let (control_loop, control) = ControlLoop::new(core, control_context);
        let queue_limits = QueueLimits {
            class_max_requests: settings.bounds.queued_max_requests,
            ..QueueLimits::default()
        };
        let (dispatcher, dispatcher_handle) = Dispatcher::new(
            Arc::clone(&clock),
            Arc::clone(&blackboard),
            queue_limits,
            SmallRng::from_rng(&mut rand::rng()),
        );
        let running_max = settings.bounds.running_max_requests;
        let context = Arc::new(RequestContext {
            clock: Arc::clone(&clock),
            blackboard,
            endpoints: parts.endpoints,
            peers,
            control,
            dispatcher: dispatcher_handle,
            telemetry,
            explanations: Arc::new(Explanations::new(settings.bounds.explained_max_requests)),
            retry_policy: RetryPolicy::default(),
            retry_budget: RetryBudget::default(),
            running_max_requests: u32::try_from(running_max).unwrap_or(u32::MAX),
            stored_answer_max_bytes: STORED_ANSWER_MAX_BYTES,
            seed: AtomicU64::new(rand::random()),
        });
        let path = Arc::new(RequestPath::new(
            Arc::clone(&context),
            settings.intervals.entries_ttl,
        ));
        let peer = PeerServer::launch(settings.vm.spec.peer_address, peer_context, path.clone())
            .map_err(DaemonError::Peer)?;
        let limits = CallerLimits {
            body_max_bytes: settings.bounds.body_max_bytes as u64,
            ..CallerLimits::default()
        };
        let caller = CallerServer::launch(
            settings.vm.spec.caller_address,
            path,
            Arc::clone(&clock),
            limits,
        )
        .await?;
        let report = BlackboardReport::new(Arc::clone(&context), audit);
        let operator = OperatorServer::launch(
            settings.vm.spec.operator_address,
            Arc::new(report),
            Arc::clone(&clock),
        )
        .await?;
        let poller = LoadPoller::new(Arc::clone(&context), settings.intervals.load_report);
        let tasks = vec![
            tokio::spawn(control_loop.run(settings.intervals.tick)),
            tokio::spawn(dispatcher.run()),
            tokio::spawn(poller.run()),
            tokio::spawn(catch_up(Arc::clone(&context))),
            tokio::spawn(read_vm_list(Arc::clone(&context), parts.platform)),
        ];
        Ok(Self {
            context,
            drain_notice: settings.intervals.drain_notice,
            caller,
            operator,
            peer,
            tasks,
        })
    }

    /// Returns the address for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.caller.address()
    }

    /// Returns the address for operators.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator.address()
    }

    /// Returns the address for other VMs.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer.address()
    }

    /// Returns the shared state of the request path.
    pub fn context(&self) -> Arc<RequestContext> {
        Arc::clone(&self.context)
    }

    /// Returns the number of running requests.
    pub fn running_count(&self) -> u32 {
        running_count(&self.context)
    }

    /// Removes the VM from the entry lists, refuses new requests, finishes running ones and stops.
    pub async fn drain(self) {
        let running_count = running_count(&self.context) as usize;
        self.context
            .control
            .audit(AuditEvent::DrainStarted { running_count });
        self.context.control.event(CoreEvent::DrainStarted).await;
        sleep(self.drain_notice).await;
        self.context.blackboard.phase.store(Phase::Draining);
        while running_count_is_positive(&self.context) {
            sleep(DRAIN_POLL).await;
        }
        self.caller.shutdown().await;
        self.operator.shutdown();
        self.peer.shutdown();
        for task in &self.tasks {
            task.abort();
        }
    }

    /// Stops at once without finishing requests, as a crash would.
    pub fn kill(self) {
        self.operator.shutdown();
        self.peer.shutdown();
        for task in &self.tasks {
            task.abort();
        }
    }
}

const STORED_ANSWER_MAX_BYTES: usize = 16 * 1_024;

fn new_core(clock: &dyn Clock, settings: CoreSettings) -> Core {
    let incarnation = Incarnation(clock.wall_time().unix_ms);
    let rng = SmallRng::from_rng(&mut rand::rng());
    Core::new(clock.now(), settings, incarnation, rand::random(), rng)
}

fn running_count(context: &RequestContext) -> u32 {
    context.blackboard.running_count.load(Ordering::Acquire)
}

fn running_count_is_positive(context: &RequestContext) -> bool {
    running_count(context) > 0
}

async fn catch_up(context: Arc<RequestContext>) {
    loop {
        sleep(CATCH_UP_PERIOD).await;
        context.telemetry.catch_up();
        context.explanations.catch_up();
    }
}

async fn read_vm_list(context: Arc<RequestContext>, platform: Arc<dyn PlatformClient>) {
    loop {
        if let Ok(list) = platform.vms().await {
            context.control.event(CoreEvent::VmList(list)).await;
        }
        let jitter = Duration::from_millis(u64::from(rand::random::<u16>()) % 4_096);
        sleep(VM_LIST_PERIOD + jitter).await;
    }
}
