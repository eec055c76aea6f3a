//! The platform stand-in: configuration service, VM list and directory, with simulated faults.

mod call_counter;
mod faults;
mod routes;
mod server;
mod state;

pub use call_counter::CallCounts;
pub use faults::AnswerForm;
pub use faults::Availability;
pub use faults::DirectoryEntryWire;
pub use faults::PlatformFaults;
pub use faults::TicketCopies;
pub use faults::TicketOrder;
pub use server::PlatformStandIn;
pub use server::PlatformStandInError;
