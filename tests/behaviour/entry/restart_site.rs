//! Daemons of one region, and engines of which some end and start again under their identifiers.

use std::cell::RefCell;
use std::net::Ipv4Addr;
use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::cold_load::cold_record;
use super::cold_load::most_in_one_second;
use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

pub(super) const ENGINE_COUNT: usize = 4;

pub(super) const LOAD_TIME_BEFORE: Duration = Duration::from_secs(5);

pub(super) const COLD_TIME: Duration = Duration::from_millis(COLD_MS);

/// How long an engine that has started again is not in the store with its new start.
pub(super) const REGISTRATION_DELAY: Duration = Duration::from_secs(1);

/// Bursts that leave each daemon idle for 6 s.
pub(super) const RARE_BURSTS: Load = Load {
    burst: 4,
    interval: Duration::from_millis(250),
};

/// Longer than idle connections are kept.
pub(super) const IDLE_TIME: Duration = Duration::from_millis(4_800);

pub(super) const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(super) const VM_COUNT: usize = 24;

pub(super) const COLD_RATE_PER_S: f64 = 4.2;

/// The requests that a cold engine may get in one second: 1.5 times its rate, and 3 more.
pub(super) const BOUND_PER_S: usize = 9;

pub(super) const COLD_MS: u64 = 3_000;

const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// Longer than the wait that is assumed of an engine that has not answered yet, so that all are used.
const HEAD_DELAY: Duration = Duration::from_millis(60);

/// Returns what engines do that report their load and take some time for each answer.
pub(super) fn engine_faults() -> EndpointFaults {
    EndpointFaults {
        reports_load: true,
        head_delay: HEAD_DELAY,
        pause: EVENT_PAUSE,
        ..EndpointFaults::default()
    }
}

/// Starts daemons of one region; each knows all others as seeds, or only itself.
pub(super) async fn launch_vms(site: &Site, know_each_other: bool) -> Vec<EntryVm> {
    let ips: Vec<Ipv4Addr> = (0..VM_COUNT).map(|_| new_ip()).collect();
    let store = site.store.address();
    let start = |ip| {
        let own = [ip];
        let seeds = if know_each_other { &ips[..] } else { &own };
        EntryVm::start(ip, EAST, store, seeds)
    };
    let vms: Vec<_> = ips.iter().map(|ip| start(*ip)).collect();
    for vm in &vms {
        vm.wait_until(true).await;
    }
    sleep(Duration::from_millis(3_200)).await;
    vms
}

/// Requests that come to the daemons in turn.
#[derive(Clone, Copy)]
pub(super) struct Load {
    /// The requests that come to a daemon at the same time.
    pub(super) burst: u32,
    /// The time between two bursts, to two daemons.
    pub(super) interval: Duration,
}

impl Load {
    pub(super) const SINGLE: Self = Self {
        burst: 1,
        interval: Duration::from_micros(12_500),
    };
    pub(super) const BURSTS_OF_FOUR: Self = Self {
        burst: 4,
        interval: Duration::from_millis(50),
    };
}

/// The time in which answers are complete if their requests didn't wait.
const LATENCY_MAX: Duration = Duration::from_secs(1);

/// How an answer ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerEnd {
    Complete,
    /// Complete, but late.
    Late,
    /// Status 429 or 503.
    Refused,
    Broken,
}

async fn answer_end(request: RequestBuilder) -> AnswerEnd {
    let began_at = Instant::now();
    let Ok(answer) = request.send().await else {
        return AnswerEnd::Broken;
    };
    match answer.status() {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => AnswerEnd::Refused,
        _ => match answer.text().await {
            Ok(text) if text == whole_stream() => match began_at.elapsed() > LATENCY_MAX {
                true => AnswerEnd::Late,
                false => AnswerEnd::Complete,
            },
            _ => AnswerEnd::Broken,
        },
    }
}

/// The clients' answers, by how they ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerCounts {
    pub(super) complete: usize,
    pub(super) late: usize,
    pub(super) refused: usize,
    pub(super) broken: usize,
}

/// The requests that an engine got in its cold time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdLoad {
    pub(super) most_in_one_second: usize,
    pub(super) total: usize,
}

impl ColdLoad {
    /// Checks that the engine got no more requests in one second than a cold one may get.
    pub(super) fn check(self) {
        let Self {
            most_in_one_second,
            total,
        } = self;
        let is_tolerated = most_in_one_second <= BOUND_PER_S;
        assert!(
            is_tolerated,
            "{most_in_one_second} in one second, {total} in all"
        );
    }
}

/// Daemons of one region with engines that can end and start again.
pub(super) struct RestartSite {
    pub(super) site: Site,
    more_engines: Vec<EndpointServer>,
    /// The daemons that get requests.
    vms: RefCell<Vec<EntryVm>>,
    answers: RefCell<Vec<JoinHandle<AnswerEnd>>>,
}

