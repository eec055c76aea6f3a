//! Malformed messages on authenticated connections.

use figramp::peer::handshake::dial;
use figramp::peer::ConnectionPurpose;
use figramp::peer::PeerFault;
use figramp::peer::PeerLink;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::fixture::forward_request;
use super::fixture::name;
use super::fixture::pair;
use super::fixture::secret;
use super::fixture::wait_for;
use super::fixture::Pair;
use super::fixture::Script;
use super::fixture::WAIT_MAX;

const CONNECTIONS: u64 = 200;
const WORD_BYTES: usize = 8;

async fn authenticated(pair: &Pair, purpose: ConnectionPurpose) -> TcpStream {
    let mut stream = TcpStream::connect(pair.server.address()).await.unwrap();
    let dialed = dial(&mut stream, &secret(), &name("dialer"), purpose, |_| true).await;
    dialed.unwrap();
    stream
}

async fn is_closed(stream: &mut TcpStream) -> bool {
    let mut rest = Vec::new();
    timeout(WAIT_MAX, stream.read_to_end(&mut rest))
        .await
        .is_ok()
}

/// Returns one segment of random words in a correct frame; every third has a valid root pointer.
fn framed_noise(seed: u64) -> Vec<u8> {
    let words = u8::try_from(seed % 12 + 1).unwrap();
    let mut bytes = vec![0, 0, 0, 0, words, 0, 0, 0];
    bytes.extend((0..usize::from(words) * WORD_BYTES).map(|_| rand::random::<u8>()));
    if seed.is_multiple_of(3) {
        let root = [0, 0, 0, 0, 1, 0, 1, 0];
        bytes[WORD_BYTES..2 * WORD_BYTES].copy_from_slice(&root);
    }
    bytes
}

/// A frame header that announces more than the largest accepted message.
const HUGE: [u8; 8] = [0, 0, 0, 0, 255, 255, 255, 255];

#[tokio::test]
async fn malformed_bytes_close_only_their_connection() {
    let pair = pair(Script::Answer(3));
    let mut bystander = authenticated(&pair, ConnectionPurpose::Forward).await;
    for seed in 0..CONNECTIONS {
        let purpose = match seed % 2 {
            0 => ConnectionPurpose::Forward,
            _ => ConnectionPurpose::Control,
        };
        let mut stream = authenticated(&pair, purpose).await;
        let bytes = match seed {
            0 => HUGE.to_vec(),
            _ => framed_noise(seed),
        };
        stream.write_all(&bytes).await.unwrap();
        stream.shutdown().await.unwrap();
        assert!(is_closed(&mut stream).await, "{bytes:?}");
    }
    let counters = pair.server_context.counters.clone();
    wait_for("the malformed messages to be counted", || {
        counters.faults(PeerFault::Malformed) > CONNECTIONS / 2
    })
    .await;
    let request = forward_request(&pair.catalog.load());
    assert!(pair.link.forward(pair.serving, request).await.is_ok());
    // A read of 0 bytes would mean that the connection was closed.
    let mut byte = [0];
    let bootstrap = bystander.try_read(&mut byte);
    assert!(!matches!(bootstrap, Ok(0)), "the bystander was closed");
    bystander.shutdown().await.unwrap();
}
