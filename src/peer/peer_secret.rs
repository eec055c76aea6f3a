//! The secret that all VMs share.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use sha2::Sha256;
use thiserror::Error;

/// The length of an HMAC-SHA256, in bytes.
pub const MAC_BYTES: usize = 32;

/// The shortest accepted secret, in bytes.
pub const PEER_SECRET_MIN_BYTES: usize = 16;

/// The secret that all VMs share; it keys the HMACs of the [`handshake`](super::handshake).
#[derive(Clone)]
pub struct PeerSecret(Vec<u8>);

/// The secret is too short.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the peer secret must have at least {PEER_SECRET_MIN_BYTES} bytes")]
pub struct PeerSecretError;

impl PeerSecret {
    /// Creates a secret from its bytes.
    ///
    /// # Errors
    ///
    /// Returns [`PeerSecretError`] if there are fewer than [`PEER_SECRET_MIN_BYTES`].
    pub fn new(bytes: impl Into<Vec<u8>>) -> Result<Self, PeerSecretError> {
        let bytes = bytes.into();
        if bytes.len() < PEER_SECRET_MIN_BYTES {
            return Err(PeerSecretError);
        }
        Ok(Self(bytes))
    }

    /// Computes the HMAC-SHA256 of `parts`, one after the other.
    pub(super) fn sign(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        self.mac(parts).finalize().into_bytes().into()
    }

    /// Checks an HMAC-SHA256 in constant time.
    pub(super) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        self.mac(parts).verify_slice(mac).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}
