//! Forwarded calls and their answers.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use figramp::errors::ErrorKind;
use figramp::errors::GatewayError;
use figramp::errors::RunState;
use figramp::peer::MessageKind;
use figramp::peer::PeerLink;
use figramp::peer::PeerTimings;
use figramp::request::AnswerEvent;
use figramp::request::AnswerStream;
use futures::StreamExt;
use futures::TryStreamExt;
use tokio::net::TcpListener;

use super::fixture::forward_request;
use super::fixture::loopback;
use super::fixture::pair;
use super::fixture::pair_through;
use super::fixture::timings;
use super::fixture::wait_for;
use super::fixture::whole_answer;
use super::fixture::Pair;
use super::fixture::Script;
use super::fixture::WAIT_MAX;
use super::relay::Relay;

async fn forward(pair: &Pair) -> Result<AnswerStream, GatewayError> {
    let request = forward_request(&pair.catalog.load());
    pair.link.forward(pair.serving, request).await
}

async fn last_error(answer: AnswerStream) -> GatewayError {
    let result: Result<Vec<AnswerEvent>, GatewayError> = answer.try_collect().await;
    result.expect_err("the answer is complete")
}

#[tokio::test]
async fn an_answer_arrives_complete_and_batched() {
    const CHUNKS: u64 = 20_000;
    let mut pair = pair(Script::Answer(CHUNKS));
    let request = forward_request(&pair.catalog.load());
    let answer = pair.link.forward(pair.serving, request.clone()).await;
    let events: Vec<AnswerEvent> = answer.unwrap().try_collect().await.unwrap();
    assert_eq!(events, whole_answer(request.call.id, CHUNKS));
    let received = pair.requests.recv().await.unwrap();
    assert!(received.call.remaining <= request.call.remaining);
    let batches = pair.server_context.counters.sent(MessageKind::Answer);
    assert!(batches.messages < CHUNKS / 4, "{batches:?}");
}

#[tokio::test]
async fn a_refusal_is_returned_unchanged() {
    let refusal = GatewayError::new(ErrorKind::Overloaded, "the queue is full")
        .with_retry_after(Duration::from_millis(1_500));
    let pair = pair(Script::Refuse(refusal.clone()));
    assert_eq!(forward(&pair).await.err(), Some(refusal));
}

#[tokio::test]
async fn a_dropped_answer_cancels_the_call() {
    let timings = PeerTimings {
        forward_alive_interval: WAIT_MAX * 2,
        ..timings()
    };
    for script in [Script::Endless, Script::Stall] {
        let pair = pair_through(script, timings, |address| address);
        let mut answer = forward(&pair).await.unwrap();
        answer.next().await.unwrap().unwrap();
        assert_eq!(pair.running.load(Ordering::SeqCst), 1);
        drop(answer);
        let running = pair.running.clone();
        wait_for("the call to be cancelled", || {
            running.load(Ordering::SeqCst) == 0
        })
        .await;
    }
}

#[tokio::test]
async fn a_slow_reader_causes_backpressure() {
    let pair = pair(Script::Endless);
    let answer = forward(&pair).await.unwrap();
    let counters = pair.server_context.counters.clone();
    let mut before = u64::MAX;
    let mut now = 0;
    while before != now {
        before = now;
        tokio::time::sleep(Duration::from_millis(100)).await;
        now = counters.sent(MessageKind::Answer).bytes;
    }
    assert!(
        now < 1_024 * 1_024,
        "{now} bytes were sent without being read"
    );
    drop(answer);
}

#[tokio::test]
async fn a_peer_lost_mid_stream_may_have_run_the_call() {
    let pair = pair(Script::Stall);
    let mut answer = forward(&pair).await.unwrap();
    answer.next().await.unwrap().unwrap();
    pair.server.shutdown();
    let error = last_error(answer).await;
    assert_eq!(error.kind, ErrorKind::PeerUnreachable);
    assert_eq!(error.run, RunState::MayHaveRun);
}

/// The connection stays open, but no item of the answer arrives.
#[tokio::test]
async fn a_call_without_answer_items_times_out() {
    let timings = PeerTimings {
        forward_alive_interval: WAIT_MAX * 2,
        ..timings()
    };
    let pair = pair_through(Script::Stall, timings, |address| address);
    let error = last_error(forward(&pair).await.unwrap()).await;
    assert_eq!(error.kind, ErrorKind::PeerUnreachable);
    assert_eq!(error.run, RunState::MayHaveRun);
}

#[tokio::test]
async fn a_peer_that_was_never_reached_has_not_run_the_call() {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let silent = listener.local_addr().unwrap();
    let refusing = loopback();
    for address in [silent, refusing] {
        let pair = pair_through(Script::Answer(1), timings(), |_| address);
        for _ in 0..2 {
            let error = forward(&pair).await.err().unwrap();
            assert_eq!(error.kind, ErrorKind::PeerUnreachable);
            assert_eq!(error.run, RunState::NotRun);
        }
    }
}

/// Lets a call time out while its connection is being opened, then lets the connection open.
#[tokio::test]
async fn a_call_abandoned_before_it_was_sent_never_runs() {
    let timings = PeerTimings {
        connect_timeout: WAIT_MAX,
        forward_silence_timeout: Duration::from_millis(300),
        ..timings()
    };
    let gate = std::cell::OnceCell::new();
    let mut pair = pair_through(Script::Answer(1), timings, |address| {
        let listener = std::net::TcpListener::bind(loopback()).unwrap();
        let reached = listener.local_addr().unwrap();
        assert!(gate.set((listener, address)).is_ok());
        reached
    });
    let error = forward(&pair).await.err().unwrap();
    assert_eq!(error.run, RunState::NotRun);
    let (listener, address) = gate.into_inner().unwrap();
    Relay::serve(listener, address, Arc::default());
    let retry = async {
        loop {
            let request = forward_request(&pair.catalog.load());
            let id = request.call.id;
            if pair.link.forward(pair.serving, request).await.is_ok() {
                return id;
            }
        }
    };
    let wanted = tokio::time::timeout(WAIT_MAX, retry).await.unwrap();
    assert_eq!(pair.requests.recv().await.unwrap().call.id, wanted);
}

#[tokio::test]
async fn a_silent_connection_is_closed_and_replaced() {
    let relay = std::cell::OnceCell::new();
    let pair = pair_through(Script::Stall, timings(), |address| {
        let (started, reached) = Relay::launch(address);
        assert!(relay.set(started).is_ok());
        reached
    });
    let mut answer = forward(&pair).await.unwrap();
    answer.next().await.unwrap().unwrap();
    relay.get().unwrap().is_silent.store(true, Ordering::SeqCst);
    let error = last_error(answer).await;
    assert_eq!(error.kind, ErrorKind::PeerUnreachable);
    assert_eq!(error.run, RunState::MayHaveRun);
    let counters = pair.link_context.counters.clone();
    wait_for("the silent connection to be closed", || {
        counters.faults(figramp::peer::PeerFault::Silent) > 0
    })
    .await;
    let mut answer = forward(&pair).await.unwrap();
    answer.next().await.unwrap().unwrap();
}
