//! Pings over connections for forwarded calls.

use std::sync::Arc;

use tokio::time::timeout;

use super::connection::Connection;
use super::MessageKind;
use super::PeerContext;
use super::PeerFault;

/// Pings until the connection is closed, and closes it if a ping is not answered in time.
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
