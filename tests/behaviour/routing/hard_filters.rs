//! No request is sent to a region that its account does not allow, or back to a VM or region that
//! has forwarded it.

use std::time::Duration;

use figramp::catalog::Catalog;
use figramp::catalog::EndpointKey;
use figramp::catalog::EndpointRole;
use figramp::catalog::ObjectSpec;
use figramp::catalog::Repeatability;
use figramp::catalog::ServiceState;
use figramp::catalog::VmKey;
use figramp::catalog::WorkClass;
use figramp::clock::Monotonic;
use figramp::membership::Liveness;
use figramp::request::Call;
use figramp::routing::choose;
use figramp::routing::EndpointFailure;
use figramp::routing::EndpointLoads;
use figramp::routing::Exclusion;
use figramp::routing::RouteChoice;
use figramp::routing::RouteQuery;
use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::TestResult;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;

use super::published;
use super::published::Published;
use super::seed;

const REGIONS: [&str; 4] = ["east", "north", "south", "west"];
const NOW: Monotonic = Monotonic::from_ms(1_000);

#[derive(Clone, Debug)]
struct World {
    vm_counts: [u8; 4],
    endpoint_counts: [u8; 4],
    allowed: [bool; 4],
    leaving_permille: u16,
    forwards_max: u8,
    seed: u64,
}

impl Arbitrary for World {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            vm_counts: std::array::from_fn(|_| 1 + u8::arbitrary(g) % 3),
            endpoint_counts: std::array::from_fn(|_| u8::arbitrary(g) % 3),
            allowed: std::array::from_fn(|_| bool::arbitrary(g)),
            leaving_permille: u16::arbitrary(g) % 500,
            forwards_max: u8::arbitrary(g) % 5,
            seed: u64::arbitrary(g),
        }
    }
}

impl World {
    fn catalog(&self, rng: &mut StdRng) -> Catalog {
        let allowed: Vec<&str> = REGIONS
            .into_iter()
            .zip(self.allowed)
            .filter(|(_, is_allowed)| *is_allowed)
            .map(|(region, _)| region)
            .collect();
        let mut published = Published::default()
            .regions(&REGIONS, 55_000, 140_000_000)
            .route("tips", WorkClass::Interactive, Repeatability::Idempotent)
            .account("garden", &allowed, 1);
        for (index, region) in REGIONS.into_iter().enumerate() {
            published = published
                .vms(region, usize::from(self.vm_counts[index]))
                .endpoints(
                    region,
                    &["tips"],
                    usize::from(self.endpoint_counts[index]),
                    2,
                );
        }
        for (_, spec) in &mut published.objects {
            if let ObjectSpec::Endpoint(endpoint) = spec {
                if rng.random_range(0..1_000) < self.leaving_permille {
                    endpoint.state = ServiceState::Leaving;
                }
                if rng.random_range(0..10) == 0 {
                    endpoint.role = EndpointRole::Prefill;
                }
            }
        }
        published.build(&Catalog::default())
    }
}

/// Routes a request until it is queued or refused; each endpoint that it is sent to fails.
fn route_to_end(world: &World) -> Result<(), String> {
    let mut rng = StdRng::seed_from_u64(world.seed);
    let catalog = world.catalog(&mut rng);
    let account = published::account(&catalog, "garden");
    let mut call = published::completion(published::route(&catalog, "tips"), Some(account), 10);
    let first = format!("{}-vm0", REGIONS[rng.random_range(0..REGIONS.len())]);
    let mut vm = published::vm(&catalog, &first);
    let mut excluded: Vec<EndpointKey> = Vec::new();
    for _ in 0..100 {
        let choice = step(world, &catalog, &call, vm, &excluded, &mut rng);
        match choice {
            None | Some(RouteChoice::Queue) => return Ok(()),
            Some(RouteChoice::Local(endpoint)) => {
                check_endpoint(&catalog, &call, endpoint)?;
                if excluded.contains(&endpoint) {
                    return Err("a failed endpoint is chosen again".to_owned());
                }
                excluded.push(endpoint);
            }
            Some(RouteChoice::Forward { vm: to, region, .. }) => {
                let local = &catalog.vms[vm];
                call.visited.push(vm, local.region);
                check_forward(world, &catalog, &call, to)?;
                if catalog.vms[to].region != region {
                    return Err("the VM is not in the chosen region".to_owned());
                }
                vm = to;
            }
        }
    }
    Err("the request does not end within 100 steps".to_owned())
}

