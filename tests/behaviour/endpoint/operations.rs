//! Load reports, cache events and orders.

use std::sync::Mutex;
use std::time::Duration;

use figramp::catalog::Name;
use figramp::catalog::TicketNumber;
use figramp::catalog::WorkClass;
use figramp::endpoint::EndpointClient;
use figramp::endpoint::EndpointOrder;
use figramp::endpoint::OrderOutcome;
use figramp::request::CallBody;
use figramp::stand_in::engine::EngineOptions;
use futures::StreamExt;

use super::support::completion;
use super::support::launch_engine;
use super::support::outcome;
use crate::caller::support::faults;

fn order(fencing: u64) -> EndpointOrder {
    EndpointOrder {
        fencing: TicketNumber(fencing),
        model: Name::new("advice").unwrap(),
        version: Name::new("v2").unwrap(),
    }
}

#[tokio::test]
async fn an_old_order_is_fenced_unless_the_engine_ignores_fencing() {
    let (engine, endpoint, client) = launch_engine(EngineOptions::default()).await;
    let fenced = OrderOutcome::Fenced {
        highest: TicketNumber(7),
    };
    for (fencing, expected) in [
        (7, OrderOutcome::Accepted),
        (7, OrderOutcome::Accepted),
        (6, fenced),
    ] {
        assert_eq!(client.order(&endpoint, order(fencing)).await, Ok(expected));
    }
    engine.set_faults(faults(r#"{"is_fencing_ignored":true}"#));
    assert_eq!(
        client.order(&endpoint, order(6)).await,
        Ok(OrderOutcome::Accepted)
    );
}

#[tokio::test]
async fn load_reports_contain_cache_events_after_a_sequence_number() {
    let options = EngineOptions {
        load_report_lag: Duration::ZERO,
        ..EngineOptions::default()
    };
    let (engine, endpoint, client) = launch_engine(options).await;
    let mut call = completion();
    if let CallBody::Completion(completion) = &mut call.body {
        completion.body =
            r#"{"model":"m","messages":[{"role":"a","content":"x"},{"role":"b"}]}"#.into();
    }
    let mut events = client
        .call(&endpoint, call)
        .await
        .unwrap_or_else(|error| panic!("{error}"));
    events.next().await.unwrap().unwrap();
    let report = client.load(&endpoint, 0).await.unwrap();
    assert_eq!((report.running, report.waiting), (1, 0));
    assert_eq!((report.cache_sequence, report.cache_events.len()), (2, 2));
    assert_eq!(
        client.load(&endpoint, 1).await.unwrap().cache_events.len(),
        1
    );
    engine.set_faults(faults(
        r#"{"is_load_understated":true,"cache_event_gap_every":2}"#,
    ));
    let report = client.load(&endpoint, 0).await.unwrap();
    assert_eq!((report.running, report.cache_events.len()), (0, 1));
}

#[tokio::test]
async fn interactive_work_overtakes_long_work_inside_the_engine() {
    let options = EngineOptions {
        concurrency: 1,
        time_per_token: Duration::from_millis(20),
        load_report_lag: Duration::ZERO,
        ..EngineOptions::default()
    };
    let (_engine, endpoint, client) = launch_engine(options).await;
    let order = Mutex::new(Vec::new());
    let call = |class, waiting_before| {
        let (endpoint, client, order) = (&endpoint, &client, &order);
        async move {
            loop {
                let report = client.load(endpoint, 0).await.unwrap();
                if report.running + report.waiting == waiting_before {
                    break;
                }
            }
            let mut call = completion();
            call.class = class;
            assert_eq!(outcome(client.call(endpoint, call).await).await.end, Ok(()));
            order.lock().unwrap().push(class);
        }
    };
    futures::join!(
        call(WorkClass::Long, 0),
        call(WorkClass::Long, 1),
        call(WorkClass::Interactive, 2)
    );
    let expected = [WorkClass::Long, WorkClass::Interactive, WorkClass::Long];
    assert_eq!(order.into_inner().unwrap(), expected);
}

#[tokio::test]
async fn evictable_prefixes_do_not_count_as_memory_in_use() {
    let options = EngineOptions {
        load_report_lag: Duration::ZERO,
        cache_tokens: 256,
        ..EngineOptions::default()
    };
    let (_engine, endpoint, client) = launch_engine(options).await;
    let answer = outcome(client.call(&endpoint, completion()).await).await;
    assert_eq!(answer.end, Ok(()));
    let report = client.load(&endpoint, 0).await.unwrap();
    assert_eq!((report.running, report.cache_used_permille), (0, 0));
}
