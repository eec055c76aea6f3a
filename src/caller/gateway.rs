//! The interface between the HTTP server for callers and the request handling of the VM.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;

use crate::catalog::KeyDigest;
use crate::catalog::Name;
use crate::errors::GatewayError;
use crate::request::AnswerStream;
use crate::request::IncomingCall;

/// Handles callers' requests.
#[async_trait]
pub trait Gateway: Send + Sync {
    /// Runs a call and returns the events of its answer.
    ///
    /// The first event is the first item of the returned stream; refusals are returned as errors.
    ///
    /// # Errors
    ///
    /// Returns the refusal or failure to send to the caller.
    async fn call(&self, call: IncomingCall) -> Result<AnswerStream, GatewayError>;

    /// Lists the VMs that the caller should use, in order of preference.
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
    /// The VMs in order of preference, without draining ones.
    pub entries: Vec<EntryAnswer>,
    /// How long a caller may use the list before it fetches a new one.
    pub time_to_live: Duration,
}

/// One VM that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAnswer {
    /// The name.
    pub vm: Name,
    /// The region.
    pub region: Name,
    /// The address that callers connect to.
    pub address: SocketAddr,
}

/// The models that a key may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelList {
    /// The names, sorted.
    pub models: Vec<Name>,
}