fn step(
    world: &World,
    catalog: &Catalog,
    call: &Call,
    vm: VmKey,
    excluded: &[EndpointKey],
    rng: &mut StdRng,
) -> Option<RouteChoice> {
    let mut view = published::view(catalog, vm);
    for (_, other) in &mut view.vms {
        if rng.random_range(0..4) == 0 {
            other.liveness = Liveness::Dead;
        }
    }
    let loads = failing_loads(catalog, call, rng);
    let query = RouteQuery {
        catalog,
        view: &view,
        loads: &loads,
        call,
        excluded,
        forwards_max: usize::from(world.forwards_max),
        queue_wait: Duration::ZERO,
    };
    choose(NOW, &query, rng)
        .ok()
        .map(|decision| decision.choice)
}

/// Creates the endpoint loads of one VM, with the breakers of some endpoints open.
fn failing_loads(catalog: &Catalog, call: &Call, rng: &mut StdRng) -> EndpointLoads {
    let loads = EndpointLoads::default().for_catalog(catalog);
    for (_, load) in loads.iter() {
        if rng.random_range(0..3) == 0 {
            for _ in 0..3 {
                let attempt = load.on_sent(NOW, call);
                load.on_failed(NOW, attempt, EndpointFailure::Broken);
            }
        }
    }
    loads
}

fn check_endpoint(catalog: &Catalog, call: &Call, endpoint: EndpointKey) -> Result<(), String> {
    let endpoint = &catalog.endpoints[endpoint];
    let account = &catalog.client_accounts[call.client_account.unwrap()];
    if !account.allows_region(endpoint.region) {
        return Err("the region is not allowed".to_owned());
    }
    if endpoint.state == ServiceState::Leaving || endpoint.role != EndpointRole::Full {
        return Err("the endpoint is draining or does not serve whole requests".to_owned());
    }
    Ok(())
}

fn check_forward(world: &World, catalog: &Catalog, call: &Call, to: VmKey) -> Result<(), String> {
    let region = catalog.vms[to].region;
    let account = &catalog.client_accounts[call.client_account.unwrap()];
    if !account.allows_region(region) {
        return Err("the region is not allowed".to_owned());
    }
    if call.visited.has_vm(to) || call.visited.has_region(region) {
        return Err("the request is forwarded to a visited VM or region".to_owned());
    }
    if call.visited.vms.len() > usize::from(world.forwards_max) {
        return Err("the request is forwarded too often".to_owned());
    }
    Ok(())
}

fn each_step_is_allowed_and_the_request_ends(world: World) -> TestResult {
    match route_to_end(&world) {
        Ok(()) => TestResult::passed(),
        Err(reason) => TestResult::error(reason),
    }
}

#[test]
fn each_request_stays_in_the_allowed_regions_and_ends() {
    seed::checker(3_000)
        .quickcheck(each_step_is_allowed_and_the_request_ends as fn(World) -> TestResult);
}

#[test]
fn a_call_without_an_account_may_run_in_any_region() {
    let published = Published::default()
        .regions(&["north", "south"], 55_000, 140_000_000)
        .vms("north", 1)
        .vms("south", 1)
        .route("tips", WorkClass::Interactive, Repeatability::Idempotent)
        .endpoints("south", &["tips"], 1, 1);
    let catalog = published.build(&Catalog::default());
    let loads = EndpointLoads::default().for_catalog(&catalog);
    let call = published::completion(published::route(&catalog, "tips"), None, 10);
    let view = published::view(&catalog, published::vm(&catalog, "north-vm0"));
    let mut query = RouteQuery {
        catalog: &catalog,
        view: &view,
        loads: &loads,
        call: &call,
        excluded: &[],
        forwards_max: 1,
        queue_wait: Duration::ZERO,
    };
    let mut rng = StdRng::seed_from_u64(1);
    let decision = choose(NOW, &query, &mut rng).unwrap();
    assert!(matches!(decision.choice, RouteChoice::Forward { .. }));
    query.forwards_max = 0;
    let refusal = choose(NOW, &query, &mut rng).unwrap_err();
    let excluded = &refusal.explanation.excluded_endpoints;
    assert_eq!(excluded[0].exclusion, Exclusion::CrossingsSpent);
    assert!(refusal.retry_after > Duration::ZERO);
}
