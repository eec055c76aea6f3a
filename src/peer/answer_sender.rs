//! Sends the answer of a forwarded call back over the connection on which the call was received.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::timeout;
use tokio_util::task::AbortOnDropHandle;

use super::generated::peer_capnp::answer_sink;
use super::wire::write_item;
use super::wire::write_request_id;
use super::wire::AnswerItem;
use super::ForwardRequest;
use super::MessageKind;
use super::PeerCounters;
use super::PeerHandler;
use crate::catalog::VmKey;
use crate::errors::ErrorKind;
use crate::errors::GatewayError;
use crate::request::RequestId;

/// The items that may be queued between the call and the connection.
const QUEUE_ITEMS: usize = 64;
const BATCH_MAX_BYTES: usize = 32 * 1024;
/// The bytes that may be sent to the receiver and not yet acknowledged by it.
const WINDOW_BYTES: u32 = 256 * 1024;
/// The bytes that an item counts in the window in addition to its content.
const ITEM_WINDOW_BYTES: usize = 256;
const WORD_BYTES: u64 = 8;

/// Sends the answer of one forwarded call back, on the thread of the connection.
///
/// Items that are ready at the same time are sent in one message.
pub(super) struct AnswerSender {
    request_id: RequestId,
    sink: answer_sink::Client,
    alive_interval: Duration,
    counters: Arc<PeerCounters>,
    window: Rc<Semaphore>,
    pushes: JoinSet<Result<(), capnp::Error>>,
    items: mpsc::Receiver<AnswerItem>,
    call_task: Option<AbortOnDropHandle<()>>,
}

impl AnswerSender {
    /// Creates a sender that has no items yet.
    pub(super) fn new(
        request_id: RequestId,
        sink: answer_sink::Client,
        alive_interval: Duration,
        counters: Arc<PeerCounters>,
    ) -> Self {
        let (_, items) = mpsc::channel(1);
        Self {
            request_id,
            sink,
            alive_interval,
            counters,
            window: Rc::new(Semaphore::new(window_permits(WINDOW_BYTES))),
            pushes: JoinSet::new(),
            items,
            call_task: None,
        }
    }

    /// Makes `error` the only item.
    pub(super) fn with_refusal(mut self, error: GatewayError) -> Self {
        let (sender, items) = mpsc::channel(1);
        // Cannot fail: the queue is empty.
        let _ = sender.try_send(AnswerItem::Failure(error));
        self.items = items;
        self
    }

    /// Starts the call on `runtime` and makes its events the items.
    pub(super) fn with_call(
        mut self,
        runtime: &Handle,
        handler: Arc<dyn PeerHandler>,
        from: VmKey,
        request: ForwardRequest,
    ) -> Self {
        let (sender, items) = mpsc::channel(QUEUE_ITEMS);
        let call_task = runtime.spawn(run_call(handler, from, request, sender));
        self.items = items;
        self.call_task = Some(AbortOnDropHandle::new(call_task));
        self
    }

    /// Sends items until the last one is acknowledged; dropping the future cancels the call.
    pub(super) async fn run(mut self) -> Result<(), capnp::Error> {
        loop {
            let batch = self.next_batch().await;
            let is_last = batch.last().is_some_and(AnswerItem::is_last);
            self.push(&batch).await?;
            if is_last {
                return self.flush().await;
            }
        }
    }

    async fn next_batch(&mut self) -> Vec<AnswerItem> {
        let first = match timeout(self.alive_interval, self.items.recv()).await {
            Ok(Some(item)) => item,
            Ok(None) => AnswerItem::Failure(lost_call()),
            Err(_) => AnswerItem::Waiting,
        };
        let mut bytes = first.content_bytes();
        let mut batch = vec![first];
        while bytes < BATCH_MAX_BYTES && !batch.last().is_some_and(AnswerItem::is_last) {
            let Ok(item) = self.items.try_recv() else {
                break;
            };
            bytes += item.content_bytes();
            batch.push(item);
        }
        batch
    }

