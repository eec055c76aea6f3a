//! The client of the platform's configuration service and VM list.

mod http_client;
mod platform_client;
mod wire;

pub use http_client::HttpPlatformClient;
pub use http_client::RESPONSE_MAX_BYTES;
pub use platform_client::PlatformClient;
pub use platform_client::PlatformError;
pub use platform_client::TicketBatch;
pub use platform_client::VmListEntry;
pub use wire::TicketWire;
pub use wire::TicketsWire;
pub use wire::VmStateWire;
pub use wire::VmWire;
pub use wire::VmsWire;
