//! A daemon of a run, with the proxy before the store.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Instant;

use parking_lot::Mutex;
use tokio::sync::Mutex as AsyncMutex;

use super::loopback_proxy::LoopbackProxy;
use crate::entry::support::new_ip;
use crate::entry::support::EntryVm;

/// A daemon of a run; its process is started apart.
pub(super) struct VmSlot {
    pub(super) ip: Ipv4Addr,
    pub(super) zone: &'static str,
    pub(super) store_link: LoopbackProxy,
    /// The process; `None` while it is down. The lock makes faults of one VM run one after another.
    pub(super) process: AsyncMutex<Option<EntryVm>>,
    pub(super) start_count: Mutex<u32>,
    pub(super) started_at: Mutex<Instant>,
}

impl VmSlot {
    pub(super) async fn new(zone: &'static str, store: SocketAddr) -> Self {
        Self {
            ip: new_ip(),
            zone,
            store_link: LoopbackProxy::launch(store).await,
            process: AsyncMutex::new(None),
            start_count: Mutex::new(0),
            started_at: Mutex::new(Instant::now()),
        }
    }
}
