//! The handshake authenticates both sides and rejects everyone else.

use figramp::errors::RunState;
use figramp::peer::handshake::accept;
use figramp::peer::handshake::dial;
use figramp::peer::handshake::Dialer;
use figramp::peer::CapnpPeerLink;
use figramp::peer::ConnectionPurpose;
use figramp::peer::HandshakeError;
use figramp::peer::PeerFault;
use figramp::peer::PeerLink;
use figramp::peer::PeerSecret;
use tokio::io::duplex;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::DuplexStream;
use tokio::net::TcpStream;

use super::fixture::context;
use super::fixture::forward_request;
use super::fixture::name;
use super::fixture::pair;
use super::fixture::secret;
use super::fixture::timings;
use super::fixture::wait_for;
use super::fixture::Script;

const HELLO_BYTES: usize = 106;
const CHALLENGE_BYTES: usize = 129;
const PROOF_BYTES: usize = 32;
const PIPE_BYTES: usize = 1024;

async fn dial_as(local_name: &str, stream: &mut DuplexStream) -> Result<(), HandshakeError> {
    let purpose = ConnectionPurpose::Control;
    dial(stream, &secret(), &name(local_name), purpose, |_| true).await?;
    Ok(())
}

async fn accept_as(local_name: &str, stream: &mut DuplexStream) -> Result<Dialer, HandshakeError> {
    accept(stream, &secret(), &name(local_name), |_| true).await
}

#[tokio::test]
async fn both_sides_learn_each_others_name() {
    let (mut near, mut far) = duplex(PIPE_BYTES);
    let (dialed, accepted) =
        tokio::join!(dial_as("dialer", &mut near), accept_as("server", &mut far));
    dialed.unwrap();
    let expected = Dialer {
        name: name("dialer"),
        purpose: ConnectionPurpose::Control,
    };
    assert_eq!(accepted.unwrap(), expected);
}

#[tokio::test]
async fn a_wrong_secret_fails_on_both_sides() {
    let wrong = PeerSecret::new(*b"another secret of some length").unwrap();
    let (mut near, mut far) = duplex(PIPE_BYTES);
    let dialing = async {
        let local = name("dialer");
        let result = dial(
            &mut near,
            &wrong,
            &local,
            ConnectionPurpose::Forward,
            |_| true,
        )
        .await;
        drop(near);
        result
    };
    let (dialed, accepted) = tokio::join!(dialing, accept_as("server", &mut far));
    assert!(matches!(dialed, Err(HandshakeError::WrongProof)));
    assert!(accepted.is_err());
}

/// Replays the recorded frames of a dialer to an acceptor.
#[tokio::test]
async fn a_replayed_dialer_is_rejected() {
    let (mut near, mut tapped) = duplex(PIPE_BYTES);
    let (mut far, mut server) = duplex(PIPE_BYTES);
    let mut hello = [0; HELLO_BYTES];
    let mut challenge = [0; CHALLENGE_BYTES];
    let mut proof = [0; PROOF_BYTES];
    let tap = async {
        tapped.read_exact(&mut hello).await.unwrap();
        far.write_all(&hello).await.unwrap();
        far.read_exact(&mut challenge).await.unwrap();
        tapped.write_all(&challenge).await.unwrap();
        tapped.read_exact(&mut proof).await.unwrap();
        far.write_all(&proof).await.unwrap();
    };
    let (dialed, accepted, ()) = tokio::join!(
        dial_as("dialer", &mut near),
        accept_as("server", &mut server),
        tap
    );
    dialed.unwrap();
    accepted.unwrap();
    let (mut far, mut server) = duplex(PIPE_BYTES);
    far.write_all(&hello).await.unwrap();
    far.write_all(&proof).await.unwrap();
    let accepted = accept_as("server", &mut server).await;
    assert!(matches!(accepted, Err(HandshakeError::WrongProof)));
}

/// Sends an acceptor's proof back to it as the dialer's, and a hello back to its sender.
#[tokio::test]
async fn a_reflected_frame_is_rejected() {
    let (mut near, mut server) = duplex(PIPE_BYTES);
    let (mut recorded, mut dialer) = duplex(PIPE_BYTES);
    let mut hello = [0; HELLO_BYTES];
    let recording = async {
        recorded.read_exact(&mut hello).await.unwrap();
        drop(recorded);
    };
    let (dialed, ()) = tokio::join!(dial_as("dialer", &mut dialer), recording);
    assert!(dialed.is_err());
    let reflecting = async {
        near.write_all(&hello).await.unwrap();
        let mut challenge = [0; CHALLENGE_BYTES];
        near.read_exact(&mut challenge).await.unwrap();
        let proof = &challenge[CHALLENGE_BYTES - PROOF_BYTES..];
        near.write_all(proof).await.unwrap();
    };
    let (accepted, ()) = tokio::join!(accept_as("server", &mut server), reflecting);
    assert!(matches!(accepted, Err(HandshakeError::WrongProof)));
    let (mut near, mut server) = duplex(PIPE_BYTES);
    near.write_all(&hello).await.unwrap();
    near.shutdown().await.unwrap();
    let to_itself = accept_as("dialer", &mut server).await;
    assert!(matches!(
        to_itself,
        Err(HandshakeError::UnexpectedName { .. })
    ));
}

#[tokio::test]
async fn an_unknown_vm_with_the_secret_is_rejected() {
    let pair = pair(Script::Answer(1));
    let unknown = context("unknown", &pair.catalog, timings());
    let link = CapnpPeerLink::launch(unknown).unwrap();
    let request = forward_request(&pair.catalog.load());
    let error = link.forward(pair.serving, request).await.err().unwrap();
    assert_eq!(error.run, RunState::NotRun);
    assert_eq!(pair.server_context.counters.faults(PeerFault::Handshake), 1);
}

/// Sends an invalid hello, and a single byte of one; both are disconnected, and peers are still
/// served.
#[tokio::test]
async fn invalid_and_slow_dialers_are_disconnected() {
    let pair = pair(Script::Answer(1));
    let counters = pair.server_context.counters.clone();
    let mut invalid = TcpStream::connect(pair.server.address()).await.unwrap();
    invalid.write_all(&[0xa5; HELLO_BYTES]).await.unwrap();
    wait_for("the invalid dialer to be disconnected", || {
        counters.faults(PeerFault::Handshake) == 1
    })
    .await;
    let mut slow = TcpStream::connect(pair.server.address()).await.unwrap();
    slow.write_all(b"F").await.unwrap();
    wait_for("the slow dialer to be disconnected", || {
        counters.faults(PeerFault::Handshake) == 2
    })
    .await;
    let request = forward_request(&pair.catalog.load());
    let answer = pair.link.forward(pair.serving, request).await;
    assert!(answer.is_ok());
}
