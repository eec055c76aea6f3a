//! Restorations of the store from a backup, after which lost writes are repeated.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::RngExt;
use tokio::time::sleep;

use super::world::World;

/// The age of a backup when the store is restored from it.
const BACKUP_AGE_MS: std::ops::Range<u64> = 200..2_000;

/// The time after which operators and endpoints have repeated their writes.
const REWRITE_DELAY_MS: std::ops::Range<u64> = 100..1_500;

/// Restores the store again and again for `time`.
pub(super) async fn inject(world: Arc<World>, mut rng: StdRng, time: Duration) {
    let started = Instant::now();
    while started.elapsed() < time {
        let backup = world.store.backup();
        let mut pause = |range| sleep(Duration::from_millis(rng.random_range(range)));
        pause(BACKUP_AGE_MS).await;
        world.record_action(format!("{} ms: restore", started.elapsed().as_millis()));
        let from = Instant::now();
        world.store.restore(&backup);
        pause(REWRITE_DELAY_MS).await;
        world.repeat_writes();
        world.record_disruption(from);
    }
}
