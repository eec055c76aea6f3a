//! The border between the HTTP interface and the decisions of the VM.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;

use crate::catalog::KeyDigest;
use crate::catalog::Name;
use crate::errors::GatewayError;
use crate::request::AnswerStream;
use crate::request::IncomingCall;

/// Answers callers' requests.
#[async_trait]
pub trait Gateway: Send + Sync {
    /// Runs a call and returns the events of its answer.
    ///
    /// The first event comes with the returned stream's first item; refusals come as errors.
    ///
    /// # Errors
    ///
    /// Returns the refusal or failure as it is to be answered.
    async fn call(&self, call: IncomingCall) -> Result<AnswerStream, GatewayError>;

    /// Lists the VMs that the caller should use, best first.
    fn entries(&self, key_digest: Option<KeyDigest>) -> EntryList;

    /// Lists the models that the key may use.
    ///
    /// # Errors
    ///
    /// Returns an error if a key is given that is not valid.
    fn models(&self, key_digest: Option<KeyDigest>) -> Result<ModelList, GatewayError>;
}

/// The VMs that a caller should use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryList {
    /// The VMs, best first; leaving VMs are absent.
    pub entries: Vec<EntryAnswer>,
    /// How long the list may be used.
    pub time_to_live: Duration,
}

/// One VM that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAnswer {
    /// The name.
    pub vm: Name,
    /// The region.
    pub region: Name,
    /// The address for callers.
    pub address: SocketAddr,
}

/// The models that a key may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelList {
    /// The names, sorted.
    pub models: Vec<Name>,
}
