//! Dispatches messages and forwarded calls to the worker of their peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::spawn_local;

use super::answer_receiver::unreachable_peer;
use super::peer_worker::ForwardJob;
use super::peer_worker::PeerTarget;
use super::peer_worker::PeerWorker;
use super::peer_worker::WorkItem;
use super::ConnectionPurpose;
use super::PeerContext;
use super::PeerFault;
use super::PeerMessage;
use crate::catalog::Name;
use crate::catalog::VmKey;

const QUEUE_ITEMS: usize = 256;

/// A message or call to send.
#[derive(Debug)]
pub(super) enum LinkCommand {
    Send {
        to: VmKey,
        message: PeerMessage,
    },
    SendToAddress {
        address: SocketAddr,
        message: PeerMessage,
    },
    Forward {
        to: VmKey,
        job: Box<ForwardJob>,
    },
}

/// Identifies a worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct WorkerKey {
    target: PeerTarget,
    purpose: ConnectionPurpose,
}

/// Dispatches messages and forwarded calls to the worker of their peer, without waiting.
pub(super) struct LinkDispatcher {
    context: Arc<PeerContext>,
    workers: HashMap<WorkerKey, mpsc::Sender<WorkItem>>,
}

impl LinkDispatcher {
    pub(super) fn new(context: Arc<PeerContext>) -> Self {
        Self {
            context,
            workers: HashMap::new(),
        }
    }

    /// Runs until the link is dropped.
    pub(super) async fn run(mut self, mut commands: mpsc::Receiver<LinkCommand>) {
        while let Some(command) = commands.recv().await {
            match command {
                LinkCommand::Send { to, message } => self.send(to, message),
                LinkCommand::SendToAddress { address, message } => {
                    let key = WorkerKey {
                        target: PeerTarget::Address(address),
                        purpose: ConnectionPurpose::Boot,
                    };
                    self.dispatch(key, WorkItem::Control(message));
                }
                LinkCommand::Forward { to, job } => self.forward(to, job),
            }
        }
    }

    fn send(&mut self, to: VmKey, message: PeerMessage) {
        let Some(name) = self.name_of(to) else {
            self.context.counters.add_fault(PeerFault::Dropped);
            return;
        };
        if let Some(path) = self.context.reply_path(&name) {
            if path.try_send(message).is_err() {
                self.context.counters.add_fault(PeerFault::Dropped);
            }
            return;
        }
        let key = WorkerKey {
            target: PeerTarget::Vm(name),
            purpose: ConnectionPurpose::Control,
        };
        self.dispatch(key, WorkItem::Control(message));
    }

    fn forward(&mut self, to: VmKey, job: Box<ForwardJob>) {
        let Some(name) = self.name_of(to) else {
            let request_id = job.request.call.id;
            job.refuse(unreachable_peer(
                request_id,
                "the VM is no longer in the roster",
            ));
            return;
        };
        let key = WorkerKey {
            target: PeerTarget::Vm(name),
            purpose: ConnectionPurpose::Forward,
        };
        self.dispatch(key, WorkItem::Forward(job));
    }

    fn name_of(&self, vm: VmKey) -> Option<Name> {
        let catalog = self.context.catalog.load();
        catalog.vms.get(vm).map(|vm| vm.name.clone())
    }

    fn dispatch(&mut self, key: WorkerKey, item: WorkItem) {
        let rejected = match self.workers.get(&key) {
            None => Some(TrySendError::Closed(item)),
            Some(worker) => worker.try_send(item).err(),
        };
        match rejected {
            None => {}
            Some(TrySendError::Full(item)) => item.refuse(&self.context, "the send queue is full"),
            Some(TrySendError::Closed(item)) => self.start(key, item),
        }
    }

    /// Starts a worker for `key`; there was none, or it has stopped after its idle timeout.
    fn start(&mut self, key: WorkerKey, item: WorkItem) {
        self.workers.retain(|_, worker| !worker.is_closed());
        let (sender, receiver) = mpsc::channel(QUEUE_ITEMS);
        // Cannot fail: the queue is empty.
        let _ = sender.try_send(item);
        let worker = PeerWorker::new(self.context.clone(), key.target.clone(), key.purpose);
        self.workers.insert(key, sender);
        spawn_local(worker.run(receiver));
    }
}
