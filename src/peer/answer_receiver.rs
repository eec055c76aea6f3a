//! Receives the answer of a forwarded call.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::stream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::delivery::Delivery;
use super::generated::call_capnp::answer_batch;
use super::generated::peer_capnp::answer_sink;
use super::wire::read_item;
use super::wire::read_request_id;
use super::wire::AnswerItem;
use super::MessageKind;
use super::PeerCounters;
use super::PeerFault;
use super::WireError;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::errors::RunState;
use crate::request::AnswerEvent;
use crate::request::AnswerPayload;
use crate::request::AnswerStream;
use crate::request::RequestId;

/// The batches that may be queued for the reader of the answer; the sender's window fills up first.
const QUEUE_BATCHES: usize = 1024;
const WORD_BYTES: u64 = 8;

/// Items received in one message, and the acknowledgement that reopens the sender's window.
#[derive(Debug)]
pub(super) struct ReceivedBatch {
    items: Vec<AnswerItem>,
    acknowledge: oneshot::Sender<()>,
}

/// The half of an answer that the connection's thread holds.
#[derive(Clone, Debug)]
pub(super) struct PendingAnswer {
    /// The request that the answer belongs to.
    pub(super) request_id: RequestId,
    /// Whether the call has been sent.
    pub(super) delivery: Arc<Delivery>,
    /// Is cancelled when no more batches can arrive.
    pub(super) closed: CancellationToken,
    batches: mpsc::Sender<ReceivedBatch>,
}

/// The half of an answer that its reader holds; dropping it cancels the call.
#[derive(Debug)]
pub(super) struct AnswerReceiver {
    request_id: RequestId,
    delivery: Arc<Delivery>,
    closed: CancellationToken,
    batches: mpsc::Receiver<ReceivedBatch>,
    items: std::vec::IntoIter<AnswerItem>,
    silence_timeout: Duration,
    next_offset: u64,
    is_ended: bool,
}

/// Receives the batches of one answer from the connection.
pub(super) struct AnswerSink {
    pub(super) pending: PendingAnswer,
    pub(super) counters: Arc<PeerCounters>,
}

/// Creates the two halves of an answer.
pub(super) fn answer_channel(
    request_id: RequestId,
    silence_timeout: Duration,
) -> (PendingAnswer, AnswerReceiver) {
    let (sender, receiver) = mpsc::channel(QUEUE_BATCHES);
    let pending = PendingAnswer {
        request_id,
        delivery: Arc::default(),
        closed: CancellationToken::new(),
        batches: sender,
    };
    let receiver = AnswerReceiver {
        request_id,
        delivery: pending.delivery.clone(),
        closed: pending.closed.clone(),
        batches: receiver,
        items: Vec::new().into_iter(),
        silence_timeout,
        next_offset: 0,
        is_ended: false,
    };
    (pending, receiver)
}

impl PendingAnswer {
    /// Ends the answer with an error if the call was not sent.
    pub(super) fn refuse(&self, error: GatewayError) {
        let (acknowledge, _) = oneshot::channel();
        let items = vec![AnswerItem::Failure(error)];
        // The queue is empty before the call is sent; if the reader was dropped, nobody needs the
        // error.
        let _ = self.batches.try_send(ReceivedBatch { items, acknowledge });
    }

    /// Waits until the reader of the answer is dropped.
    pub(super) async fn reader_dropped(&self) {
        self.batches.closed().await;
    }
}

impl AnswerReceiver {
    /// Waits until the peer has accepted the call.
    pub(super) async fn accepted(&mut self) -> Result<(), GatewayError> {
        loop {
            match self.next_item().await? {
                AnswerItem::Accepted => return Ok(()),
                AnswerItem::Waiting => {}
                AnswerItem::Failure(error) => return Err(error),
                AnswerItem::Event(_) => return Err(self.peer_error("an event preceded acceptance")),
            }
        }
    }

    /// Turns the rest of the answer into a stream.
    pub(super) fn into_stream(self) -> AnswerStream {
        Box::pin(stream::unfold(self, |mut receiver| async move {
            if receiver.is_ended {
                return None;
            }
            let next = receiver.next_event().await;
            let is_end =
                matches!(&next, Ok(event) if matches!(event.payload, AnswerPayload::End(_)));
            receiver.is_ended = is_end || next.is_err();
            Some((next, receiver))
        }))
    }

