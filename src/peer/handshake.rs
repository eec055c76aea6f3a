//! The mutual authentication at the start of each connection.
//!
//! Three frames of fixed size: the dialer's hello, the acceptor's challenge with its proof, the
//! dialer's proof. Both proofs are HMACs over both nonces, both names and the direction, which
//! prevents replay and reflection.

use std::io;

use thiserror::Error;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;

use super::peer_secret::MAC_BYTES;
use super::PeerSecret;
use crate::catalog::Name;

const MAGIC: &[u8; 8] = b"FIGRAMP1";
const NONCE_BYTES: usize = 32;
const NAME_BYTES: usize = 64;
const NONCE_START: usize = MAGIC.len() + 1;
const HELLO_NAME_START: usize = NONCE_START + NONCE_BYTES;
const HELLO_BYTES: usize = HELLO_NAME_START + 1 + NAME_BYTES;
const CHALLENGE_BYTES: usize = NONCE_BYTES + 1 + NAME_BYTES;
const ACCEPTOR: &[u8] = b"acceptor";
const DIALER: &[u8] = b"dialer";

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ConnectionPurpose {
    /// Control messages from the dialer to the acceptor.
    Control,
    /// Forwarded calls and their answers.
    Forward,
    /// Control messages in both directions, before the dialer knows the roster.
    Boot,
}

/// The dialer of an accepted connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dialer {
    /// Its authenticated name.
    pub name: Name,
    /// What it wants to use the connection for.
    pub purpose: ConnectionPurpose,
}

/// Why a handshake failed.
#[derive(Debug, Error)]
pub enum HandshakeError {
    /// Reading or writing failed, or the handshake timed out.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// A frame does not follow the protocol.
    #[error("malformed handshake frame")]
    Malformed,
    /// The peer's HMAC is wrong: it has another secret, or the frame was replayed or altered.
    #[error("the proof of the peer is invalid")]
    WrongProof,
    /// The peer is not the expected VM, or not in the roster.
    #[error("unexpected peer name {name}")]
    UnexpectedName {
        /// The name that the peer claims.
        name: Name,
    },
}

impl ConnectionPurpose {
    const fn to_byte(self) -> u8 {
        match self {
            Self::Control => 0,
            Self::Forward => 1,
            Self::Boot => 2,
        }
    }

    const fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            0 => Some(Self::Control),
            1 => Some(Self::Forward),
            2 => Some(Self::Boot),
            _ => None,
        }
    }
}

/// Authenticates as `local_name` to the acceptor of `stream` and returns the acceptor's name.
///
/// `is_expected` returns whether the acceptor may have the name that it claims.
///
/// # Errors
///
/// Returns a [`HandshakeError`] if the acceptor fails to authenticate or has an unexpected name.
pub async fn dial<S>(
    stream: &mut S,
    secret: &PeerSecret,
    local_name: &Name,
    purpose: ConnectionPurpose,
    is_expected: impl Fn(&Name) -> bool,
) -> Result<Name, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let hello = hello_frame(local_name, purpose);
    stream.write_all(&hello).await?;
    let mut challenge = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut challenge).await?;
    let mut acceptor_proof = [0; MAC_BYTES];
    stream.read_exact(&mut acceptor_proof).await?;
    if !secret.verify(&[ACCEPTOR, &hello, &challenge], &acceptor_proof) {
        return Err(HandshakeError::WrongProof);
    }
    let name = read_name(&challenge[NONCE_BYTES..])?;
    if name == *local_name || !is_expected(&name) {
        return Err(HandshakeError::UnexpectedName { name });
    }
    let proof = secret.sign(&[DIALER, &hello, &challenge]);
    stream.write_all(&proof).await?;
    Ok(name)
}

/// Authenticates as `local_name` to the dialer of `stream` and returns the dialer.
///
/// `is_known` returns whether a VM of that name may connect; no frame is sent to an unknown one.
///
/// # Errors
///
/// Returns a [`HandshakeError`] if the dialer is unknown or fails to authenticate.
pub async fn accept<S>(
    stream: &mut S,
    secret: &PeerSecret,
    local_name: &Name,
    is_known: impl Fn(&Name) -> bool,
) -> Result<Dialer, HandshakeError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut hello = [0; HELLO_BYTES];
    stream.read_exact(&mut hello).await?;
    let dialer = read_hello(&hello)?;
    if dialer.name == *local_name || !is_known(&dialer.name) {
        return Err(HandshakeError::UnexpectedName { name: dialer.name });
    }
    let challenge = challenge_frame(local_name);
    let acceptor_proof = secret.sign(&[ACCEPTOR, &hello, &challenge]);
    stream.write_all(&challenge).await?;
    stream.write_all(&acceptor_proof).await?;
    let mut proof = [0; MAC_BYTES];
    stream.read_exact(&mut proof).await?;
    if !secret.verify(&[DIALER, &hello, &challenge], &proof) {
        return Err(HandshakeError::WrongProof);
    }
    Ok(dialer)
}

fn hello_frame(local_name: &Name, purpose: ConnectionPurpose) -> [u8; HELLO_BYTES] {
    let mut frame = [0; HELLO_BYTES];
    frame[..MAGIC.len()].copy_from_slice(MAGIC);
    frame[MAGIC.len()] = purpose.to_byte();
    frame[NONCE_START..HELLO_NAME_START].copy_from_slice(&nonce());
    write_name(&mut frame[HELLO_NAME_START..], local_name);
    frame
}

fn challenge_frame(local_name: &Name) -> [u8; CHALLENGE_BYTES] {
    let mut frame = [0; CHALLENGE_BYTES];
    frame[..NONCE_BYTES].copy_from_slice(&nonce());
    write_name(&mut frame[NONCE_BYTES..], local_name);
    frame
}

fn nonce() -> [u8; NONCE_BYTES] {
    rand::random()
}

fn read_hello(frame: &[u8; HELLO_BYTES]) -> Result<Dialer, HandshakeError> {
    if !frame.starts_with(MAGIC) {
        return Err(HandshakeError::Malformed);
    }
    let purpose = ConnectionPurpose::from_byte(frame[MAGIC.len()]);
    Ok(Dialer {
        name: read_name(&frame[HELLO_NAME_START..])?,
        purpose: purpose.ok_or(HandshakeError::Malformed)?,
    })
}

fn write_name(field: &mut [u8], name: &Name) {
    let bytes = name.as_str().as_bytes();
    field[0] = u8::try_from(bytes.len()).expect("a name has at most 64 bytes");
    field[1..=bytes.len()].copy_from_slice(bytes);
}

fn read_name(field: &[u8]) -> Result<Name, HandshakeError> {
    let len = usize::from(field[0]);
    let bytes = field.get(1..=len).ok_or(HandshakeError::Malformed)?;
    let text = std::str::from_utf8(bytes).map_err(|_| HandshakeError::Malformed)?;
    Name::new(text).map_err(|_| HandshakeError::Malformed)
}
