//! Serves the calls that a peer forwards on one connection.

use std::rc::Rc;
use std::sync::Arc;

use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;

use super::answer_pump::AnswerPump;
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
    /// The peer's name, as it has proved it.
    pub(super) from: Name,
    /// Closes the connection when it is cancelled.
    pub(super) closed: CancellationToken,
}

impl PeerService {
    /// Counts a message that could not be read, and closes the connection if it was malformed.
    fn reject(&self, error: &WireError) -> capnp::Error {
        let fault = match error {
            WireError::UnknownName { .. } => PeerFault::UnknownName,
            WireError::Malformed { .. } | WireError::OutOfRange { .. } => PeerFault::Malformed,
        };
        self.context.counters.add_fault(fault);
        if fault == PeerFault::Malformed {
            log::warn!("closing the connection of peer {}: {error}", self.from);
            self.closed.cancel();
        }
        capnp::Error::failed(error.to_string())
    }

    fn check_admitted(&self) -> Result<(), capnp::Error> {
        if self.context.is_known(&self.from) {
            return Ok(());
        }
        self.context.counters.add_fault(PeerFault::UnknownName);
        self.closed.cancel();
        Err(capnp::Error::failed(
            "the VM has left the roster".to_owned(),
        ))
    }

    fn take_forward(&self, params: &peer::ForwardParams) -> Result<ForwardRequest, WireError> {
        let reader = params.get()?.get_request()?;
        let bytes = reader.total_size()?.word_count * WORD_BYTES;
        let counters = &self.context.counters;
        counters.add_received(MessageKind::Forward, bytes);
        read_forward(reader, &self.context.catalog.load())
    }

    /// Starts the call; what cannot be started becomes the refusal that is answered.
    fn start(&self, params: &peer::ForwardParams) -> Result<AnswerPump, capnp::Error> {
        let request_id =
            super::wire::read_request_id(params.get()?.get_request()?.get_request_id()?);
        let pump = AnswerPump::new(
            request_id,
            params.get()?.get_sink()?,
            self.context.timings.forward_alive_interval,
            self.context.counters.clone(),
        );
        let Some(from) = self.context.vm_named(&self.from) else {
            return Ok(pump.refused(unknown_here("VM", self.from.as_str())));
        };
        match self.take_forward(params) {
            Ok(request) => {
                let handler = self.handler.clone();
                Ok(pump.started(&self.runtime, handler, from, request))
            }
            Err(WireError::UnknownName { object, name }) => {
                self.context.counters.add_fault(PeerFault::UnknownName);
                Ok(pump.refused(unknown_here(object, &name)))
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
        self.check_admitted()?;
        let pump = self.start(&params)?;
        drop(params);
        tokio::select! {
            result = pump.run() => result,
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

fn unknown_here(object: &str, name: &str) -> GatewayError {
    let message = format!("the {object} {name:?} is not yet known at the serving VM");
    GatewayError::new(ErrorKind::NotReady, message)
}
