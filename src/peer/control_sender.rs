//! Sends control messages over a connection.

use std::sync::Arc;

use tokio::task::spawn_local;
use tokio::time::timeout;

use super::connection::Connection;
use super::wire::write_control;
use super::MessageKind;
use super::PeerContext;
use super::PeerFault;
use super::PeerMessage;

const WORD_BYTES: u64 = 8;

/// Writes control messages; the connection is closed if no acknowledgement comes in time.
pub(super) fn send_control(
    context: &Arc<PeerContext>,
    connection: &Connection,
    messages: &[PeerMessage],
) {
    let mut request = connection.peer.control_request();
    let len = u32::try_from(messages.len()).unwrap_or(u32::MAX);
    let mut builder = request.get().init_messages(len);
    let catalog = context.catalog.load();
    for (index, message) in (0..len).zip(messages) {
        let mut builder = builder.reborrow().get(index);
        write_control(message, &catalog, builder.reborrow());
        let words = builder.into_reader().total_size();
        let bytes = words.map_or(0, |size| size.word_count * WORD_BYTES);
        let kind = MessageKind::of_message(message);
        context.counters.add_sent(kind, bytes);
    }
    let acknowledged = request.send().promise;
    let limit = context.timings.ping_timeout;
    let context = context.clone();
    let connection = connection.clone();
    spawn_local(async move {
        // A refusal is an answer, too; only silence says something about the connection.
        if timeout(limit, acknowledged).await.is_err() {
            context.counters.add_fault(PeerFault::Silent);
            connection.closed.cancel();
        }
    });
}

/// Pings until the connection is closed, and closes it when a ping is not answered in time.
pub(super) async fn ping_until_closed(context: Arc<PeerContext>, connection: Connection) {
    let timings = context.timings;
    loop {
        tokio::select! {
            () = tokio::time::sleep(timings.ping_interval) => {}
            () = connection.closed.cancelled() => return,
        }
        context.counters.add_sent(MessageKind::Ping, 0);
        let answer = connection.peer.ping_request().send().promise;
        if !matches!(timeout(timings.ping_timeout, answer).await, Ok(Ok(_))) {
            context.counters.add_fault(PeerFault::Silent);
            connection.closed.cancel();
            return;
        }
    }
}
