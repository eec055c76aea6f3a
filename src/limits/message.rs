//! Messages between VMs about leases and token grants.

use std::time::Duration;

use super::ShardSet;
use crate::catalog::ClientAccountKey;
use crate::catalog::VmKey;
use crate::membership::Incarnation;

/// A message between VMs about leases and token grants; it may be lost, duplicated or delayed.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitsMessage {
    /// Asks a VM of the region for leases.
    LeaseRequest(LeaseRequest),
    /// Answers a request for leases.
    LeaseAnswer(LeaseAnswer),
    /// Releases votes for leases that found no majority.
    LeaseRelease(LeaseRelease),
    /// Asks the home of accounts for tokens and reports on earlier grants.
    Draw(Draw),
    /// Grants tokens in answer to a draw.
    Grant(Grant),
}

/// Asks a VM of the region for leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRequest {
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The number of the request; it grows within the incarnation.
    pub sequence: u32,
    /// The hash of the sender's roster of the region.
    pub roster_hash: u64,
    /// The shards whose leases the sender requests or renews.
    pub shards: ShardSet,
    /// The shards whose leases the sender holds.
    pub held: ShardSet,
}

/// Answers a request for leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseAnswer {
    /// The incarnation of the VM that sent the request.
    pub incarnation: Incarnation,
    /// The number of the request.
    pub sequence: u32,
    /// The shards for which the voter votes for the requesting VM.
    pub shards: ShardSet,
}

/// Releases votes for leases that found no majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseRelease {
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// The number of the request; votes for a later request stay valid.
    pub sequence: u32,
    /// The shards whose votes are released.
    pub shards: ShardSet,
}

/// Asks the home of accounts for tokens and reports on earlier grants.
#[derive(Clone, Debug, PartialEq)]
pub struct Draw {
    /// The VM that draws; another VM may relay its draw.
    pub holder: VmKey,
    /// The incarnation of the VM that draws.
    pub incarnation: Incarnation,
    /// Whether another VM has relayed the draw; it is not relayed again.
    pub is_relayed: bool,
    /// The parts, one for each account.
    pub accounts: Vec<AccountDraw>,
}

/// The part of a [`Draw`] for one account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountDraw {
    /// The account.
    pub account: ClientAccountKey,
    /// The number of the draw; it grows within the incarnation, over all homes. Zero if only
    /// `reports` are sent.
    pub number: u32,
    /// The tokens that waiting requests lack.
    pub need_tokens: u32,
    /// The tokens that the smallest waiting request lacks.
    pub unit_tokens: u32,
    /// The tokens that are wanted ahead of need.
    pub ahead_tokens: u32,
    /// Reports on earlier grants of the same home.
    pub reports: Vec<LotReport>,
}

/// The holder's report on one grant, which the schema calls a lot; all counts are cumulative.
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

/// Grants tokens in answer to a draw.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The incarnation of the VM that drew.
    pub incarnation: Incarnation,
    /// The parts, one for each account.
    pub accounts: Vec<AccountGrant>,
}

/// The part of a [`Grant`] for one account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountGrant {
    /// The account.
    pub account: ClientAccountKey,
    /// The number of the draw.
    pub number: u32,
    /// The granted tokens; zero if the home has too few.
    pub tokens: u32,
    /// The lifetime of the grant, counted from the time when the holder sent the draw.
    pub lifetime: Duration,
    /// The time after which the missing tokens are likely to have accrued; zero while the home has
    /// plenty.
    pub retry_after: Duration,
}
