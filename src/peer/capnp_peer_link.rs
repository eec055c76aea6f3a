//! The [`PeerLink`] over TCP.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::answer_receiver::answer_channel;
use super::answer_receiver::unreachable_peer;
use super::link_dispatcher::LinkCommand;
use super::link_dispatcher::LinkDispatcher;
use super::peer_thread::spawn_local_thread;
use super::peer_worker::ForwardJob;
use super::ForwardRequest;
use super::PeerContext;
use super::PeerFault;
use super::PeerLink;
use super::PeerMessage;
use crate::catalog::VmKey;
use crate::errors::GatewayError;
use crate::request::AnswerStream;

const QUEUE_COMMANDS: usize = 4096;

/// The [`PeerLink`] over TCP, with forwarded calls over capnp-rpc.
///
/// Connections run on a dedicated thread, which ends when the link is dropped.
#[derive(Debug)]
pub struct CapnpPeerLink {
    context: Arc<PeerContext>,
    commands: mpsc::Sender<LinkCommand>,
}

impl CapnpPeerLink {
    /// Starts the link's thread.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the thread cannot be started.
    pub fn launch(context: Arc<PeerContext>) -> io::Result<Self> {
        let (commands, receiver) = mpsc::channel(QUEUE_COMMANDS);
        let dispatcher = LinkDispatcher::new(context.clone());
        spawn_local_thread("peer-link", move || dispatcher.run(receiver))?;
        Ok(Self { context, commands })
    }

    /// Queues a control message for the VM at `address`, whatever its name; used for seeds at boot.
    ///
    /// The other VM sends its control messages to this VM over the same connection.
    pub fn send_to_address(&self, address: SocketAddr, message: PeerMessage) {
        self.queue(LinkCommand::SendToAddress { address, message });
    }

    fn queue(&self, command: LinkCommand) {
        if self.commands.try_send(command).is_err() {
            self.context.counters.add_fault(PeerFault::Dropped);
        }
    }
}

#[async_trait]
impl PeerLink for CapnpPeerLink {
    fn send(&self, to: VmKey, message: PeerMessage) {
        self.queue(LinkCommand::Send { to, message });
    }

    async fn forward(
        &self,
        to: VmKey,
        request: ForwardRequest,
    ) -> Result<AnswerStream, GatewayError> {
        let request_id = request.call.id;
        let silence_timeout = self.context.timings.forward_silence_timeout;
        let (pending, mut receiver) = answer_channel(request_id, silence_timeout);
        let job = Box::new(ForwardJob {
            request,
            pending,
            queued_at: Instant::now(),
        });
        self.commands
            .try_send(LinkCommand::Forward { to, job })
            .map_err(|_| unreachable_peer(request_id, "the send queue to other VMs is full"))?;
        receiver.accepted().await?;
        Ok(receiver.into_stream())
    }
}
