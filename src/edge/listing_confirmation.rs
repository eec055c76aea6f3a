//! Waits until the listing of endpoints is confirmed.

use std::time::Duration;

use tokio::time::timeout;

use crate::clock::Monotonic;
use crate::entry::EntryState;

/// The longest wait for a confirmation: two reads of the store from another region.
const WAIT_MAX: Duration = Duration::from_millis(400);

/// Waits until the listing is confirmed by a read that was sent at this time or later, and asks for one;
/// returns whether it was.
pub(super) async fn wait_for_listing(state: &EntryState, since: Monotonic) -> bool {
    let wait = async {
        loop {
            let confirmed = state.listing_confirmed.notified();
            if state.belief.borrow().listing_confirmed_at() >= Some(since) {
                return;
            }
            state.read_plan.borrow_mut().request();
            state.read_now.notify_one();
            confirmed.await;
        }
    };
    timeout(WAIT_MAX, wait).await.is_ok()
}
