//! Endpoints that send no byte for a time and then go on, alone and several at once.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::history::RequestKind;
use super::world::World;

/// The pause between the starts of two silences.
const GAP_MS: std::ops::Range<u64> = 100..500;

const SILENCE_MS: std::ops::Range<u64> = 800..2_500;

/// The time for which an endpoint answers between two silences.
const REST: Duration = Duration::from_millis(1_500);

/// What the other endpoints of a service do during a silence.
#[derive(Clone, Copy, Debug)]
enum Others {
    InUse,
    /// They are not in the store.
    Removed,
    /// They refuse requests.
    Full,
}

impl Others {
    const ALL: [Self; 4] = [Self::InUse, Self::Removed, Self::Full, Self::Full];

    async fn play(self, world: Arc<World>, endpoints: Vec<usize>, time: Duration) {
        let endpoints = endpoints.into_iter().map(|index| &world.endpoints[index]);
        for endpoint in endpoints.clone() {
            match self {
                Self::InUse => {}
                Self::Removed => world.store.remove(&endpoint.server.key()),
                Self::Full => endpoint.set_faults(EndpointFaults {
                    is_full: true,
                    ..world.no_faults()
                }),
            }
        }
        sleep(time).await;
        for endpoint in endpoints {
            match self {
                Self::InUse => {}
                Self::Removed => world.register(endpoint, "ready"),
                Self::Full => endpoint.set_faults(world.no_faults()),
            }
        }
    }
}

/// Lets the endpoints of each service fall silent for `time`, sometimes with no other one; all silences
/// have ended by then.
pub(super) async fn inject(world: Arc<World>, mut rng: StdRng, time: Duration) {
    let mut services = JoinSet::new();
    for kind in [RequestKind::Read, RequestKind::Stream] {
        let rng = StdRng::seed_from_u64(rng.random());
        services.spawn(silence_service(Arc::clone(&world), kind, rng, time));
    }
    while let Some(ended) = services.join_next().await {
        ended.expect("the silences of a service end");
    }
}

async fn silence_service(world: Arc<World>, kind: RequestKind, mut rng: StdRng, time: Duration) {
    let started = Instant::now();
    let indices = 0..world.endpoints.len();
    let service: Vec<usize> = indices
        .filter(|index| world.endpoints[*index].service == kind.service())
        .collect();
    let mut absences = JoinSet::new();
    let mut rested_at = vec![started; world.endpoints.len()];
    loop {
        sleep(Duration::from_millis(rng.random_range(GAP_MS))).await;
        let silent = draw(&mut rng, &world, &service);
        let length = Duration::from_millis(rng.random_range(SILENCE_MS));
        for endpoint in &silent {
            sleep_until(rested_at[*endpoint].into()).await;
        }
        let until = Instant::now() + length;
        if until > started + time {
            break;
        }
        let others = Others::ALL[rng.random_range(0..Others::ALL.len())];
        let at_ms = started.elapsed().as_millis();
        world.record_action(format!(
            "{at_ms} ms: endpoints {silent:?} silent {length:?}, others {others:?}"
        ));
        let is_other = |endpoint: &usize| !silent.contains(endpoint);
        let affected = service.iter().copied().filter(is_other).collect();
        absences.spawn(others.play(Arc::clone(&world), affected, length));
        for endpoint in silent {
            world.endpoints[endpoint].server.fall_silent(length);
            rested_at[endpoint] = until + REST;
        }
    }
    while let Some(ended) = absences.join_next().await {
        ended.expect("an absence ends");
    }
}

/// Draws one endpoint of a service, some of them, or all, in all regions or in one.
fn draw(rng: &mut StdRng, world: &World, service: &[usize]) -> Vec<usize> {
    let one = service[rng.random_range(0..service.len())];
    let zone = world.endpoints[one].zone;
    let all = service.iter().copied();
    match rng.random_range(0..6) {
        0..=2 => vec![one],
        3 => all.filter(|_| rng.random()).collect(),
        4 => all.collect(),
        _ => all
            .filter(|index| world.endpoints[*index].zone == zone)
            .collect(),
    }
}
