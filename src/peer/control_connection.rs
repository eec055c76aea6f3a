//! One authenticated connection for control messages.

use std::cell::Cell;
use std::collections::VecDeque;
use std::future::pending;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use capnp::message::Builder;
use capnp::message::HeapAllocator;
use capnp_futures::serialize_packed::try_read_message;
use capnp_futures::serialize_packed::write_message;
use futures::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::control_receiver::ControlReceiver;
use super::counted_socket::reader_options;
use super::counted_socket::BoxReader;
use super::counted_socket::BoxWriter;
use super::counted_socket::CountedSocket;
use super::generated::peer_capnp::control_frame;
use super::wire::write_control;
use super::ConnectionPurpose;
use super::MessageKind;
use super::PeerContext;
use super::PeerFault;
use super::PeerMessage;
use super::WireError;

const QUEUE_MESSAGES: usize = 256;
const FRAME_MAX_MESSAGES: usize = 32;
const WORD_BYTES: u64 = 8;

/// One authenticated connection for control messages in both directions, in packed Cap'n Proto.
///
/// capnp-rpc would add a call, a return and a finish to each message, which together are larger
/// than the message. Here the receiver acknowledges the number of frames it has received, and the
/// sender closes the connection if an acknowledgement does not arrive in time.
#[derive(Clone, Debug)]
pub(super) struct ControlConnection {
    /// The queue of messages to send.
    pub(super) outgoing: mpsc::Sender<PeerMessage>,
    /// Is cancelled when either side closes the connection; cancelling it closes the connection.
    pub(super) closed: CancellationToken,
}

/// The task of one connection.
struct ControlTask {
    context: Arc<PeerContext>,
    receiver: Option<ControlReceiver>,
    silence_timeout: Option<Duration>,
    received_frames: Cell<u64>,
    acknowledged_frames: Cell<u64>,
    progress: Notify,
}

impl ControlConnection {
    /// Starts the connection on a stream after its handshake.
    ///
    /// Without a `receiver`, received messages are dropped. The connection is closed when no frame
    /// arrives for `silence_timeout`; `None` disables this.
    pub(super) fn start(
        stream: TcpStream,
        purpose: ConnectionPurpose,
        context: Arc<PeerContext>,
        receiver: Option<ControlReceiver>,
        silence_timeout: Option<Duration>,
    ) -> io::Result<Self> {
        let socket = CountedSocket::new(stream, purpose, &context.counters)?;
        let (outgoing, messages) = mpsc::channel(QUEUE_MESSAGES);
        let closed = CancellationToken::new();
        let task = ControlTask {
            context,
            receiver,
            silence_timeout,
            received_frames: Cell::new(0),
            acknowledged_frames: Cell::new(0),
            progress: Notify::new(),
        };
        spawn_local(task.run(socket, messages, closed.clone()));
        Ok(Self { outgoing, closed })
    }

    /// Queues a message; returns `false` if it was dropped because the queue is full or closed.
    pub(super) fn send(&self, message: PeerMessage) -> bool {
        self.outgoing.try_send(message).is_ok()
    }

    /// Returns whether the connection is closed.
    pub(super) fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }
}

impl ControlTask {
    async fn run(
        self,
        socket: CountedSocket,
        messages: mpsc::Receiver<PeerMessage>,
        closed: CancellationToken,
    ) {
        let _guard = closed.clone().drop_guard();
        let CountedSocket {
            reader,
            writer,
            closer,
            ..
        } = socket;
        let fault = tokio::select! {
            fault = self.read_all(reader) => fault,
            fault = self.write_all(writer, messages) => fault,
            () = closed.cancelled() => None,
        };
        closed.cancel();
        closer.close();
        if let Some(fault) = fault {
            self.context.counters.add_fault(fault);
        }
    }

    /// Reads frames until the connection ends; returns the fault that ended it, if any.
    async fn read_all(&self, mut reader: BoxReader) -> Option<PeerFault> {
        loop {
            let frame = try_read_message(&mut reader, reader_options());
            let frame = match self.silence_timeout {
                Some(limit) => timeout(limit, frame).await,
                None => Ok(frame.await),
            };
            let frame = match frame {
                Ok(Ok(Some(frame))) => frame,
                Ok(Ok(None)) => return None,
                Ok(Err(error)) => return read_fault(&error),
                Err(_) => return Some(PeerFault::Silent),
            };
            if let Err(error) = self.process_frame(&frame) {
                log::warn!("closing a control connection after a rejected frame: {error}");
                let is_unknown = matches!(error, WireError::UnknownName { .. });
                return (!is_unknown).then_some(PeerFault::Malformed);
            }
        }
    }

