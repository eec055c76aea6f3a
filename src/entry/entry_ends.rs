//! What the connections to endpoints tell of the ends of their processes.

use std::rc::Rc;

use super::EntryState;

/// Watches for connections to endpoints that are closed while they are idle; never returns.
pub(super) async fn watch_connections(state: Rc<EntryState>) {
    loop {
        for address in state.connection_pool.next_lost().await {
            let has_others = state.connection_pool.has_older(address, state.now());
            log::info!(address:% = address, has_others; "an idle connection was closed unannounced");
        }
    }
}
