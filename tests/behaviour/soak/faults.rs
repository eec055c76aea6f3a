//! Random faults that overlap, drawn from a seeded generator.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::StoreFault;
use rand::rngs::StdRng;
use rand::RngExt;
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::loopback_proxy::LinkState;
use super::world::World;

/// The longest pause between the starts of two faults.
const GAP_MAX_MS: u64 = 500;

/// Lengthens store faults to up to 7.5 s, so that keys are revoked while no daemon can read the
/// store.
const STORE_TIME_FACTOR: u32 = 3;

/// Starts faults for `time` and waits until the last one has ended.
pub(super) async fn inject(world: &Arc<World>, mut rng: StdRng, time: Duration) {
    let started = Instant::now();
    let mut faults = JoinSet::new();
    while started.elapsed() < time {
        let fault = Fault::draw(&mut rng, world);
        let at_ms = started.elapsed().as_millis();
        world.record_action(format!("{at_ms} ms: {fault:?}"));
        faults.spawn(fault.run(Arc::clone(world)));
        sleep(Duration::from_millis(rng.random_range(20..GAP_MAX_MS))).await;
    }
    while let Some(ended) = faults.join_next().await {
        ended.expect("a fault ends");
    }
}

#[derive(Clone, Debug)]
enum Fault {
    Pause {
        vm: usize,
        time: Duration,
    },
    Kill {
        vm: usize,
        down: Duration,
    },
    Terminate {
        vm: usize,
    },
    Reload {
        vm: usize,
    },
    StoreLink {
        vm: usize,
        link: LinkState,
        time: Duration,
    },
    Store {
        fault: StoreFault,
        time: Duration,
    },
    EndpointLink {
        endpoint: usize,
        link: LinkState,
        time: Duration,
    },
    Endpoint {
        endpoint: usize,
        faults: Box<EndpointFaults>,
        time: Duration,
    },
    Deregister {
        endpoint: usize,
        time: Duration,
    },
    RotateKey,
}

impl Fault {
    fn draw(rng: &mut StdRng, world: &World) -> Self {
        let vm = rng.random_range(0..world.vms.len());
        let endpoint = rng.random_range(0..world.endpoints.len());
        let time = Duration::from_millis(rng.random_range(100..2_500));
        match rng.random_range(0..12) {
            0 => Self::Pause { vm, time },
            1 => Self::Kill { vm, down: time / 4 },
            2 | 3 => Self::Terminate { vm },
            4 => Self::Reload { vm },
            5 | 6 => Self::StoreLink {
                vm,
                link: draw_link(rng),
                time,
            },
            7 => Self::Store {
                fault: match rng.random() {
                    true => StoreFault::Busy,
                    false => StoreFault::Silent,
                },
                time: time * STORE_TIME_FACTOR,
            },
            8 => Self::EndpointLink {
                endpoint,
                link: draw_link(rng),
                time: time / 2,
            },
            9 => Self::Endpoint {
                endpoint,
                faults: Box::new(draw_endpoint_faults(rng, world)),
                time,
            },
            10 => Self::Deregister { endpoint, time },
            _ => Self::RotateKey,
        }
    }

    async fn run(self, world: Arc<World>) {
        let from = Instant::now();
        let is_disruption = self.is_disruption();
        self.play(&world, from).await;
        if is_disruption {
            world.record_disruption(from);
        }
    }

    /// Returns whether VMs are not in touch during the fault and for some time after it.
    const fn is_disruption(&self) -> bool {
        match self {
            Self::Pause { .. }
            | Self::Kill { .. }
            | Self::Terminate { .. }
            | Self::StoreLink { .. }
            | Self::Store { .. }
            | Self::EndpointLink { .. } => true,
            Self::Reload { .. }
            | Self::Endpoint { .. }
            | Self::Deregister { .. }
            | Self::RotateKey => false,
        }
    }

