//! Sends forwarded calls over a connection.

use std::sync::Arc;

use tokio::task::spawn_local;

use super::answer_receiver::unreachable_peer;
use super::answer_receiver::AnswerSink;
use super::connection::Connection;
use super::peer_worker::ForwardJob;
use super::wire::write_forward;
use super::MessageKind;
use super::PeerContext;

const WORD_BYTES: u64 = 8;

/// Sends a call and keeps it open until its answer ends, its reader is dropped or the connection is
/// closed.
pub(super) fn send_forward(context: &Arc<PeerContext>, connection: &Connection, job: ForwardJob) {
    let ForwardJob {
        mut request,
        pending,
        queued_at,
    } = job;
    request.call.remaining = request.call.remaining.saturating_sub(queued_at.elapsed());
    let mut message = connection.peer.forward_request();
    let mut builder = message.get().init_request();
    if let Err(error) = write_forward(&request, &context.catalog.load(), builder.reborrow()) {
        pending.refuse(unreachable_peer(pending.request_id, &error.to_string()));
        return;
    }
    let words = builder.into_reader().total_size();
    let bytes = words.map_or(0, |size| size.word_count * WORD_BYTES);
    if !pending.delivery.claim_send() {
        return;
    }
    context.counters.add_sent(MessageKind::Forward, bytes);
    message.get().set_sink(capnp_rpc::new_client(AnswerSink {
        pending: pending.clone(),
        counters: context.counters.clone(),
    }));
    let call = message.send();
    let guard = connection.uses.add_call();
    let closed = connection.closed.clone();
    spawn_local(async move {
        tokio::select! {
            _ = call.promise => {}
            () = pending.reader_dropped() => {}
            () = closed.cancelled() => {}
        }
        pending.closed.cancel();
        drop(guard);
    });
}
