//! A discrete-event simulation of membership and rate limits on a fleet of VMs, in virtual time.

mod bucket;
mod events;
mod network;
mod published;
mod runner;
mod vm;

pub use bucket::ExcessMeter;
pub use bucket::IdealBucket;
pub use published::AccountPlan;
pub use published::Published;
pub use runner::Fleet;
pub use runner::FleetPlan;
pub use runner::Traffic;

use network::Network;
use vm::FleetVm;
use vm::Request;
