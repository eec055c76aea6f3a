//! Streams are passed on in whole events, each one once.

use figramp::edge::EventSplitter;
use quickcheck::quickcheck;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: text {id}\n\n")
}

fn stream(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

fn push_all(splitter: &mut EventSplitter, bytes: &[u8], piece_bytes: usize) -> Vec<u8> {
    let pieces = bytes.chunks(piece_bytes.max(1));
    pieces.flat_map(|piece| splitter.push(piece)).collect()
}

#[test]
fn a_part_of_an_event_is_kept_back() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(splitter.push(b"id: 1\nda"), "");
    assert!(!splitter.is_at_boundary());
    assert_eq!(splitter.push(b"ta: x\n\nid"), "id: 1\ndata: x\n\n");
    assert_eq!(splitter.last_id(), Some(1));
}

#[test]
fn a_resumed_stream_drops_what_was_passed_on() {
    let mut splitter = EventSplitter::new(None);
    splitter.push(stream(1..=4).as_bytes());
    splitter.push(b"id: 5\nda");
    splitter.drop_partial();
    assert_eq!(splitter.push(stream(3..=6).as_bytes()), stream(5..=6));
}

#[test]
fn line_ends_of_two_bytes_are_understood() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(
        splitter.push(b"id: 1\r\ndata: x\r\n\r\n"),
        "id: 1\r\ndata: x\r\n\r\n"
    );
    assert_eq!(splitter.last_id(), Some(1));
}

quickcheck! {
    fn any_cut_gives_the_same_events(count: u8, piece_bytes: usize) -> bool {
        let sent = stream(1..=u64::from(count));
        let mut splitter = EventSplitter::new(None);
        let passed = push_all(&mut splitter, sent.as_bytes(), piece_bytes % 40);
        passed == sent.as_bytes() && splitter.is_at_boundary()
    }

    fn a_break_anywhere_and_a_resume_give_each_event_once(count: u8, cut: usize, again: u8) -> bool {
        let count = u64::from(count).max(1);
        let sent = stream(1..=count);
        let mut splitter = EventSplitter::new(None);
        let mut passed = splitter.push(&sent.as_bytes()[..cut % sent.len()]).to_vec();
        splitter.drop_partial();
        let from = splitter.last_id().unwrap_or(0).saturating_sub(u64::from(again)) + 1;
        passed.extend(splitter.push(stream(from..=count).as_bytes()));
        passed == sent.as_bytes()
    }
}
