//! Sound endpoints that are silent for a time and go on are not out of use for longer.

use std::time::Duration;

use figramp::clock::Monotonic;
use figramp::request::Usage;
use figramp::routing::Attempt;
use figramp::routing::EndpointFailure;
use figramp::routing::EndpointLoad;
use figramp::routing::Health;

use super::load_reports::Site;

const SILENCE_START: Monotonic = Monotonic::from_ms(10_000);
const STEP: Duration = Duration::from_millis(10);
const STEPS: u32 = 4_000;
const SILENCES_MS: [u64; 4] = [400, 1_000, 1_600, 2_500];
const TIMEOUTS_MS: [u64; 3] = [100, 400, 900];

/// An attempt that is answered at the end of the silence or given up after the timeout.
struct Sent {
    attempt: Attempt,
    answer_at: Monotonic,
    give_up_at: Monotonic,
}

/// Ends the attempts that are due.
fn end_due(load: &EndpointLoad, now: Monotonic, open: Vec<Sent>) -> Vec<Sent> {
    let mut left = Vec::new();
    for sent in open {
        if now >= sent.answer_at {
            load.on_done(now, sent.attempt, Usage::default());
        } else if now >= sent.give_up_at {
            load.on_failed(now, sent.attempt, EndpointFailure::Silent);
        } else {
            left.push(sent);
        }
    }
    left
}

/// Returns how long the endpoint was out of use, with a request at each fifth step.
fn time_out_of_use(silence: Duration, timeout: Duration) -> Duration {
    let site = Site::new();
    let load = site.load("north-tips-0");
    let silence_end = SILENCE_START + silence;
    let mut open = Vec::new();
    let mut out_of_use = Duration::ZERO;
    for step in 0..STEPS {
        let now = SILENCE_START + STEP * step;
        open = end_due(load, now, open);
        if matches!(load.health(now), Health::CoolingDown { .. }) {
            out_of_use += STEP;
        } else if step % 5 == 0 {
            open.push(Sent {
                attempt: load.on_sent(now, &site.call),
                answer_at: silence_end.max(now + STEP),
                give_up_at: now + timeout,
            });
        }
    }
    out_of_use
}

#[test]
fn a_sound_endpoint_is_out_of_use_no_longer_than_it_was_silent() {
    for silence_ms in SILENCES_MS {
        for timeout_ms in TIMEOUTS_MS {
            let silence = Duration::from_millis(silence_ms);
            let out_of_use = time_out_of_use(silence, Duration::from_millis(timeout_ms));
            assert!(
                out_of_use <= silence,
                "{silence:?}, given up after {timeout_ms} ms: {out_of_use:?}"
            );
        }
    }
}

#[test]
fn silences_and_broken_connections_together_take_an_endpoint_out() {
    let site = Site::new();
    let load = site.load("north-tips-0");
    for failure in [
        EndpointFailure::Silent,
        EndpointFailure::Silent,
        EndpointFailure::Broken,
    ] {
        assert_eq!(load.health(SILENCE_START), Health::Up);
        let attempt = load.on_sent(SILENCE_START, &site.call);
        load.on_failed(SILENCE_START, attempt, failure);
    }
    let health = load.health(SILENCE_START);
    assert!(matches!(health, Health::CoolingDown { .. }));
}

#[test]
fn a_broken_endpoint_is_blamed_more_than_a_silent_one() {
    let cool_down = |failure| {
        let site = Site::new();
        let load = site.load("north-tips-0");
        let timeout = Duration::from_millis(400);
        for _ in 0..6 {
            let attempt = load.on_sent(SILENCE_START, &site.call);
            load.on_failed(SILENCE_START + timeout, attempt, failure);
        }
        match load.health(SILENCE_START + timeout) {
            Health::CoolingDown { until } => until.since(SILENCE_START + timeout),
            Health::Up | Health::Probing => Duration::ZERO,
        }
    };
    let silent = cool_down(EndpointFailure::Silent);
    assert!(!silent.is_zero());
    assert!(silent < cool_down(EndpointFailure::Broken));
}