    async fn play(self, world: &Arc<World>, from: Instant) {
        match self {
            Self::Pause { vm, time } => pause(world, vm, time).await,
            Self::Kill { vm, down } => {
                let Some(process) = world.take(vm).await else {
                    return;
                };
                let from = Instant::now();
                drop(process);
                sleep(down).await;
                world.start(vm).await;
                world.record_vm_fault(vm, from);
            }
            Self::Terminate { vm } => terminate(world, vm).await,
            Self::Reload { vm } => {
                if let Some(process) = &*world.vms[vm].process.lock().await {
                    process.wait_for_signal_handlers().await;
                    process.signal("-HUP");
                }
            }
            Self::StoreLink { vm, link, time } => {
                let proxy = &world.vms[vm].store_link;
                proxy.set(link);
                sleep(time).await;
                proxy.set(LinkState::Open);
            }
            Self::Store { fault, time } => {
                world.store.set_fault(fault);
                sleep(time).await;
                world.store.set_fault(StoreFault::None);
            }
            Self::EndpointLink {
                endpoint,
                link,
                time,
            } => {
                let proxy = &world.endpoints[endpoint].link;
                proxy.set(link);
                sleep(time).await;
                proxy.set(LinkState::Open);
                world.record_endpoint_fault(endpoint, from);
                world.record_link_fault(endpoint, from);
            }
            Self::Endpoint {
                endpoint,
                faults,
                time,
            } => {
                let slot = &world.endpoints[endpoint];
                // Full endpoints do not interrupt answers, and slow ones only if answers are passed
                // on once they are complete.
                let is_interrupting = slot.buffers_answers()
                    || faults.loses_answers
                    || faults.mislabels_answers
                    || faults.truncated_event.is_some();
                slot.set_faults(*faults);
                sleep(time).await;
                slot.set_faults(world.no_faults());
                if is_interrupting {
                    world.record_endpoint_fault(endpoint, from);
                }
            }
            Self::Deregister { endpoint, time } => {
                let slot = &world.endpoints[endpoint];
                world.store.remove(&slot.server.key());
                sleep(time).await;
                world.register(slot, "ready");
            }
            Self::RotateKey => world.rotate_spare_key(),
        }
    }
}

async fn pause(world: &World, vm: usize, time: Duration) {
    let slot = &world.vms[vm];
    let process = slot.process.lock().await;
    let Some(process) = &*process else {
        return;
    };
    let from = Instant::now();
    process.signal("-STOP");
    sleep(time).await;
    process.signal("-CONT");
    world.record_vm_fault(vm, from);
}

async fn terminate(world: &World, vm: usize) {
    let Some(mut process) = world.take(vm).await else {
        return;
    };
    let started_at = *world.vms[vm].started_at.lock();
    // A signal that comes before the daemon's `main` ends the process at once, which has no request
    // yet. `entry::stopping` tests stops during a start.
    process.wait_for_signal_handlers().await;
    let age = started_at.elapsed();
    let from = Instant::now();
    process.signal("-TERM");
    let ended = tokio::task::spawn_blocking(move || process.wait_for_exit_status()).await;
    world.record_stop(vm, age, ended.expect("the process ends"));
    world.start(vm).await;
    world.record_vm_stop(vm, from);
}

fn draw_link(rng: &mut StdRng) -> LinkState {
    match rng.random_range(0..5) {
        0 => LinkState::Delayed(Duration::from_millis(rng.random_range(20..400))),
        1 => LinkState::HeldToServer,
        2 => LinkState::HeldFromServer,
        3 => LinkState::Silent,
        _ => LinkState::Reset,
    }
}

fn draw_endpoint_faults(rng: &mut StdRng, world: &World) -> EndpointFaults {
    let mut faults = world.no_faults();
    match rng.random_range(0..5) {
        0 => faults.is_full = true,
        1 => faults.loses_answers = true,
        2 => faults.mislabels_answers = true,
        3 => faults.truncated_event = Some(rng.random_range(1..6)),
        _ => faults.pause = Duration::from_millis(rng.random_range(50..400)),
    }
    faults
}
