//! The loop that owns the core, feeds it events and executes its actions.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::interval;
use tokio::time::MissedTickBehavior;

use super::control_handle::ControlCommand;
use super::BeginReply;
use super::Blackboard;
use super::ControlHandle;
use super::Core;
use super::CoreAction;
use super::CoreEvent;
use super::Phase;
use super::TokenOutcome;
use crate::audit::AuditEvent;
use crate::audit::AuditTrail;
use crate::catalog::ClientAccountKey;
use crate::clock::Clock;
use crate::configuration::ServiceRead;
use crate::peer::PeerLink;
use crate::publication::PlatformClient;
use crate::request::RequestId;

const COMMANDS_MAX: usize = 4_096;
const PERMILLE: u64 = 1_000;

/// What the control loop needs to execute the actions of the core.
#[derive(Clone)]
pub struct ControlContext {
    /// The time source.
    pub clock: Arc<dyn Clock>,
    /// Where snapshots are published.
    pub blackboard: Arc<Blackboard>,
    /// The connections to other VMs.
    pub peers: Arc<dyn PeerLink>,
    /// The client of the configuration service.
    pub platform: Arc<dyn PlatformClient>,
    /// The audit trail.
    pub audit: Arc<Mutex<AuditTrail>>,
    /// The most requests that the VM runs at a time, the base of its load figure.
    pub running_max_requests: usize,
}

/// Owns the core, feeds it events and executes its actions.
pub struct ControlLoop {
    core: Core,
    context: ControlContext,
    handle: ControlHandle,
    commands: mpsc::Receiver<ControlCommand>,
    token_waiters: HashMap<ClientAccountKey, Vec<oneshot::Sender<TokenOutcome>>>,
    call_waiters: HashMap<RequestId, oneshot::Sender<BeginReply>>,
}

impl ControlLoop {
    /// Creates a control loop and its handle.
    pub fn new(core: Core, context: ControlContext) -> (Self, ControlHandle) {
        let (sender, commands) = mpsc::channel(COMMANDS_MAX);
        let handle = ControlHandle { commands: sender };
        let control = Self {
            core,
            context,
            handle: handle.clone(),
            commands,
            token_waiters: HashMap::new(),
            call_waiters: HashMap::new(),
        };
        (control, handle)
    }

    /// Runs until the task is aborted.
    pub async fn run(mut self, tick: Duration) {
        let mut ticks = interval(tick);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
            }
        }
    }

    fn tick(&mut self) {
        let running = self
            .context
            .blackboard
            .running_count
            .load(std::sync::atomic::Ordering::Relaxed);
        let max = self.context.running_max_requests.max(1) as u64;
        let load_permille = u64::from(running) * PERMILLE / max;
        let load_permille = u32::try_from(load_permille).unwrap_or(u32::MAX);
        self.handle_event(CoreEvent::Tick { load_permille });
        self.token_waiters.retain(|_, waiters| {
            waiters.retain(|waiter| !waiter.is_closed());
            !waiters.is_empty()
        });
        self.call_waiters.retain(|_, waiter| !waiter.is_closed());
    }

    fn handle_command(&mut self, command: ControlCommand) {
        match command {
            ControlCommand::Event(event) => self.handle_event(event),
            ControlCommand::Audit(event) => self.audit(event),
            ControlCommand::RequestTokens {
                account,
                tokens,
                reply,
            } => {
                self.token_waiters.entry(account).or_default().push(reply);
                self.handle_event(CoreEvent::TokensRequested { account, tokens });
            }
            ControlCommand::BeginCall { call, reply } => {
                self.call_waiters.insert(call.id, reply);
                self.handle_event(CoreEvent::BeginCall(call));
            }
        }
    }

    fn handle_event(&mut self, event: CoreEvent) {
        let now = self.context.clock.now();
        let mut actions = Vec::new();
        self.core.handle(now, event, &mut actions);
        for action in actions {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: CoreAction) {
        let blackboard = &self.context.blackboard;
        match action {
            CoreAction::Send { to, message } => self.context.peers.send(to, message),
            CoreAction::ReadService(read) => self.read_service(read),
            CoreAction::PublishCatalog(catalog) => blackboard.publish_catalog(catalog),
            CoreAction::PublishView(view) => blackboard.membership.store(view),
            CoreAction::PublishPools(pools) => blackboard.token_pools.store(Arc::new(pools)),
            CoreAction::TokensArrived(account) => self.notify(account, TokenOutcome::Arrived),
            CoreAction::TokensDenied { account, reason } => {
                self.notify(account, TokenOutcome::Denied(reason));
            }
            CoreAction::Proceed(id) => self.reply(id, BeginReply::Proceed),
            CoreAction::AnswerCall { id, answer } => self.reply(id, BeginReply::Answer(answer)),
            CoreAction::Ready => self.start_serving(),
            CoreAction::Audit(event) => self.audit(event),
        }
    }

    fn read_service(&self, read: ServiceRead) {
        let platform = Arc::clone(&self.context.platform);
        let handle = self.handle.clone();
        tokio::spawn(async move {
            let outcome = platform.tickets(read.after, read.wait).await;
            let kind = read.kind;
            handle.event(CoreEvent::ServiceRead { kind, outcome }).await;
        });
    }

    fn notify(&mut self, account: ClientAccountKey, outcome: TokenOutcome) {
        for waiter in self.token_waiters.remove(&account).unwrap_or_default() {
            // The receiver of a cancelled request is closed.
            let _ = waiter.send(outcome);
        }
    }

    fn reply(&mut self, id: RequestId, reply: BeginReply) {
        let is_proceed = reply == BeginReply::Proceed;
        let is_delivered = match self.call_waiters.remove(&id) {
            Some(waiter) => waiter.send(reply).is_ok(),
            None => false,
        };
        if is_proceed && !is_delivered {
            // The submitter is gone, so nothing will send the call.
            let outcome = crate::idempotency::CallOutcome::NotRun;
            self.handle_event(CoreEvent::FinishCall { id, outcome });
        }
    }

    fn start_serving(&self) {
        let phase = &self.context.blackboard.phase;
        if phase.load() == Phase::Booting {
            phase.store(Phase::Serving);
        }
    }

    fn audit(&self, event: AuditEvent) {
        log::info!("{event}");
        let time = self.context.clock.wall_time();
        self.context.audit.lock().push(time, event);
    }
}
