//! The daemon of one VM: its blackboard, its controllers and the path of a request.

mod blackboard;
mod core;
mod core_action;
mod core_event;
mod core_settings;
mod phase;
mod resolve;

pub use blackboard::Blackboard;
pub use core::Core;
pub use core_action::CoreAction;
pub use core_event::CoreEvent;
pub use core_settings::CoreSettings;
pub use phase::Phase;
pub use phase::PhaseCell;
pub use resolve::check_key;
pub use resolve::resolve;
