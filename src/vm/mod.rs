//! The daemon of one VM: its blackboard, its controllers and the path of a request.

mod phase;
mod resolve;

pub use phase::Phase;
pub use phase::PhaseCell;
pub use resolve::check_key;
pub use resolve::resolve;
