//! An endpoint of a run, with the proxies before it.

use figramp::stand_in::deployment::AnswerFraming;
use figramp::stand_in::deployment::CopyingProxy;
use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::UnframedAnswers;
use figramp::stand_in::deployment::UnframedProxy;
use http::HeaderValue;
use parking_lot::Mutex;

use super::loopback_proxy::LoopbackProxy;
use super::notices::Notice;
use crate::entry::support::any_port;

/// An endpoint, its simulated faults and the proxies before it.
pub(super) struct EndpointSlot {
    pub(super) server: EndpointServer,
    pub(super) link: LoopbackProxy,
    pub(super) service: &'static str,
    pub(super) zone: &'static str,
    faults: Mutex<EndpointFaults>,
    notice: Mutex<Notice>,
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
            rate: Mutex::default(),
            unframed,
            copying,
        }
    }

    /// Returns whether its answers arrive only once they are complete.
    pub(super) const fn buffers_answers(&self) -> bool {
        self.unframed.is_some()
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
