//! Messages between VMs about leases and token grants.

use std::time::Duration;

use super::ShardSet;
use crate::catalog::ClientAccountKey;
use crate::catalog::VmKey;
use crate::membership::Incarnation;

/// A message between VMs about leases and token grants; it may be lost, doubled or late.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitsMessage {
    /// Asks a VM of the region for leases.
    LeaseRequest(LeaseRequest),
    /// Answers a request for leases.
    LeaseAnswer(LeaseAnswer),
    /// Gives up leases that found no majority.
    LeaseRelease(LeaseRelease),
    /// Asks the home of accounts for tokens and reports on earlier grants.
    Draw(Draw),
    /// Gives tokens.
    Grant(Grant),
}

/// Asks a VM of the region for leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The number of the request; it grows within the incarnation.
    pub sequence: u32,
    /// The hash of the region's roster as the sender has it.
    pub roster_hash: u64,
    /// The shards that the sender wants to have or to keep.
    pub shards: ShardSet,
    /// The shards that the sender has.
    pub held: ShardSet,
}

/// Answers a request for leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// The incarnation that asked.
    pub incarnation: Incarnation,
    /// The number of the request.
    pub sequence: u32,
    /// The shards that are granted.
    pub shards: ShardSet,
}

/// Gives up leases that found no majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRelease {
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The number of the request; a later request stays in force.
    pub sequence: u32,
    /// The shards that are given up.
    pub shards: ShardSet,
}

/// Asks the home of accounts for tokens and reports on earlier grants.
#[derive(Clone, Debug, PartialEq)]
pub struct Draw {
    /// The VM that draws; another VM may pass its draw on.
    pub holder: VmKey,
    /// The incarnation of the VM that draws.
    pub incarnation: Incarnation,
    /// Whether another VM has passed it on.
    pub is_relayed: bool,
    /// The accounts.
    pub accounts: Vec<AccountDraw>,
}

/// The part of a [`Draw`] for one account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountDraw {
    /// The account.
    pub account: ClientAccountKey,
    /// The number of the draw; it grows within the incarnation, over all homes.
    pub number: u32,
    /// The tokens that waiting requests miss.
    pub need_tokens: u32,
    /// The tokens that the smallest waiting request misses.
    pub unit_tokens: u32,
    /// The tokens that are wanted ahead of need.
    pub ahead_tokens: u32,
    /// Reports on earlier grants of the same home.
    pub reports: Vec<LotReport>,
}

/// What became of one grant; all counts are cumulative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LotReport {
    /// The number of the draw that the grant answered.
    pub number: u32,
    /// The tokens that requests reserved.
    pub spent_tokens: u32,
    /// The tokens that requests reserved and used.
    pub used_tokens: u32,
    /// The tokens that requests reserved and did not use.
    pub refunded_tokens: u32,
    /// The tokens that no request reserved and that none can reserve any more.
    pub returned_tokens: u32,
}

/// Gives tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The incarnation that drew.
    pub incarnation: Incarnation,
    /// The accounts.
    pub accounts: Vec<AccountGrant>,
}

/// The part of a [`Grant`] for one account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountGrant {
    /// The account.
    pub account: ClientAccountKey,
    /// The number of the draw.
    pub number: u32,
    /// The tokens; none if the home has no more.
    pub tokens: u32,
    /// The life of the grant, counted from the time when the holder sent the draw.
    pub lifetime: Duration,
    /// The time after which the rest of the wish is likely to be there; zero while the home has
    /// plenty.
    pub retry_after: Duration,
}
