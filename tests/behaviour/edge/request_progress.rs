//! What is counted of the bytes of clients before the HTTP library reads them.

use std::time::Duration;

use figramp::clock::Monotonic;
use figramp::edge::head_max_bytes;
use figramp::edge::AcceptedConnections;
use figramp::edge::HeldKind;
use figramp::edge::RequestProgress;
use quickcheck::quickcheck;
use quickcheck::Arbitrary;
use quickcheck::Gen;

const HEADER_MAX_BYTES: usize = 16 << 10;
const HEADER_TIMEOUT: Duration = Duration::from_secs(3);
const READ_MAX_BYTES: u16 = 32 << 10;

const MEMORY_BYTES: u64 = 1 << 20;
/// A sixteenth of the memory.
const HELD_MAX_BYTES: u64 = 64 << 10;
const CONNECTIONS: u8 = 12;

#[derive(Clone, Copy, Debug)]
enum Step {
    Read(usize),
    Request,
    Answered,
    Unread(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let bytes = usize::from(u16::arbitrary(g) % READ_MAX_BYTES);
        match u8::arbitrary(g) % 6 {
            0 => Self::Request,
            1 => Self::Answered,
            2 => Self::Unread(bytes),
            3 => Self::Unread(0),
            _ => Self::Read(bytes),
        }
    }
}

fn apply(progress: &mut RequestProgress, now: Monotonic, step: Step) {
    match step {
        Step::Read(bytes) => progress.on_read(now, bytes),
        Step::Request => progress.on_request(),
        Step::Answered => progress.on_answered(),
        Step::Unread(bytes) => progress.set_unread(now, bytes, false),
    }
}

quickcheck! {
    fn a_head_is_over_the_limit_and_overdue_from_its_first_byte(steps: Vec<(u16, Step)>) -> bool {
        let mut now = Monotonic::ZERO;
        let mut progress = RequestProgress::new(now);
        // The bytes and the begin of the unfinished head; `None` while a request runs.
        let mut head = Some((0, None));
        steps.into_iter().all(|(pause_ms, step)| {
            now = now + Duration::from_millis(u64::from(pause_ms));
            apply(&mut progress, now, step);
            head = match (step, head) {
                (Step::Read(bytes), Some((before, since))) if bytes > 0 => {
                    Some((before + bytes, since.or(Some(now))))
                }
                (Step::Request, _) => None,
                (Step::Answered, _) => Some((0, None)),
                (_, head) => head,
            };
            let bytes = head.map_or(0, |(bytes, _)| bytes);
            let since = head.and_then(|(_, since)| since);
            progress.is_over(HEADER_MAX_BYTES) == (bytes >= head_max_bytes(HEADER_MAX_BYTES))
                && progress.head_deadline(HEADER_TIMEOUT) == since.map(|since| since + HEADER_TIMEOUT)
                && progress.head_bytes() == bytes
        })
    }

    fn a_head_inside_the_limits_is_never_refused(pieces: Vec<u8>) -> bool {
        let mut progress = RequestProgress::new(Monotonic::ZERO);
        let mut left_bytes = HEADER_MAX_BYTES;
        pieces.into_iter().all(|piece| {
            let bytes = usize::from(piece).min(left_bytes);
            left_bytes -= bytes;
            progress.on_read(Monotonic::ZERO, bytes);
            !progress.is_over(HEADER_MAX_BYTES)
        })
    }

    fn connections_that_are_kept_hold_no_more_than_all_together_may(steps: Vec<(u8, Step)>) -> bool {
        let all = AcceptedConnections::new(MEMORY_BYTES, u64::MAX);
        let mut open: Vec<_> = (0..CONNECTIONS)
            .filter_map(|_| all.open(Monotonic::ZERO))
            .collect();
        steps.into_iter().all(|(number, step)| {
            let index = usize::from(number % CONNECTIONS);
            let before: Vec<_> = open.iter().map(|connection| connection.progress()).collect();
            open[index].update(|progress| apply(progress, Monotonic::ZERO, step));
            let grown = HeldKind::ALL.into_iter().find(|kind| {
                open[index].progress().held_bytes(*kind) > before[index].held_bytes(*kind)
            });
            // Only those are closed that hold some of the kind that has grown.
            let are_kept = open.iter().all(|connection| {
                let holds = |kind| connection.progress().held_bytes(kind) > 0;
                !connection.is_closing() || grown.is_some_and(holds)
            });
            for connection in &mut open {
                if connection.is_closing() {
                    *connection = all.open(Monotonic::ZERO).expect("there is room");
                }
            }
            let are_bounded = HeldKind::ALL.into_iter().all(|kind| {
                let held = open.iter().map(|connection| connection.progress().held_bytes(kind) as u64);
                held.sum::<u64>() <= HELD_MAX_BYTES
            });
            are_kept && are_bounded
        })
    }
}

