//! Engines that crash and start again at their address under the same identifier, alone and several at once.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::endpoint_slot::Listing;
use super::history::ColdTime;
use super::history::RequestKind;
use super::history::Span;
use super::world::World;

/// The time for which engines are cold after their start, as the configuration has it.
const COLD_START: Duration = Duration::from_secs(3);

/// The pause between the starts of two series.
const GAP_MS: std::ops::Range<u64> = 100..1_200;

/// The length of most outages, and of the others.
const SHORT_OUTAGE_MS: std::ops::Range<u64> = 20..400;
const LONG_OUTAGE_MS: std::ops::Range<u64> = 400..4_000;

/// The time from a return to the record that says so.
const LAG_MS: std::ops::Range<u64> = 200..2_500;

/// The time from a return to the next crash of a series.
const UP_MS: std::ops::Range<u64> = 200..4_000;

/// The time after a crash until the record of the process lapses: the rest of three heartbeats.
const LAPSE_MS: std::ops::Range<u64> = 2_400..3_600;

const CRASHES_MAX: u64 = 3;

/// A crash of a series.
#[derive(Clone, Copy, Debug)]
struct Crash {
    outage: Duration,
    /// The time from the return to the record.
    lag: Duration,
    /// The time from the return to the next crash; to the end of the cold time if there is none.
    up: Duration,
}

/// The crashes of one engine.
#[derive(Clone, Debug)]
struct Series {
    endpoint: usize,
    crashes: Vec<Crash>,
    /// The time from the first crash until its record lapses, unless another was written.
    lapse: Duration,
}

impl Series {
    fn draw(rng: &mut StdRng, endpoint: usize) -> Self {
        let mut draw = |range| Duration::from_millis(rng.random_range(range));
        let lapse = draw(LAPSE_MS);
        let count = rng.random_range(1..=CRASHES_MAX);
        let crashes = (0..count).map(|number| {
            let outage_ms = match rng.random_range(0..4) {
                0 => rng.random_range(LONG_OUTAGE_MS),
                _ => rng.random_range(SHORT_OUTAGE_MS),
            };
            let up_ms = rng.random_range(UP_MS);
            Crash {
                outage: Duration::from_millis(outage_ms),
                lag: Duration::from_millis(rng.random_range(LAG_MS)),
                up: match number + 1 == count {
                    true => COLD_START,
                    false => Duration::from_millis(up_ms),
                },
            }
        });
        Self {
            endpoint,
            crashes: crashes.collect(),
            lapse,
        }
    }

    /// Returns the length without the last cold time.
    fn length(&self) -> Duration {
        let crashes = self.crashes.iter();
        let sum: Duration = crashes.map(|crash| crash.outage + crash.up).sum();
        sum - COLD_START
    }

    /// Plays the series up to the end of the last cold time; returns the index of the endpoint.
    async fn play(self, world: Arc<World>) -> usize {
        let slot = &world.endpoints[self.endpoint];
        let mut lapses_at = Instant::now();
        for crash in self.crashes {
            let crashed_at = Instant::now();
            if slot.is_listed() {
                lapses_at = crashed_at + self.lapse;
                slot.set_listing(Listing::Previous);
            }
            slot.crash().await;
            let lapse = async {
                sleep_until(lapses_at.into()).await;
                slot.set_listing(Listing::Lapsed);
                world.store.remove(&slot.server.key());
            };
            let process = async {
                sleep(crash.outage).await;
                let returned_at = slot.start_again().await;
                world.record_endpoint_fault(self.endpoint, crashed_at);
                sleep(crash.lag.min(crash.up)).await;
                returned_at
            };
            let mut lapse = std::pin::pin!(lapse);
            let mut process = std::pin::pin!(process);
            let returned_at = tokio::select! {
                returned_at = &mut process => returned_at,
                () = &mut lapse => process.await,
            };
            let cold_until = returned_at + COLD_START;
            let mut listed_at = None;
            if crash.lag < crash.up {
                listed_at = Some(Instant::now());
                let cold_until = Some(cold_until);
                slot.set_listing(Listing::Current { cold_until });
                world.register(slot, "ready");
            }
            sleep_until((returned_at + crash.up).into()).await;
            let cold_time = ColdTime {
                endpoint: self.endpoint,
                span: Span {
                    from: returned_at,
                    until: cold_until.min(Instant::now()),
                },
                listed_at,
            };
            world.history.lock().cold_times.push(cold_time);
        }
        // The process writes its record again, which says that it is warm.
        world.register(slot, "ready");
        self.endpoint
    }
}

/// Starts series of crashes for `time`; the last engine returns by then, and all are warm in the end.
pub(super) async fn inject(world: Arc<World>, mut rng: StdRng, time: Duration) {
    let started = Instant::now();
    let mut running = JoinSet::new();
    let mut is_busy = vec![false; world.endpoints.len()];
    let kind = RequestKind::Stream;
    let indices = 0..world.endpoints.len();
    let engines: Vec<usize> = indices
        .filter(|index| world.endpoints[*index].service == kind.service())
        .collect();
    while started.elapsed() < time {
        while let Some(ended) = running.try_join_next() {
            is_busy[ended.expect("a series ends")] = false;
        }
        let drawn = draw(&mut rng, &world, &engines);
        let mut series_rng = StdRng::seed_from_u64(rng.random());
        for endpoint in drawn {
            let series = Series::draw(&mut series_rng, endpoint);
            if is_busy[endpoint] || started.elapsed() + series.length() > time {
                continue;
            }
            is_busy[endpoint] = true;
            let at_ms = started.elapsed().as_millis();
            world.record_action(format!("{at_ms} ms: {series:?}"));
            running.spawn(series.play(Arc::clone(&world)));
        }
        sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
    }
    while let Some(ended) = running.join_next().await {
        ended.expect("a series ends");
    }
}

/// Draws one engine, some of them, or those of a zone.
fn draw(rng: &mut StdRng, world: &World, engines: &[usize]) -> Vec<usize> {
    let one = engines[rng.random_range(0..engines.len())];
    let zone = world.endpoints[one].zone;
    let all = engines.iter().copied();
    match rng.random_range(0..5) {
        0..=2 => vec![one],
        3 => all.filter(|_| rng.random()).collect(),
        _ => all
            .filter(|index| world.endpoints[*index].zone == zone)
            .collect(),
    }
}
