//! Splits a stream of server-sent events into whole events.

use bytes::Bytes;
use bytes::BytesMut;

const ID_FIELD: &[u8] = b"id:";

/// Splits a stream of server-sent events into whole events, and drops those that were already
/// passed on before the stream was resumed.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that drops events up to and including `last_id`; `None` drops none.
    pub fn new(last_id: Option<u64>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Returns the identifier of the last event that was passed on.
    pub const fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether the stream is between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Returns the number of bytes of the event that is not whole yet.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Discards a partially received event.
    pub fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Appends received bytes and returns the events that are now whole and not duplicates.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let scanned = self.pending.len().saturating_sub(BOUNDARY_MAX_BYTES);
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.pending, scanned) else {
            return Bytes::new();
        };
        let whole = self.pending.split_to(end).freeze();
        self.keep_new(whole)
    }

    /// Drops the events that were already passed on.
    fn keep_new(&mut self, events: Bytes) -> Bytes {
        let mut start = 0;
        let mut first_new = None;
        while start < events.len() {
            let end = first_boundary(&events[start..]).map_or(events.len(), |end| start + end);
            match event_id(&events[start..end]) {
                Some(id) if self.last_id.is_some_and(|last| id <= last) => {}
                id => {
                    first_new.get_or_insert(start);
                    self.last_id = id.or(self.last_id);
                }
            }
            start = end;
        }
        first_new.map_or_else(Bytes::new, |first| events.slice(first..))
    }
}

/// The length of the longest boundary: how far to scan back for one that is split over two pushes.
const BOUNDARY_MAX_BYTES: usize = 3;

fn first_boundary(bytes: &[u8]) -> Option<usize> {
    boundaries(bytes).next()
}

fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    boundaries(&bytes[from..]).last().map(|end| from + end)
}

/// Returns the offsets just after the blank lines that terminate events.
fn boundaries(bytes: &[u8]) -> impl Iterator<Item = usize> + '_ {
    (0..bytes.len()).filter_map(|index| {
        let rest = &bytes[index..];
        if rest.starts_with(b"\n\n") {
            Some(index + 2)
        } else if rest.starts_with(b"\n\r\n") {
            Some(index + 3)
        } else {
            None
        }
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