    async fn next_event(&mut self) -> Result<AnswerEvent, GatewayError> {
        loop {
            match self.next_item().await? {
                AnswerItem::Accepted | AnswerItem::Waiting => {}
                AnswerItem::Failure(error) => return Err(error),
                AnswerItem::Event(event) => {
                    if self.advance(&event)? {
                        return Ok(event);
                    }
                }
            }
        }
    }

    /// Advances the expected offset by a new chunk; returns whether the event is new.
    fn advance(&mut self, event: &AnswerEvent) -> Result<bool, GatewayError> {
        let is_chunk = match event.payload {
            AnswerPayload::Head { .. } | AnswerPayload::KeepAlive => return Ok(true),
            AnswerPayload::Chunk(_) => true,
            AnswerPayload::End(_) => false,
        };
        if event.offset > self.next_offset {
            return Err(truncated());
        }
        let is_new = event.offset == self.next_offset;
        if is_chunk && is_new {
            self.next_offset += 1;
        }
        if !is_chunk && !is_new {
            return Err(truncated());
        }
        Ok(is_new)
    }

    async fn next_item(&mut self) -> Result<AnswerItem, GatewayError> {
        loop {
            if let Some(item) = self.items.next() {
                return Ok(item);
            }
            let batch = self.next_batch().await?;
            // Fails only if the connection dropped the other end; then no window is left to reopen.
            let _ = batch.acknowledge.send(());
            self.items = batch.items.into_iter();
        }
    }

    async fn next_batch(&mut self) -> Result<ReceivedBatch, GatewayError> {
        let received = tokio::select! {
            biased;
            received = timeout(self.silence_timeout, self.batches.recv()) => received,
            () = self.closed.cancelled() => Ok(self.batches.try_recv().ok()),
        };
        match received {
            Ok(Some(batch)) => Ok(batch),
            Ok(None) => Err(self.peer_error("the connection to the serving VM was lost")),
            Err(_) => Err(self.peer_error("the serving VM sent nothing before the timeout")),
        }
    }

    fn peer_error(&self, message: &str) -> GatewayError {
        unreachable_peer(self.request_id, message).with_run(self.delivery.abandon())
    }
}

impl Drop for AnswerReceiver {
    fn drop(&mut self) {
        self.delivery.abandon();
    }
}

impl AnswerSink {
    fn read_batch(&self, reader: answer_batch::Reader<'_>) -> Result<Vec<AnswerItem>, WireError> {
        let bytes = reader.total_size()?.word_count * WORD_BYTES;
        self.counters.add_received(MessageKind::Answer, bytes);
        let request_id = read_request_id(reader.get_request_id()?);
        if request_id != self.pending.request_id {
            return Err(WireError::OutOfRange { field: "requestId" });
        }
        reader
            .get_events()?
            .iter()
            .map(|item| read_item(request_id, item))
            .collect()
    }
}

impl answer_sink::Server for AnswerSink {
    async fn push(
        self: Rc<Self>,
        params: answer_sink::PushParams,
        _results: answer_sink::PushResults,
    ) -> Result<(), capnp::Error> {
        let items = match self.read_batch(params.get()?.get_batch()?) {
            Ok(items) => items,
            Err(error) => {
                self.counters.add_fault(PeerFault::Malformed);
                self.pending.closed.cancel();
                return Err(capnp::Error::failed(error.to_string()));
            }
        };
        let (acknowledge, acknowledged) = oneshot::channel();
        let batch = ReceivedBatch { items, acknowledge };
        self.pending
            .batches
            .try_send(batch)
            .map_err(|_| capnp::Error::failed("the answer is no longer read".to_owned()))?;
        // Fails if the reader was dropped.
        acknowledged
            .await
            .map_err(|_| capnp::Error::failed("the answer is no longer read".to_owned()))
    }
}

/// Returns the error of a call that could not be sent to its peer.
pub(super) fn unreachable_peer(request_id: RequestId, message: &str) -> GatewayError {
    GatewayError::new(
        ErrorKind::PeerUnreachable,
        format!("{message} (request {request_id})"),
    )
    .with_run(RunState::NotRun)
}

fn truncated() -> GatewayError {
    GatewayError::new(
        ErrorKind::AnswerTruncated,
        "a part of the answer is missing",
    )
}
