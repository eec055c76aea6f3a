//! The HTTP interface towards callers.

mod gateway;

pub use gateway::EntryAnswer;
pub use gateway::EntryList;
pub use gateway::Gateway;
pub use gateway::ModelList;
