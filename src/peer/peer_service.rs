//! Serves the calls that a peer forwards on one connection.

use std::rc::Rc;
use std::sync::Arc;

use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use super::answer_sender::AnswerSender;
use super::generated::peer_capnp::peer;
use super::wire::read_forward;
use super::ForwardRequest;
use super::MessageKind;
use super::PeerContext;
use super::PeerFault;
use super::PeerHandler;
use super::WireError;
use crate::catalog::Name;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;

const WORD_BYTES: u64 = 8;

/// Serves the calls that a peer forwards on one connection.
pub(super) struct PeerService {
    pub(super) context: Arc<PeerContext>,
    pub(super) handler: Arc<dyn PeerHandler>,
    /// The runtime that forwarded calls run on.
    pub(super) runtime: Handle,
    /// The authenticated name of the peer.
    pub(super) from: Name,
    /// Cancelling it closes the connection.
    pub(super) closed: CancellationToken,
}

impl PeerService {
    /// Counts an invalid message, and closes the connection if it was malformed.
    fn reject(&self, error: &WireError) -> capnp::Error {
        let fault = match error {
            WireError::UnknownName { .. } => PeerFault::UnknownName,
            WireError::Malformed { .. } | WireError::OutOfRange { .. } => PeerFault::Malformed,
        };
        self.context.counters.add_fault(fault);
        if fault == PeerFault::Malformed {
            log::warn!(
                "closing the connection of peer {} after an invalid call: {error}",
                self.from
            );
            self.closed.cancel();
        }
        capnp::Error::failed(error.to_string())
    }

    fn check_roster(&self) -> Result<(), capnp::Error> {
        if self.context.is_known(&self.from) {
            return Ok(());
        }
        self.context.counters.add_fault(PeerFault::UnknownName);
        self.closed.cancel();
        Err(capnp::Error::failed(
            "the VM is no longer in the roster".to_owned(),
        ))
    }

    fn read_request(&self, params: &peer::ForwardParams) -> Result<ForwardRequest, WireError> {
        let reader = params.get()?.get_request()?;
        let bytes = reader.total_size()?.word_count * WORD_BYTES;
        let counters = &self.context.counters;
        counters.add_received(MessageKind::Forward, bytes);
        read_forward(reader, &self.context.catalog.load())
    }

    /// Starts the call; a call that names an unknown object is refused in its answer.
    fn start(&self, params: &peer::ForwardParams) -> Result<AnswerSender, capnp::Error> {
        let request_id =
            super::wire::read_request_id(params.get()?.get_request()?.get_request_id()?);
        let sender = AnswerSender::new(
            request_id,
            params.get()?.get_sink()?,
            self.context.timings.forward_alive_interval,
            self.context.counters.clone(),
        );
        let Some(from) = self.context.vm_named(&self.from) else {
            return Ok(sender.with_refusal(unknown_object("VM", self.from.as_str())));
        };
        match self.read_request(params) {
            Ok(request) => {
                let handler = self.handler.clone();
                Ok(sender.with_call(&self.runtime, handler, from, request))
            }
            Err(WireError::UnknownName { object, name }) => {
                self.context.counters.add_fault(PeerFault::UnknownName);
                Ok(sender.with_refusal(unknown_object(object, &name)))
            }
            Err(error) => Err(self.reject(&error)),
        }
    }
}

impl peer::Server for PeerService {
    async fn forward(
        self: Rc<Self>,
        params: peer::ForwardParams,
        _results: peer::ForwardResults,
    ) -> Result<(), capnp::Error> {
        self.check_roster()?;
        let sender = self.start(&params)?;
        drop(params);
        tokio::select! {
            result = sender.run() => result,
            () = self.closed.cancelled() => {
                Err(capnp::Error::disconnected("the connection is closed".to_owned()))
            }
        }
    }

    async fn ping(
        self: Rc<Self>,
        _params: peer::PingParams,
        _results: peer::PingResults,
    ) -> Result<(), capnp::Error> {
        self.context.counters.add_received(MessageKind::Ping, 0);
        Ok(())
    }
}

fn unknown_object(object: &str, name: &str) -> GatewayError {
    let message =
        format!("the {object} {name:?} is not yet in the configuration of the serving VM");
    GatewayError::new(ErrorKind::NotReady, message)
}