    fn process_frame(
        &self,
        frame: &capnp::message::Reader<capnp::serialize::OwnedSegments>,
    ) -> Result<(), WireError> {
        let frame = frame.get_root::<control_frame::Reader<'_>>()?;
        match frame.which()? {
            control_frame::Messages(messages) => {
                if let Some(receiver) = &self.receiver {
                    receiver.on_messages(messages?)?;
                }
                self.received_frames.set(self.received_frames.get() + 1);
            }
            control_frame::Acknowledged(frames) => self.acknowledged_frames.set(frames),
        }
        self.progress.notify_one();
        Ok(())
    }

    /// Writes frames until the connection ends; returns the fault that ended it, if any.
    async fn write_all(
        &self,
        mut writer: BoxWriter,
        mut messages: mpsc::Receiver<PeerMessage>,
    ) -> Option<PeerFault> {
        let limit = self.context.timings.ping_timeout;
        let mut batch = Vec::with_capacity(FRAME_MAX_MESSAGES);
        let mut unacknowledged = VecDeque::new();
        let mut sent_frames: u64 = 0;
        let mut reported_frames: u64 = 0;
        loop {
            let open_frames = sent_frames.saturating_sub(self.acknowledged_frames.get());
            while u64::try_from(unacknowledged.len()).is_ok_and(|len| len > open_frames) {
                unacknowledged.pop_front();
            }
            let oldest = unacknowledged.front().copied();
            let frame = tokio::select! {
                received = messages.recv_many(&mut batch, FRAME_MAX_MESSAGES) => {
                    if received == 0 {
                        return None;
                    }
                    sent_frames += 1;
                    unacknowledged.push_back(Instant::now());
                    self.messages_frame(batch.drain(..))
                }
                () = self.progress.notified() => {
                    if reported_frames == self.received_frames.get() {
                        continue;
                    }
                    reported_frames = self.received_frames.get();
                    acknowledgement(reported_frames)
                }
                () = acknowledgement_overdue(oldest, limit) => return Some(PeerFault::Silent),
            };
            match timeout(limit, write_frame(&mut writer, frame)).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) => return Some(PeerFault::Silent),
            }
        }
    }

    fn messages_frame(
        &self,
        messages: impl ExactSizeIterator<Item = PeerMessage>,
    ) -> Builder<HeapAllocator> {
        let counters = &self.context.counters;
        let catalog = self.context.catalog.load();
        let mut frame = Builder::new_default();
        let len = u32::try_from(messages.len()).unwrap_or(u32::MAX);
        let mut list = frame
            .init_root::<control_frame::Builder<'_>>()
            .init_messages(len);
        for (index, message) in (0..len).zip(messages) {
            let mut builder = list.reborrow().get(index);
            write_control(&message, &catalog, builder.reborrow());
            let words = builder.into_reader().total_size();
            let bytes = words.map_or(0, |size| size.word_count * WORD_BYTES);
            counters.add_sent(MessageKind::of_message(&message), bytes);
        }
        frame
    }
}

fn acknowledgement(frames: u64) -> Builder<HeapAllocator> {
    let mut frame = Builder::new_default();
    frame
        .init_root::<control_frame::Builder<'_>>()
        .set_acknowledged(frames);
    frame
}

async fn write_frame(
    writer: &mut BoxWriter,
    frame: Builder<HeapAllocator>,
) -> Result<(), capnp::Error> {
    write_message(&mut *writer, frame).await?;
    writer.flush().await?;
    Ok(())
}

/// Waits until the acknowledgement of the oldest open frame is overdue; forever without one.
async fn acknowledgement_overdue(oldest: Option<Instant>, limit: Duration) {
    match oldest {
        Some(sent_at) => sleep_until(sent_at + limit).await,
        None => pending().await,
    }
}

fn read_fault(error: &capnp::Error) -> Option<PeerFault> {
    log::debug!("control connection ended: {error}");
    (error.kind != capnp::ErrorKind::Disconnected).then_some(PeerFault::Malformed)
}
