//! The state shared by the sending and the receiving half of the transport.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::Weak;

use arc_swap::ArcSwap;
use tokio::sync::mpsc;

use super::PeerCounters;
use super::PeerHandler;
use super::PeerMessage;
use super::PeerSecret;
use super::PeerTimings;
use crate::catalog::Catalog;
use crate::catalog::Name;
use crate::catalog::VmKey;

/// The state shared by the [`CapnpPeerLink`](super::CapnpPeerLink) and the
/// [`PeerServer`](super::PeerServer).
pub struct PeerContext {
    /// The name of this VM.
    pub local_name: Name,
    /// The secret that all VMs share.
    pub secret: PeerSecret,
    /// The catalog in force.
    pub catalog: Arc<ArcSwap<Catalog>>,
    /// VMs that may connect although they are not in the catalog in force.
    pub seeds: Vec<Name>,
    /// The timeouts and intervals.
    pub timings: PeerTimings,
    /// The counters.
    pub counters: Arc<PeerCounters>,
    handler: OnceLock<Weak<dyn PeerHandler>>,
    reply_paths: RwLock<HashMap<Name, mpsc::Sender<PeerMessage>>>,
}

impl PeerContext {
    /// Creates a context without seeds and with the default timings.
    pub fn new(local_name: Name, secret: PeerSecret, catalog: Arc<ArcSwap<Catalog>>) -> Self {
        Self {
            local_name,
            secret,
            catalog,
            seeds: Vec::new(),
            timings: PeerTimings::default(),
            counters: Arc::default(),
            handler: OnceLock::new(),
            reply_paths: RwLock::default(),
        }
    }

    /// Returns whether a VM of this name may connect.
    pub fn is_known(&self, name: &Name) -> bool {
        self.vm_named(name).is_some() || self.seeds.contains(name)
    }

    /// Returns the key of a VM in the catalog in force.
    pub fn vm_named(&self, name: &Name) -> Option<VmKey> {
        self.catalog.load().vm_named(name)
    }

    pub(super) fn set_handler(&self, handler: &Arc<dyn PeerHandler>) {
        // Boot connections of the link deliver to the first server's handler only.
        let _ = self.handler.set(Arc::downgrade(handler));
    }

    pub(super) fn handler(&self) -> Option<Arc<dyn PeerHandler>> {
        self.handler.get()?.upgrade()
    }

    pub(super) fn add_reply_path(&self, name: Name, path: mpsc::Sender<PeerMessage>) {
        let mut paths = self
            .reply_paths
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        paths.retain(|_, path| !path.is_closed());
        paths.insert(name, path);
    }

    pub(super) fn reply_path(&self, name: &Name) -> Option<mpsc::Sender<PeerMessage>> {
        let paths = self
            .reply_paths
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let path = paths.get(name)?;
        (!path.is_closed()).then(|| path.clone())
    }
}

impl fmt::Debug for PeerContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerContext")
            .field("own", &self.local_name)
            .finish_non_exhaustive()
    }
}
