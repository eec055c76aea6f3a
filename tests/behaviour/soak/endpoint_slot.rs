//! An endpoint of a run, with the proxies before it.

use std::time::Instant;

use figramp::stand_in::deployment::AnswerFraming;
use figramp::stand_in::deployment::CopyingProxy;
use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::UnframedAnswers;
use figramp::stand_in::deployment::UnframedProxy;
use http::HeaderValue;
use parking_lot::Mutex;
use serde_json::json;
use serde_json::Value;

use super::loopback_proxy::LoopbackProxy;
use super::notices::Notice;
use crate::entry::support::any_port;

/// What the store lists of an endpoint's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Listing {
    /// Its record, which says until when it is cold; the process may write it again.
    Current { cold_until: Option<Instant> },
    /// The record of the process before, while the process is down or has not written its own yet.
    Previous,
    /// Nothing, as the record of the process before has lapsed.
    Lapsed,
}

/// An endpoint, its simulated faults and the proxies before it.
pub(super) struct EndpointSlot {
    pub(super) server: EndpointServer,
    pub(super) link: LoopbackProxy,
    pub(super) service: &'static str,
    pub(super) zone: &'static str,
    faults: Mutex<EndpointFaults>,
    notice: Mutex<Notice>,
    listing: Mutex<Listing>,
    rate: Mutex<Option<HeaderValue>>,
    /// Passes streams on without a length and chunks.
    unframed: Option<UnframedProxy>,
    /// Writes copies of refusals.
    pub(super) copying: Option<CopyingProxy>,
}

impl EndpointSlot {
    /// Starts an endpoint whose answers have this framing; with a seed, copies of its refusals are drawn from it.
    pub(super) async fn launch(
        zone: &'static str,
        service: &'static str,
        id: &str,
        framing: AnswerFraming,
        copy_seed: Option<u64>,
    ) -> Self {
        let server = EndpointServer::launch(any_port(), id, service, zone).await;
        let server = server.expect("an endpoint");
        let mut address = server.address();
        let mut unframed = None;
        if framing != AnswerFraming::Length {
            let proxy = UnframedProxy::launch(any_port(), address).await;
            let proxy = proxy.expect("a proxy");
            proxy.set_answers(UnframedAnswers {
                framing,
                ..UnframedAnswers::default()
            });
            address = proxy.address();
            unframed = Some(proxy);
        }
        let mut copying = None;
        if let Some(seed) = copy_seed {
            let proxy = CopyingProxy::launch(any_port(), address, seed).await;
            let proxy = proxy.expect("a proxy");
            address = proxy.address();
            copying = Some(proxy);
        }
        Self {
            server,
            link: LoopbackProxy::launch(address).await,
            service,
            zone,
            faults: Mutex::default(),
            notice: Mutex::default(),
            listing: Mutex::new(Listing::Current { cold_until: None }),
            rate: Mutex::default(),
            unframed,
            copying,
        }
    }

    /// Returns whether its answers arrive only once they are complete.
    pub(super) const fn buffers_answers(&self) -> bool {
        self.unframed.is_some()
    }

    pub(super) fn set_listing(&self, new: Listing) {
        *self.listing.lock() = new;
    }

    /// Returns the record that its process writes; `None` if it writes none.
    pub(super) fn record(&self, state: &str) -> Option<String> {
        let Listing::Current { cold_until } = *self.listing.lock() else {
            return None;
        };
        let record = self.server.record_at(self.link.address(), state);
        let mut record: Value = serde_json::from_str(&record).expect("a record");
        if let Some(cold_until) = cold_until {
            let remaining = cold_until.saturating_duration_since(Instant::now());
            record["coldRemainingMs"] = json!(remaining.as_millis() as u64);
        }
        Some(record.to_string())
    }

    /// Returns whether the store lists its process.
    pub(super) fn is_listed(&self) -> bool {
        matches!(*self.listing.lock(), Listing::Current { .. })
    }

    /// Returns whether the record of its process has lapsed.
    pub(super) fn has_lapsed(&self) -> bool {
        *self.listing.lock() == Listing::Lapsed
    }

    /// Ends its process; connections to it are refused.
    pub(super) async fn crash(&self) {
        self.link.stop_listening().await;
        self.server.crash();
    }

    /// Starts another process under the same identifier; returns when it started.
    pub(super) async fn start_again(&self) -> Instant {
        let key = self.server.key();
        let (_, id) = key.split_once('/').expect("a prefix and an identifier");
        self.server.replace();
        let started_at = Instant::now();
        let restarted = self.server.restart(id).await;
        restarted.expect("the endpoint restarts");
        self.link.listen_again();
        started_at
    }

    /// Replaces the simulated faults; the notice and the rate in force stay.
    pub(super) fn set_faults(&self, faults: EndpointFaults) {
        *self.faults.lock() = faults;
        self.apply();
    }

    /// Replaces the notice in the answers; the simulated faults and the rate stay.
    pub(super) fn set_notice(&self, new: Notice) {
        *self.notice.lock() = new;
        self.apply();
    }

    /// Replaces the rate that answers name; the simulated faults and the notice stay.
    pub(super) fn set_rate(&self, new: Option<HeaderValue>) {
        *self.rate.lock() = new;
        self.apply();
    }

    fn apply(&self) {
        let notice = self.notice.lock();
        let mut faults = notice.added_to(self.faults.lock().clone());
        faults.rate_limit.clone_from(&self.rate.lock());
        self.server.set_faults(faults);
    }
}
