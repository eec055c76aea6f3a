//! The client of the platform's configuration service, VM list and directory.

mod platform_client;

pub use platform_client::PlatformClient;
pub use platform_client::PlatformError;
pub use platform_client::TicketBatch;
pub use platform_client::VmListEntry;
