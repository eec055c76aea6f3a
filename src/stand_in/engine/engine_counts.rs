//! The counts of the stand-in engine.

use serde::Deserialize;
use serde::Serialize;

/// The requests and tokens that the stand-in engine has handled since it started.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Answers that were started at their first chunk.
    pub started: u64,
    /// Answers that were started at a later chunk.
    pub resumed: u64,
    /// Answers whose end event was sent.
    pub finished: u64,
    /// Answers that were cancelled or whose connection was closed.
    pub cancelled: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Orders that were accepted.
    pub orders: u64,
    /// Prompt tokens that were not in the cache.
    pub prefilled_tokens: u64,
    /// Prompt tokens that were found in the cache.
    pub cached_tokens: u64,
}
