//! Endpoints that announce in their answers that they stop, or want no requests for a time.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use http::HeaderValue;
use rand::rngs::StdRng;
use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::world::World;

/// The pause between the starts of two notices.
const GAP_MS: std::ops::Range<u64> = 100..700;

/// How long an endpoint announces that it stops before another instance replaces it: longer than
/// `drainMs`, after which it must get no requests.
const LEAVING_MS: std::ops::Range<u64> = 4_500..7_500;

/// How long an endpoint refuses all requests.
const REFUSING_MS: std::ops::Range<u64> = 500..4_000;

/// The time in its refusals, in tenths of a second.
const RETRY_AFTER_DS: std::ops::Range<u64> = 7..40;

/// What an endpoint asks in its answers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) enum Notice {
    #[default]
    None,
    /// It is about to stop.
    Leaving,
    /// It refuses all requests and wants none for this time.
    Refusing { retry_after: HeaderValue },
}

impl Notice {
    pub(super) fn added_to(&self, mut faults: EndpointFaults) -> EndpointFaults {
        match self {
            Self::None => {}
            Self::Leaving => faults.is_leaving = true,
            Self::Refusing { retry_after } => {
                faults.is_full = true;
                faults.retry_after = Some(retry_after.clone());
            }
        }
        faults
    }
}

/// Starts notices for `time`; all have ended by then. An endpoint leaves once at most: a daemon that
/// does not know its second instance yet could not tell which of the two announces a stop.
pub(super) async fn inject(world: Arc<World>, mut rng: StdRng, time: Duration) {
    let started = Instant::now();
    let mut running = JoinSet::new();
    let mut has_notice = vec![false; world.endpoints.len()];
    let mut has_left = has_notice.clone();
    while started.elapsed() < time {
        while let Some(ended) = running.try_join_next() {
            has_notice[ended.expect("a notice ends")] = false;
        }
        let endpoint = rng.random_range(0..world.endpoints.len());
        let (notice, length) = draw(&mut rng);
        let gap = Duration::from_millis(rng.random_range(GAP_MS));
        let is_leaving = notice == Notice::Leaving;
        let is_again = has_notice[endpoint] || (is_leaving && has_left[endpoint]);
        if !is_again && started.elapsed() + length < time {
            has_notice[endpoint] = true;
            has_left[endpoint] |= is_leaving;
            let at_ms = started.elapsed().as_millis();
            world.record_action(format!(
                "{at_ms} ms: endpoint {endpoint} {notice:?} {length:?}"
            ));
            running.spawn(give(Arc::clone(&world), endpoint, notice, length));
        }
        sleep(gap).await;
    }
    while let Some(ended) = running.join_next().await {
        ended.expect("a notice ends");
    }
}

/// Draws a notice and how long it is given.
fn draw(rng: &mut StdRng) -> (Notice, Duration) {
    let (notice, length_ms) = match rng.random() {
        true => (Notice::Leaving, rng.random_range(LEAVING_MS)),
        false => {
            let retry_after_s = rng.random_range(RETRY_AFTER_DS) as f64 / 10.0;
            let value = HeaderValue::try_from(retry_after_s.to_string());
            let retry_after = value.expect("a number is a header value");
            let length_ms = rng.random_range(REFUSING_MS);
            (Notice::Refusing { retry_after }, length_ms)
        }
    };
    (notice, Duration::from_millis(length_ms))
}

/// Gives a notice for `length` and returns the index of the endpoint.
async fn give(world: Arc<World>, endpoint: usize, notice: Notice, length: Duration) -> usize {
    let slot = &world.endpoints[endpoint];
    let is_leaving = notice == Notice::Leaving;
    slot.set_notice(notice);
    sleep(length).await;
    if is_leaving {
        slot.server.replace();
    }
    slot.set_notice(Notice::None);
    if is_leaving {
        world.register(slot, "ready");
    }
    endpoint
}