impl RestartSite {
    /// Starts daemons and this many engines, two at least.
    pub(super) async fn launch(engine_count: usize, know_each_other: bool) -> Self {
        let site = Site::launch(EAST).await;
        let mut more_engines = Vec::new();
        for number in 3..=engine_count {
            let id = format!("e{number}");
            let engine = EndpointServer::launch(any_port(), &id, "engine", EAST).await;
            let engine = engine.expect("an engine");
            site.store.put(&engine.key(), engine.record("ready"));
            more_engines.push(engine);
        }
        let mut configuration = configuration(2, &[KEY]);
        configuration["services"][1]["coldPerS"] = COLD_RATE_PER_S.into();
        // Without keys, requests are served while the store is unreachable.
        configuration["routes"][4]["public"] = true.into();
        site.store.put("op/config", configuration.to_string());
        for engine in site.engines.iter().chain(&more_engines) {
            engine.set_faults(engine_faults());
        }
        let vms = launch_vms(&site, know_each_other).await;
        Self {
            site,
            more_engines,
            vms: RefCell::new(vms),
            answers: RefCell::default(),
        }
    }

    /// Returns the engines.
    pub(super) fn engines(&self) -> impl Iterator<Item = &EndpointServer> {
        self.site.engines.iter().chain(&self.more_engines)
    }

    /// Returns the engines, those first that got most requests in the last half second.
    pub(super) fn busiest_engines(&self) -> Vec<&EndpointServer> {
        let since = Instant::now() - Duration::from_millis(500);
        let mut engines: Vec<_> = self.engines().collect();
        engines.sort_by_key(|engine| std::cmp::Reverse(requests(engine, since)));
        assert!(requests(engines[0], since) > 0, "an engine was used");
        engines
    }

    /// Sends streams to the daemons in turn for a time, without waiting for their answers.
    pub(super) async fn send(&self, load: Load, time: Duration) {
        self.send_to(0..VM_COUNT, load, time).await;
    }

    /// Sends streams to some of the daemons in turn for a time, without waiting for their answers.
    pub(super) async fn send_to(&self, range: Range<usize>, load: Load, time: Duration) {
        let started = Instant::now();
        let mut turn = 0;
        while started.elapsed() < time {
            {
                let vms = self.vms.borrow();
                let range = range.start..range.end.min(vms.len());
                let vm = &vms[range.start + turn % range.len()];
                for number in 0..load.burst {
                    let id = format!("{started:?}-{turn}-{number}");
                    let answer = answer_end(vm.post("/tip-stream/x", &id));
                    self.answers.borrow_mut().push(tokio::spawn(answer));
                }
            }
            turn += 1;
            sleep(load.interval).await;
        }
    }

    /// Ends an engine and starts it again after a time; returns when it was back.
    pub(super) async fn restart(&self, engine: &EndpointServer, outage: Duration) -> Instant {
        engine.crash();
        sleep(outage).await;
        let key = engine.key();
        let id = key.strip_prefix("servers/").expect("a key of an engine");
        engine.replace();
        engine.restart(id).await.expect("the engine restarts");
        Instant::now()
    }

    /// Lists an engine with its new start, some time after it.
    pub(super) async fn list(
        &self,
        engine: &EndpointServer,
        restarted_at: Instant,
        delay: Duration,
    ) {
        sleep(delay.saturating_sub(restarted_at.elapsed())).await;
        let cold_ms = COLD_MS.saturating_sub(restarted_at.elapsed().as_millis() as u64);
        let record = cold_record(engine, cold_ms);
        self.site.store.put(&engine.key(), record);
    }

    /// Kills half of the daemons and starts them again; they get requests once they are ready.
    pub(super) async fn restart_half_of_vms(&self) {
        let (ips, seeds) = {
            let mut vms = self.vms.borrow_mut();
            let seeds: Vec<Ipv4Addr> = vms.iter().map(|vm| vm.ip).collect();
            let killed = vms.split_off(VM_COUNT / 2);
            let ips: Vec<Ipv4Addr> = killed.iter().map(|vm| vm.ip).collect();
            (ips, seeds)
        };
        let store = self.site.store.address();
        let start = |ip: &Ipv4Addr| EntryVm::start(*ip, EAST, store, &seeds);
        let started: Vec<EntryVm> = ips.iter().map(start).collect();
        for vm in started {
            vm.wait_until(true).await;
            self.vms.borrow_mut().push(vm);
        }
    }

    /// Waits for the answers to the requests sent so far, and counts them.
    pub(super) async fn take_answers(&self) -> AnswerCounts {
        let answers = std::mem::take(&mut *self.answers.borrow_mut());
        let mut counts = AnswerCounts::default();
        for answer in answers {
            match answer.await.expect("a client ends") {
                AnswerEnd::Complete => counts.complete += 1,
                AnswerEnd::Late => counts.late += 1,
                AnswerEnd::Refused => counts.refused += 1,
                AnswerEnd::Broken => counts.broken += 1,
            }
        }
        counts
    }
}

/// Returns the number of requests that an engine got since a time.
pub(super) fn requests(engine: &EndpointServer, since: Instant) -> usize {
    let arrivals = engine.arrivals().into_iter();
    arrivals.filter(|arrival| arrival.at >= since).count()
}

/// Returns the load on an engine in its cold time after it was back.
pub(super) fn cold_load(engine: &EndpointServer, restarted_at: Instant) -> ColdLoad {
    let cold_until = restarted_at + Duration::from_millis(COLD_MS);
    ColdLoad {
        most_in_one_second: most_in_one_second(engine, restarted_at..cold_until),
        total: requests(engine, restarted_at) - requests(engine, cold_until),
    }
}
