//! Crowds at the ports of `figramp entry`.

use super::crowd::Crowd;
use super::crowd::Shape;
use super::entry_process::Door;
use super::entry_process::EntryProcess;
use super::sockets::alone;

/// Fewer connections than the descriptors of the settings allow.
const CROWD: usize = 300;
/// More connections than the descriptors of the settings allow.
const FULL_CROWD: usize = 450;
/// A limit of the configuration, so large that the heads of a crowd exceed the memory.
const LARGE_HEADER_MAX_BYTES: usize = 256 << 10;

const REQUEST: &str = "POST /read/plan HTTP/1.1\r\nhost: test.example\r\nrequest-id: r1\r\n\
    timeout-ms: 3500\r\ncontent-length: 3\r\n\r\nask";
const CHUNKED: &str = "POST /read/plan HTTP/1.1\r\nhost: test.example\r\nrequest-id: r1\r\n\
    timeout-ms: 3500\r\ntransfer-encoding: chunked\r\n\r\n";
const UNROUTED: &str = "GET / HTTP/1.1\r\nhost: test.example\r\n\r\n";

async fn check(door: Door, shape: Shape) {
    let _alone = alone().await;
    let mut process = EntryProcess::launch().await;
    let crowd = Crowd::gather(process.address(door), shape, CROWD).await;
    process.check_bounds().await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn lines_of_cr_lf_before_a_request() {
    check(Door::Clients, Shape::EmptyLines("\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lines_of_lf_before_a_request() {
    check(Door::Clients, Shape::EmptyLines("\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_after_a_request() {
    check(Door::Clients, Shape::EmptyLinesAfterRequest(REQUEST)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_between_requests() {
    check(Door::Clients, Shape::EmptyLinesBetweenRequests(REQUEST)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_line_of_a_head() {
    check(Door::Clients, Shape::EndlessLine).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_lines_of_a_head() {
    check(Door::Clients, Shape::EndlessLines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_request_line() {
    check(Door::Clients, Shape::EndlessRequestLine).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn part_of_a_head_over_the_limit() {
    check(Door::Clients, Shape::LongPart).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn parts_of_heads_under_a_large_limit() {
    let _alone = alone().await;
    let mut process = EntryProcess::launch_with(LARGE_HEADER_MAX_BYTES).await;
    let shape = Shape::Part(LARGE_HEADER_MAX_BYTES - 8_192);
    let crowd = Crowd::gather(process.address(Door::Clients), shape, CROWD).await;
    process.check_bounds().await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_chunk_extension() {
    check(Door::Clients, Shape::EndlessExtension(CHUNKED)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_trailers() {
    check(Door::Clients, Shape::EndlessTrailers(CHUNKED)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_of_requests() {
    check(Door::Clients, Shape::UnreadAnswers(REQUEST)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_refusals_of_requests() {
    check(Door::Clients, Shape::UnreadAnswers(UNROUTED)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_heads_on_all_connections() {
    let _alone = alone().await;
    let mut process = EntryProcess::launch().await;
    let door = process.address(Door::Clients);
    let crowd = Crowd::gather(door, Shape::Dribble, FULL_CROWD).await;
    process.check_bounds().await;
    drop(crowd);
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_heads_on_all_ports() {
    let _alone = alone().await;
    let mut process = EntryProcess::launch().await;
    let mut crowds = Vec::new();
    for door in [
        Door::Directory,
        Door::Peers,
        Door::Metrics,
        Door::Readiness,
        Door::Clients,
    ] {
        let address = process.address(door);
        crowds.push(Crowd::gather(address, Shape::Dribble, FULL_CROWD).await);
    }
    process.check_bounds().await;
    drop(crowds);
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_at_the_directory() {
    check(Door::Directory, Shape::EmptyLines("\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn long_heads_at_the_directory() {
    check(Door::Directory, Shape::LongPart).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_at_readiness() {
    check(Door::Readiness, Shape::EmptyLines("\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn long_heads_at_readiness() {
    check(Door::Readiness, Shape::LongPart).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_at_the_metrics() {
    check(Door::Metrics, Shape::EmptyLines("\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn long_heads_at_the_metrics() {
    check(Door::Metrics, Shape::LongPart).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unread_metrics() {
    check(Door::Metrics, Shape::UnreadAnswers(UNROUTED)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_at_the_port_for_vms() {
    check(Door::Peers, Shape::EmptyLines("\r\n")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn long_heads_at_the_port_for_vms() {
    check(Door::Peers, Shape::LongPart).await;
}
