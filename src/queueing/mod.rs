//! Queues for requests that wait for a slot at an endpoint, fair between client accounts.
//!
//! Each class of work has weighted deficit round robin over its accounts (Shreedhar and Varghese,
//! 1996), counted in tokens. A request that cannot start in time is refused on arrival, with the
//! time after which it would be accepted.

mod account_flow;
mod class_queue;
mod drain_rate;
mod fair_queue;
mod queue_item;
mod queue_limits;
mod refused;

pub use fair_queue::FairQueue;
pub use queue_item::QueueItem;
pub use queue_item::Ticket;
pub use queue_limits::QueueLimits;
pub use refused::Refused;
pub use refused::RefusedReason;
