//! How far a client has come with the request that it sends on a connection.

use std::cmp::Reverse;
use std::time::Duration;

use crate::clock::Monotonic;

/// Bytes beyond the limit on heads that a client may send before the end of a head: empty lines before
/// it, which HTTP allows.
const EMPTY_LINES_MAX_BYTES: usize = 1_024;

/// What is held for clients; each kind has memory of its own, so that neither takes that of the other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldKind {
    /// Heads that are not complete.
    Heads,
    /// Answers that are not read, and requests behind them.
    Unread,
}

impl HeldKind {
    /// All kinds.
    pub const ALL: [Self; 2] = [Self::Heads, Self::Unread];
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No byte of a request has arrived.
    Idle,
    /// A head has begun, or empty lines before it.
    Head { since: Monotonic, bytes: usize },
    /// The head is complete, and the answer has not ended.
    Running,
}

/// How far a client has come with the request that it sends on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestProgress {
    phase: Phase,
    opened_at: Monotonic,
    has_requested: bool,
    /// Whether the next read may bring the rest of a body whose request was answered before it had arrived.
    expects_rest: bool,
    /// What the answers take that the client does not read.
    unread_bytes: usize,
    /// Since when they are not read; has no meaning while there are none.
    unread_since: Monotonic,
}

impl RequestProgress {
    /// Creates the progress of a connection that was opened.
    pub const fn new(now: Monotonic) -> Self {
        Self {
            phase: Phase::Idle,
            opened_at: now,
            has_requested: false,
            expects_rest: false,
            unread_bytes: 0,
            unread_since: now,
        }
    }

    /// Returns whether the head of the request is over this limit, and not complete.
    pub fn is_over(&self, header_max_bytes: usize) -> bool {
        match self.phase {
            Phase::Head { bytes, .. } => bytes >= head_max_bytes(header_max_bytes),
            Phase::Idle | Phase::Running => false,
        }
    }

    /// Returns how many bytes wait for the client to read.
    pub const fn unread_bytes(&self) -> usize {
        self.unread_bytes
    }

    /// Records that bytes were read.
    pub fn on_read(&mut self, now: Monotonic, read_bytes: usize) {
        self.phase = match self.phase {
            phase if read_bytes == 0 => phase,
            Phase::Idle if std::mem::take(&mut self.expects_rest) => Phase::Idle,
            Phase::Idle => Phase::Head {
                since: now,
                bytes: read_bytes,
            },
            Phase::Head { since, bytes } => Phase::Head {
                since,
                bytes: bytes.saturating_add(read_bytes),
            },
            Phase::Running => Phase::Running,
        };
    }

    /// Records that the head of a request is complete.
    pub fn on_request(&mut self) {
        self.phase = Phase::Running;
        self.has_requested = true;
        self.expects_rest = false;
    }

    /// Records that a body follows the head of the request.
    pub fn on_body(&mut self) {
        self.expects_rest = true;
    }

    /// Records that the answer has ended.
    pub fn on_answered(&mut self) {
        self.phase = Phase::Idle;
    }

    /// Records how many bytes wait for the client to read, zero if none, and whether it has just read some.
    pub fn set_unread(&mut self, now: Monotonic, unread_bytes: usize, has_read: bool) {
        if self.unread_bytes == 0 || has_read {
            self.unread_since = now;
        }
        self.unread_bytes = unread_bytes;
    }

    /// Returns when the head has to be complete; `None` while none has begun.
    pub fn head_deadline(&self, header_timeout: Duration) -> Option<Monotonic> {
        match self.phase {
            Phase::Head { since, .. } => Some(since + header_timeout),
            Phase::Idle | Phase::Running => None,
        }
    }

    /// Returns the bytes of a head that is not complete.
    pub const fn head_bytes(&self) -> usize {
        match self.phase {
            Phase::Head { bytes, .. } => bytes,
            Phase::Idle | Phase::Running => 0,
        }
    }

    /// Returns the bytes of one kind that are held for the client.
    pub const fn held_bytes(&self, kind: HeldKind) -> usize {
        match kind {
            HeldKind::Heads => self.head_bytes(),
            HeldKind::Unread => self.unread_bytes,
        }
    }

    /// Returns the order in which connections are closed that together hold too much of one kind, highest
    /// first: the longest head, or the answers that have not been read for longest.
    pub fn closing_rank(&self, kind: HeldKind) -> (usize, Reverse<Monotonic>) {
        match kind {
            HeldKind::Heads => (self.head_bytes(), Reverse(self.opened_at)),
            HeldKind::Unread => (
                usize::from(self.unread_bytes > 0),
                Reverse(self.unread_since),
            ),
        }
    }

    /// Returns the order in which connections are closed for new ones, lowest first; `None` for those that
    /// are kept: those of a running request, and idle ones that served one.
    pub fn closing_order(&self) -> Option<(u8, Monotonic)> {
        match self.phase {
            Phase::Head { since, .. } => Some((0, since)),
            Phase::Idle if !self.has_requested => Some((1, self.opened_at)),
            Phase::Idle | Phase::Running => None,
        }
    }
}

/// Returns the most bytes that are read before the end of a head, with this limit on heads.
pub const fn head_max_bytes(header_max_bytes: usize) -> usize {
    header_max_bytes.saturating_add(EMPTY_LINES_MAX_BYTES)
}
