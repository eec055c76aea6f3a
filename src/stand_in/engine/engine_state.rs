//! The state of the stand-in engine.

use super::EngineOptions;

/// The state of the stand-in engine.
#[derive(Debug)]
pub(super) struct EngineState {
    /// The options.
    pub(super) options: EngineOptions,
}

impl EngineState {
    /// Creates the state of an idle engine.
    pub(super) fn new(options: EngineOptions) -> Self {
        Self { options }
    }
}
