//! A fleet of VMs' membership and limits decisions in virtual time: a list of pending events.

mod bucket;
mod events;
mod network;
mod published;
mod runner;
mod vm;

pub use published::AccountPlan;
pub use published::Published;
pub use runner::Fleet;
pub use runner::FleetPlan;
pub use runner::Traffic;

use bucket::ExcessMeter;
use bucket::IdealBucket;
use network::Network;
use vm::FleetVm;
use vm::Request;
