//! Streams are passed on in whole events, each event once.

use figramp::edge::EventSplitter;
use quickcheck::quickcheck;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: text {id}\n\n")
}

fn stream(ids: impl IntoIterator<Item = u64>) -> String {
    ids.into_iter().map(event).collect()
}

fn push_all(splitter: &mut EventSplitter, bytes: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let chunks = bytes.chunks(chunk_bytes.max(1));
    chunks.flat_map(|chunk| splitter.push(chunk)).collect()
}

#[test]
fn a_partial_event_is_held_back() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(splitter.push(b"id: 1\nda"), "");
    assert!(!splitter.is_at_boundary());
    assert_eq!(splitter.push(b"ta: x\n\nid"), "id: 1\ndata: x\n\n");
    assert_eq!(splitter.last_id(), Some(1));
}

#[test]
fn a_resumed_stream_drops_events_already_passed_on() {
    let mut splitter = EventSplitter::new(None);
    splitter.push(stream(1..=4).as_bytes());
    splitter.push(b"id: 5\nda");
    splitter.drop_partial();
    assert_eq!(splitter.push(stream(3..=6).as_bytes()), stream(5..=6));
}

#[test]
fn crlf_line_ends_are_recognized() {
    let mut splitter = EventSplitter::new(None);
    assert_eq!(
        splitter.push(b"id: 1\r\ndata: x\r\n\r\n"),
        "id: 1\r\ndata: x\r\n\r\n"
    );
    assert_eq!(splitter.last_id(), Some(1));
}

quickcheck! {
    fn any_chunking_gives_the_same_events(count: u8, chunk_bytes: usize) -> bool {
        let sent = stream(1..=u64::from(count));
        let mut splitter = EventSplitter::new(None);
        let passed = push_all(&mut splitter, sent.as_bytes(), chunk_bytes % 40);
        passed == sent.as_bytes() && splitter.is_at_boundary()
    }

    fn a_stream_cut_anywhere_is_at_a_boundary_only_after_whole_events(end: usize) -> bool {
        let sent = stream(1..=4);
        let cut = &sent[..end % (sent.len() + 1)];
        let mut splitter = EventSplitter::new(None);
        let passed = push_all(&mut splitter, cut.as_bytes(), 7);
        let whole = (0..=4).map(|count| stream(1..=count)).rfind(|whole| cut.starts_with(whole));
        whole.is_some_and(|whole| passed == whole.as_bytes())
            && splitter.is_at_boundary() == (passed == cut.as_bytes())
    }

    fn a_resume_anywhere_gives_each_event_once(count: u8, end: usize, overlap: u8) -> bool {
        let count = u64::from(count).max(1);
        let sent = stream(1..=count);
        let mut splitter = EventSplitter::new(None);
        let mut passed = splitter.push(&sent.as_bytes()[..end % sent.len()]).to_vec();
        splitter.drop_partial();
        let from = splitter.last_id().unwrap_or(0).saturating_sub(u64::from(overlap)) + 1;
        passed.extend(splitter.push(stream(from..=count).as_bytes()));
        passed == sent.as_bytes()
    }
}
