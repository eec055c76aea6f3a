//! Rate and burst of client accounts over all VMs together.

mod action;
mod controller;
mod lot;
mod message;
mod reservation;
mod settings;
mod shard;
mod token_pool;
mod token_pools;

pub use action::LimitsAction;
pub use controller::LimitsController;
pub use lot::Lot;
pub use message::AccountDraw;
pub use message::AccountGrant;
pub use message::Draw;
pub use message::Grant;
pub use message::LeaseAnswer;
pub use message::LeaseRelease;
pub use message::LeaseRequest;
pub use message::LimitsMessage;
pub use message::LotReport;
pub use reservation::Reservation;
pub use settings::LimitsSettings;
pub use shard::Shard;
pub use shard::ShardSet;
pub use shard::SHARD_COUNT;
pub use token_pool::Shortfall;
pub use token_pool::TokenPool;
pub use token_pools::TokenPools;
