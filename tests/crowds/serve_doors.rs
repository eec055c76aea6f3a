//! Crowds at the ports of `figramp serve`.

use std::net::SocketAddr;

use super::crowd::Crowd;
use super::crowd::Shape;
use super::serve_process::ServeProcess;
use super::sockets::alone;

const CROWD: usize = 400;

const UNROUTED: &str = "GET / HTTP/1.1\r\nhost: test.example\r\n\r\n";

async fn check(door: impl FnOnce(&ServeProcess) -> SocketAddr, shape: Shape) {
    let _alone = alone().await;
    let mut process = ServeProcess::launch().await;
    let crowd = Crowd::gather(door(&process), shape, CROWD).await;
    process.check_bounds().await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_lines_of_cr_lf() {
    check(|process| process.caller, Shape::EmptyLines("\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_part_of_a_head() {
    check(|process| process.caller, Shape::LongPart).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_endless_line() {
    check(|process| process.caller, Shape::EndlessLine).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_unread_answers() {
    check(|process| process.caller, Shape::UnreadAnswers(UNROUTED)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_lines_of_cr_lf() {
    check(|process| process.operator, Shape::EmptyLines("\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_part_of_a_head() {
    check(|process| process.operator, Shape::LongPart).await;
}
