//! The daemon of an entry VM on the users' platform.

mod daemon;
mod entry_bytes;
mod entry_ends;
mod entry_error;
mod entry_quarantine;
mod entry_settings;
mod entry_state;
mod entry_streams;
mod gossip_content;
mod gossip_task;
mod incarnation;
mod log_task;
mod memory_budget;
mod origin_task;
mod reach_task;
mod signals;
mod store_task;
mod watch_task;

pub use daemon::run;
pub use entry_error::EntryError;
pub use entry_settings::EntryBounds;
pub use entry_settings::EntryListeners;
pub use entry_settings::EntrySettings;
pub use entry_state::EntryState;
pub use log_task::write_log;
pub use memory_budget::BodyPermit;
pub use memory_budget::MemoryBudget;
