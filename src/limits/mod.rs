//! Rate and burst of client accounts over all VMs together.

mod message;

pub use message::LimitsMessage;
