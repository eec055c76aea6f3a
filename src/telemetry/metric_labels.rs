//! The labels of metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of the counter of ended requests.
#[derive(Clone, Debug, EncodeLabelSet, PartialEq, Eq, Hash)]
pub(super) struct RequestLabels {
    pub(super) client_account: String,
    pub(super) route: String,
    pub(super) outcome: &'static str,
}

/// Labels of the counter of refusals and failures.
#[derive(Clone, Debug, EncodeLabelSet, PartialEq, Eq, Hash)]
pub(super) struct ErrorLabels {
    pub(super) kind: &'static str,
    pub(super) stage: &'static str,
}

/// The label of a client account.
#[derive(Clone, Debug, EncodeLabelSet, PartialEq, Eq, Hash)]
pub(super) struct AccountLabel {
    pub(super) client_account: String,
}

/// The label of a route.
#[derive(Clone, Debug, EncodeLabelSet, PartialEq, Eq, Hash)]
pub(super) struct RouteLabel {
    pub(super) route: String,
}

/// Labels of traffic between VMs.
#[derive(Clone, Debug, EncodeLabelSet, PartialEq, Eq, Hash)]
pub(super) struct TrafficLabels {
    pub(super) direction: &'static str,
    pub(super) kind: &'static str,
}

/// The label of a fault of a peer connection.
#[derive(Clone, Debug, EncodeLabelSet, PartialEq, Eq, Hash)]
pub(super) struct FaultLabel {
    pub(super) fault: &'static str,
}