#[test]
fn a_new_connection_takes_the_place_of_the_oldest_unfinished_head() {
    // The descriptors that are not for accepted connections, and three.
    let all = AcceptedConnections::new(MEMORY_BYTES, 903);
    let at = Monotonic::from_ms;
    let open: Vec<_> = (0..3).filter_map(|ms| all.open(at(ms))).collect();
    assert!(all.open(at(3)).is_none());
    open[0].update(RequestProgress::on_request);
    open[1].update(|progress| progress.on_read(at(5), 10));
    open[2].update(|progress| progress.on_read(at(4), 10));
    let closing = || -> Vec<bool> { open.iter().map(|one| one.is_closing()).collect() };
    assert!(all.close_for_new());
    assert_eq!(closing(), [false, false, true]);
    assert!(all.close_for_new());
    assert_eq!(closing(), [false, true, true]);
    assert!(!all.close_for_new(), "a running request is kept");
    open[0].update(RequestProgress::on_answered);
    assert!(!all.close_for_new(), "a connection that served is kept");
}

#[test]
fn answers_that_are_not_read_close_no_connection_that_sends_a_head() {
    let all = AcceptedConnections::new(MEMORY_BYTES, u64::MAX);
    let at = Monotonic::from_ms;
    let unread: Vec<_> = (0..4).filter_map(|ms| all.open(at(ms))).collect();
    for (connection, ms) in unread.iter().zip(0..) {
        connection.update(|progress| progress.set_unread(at(ms), 16 << 10, false));
    }
    let ordinary = all.open(at(10)).expect("there is room");
    ordinary.update(|progress| progress.on_read(at(10), 200));
    assert!(!ordinary.is_closing());
    assert!(unread.iter().all(|connection| !connection.is_closing()));
    ordinary.update(|progress| progress.set_unread(at(11), 1, false));
    assert!(!ordinary.is_closing());
    assert!(unread[0].is_closing(), "it has not read for longest");
}

#[test]
fn a_client_that_reads_on_is_closed_after_those_that_do_not() {
    let connections = AcceptedConnections::new(1 << 20, 2_000);
    let reading = connections
        .open(Monotonic::from_ms(0))
        .expect("a connection");
    let stalled = connections
        .open(Monotonic::from_ms(0))
        .expect("a connection");
    reading.update(|progress| progress.set_unread(Monotonic::from_ms(1), 32 << 10, false));
    stalled.update(|progress| progress.set_unread(Monotonic::from_ms(2), 32 << 10, false));
    reading.update(|progress| progress.set_unread(Monotonic::from_ms(3), 32 << 10, true));
    let third = connections
        .open(Monotonic::from_ms(4))
        .expect("a connection");
    third.update(|progress| progress.set_unread(Monotonic::from_ms(4), 32 << 10, false));
    assert!(stalled.is_closing());
    assert!(!reading.is_closing());
    assert!(!third.is_closing());
}

#[test]
fn the_rest_of_a_body_that_was_answered_early_is_no_head() {
    let at = Monotonic::from_ms;
    let mut progress = RequestProgress::new(at(0));
    progress.on_read(at(0), 400);
    progress.on_request();
    progress.on_body();
    progress.on_answered();
    progress.on_read(at(1), 32 << 10);
    assert!(!progress.is_over(HEADER_MAX_BYTES));
    assert_eq!(progress.head_deadline(HEADER_TIMEOUT), None);
    progress.on_read(at(2), 400);
    assert_eq!(progress.head_bytes(), 400);
    assert_eq!(
        progress.head_deadline(HEADER_TIMEOUT),
        Some(at(2) + HEADER_TIMEOUT)
    );
}
