//! Counters of the traffic between VMs.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::ConnectionPurpose;
use super::PeerMessage;

/// The kinds of messages between VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Heartbeats.
    Membership,
    /// Change tickets and their digests.
    Configuration,
    /// Token grants.
    Limits,
    /// Records of non-idempotent calls.
    Idempotency,
    /// Forwarded calls.
    Forward,
    /// Batches of answer events.
    Answer,
    /// Pings of connections for forwarded calls.
    Ping,
}

/// Why a message was not sent or not accepted, or a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PeerFault {
    /// A control message was dropped: a queue was full or the peer unreachable.
    Dropped,
    /// A handshake failed.
    Handshake,
    /// A message was malformed and its connection was closed.
    Malformed,
    /// A message named an object that is not in the catalog of this VM.
    UnknownName,
    /// A connection was closed because the peer did not respond before a timeout.
    Silent,
}

/// The traffic of one kind of message in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The number of messages.
    pub messages: u64,
    /// The bytes of their content.
    pub bytes: u64,
}

#[derive(Debug, Default)]
struct TrafficCounter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

/// Lock-free counters of the traffic and the faults between VMs.
#[derive(Debug, Default)]
pub struct PeerCounters {
    sent: [TrafficCounter; MessageKind::ALL.len()],
    received: [TrafficCounter; MessageKind::ALL.len()],
    wire_sent_bytes: [AtomicU64; 2],
    wire_received_bytes: [AtomicU64; 2],
    faults: [AtomicU64; PeerFault::ALL.len()],
}

impl MessageKind {
    /// All kinds.
    pub const ALL: [Self; 7] = [
        Self::Membership,
        Self::Configuration,
        Self::Limits,
        Self::Idempotency,
        Self::Forward,
        Self::Answer,
        Self::Ping,
    ];

    /// Returns the name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Membership => "membership",
            Self::Configuration => "configuration",
            Self::Limits => "limits",
            Self::Idempotency => "idempotency",
            Self::Forward => "forward",
            Self::Answer => "answer",
            Self::Ping => "ping",
        }
    }

    /// Returns the kind of a control message.
    pub const fn of_message(message: &PeerMessage) -> Self {
        match message {
            PeerMessage::Membership(_) => Self::Membership,
            PeerMessage::Configuration(_) => Self::Configuration,
            PeerMessage::Limits(_) => Self::Limits,
            PeerMessage::Idempotency(_) => Self::Idempotency,
        }
    }

    const fn index(self) -> usize {
        self as usize
    }
}

impl PeerFault {
    /// All faults.
    pub const ALL: [Self; 5] = [
        Self::Dropped,
        Self::Handshake,
        Self::Malformed,
        Self::UnknownName,
        Self::Silent,
    ];

    /// Returns the name used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Dropped => "dropped",
            Self::Handshake => "handshake",
            Self::Malformed => "malformed",
            Self::UnknownName => "unknown_name",
            Self::Silent => "silent",
        }
    }
}

impl TrafficCounter {
    fn add(&self, bytes: u64) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    fn load(&self) -> Traffic {
        Traffic {
            messages: self.messages.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}

impl PeerCounters {
    /// Counts a sent message with the bytes of its content.
    pub fn add_sent(&self, kind: MessageKind, bytes: u64) {
        self.sent[kind.index()].add(bytes);
    }

    /// Counts a received message with the bytes of its content.
    pub fn add_received(&self, kind: MessageKind, bytes: u64) {
        self.received[kind.index()].add(bytes);
    }

    /// Counts a fault.
    pub fn add_fault(&self, fault: PeerFault) {
        self.faults[fault as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts bytes written to a connection.
    pub fn add_wire_sent(&self, purpose: ConnectionPurpose, bytes: u64) {
        self.wire_sent_bytes[wire_index(purpose)].fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts bytes read from a connection.
    pub fn add_wire_received(&self, purpose: ConnectionPurpose, bytes: u64) {
        self.wire_received_bytes[wire_index(purpose)].fetch_add(bytes, Ordering::Relaxed);
    }

    /// Returns the sent traffic of a kind.
    pub fn sent(&self, kind: MessageKind) -> Traffic {
        self.sent[kind.index()].load()
    }

    /// Returns the received traffic of a kind.
    pub fn received(&self, kind: MessageKind) -> Traffic {
        self.received[kind.index()].load()
    }

    /// Returns how often a fault was counted.
    pub fn faults(&self, fault: PeerFault) -> u64 {
        self.faults[fault as usize].load(Ordering::Relaxed)
    }

    /// Returns the bytes written to connections of a purpose, framing included, handshakes
    /// excluded; `Boot` counts as `Control`.
    pub fn wire_sent_bytes(&self, purpose: ConnectionPurpose) -> u64 {
        self.wire_sent_bytes[wire_index(purpose)].load(Ordering::Relaxed)
    }

    /// Returns the bytes read from connections of a purpose, framing included, handshakes excluded;
    /// `Boot` counts as `Control`.
    pub fn wire_received_bytes(&self, purpose: ConnectionPurpose) -> u64 {
        self.wire_received_bytes[wire_index(purpose)].load(Ordering::Relaxed)
    }
}

const fn wire_index(purpose: ConnectionPurpose) -> usize {
    match purpose {
        ConnectionPurpose::Control | ConnectionPurpose::Boot => 0,
        ConnectionPurpose::Forward => 1,
    }
}