    async fn push(&mut self, batch: &[AnswerItem]) -> Result<(), capnp::Error> {
        let window = self.window.clone();
        let permit = tokio::select! {
            permit = acquire(window, window_bytes(batch)) => permit,
            Some(Err(error)) = next_failure(&mut self.pushes) => return Err(error),
        };
        let mut request = self.sink.push_request();
        let mut builder = request.get().init_batch();
        write_request_id(self.request_id, builder.reborrow().init_request_id());
        let len = u32::try_from(batch.len()).unwrap_or(u32::MAX);
        let mut items = builder.reborrow().init_events(len);
        for (index, item) in (0..len).zip(batch) {
            write_item(item, items.reborrow().get(index));
        }
        let words = builder.into_reader().total_size()?.word_count;
        self.counters
            .add_sent(MessageKind::Answer, words * WORD_BYTES);
        let response = request.send();
        self.pushes.spawn_local(async move {
            let result = response.promise.await;
            drop(permit);
            result.map(|_| ())
        });
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), capnp::Error> {
        match next_failure(&mut self.pushes).await {
            Some(result) => result,
            None => Ok(()),
        }
    }
}

/// Holds a part of the window until the receiver has acknowledged the batch.
struct WindowPermit {
    window: Rc<Semaphore>,
    permits: u32,
}

impl Drop for WindowPermit {
    fn drop(&mut self) {
        self.window.add_permits(window_permits(self.permits));
    }
}

async fn acquire(window: Rc<Semaphore>, bytes: u32) -> WindowPermit {
    let permit = window.acquire_many(bytes).await;
    permit.expect("the window is never closed").forget();
    WindowPermit {
        window: window.clone(),
        permits: bytes,
    }
}

/// Waits for a push that fails; returns `None` once all pushes have succeeded.
async fn next_failure(
    pushes: &mut JoinSet<Result<(), capnp::Error>>,
) -> Option<Result<(), capnp::Error>> {
    while let Some(joined) = pushes.join_next().await {
        match joined {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return Some(Err(error)),
            Err(error) => return Some(Err(capnp::Error::failed(error.to_string()))),
        }
    }
    None
}

/// Runs a forwarded call and queues its events; it stops when the queue is closed.
async fn run_call(
    handler: Arc<dyn PeerHandler>,
    from: VmKey,
    request: ForwardRequest,
    sender: mpsc::Sender<AnswerItem>,
) {
    let stream_result = tokio::select! {
        stream_result = handler.on_forward(from, request) => stream_result,
        () = sender.closed() => return,
    };
    let mut stream = match stream_result {
        Ok(stream) => stream,
        Err(error) => {
            let _ = sender.send(AnswerItem::Failure(error)).await;
            return;
        }
    };
    if sender.send(AnswerItem::Accepted).await.is_err() {
        return;
    }
    loop {
        let next = tokio::select! {
            next = stream.next() => next,
            () = sender.closed() => return,
        };
        let item = match next {
            Some(Ok(event)) => AnswerItem::Event(event),
            Some(Err(error)) => AnswerItem::Failure(error),
            None => AnswerItem::Failure(GatewayError::new(
                ErrorKind::AnswerTruncated,
                "the answer ended without its end mark",
            )),
        };
        let is_last = item.is_last();
        if sender.send(item).await.is_err() || is_last {
            return;
        }
    }
}

fn lost_call() -> GatewayError {
    GatewayError::new(
        ErrorKind::Internal,
        "the call ended on the serving VM without an answer",
    )
}

fn window_bytes(batch: &[AnswerItem]) -> u32 {
    let bytes: usize = batch
        .iter()
        .map(|item| item.content_bytes() + ITEM_WINDOW_BYTES)
        .sum();
    u32::try_from(bytes).unwrap_or(u32::MAX).min(WINDOW_BYTES)
}

fn window_permits(bytes: u32) -> usize {
    usize::try_from(bytes).unwrap_or(usize::MAX)
}
