//! Load reports that lag, are missing or arrive out of order.

use std::time::Duration;

use figramp::catalog::Catalog;
use figramp::catalog::ClientAccountKey;
use figramp::catalog::EndpointKey;
use figramp::catalog::Repeatability;
use figramp::catalog::WorkClass;
use figramp::clock::Monotonic;
use figramp::endpoint::LoadReport;
use figramp::request::Call;
use figramp::request::Usage;
use figramp::routing::choose;
use figramp::routing::class_slots;
use figramp::routing::slot_count;
use figramp::routing::EndpointLoad;
use figramp::routing::EndpointLoads;
use figramp::routing::Exclusion;
use figramp::routing::RouteChoice;
use figramp::routing::RouteDecision;
use figramp::routing::RouteQuery;
use figramp::routing::RouteRefusal;
use figramp::routing::Sharing;
use rand::rngs::StdRng;
use rand::SeedableRng;

use super::published;
use super::published::Published;

const START: Monotonic = Monotonic::from_ms(10_000);
const SECOND: Duration = Duration::from_secs(1);

pub struct Site {
    pub catalog: Catalog,
    pub loads: EndpointLoads,
    pub call: Call,
    pub queue_wait: Duration,
    pub rng: StdRng,
}

impl Site {
    /// Creates a region with two endpoints and another one with one, each with four slots.
    pub fn new() -> Self {
        let catalog = Published::default()
            .regions(&["north", "south"], 55_000, 140_000_000)
            .vms("north", 2)
            .vms("south", 1)
            .route("tips", WorkClass::Interactive, Repeatability::Idempotent)
            .endpoints("north", &["tips"], 2, 4)
            .endpoints("south", &["tips"], 1, 4)
            .account("garden", &["north", "south"], 1)
            .build(&Catalog::default());
        let account: ClientAccountKey = published::account(&catalog, "garden");
        Self {
            loads: EndpointLoads::default().for_catalog(&catalog),
            call: published::completion(published::route(&catalog, "tips"), Some(account), 10),
            catalog,
            queue_wait: Duration::ZERO,
            rng: StdRng::seed_from_u64(1),
        }
    }

    pub fn endpoint(&self, text: &str) -> EndpointKey {
        published::endpoint(&self.catalog, text)
    }

    pub fn load(&self, text: &str) -> &EndpointLoad {
        self.loads.get(self.endpoint(text)).unwrap()
    }

    pub fn choose(&mut self, now: Monotonic) -> Result<RouteDecision, RouteRefusal> {
        let view = published::view(&self.catalog, published::vm(&self.catalog, "north-vm0"));
        let query = RouteQuery {
            catalog: &self.catalog,
            view: &view,
            loads: &self.loads,
            call: &self.call,
            excluded: &[],
            forwards_max: 1,
            queue_wait: self.queue_wait,
        };
        choose(now, &query, &mut self.rng)
    }
}

fn report(running: u32, age_ms: u64) -> LoadReport {
    LoadReport {
        running,
        age_ms,
        ..LoadReport::default()
    }
}

#[test]
fn a_late_report_is_corrected_by_the_requests_sent_since() {
    let site = Site::new();
    let load = site.load("north-tips-0");
    let first = load.on_sent(START, &site.call);
    let taken = START + SECOND;
    let arrived = taken + SECOND;
    load.on_sent(taken + SECOND / 2, &site.call);
    load.on_report(arrived, &report(3, 1_000));
    let reported = load.report(arrived).unwrap();
    assert_eq!(reported.taken_at, taken);
    assert_eq!(reported.local_requests, 1);
    assert_eq!(reported.others(), 2);
    load.on_done(arrived, first, Usage::default());
    assert_eq!(load.local_requests(), 1);
}

#[test]
fn an_older_report_does_not_replace_a_newer_one_and_a_stale_one_is_not_used() {
    let site = Site::new();
    let load = site.load("north-tips-0");
    load.on_report(START, &report(3, 0));
    load.on_report(START + SECOND, &report(1, 2_000));
    assert_eq!(load.report(START + SECOND).unwrap().running, 3);
    assert_eq!(load.report(START + 10 * SECOND), None);
}

#[test]
fn the_less_loaded_of_two_endpoints_gets_more() {
    let mut site = Site::new();
    site.load("north-tips-0").on_report(START, &report(3, 0));
    site.load("north-tips-1").on_report(START, &report(0, 0));
    let busy = site.endpoint("north-tips-0");
    let busy_count = (0..400)
        .filter(|_| site.choose(START).unwrap().choice == RouteChoice::Local(busy))
        .count();
    assert!(busy_count < 200, "{busy_count} of 400");
}

#[test]
fn a_full_region_queues_unless_another_one_is_faster() {
    let mut site = Site::new();
    for endpoint in ["north-tips-0", "north-tips-1"] {
        for _ in 0..4 {
            site.load(endpoint).on_sent(START, &site.call);
        }
    }
    let remote = site.load("south-tips-0");
    for _ in 0..8 {
        remote.on_sent(START, &site.call);
    }
    assert_eq!(site.choose(START).unwrap().choice, RouteChoice::Queue);
    site.queue_wait = 20 * SECOND;
    let choice = site.choose(START).unwrap().choice;
    assert!(matches!(choice, RouteChoice::Forward { .. }));
}

#[test]
fn an_endpoint_with_a_full_cache_gets_no_requests() {
    let mut site = Site::new();
    let full = LoadReport {
        cache_used_permille: 1_000,
        ..LoadReport::default()
    };
    for endpoint in ["north-tips-0", "north-tips-1", "south-tips-0"] {
        site.load(endpoint).on_report(START, &full);
    }
    let refusal = site.choose(START).unwrap_err();
    let excluded = &refusal.explanation.excluded_endpoints;
    assert!(excluded
        .iter()
        .all(|endpoint| endpoint.exclusion == Exclusion::OverMemory));
    assert_eq!(excluded.len(), 3);
}

#[test]
fn vms_that_share_an_endpoint_get_a_share_each() {
    let site = Site::new();
    let endpoint = &site.catalog.endpoints[site.endpoint("north-tips-0")];
    let load = site.load("north-tips-0");
    let slots = |now: Monotonic, vm_count: u32| -> Vec<u32> {
        (0..vm_count)
            .map(|rank| slot_count(now, load, endpoint, Sharing { vm_count, rank }))
            .collect()
    };
    assert_eq!(slots(START, 3).iter().sum::<u32>(), endpoint.concurrency);
    assert_eq!(slots(START, 9), [1; 9]);
    load.on_report(START, &report(1, 0));
    assert_eq!(slots(START, 1), [4]);
    assert!(slots(START, 3).iter().all(|slots| *slots >= 1));
    load.on_report(START + SECOND, &report(4, 0));
    let full = slots(START + SECOND, 3);
    assert_eq!(full.iter().sum::<u32>(), endpoint.concurrency);
    assert!(class_slots(4, WorkClass::Long) < 4);
    assert_eq!(class_slots(1, WorkClass::Long), 1);
}
