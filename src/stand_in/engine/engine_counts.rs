//! What the stand-in engine has done.

use serde::Deserialize;
use serde::Serialize;

/// What the stand-in engine has done since it started.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct EngineCounts {
    /// Answers that were started at their first chunk.
    pub started: u64,
    /// Answers that were started at a later chunk.
    pub resumed: u64,
    /// Answers whose end mark was sent.
    pub finished: u64,
    /// Answers that were cancelled or whose connection closed.
    pub cancelled: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Orders that were accepted.
    pub orders: u64,
    /// Tokens of prompts that were read.
    pub prefilled_tokens: u64,
    /// Tokens of prompts that were found in the cache.
    pub cached_tokens: u64,
}
