//! Single requests inside the limits, also with a head or a body just under them, and one over them.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::entry_process::Door;
use super::entry_process::EntryProcess;
use super::entry_process::BODY_MAX_BYTES;
use super::entry_process::HEAD;
use super::entry_process::HEADER_MAX_BYTES;
use super::sockets::alone;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
const PIECE_PAUSE: Duration = Duration::from_millis(1);

/// Returns a head of `maxHeaderBytes` with a body of this length to follow.
fn longest_head(body_bytes: usize) -> Vec<u8> {
    let end = format!("content-length: {body_bytes}\r\n\r\n");
    let filler_bytes = HEADER_MAX_BYTES - HEAD.len() - end.len();
    let filler = format!(
        "filler: {}\r\n",
        "a".repeat(filler_bytes - "filler: \r\n".len())
    );
    let head = format!("{HEAD}{filler}{end}").into_bytes();
    assert_eq!(head.len(), HEADER_MAX_BYTES);
    head
}

async fn connect(process: &EntryProcess) -> TcpStream {
    let stream = TcpStream::connect(process.address(Door::Clients)).await;
    let stream = stream.expect("a connection");
    stream.set_nodelay(true).expect("a mode");
    stream
}

/// Reads the answer of the stand-in and checks that it is one of success.
async fn check_answer(stream: &mut TcpStream) {
    let mut answer = Vec::new();
    let read = async {
        while !answer.ends_with(b"done") {
            let count = stream.read_buf(&mut answer).await.expect("an answer");
            if count == 0 {
                return;
            }
        }
    };
    timeout(ANSWER_TIMEOUT, read)
        .await
        .expect("an answer in time");
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with("done"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn longest_heads_on_one_connection() {
    let _alone = alone().await;
    let process = EntryProcess::launch().await;
    let mut stream = connect(&process).await;
    for _ in 0..3 {
        stream.write_all(&longest_head(3)).await.expect("a head");
        stream.write_all(b"ask").await.expect("a body");
        check_answer(&mut stream).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn head_in_many_pieces() {
    let _alone = alone().await;
    let process = EntryProcess::launch().await;
    let mut stream = connect(&process).await;
    let request = format!("\r\n{HEAD}content-length: 3\r\n\r\nask");
    for byte in request.bytes() {
        stream.write_all(&[byte]).await.expect("a byte");
        sleep(PIECE_PAUSE).await;
    }
    check_answer(&mut stream).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn longest_body_after_the_longest_head() {
    let _alone = alone().await;
    let process = EntryProcess::launch().await;
    let mut stream = connect(&process).await;
    let mut request = longest_head(BODY_MAX_BYTES);
    request.resize(HEADER_MAX_BYTES + BODY_MAX_BYTES, b'a');
    stream.write_all(&request).await.expect("a request");
    check_answer(&mut stream).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn longest_chunked_body_in_small_chunks() {
    let _alone = alone().await;
    let process = EntryProcess::launch().await;
    let mut stream = connect(&process).await;
    let mut request = format!("{HEAD}transfer-encoding: chunked\r\n\r\n").into_bytes();
    for _ in 0..BODY_MAX_BYTES / 256 {
        request.extend_from_slice(b"100\r\n");
        request.resize(request.len() + 256, b'a');
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice(b"0\r\n\r\n");
    stream.write_all(&request).await.expect("a request");
    check_answer(&mut stream).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_is_idle_for_four_fifths_of_the_limit_is_kept() {
    let _alone = alone().await;
    let process = EntryProcess::launch().await;
    let mut stream = connect(&process).await;
    let request = format!("{HEAD}content-length: 3\r\n\r\nask");
    for _ in 0..2 {
        stream
            .write_all(request.as_bytes())
            .await
            .expect("a request");
        check_answer(&mut stream).await;
        sleep(Duration::from_secs(12)).await;
    }
    stream
        .write_all(request.as_bytes())
        .await
        .expect("a request");
    check_answer(&mut stream).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_one_behind_the_other_are_all_answered() {
    let _alone = alone().await;
    let process = EntryProcess::launch().await;
    let mut stream = connect(&process).await;
    let request = format!("{HEAD}content-length: 3\r\n\r\nask");
    let requests = request.repeat(50);
    stream
        .write_all(requests.as_bytes())
        .await
        .expect("requests");
    let mut answers = Vec::new();
    let read = async {
        while answers
            .windows(4)
            .filter(|window| window == b"done")
            .count()
            < 50
        {
            let count = stream.read_buf(&mut answers).await.expect("an answer");
            assert!(count > 0, "the connection was closed");
        }
    };
    timeout(ANSWER_TIMEOUT, read)
        .await
        .expect("answers in time");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_over_the_limit_is_refused() {
    let _alone = alone().await;
    let process = EntryProcess::launch().await;
    let mut stream = connect(&process).await;
    let mut head = HEAD.as_bytes().to_vec();
    // The longest head, and the empty lines that are allowed before it.
    head.resize(HEADER_MAX_BYTES + 1_024, b'a');
    stream.write_all(&head).await.expect("a head");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let read = timeout(ANSWER_TIMEOUT, read).await;
    read.expect("an end in time").expect("an answer");
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}
