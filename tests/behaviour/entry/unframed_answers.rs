//! Answers of endpoints that have neither a length nor chunks and end with their connection.

use std::time::Duration;

use figramp::stand_in::deployment::AnswerFraming;
use figramp::stand_in::deployment::BreakOff;
use figramp::stand_in::deployment::ConnectionEnd;
use figramp::stand_in::deployment::EndpointFaults;
use figramp::stand_in::deployment::EndpointServer;
use figramp::stand_in::deployment::UnframedAnswers;
use figramp::stand_in::deployment::UnframedProxy;
use http::header;

use super::support::any_port;
use super::support::configuration;
use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;
use super::support::WEST;

const UNFRAMED: [AnswerFraming; 3] = [
    AnswerFraming::UntilClose,
    AnswerFraming::AnnouncedClose,
    AnswerFraming::Http10,
];

const WITHIN_AN_EVENT: BreakOff = BreakOff {
    after_events: 3,
    then_bytes: 9,
};

const BETWEEN_EVENTS: BreakOff = BreakOff {
    after_events: 3,
    then_bytes: 0,
};

const AFTER_THE_HEAD: BreakOff = BreakOff {
    after_events: 0,
    then_bytes: 0,
};

const WITHIN_A_PLAIN_BODY: BreakOff = BreakOff {
    after_events: 0,
    then_bytes: 2,
};

const WHOLE: UnframedAnswers = UnframedAnswers {
    framing: AnswerFraming::UntilClose,
    break_off: None,
    end: ConnectionEnd::HalfClose,
};

/// The streams that are visibly broken off.
const BROKEN_STREAMS: [(BreakOff, ConnectionEnd); 4] = [
    (WITHIN_AN_EVENT, ConnectionEnd::HalfClose),
    (WITHIN_AN_EVENT, ConnectionEnd::Reset),
    (BETWEEN_EVENTS, ConnectionEnd::Reset),
    (AFTER_THE_HEAD, ConnectionEnd::Reset),
];

fn broken(break_off: BreakOff, end: ConnectionEnd) -> UnframedAnswers {
    UnframedAnswers {
        framing: AnswerFraming::UntilClose,
        break_off: Some(break_off),
        end,
    }
}

/// A site in which a proxy stands before each endpoint.
struct ProxiedSite {
    site: Site,
    plain: Vec<UnframedProxy>,
    engines: Vec<UnframedProxy>,
}

impl ProxiedSite {
    async fn launch(zone: &str) -> Self {
        let site = Site::launch(zone).await;
        Self {
            plain: proxies(&site, &site.plain).await,
            engines: proxies(&site, &site.engines).await,
            site,
        }
    }

    fn set_answers(&self, answers: UnframedAnswers) {
        for proxy in self.plain.iter().chain(&self.engines) {
            proxy.set_answers(answers);
        }
    }

    fn bytes_after_end(&self) -> usize {
        let proxies = self.plain.iter().chain(&self.engines);
        proxies.map(UnframedProxy::bytes_after_end).sum()
    }
}

async fn proxies(site: &Site, endpoints: &[EndpointServer]) -> Vec<UnframedProxy> {
    let mut proxies = Vec::new();
    for endpoint in endpoints {
        let proxy = UnframedProxy::launch(any_port(), endpoint.address()).await;
        let proxy = proxy.expect("a proxy");
        let record = endpoint.record_at(proxy.address(), "ready");
        site.store.put(&endpoint.key(), record);
        proxies.push(proxy);
    }
    proxies
}

async fn launch() -> (ProxiedSite, EntryVm) {
    let site = ProxiedSite::launch(EAST).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.site.store, &[]).await;
    (site, vm)
}

/// A VM that knows one endpoint of each service.
async fn launch_with_one_endpoint() -> (ProxiedSite, EntryVm) {
    let site = ProxiedSite::launch(EAST).await;
    for endpoint in [&site.site.plain[1], &site.site.engines[1]] {
        site.site.store.remove(&endpoint.key());
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.site.store, &[]).await;
    (site, vm)
}

/// A VM in a region without endpoints, and one in the region of the site.
async fn launch_in_two_regions() -> (ProxiedSite, EntryVm, EntryVm) {
    let site = ProxiedSite::launch(WEST).await;
    let (east, west) = (new_ip(), new_ip());
    let remote = EntryVm::launch(west, WEST, &site.site.store, &[east]).await;
    let local = EntryVm::launch(east, EAST, &site.site.store, &[west]).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    (site, local, remote)
}

/// The answer to a request: its status and its body, or `None` if it was broken off.
async fn answer(vm: &EntryVm, path: &str, request_id: &str) -> Option<(u16, String)> {
    let response = vm.post(path, request_id).send().await.ok()?;
    let headers = response.headers();
    let is_framed = headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    assert!(is_framed, "{headers:?}");
    if response.status().is_success() {
        assert_eq!(headers["request-id"], request_id);
    }
    let status = response.status().as_u16();
    Some((status, response.text().await.ok()?))
}

#[tokio::test]
async fn whole_answers_are_passed_on_whole() {
    let (site, vm) = launch_with_one_endpoint().await;
    for framing in UNFRAMED {
        site.set_answers(UnframedAnswers { framing, ..WHOLE });
        for index in 0..20 {
            for path in ["/read/x", "/book/x"] {
                let id = format!("{framing:?}{path}{index}");
                let answer = answer(&vm, path, &id).await;
                assert_eq!(answer, Some((200, "done".to_owned())));
                assert_eq!(site.site.runs(&id), 1);
            }
            for path in ["/stream/x", "/tip-stream/x"] {
                let id = format!("{framing:?}{path}{index}");
                let answer = answer(&vm, path, &id).await;
                assert_eq!(answer, Some((200, whole_stream())));
                assert_eq!(site.site.runs(&id), 1);
            }
        }
    }
    assert_eq!(site.bytes_after_end(), 0);
}

#[tokio::test]
async fn refusals_without_length_are_taken_as_not_run() {
    let (site, vm) = launch().await;
    for framing in UNFRAMED {
        site.set_answers(UnframedAnswers { framing, ..WHOLE });
        let faults = EndpointFaults {
            is_full: true,
            ..EndpointFaults::default()
        };
        site.site.plain[0].set_faults(faults.clone());
        for index in 0..6 {
            let id = format!("{framing:?}{index}");
            let answer = answer(&vm, "/book/x", &id).await;
            assert_eq!(answer, Some((200, "done".to_owned())));
            assert_eq!(site.site.runs(&id), 1);
        }
    }
    assert_eq!(site.bytes_after_end(), 0);
}

#[tokio::test]
async fn broken_streams_are_resumed_elsewhere_with_each_event_once() {
    for (break_off, end) in BROKEN_STREAMS {
        // An endpoint that broke an answer off is avoided for a time.
        let (site, vm) = launch().await;
        site.engines[0].set_answers(broken(break_off, end));
        site.engines[1].set_answers(WHOLE);
        for index in 0..6 {
            let answer = answer(&vm, "/stream/x", &format!("r{index}")).await;
            assert_eq!(answer, Some((200, whole_stream())), "{break_off:?} {end:?}");
        }
        assert!(site.site.engines[0].total_run_count() > 0);
        assert_eq!(site.bytes_after_end(), 0);
    }
}

#[tokio::test]
async fn a_resumable_stream_that_ends_before_its_first_event_is_sent_elsewhere() {
    let (site, vm) = launch().await;
    site.engines[1].set_answers(WHOLE);
    site.engines[0].set_answers(broken(AFTER_THE_HEAD, ConnectionEnd::HalfClose));
    for index in 0..6 {
        let answer = answer(&vm, "/stream/x", &format!("r{index}")).await;
        assert_eq!(answer, Some((200, whole_stream())));
    }
    assert!(site.site.engines[0].total_run_count() > 0);
}

/// Returns the answer to a stream that broke off before its first event.
fn failed() -> (u16, String) {
    (502, "{\"error\":\"failed\"}".to_owned())
}

#[tokio::test]
async fn a_resumed_stream_that_ends_before_its_next_event_is_not_complete() {
    let (site, vm) = launch().await;
    site.engines[0].set_answers(broken(WITHIN_AN_EVENT, ConnectionEnd::HalfClose));
    site.engines[1].set_answers(broken(AFTER_THE_HEAD, ConnectionEnd::HalfClose));
    for index in 0..6 {
        let answer = answer(&vm, "/stream/x", &format!("r{index}")).await;
        // A request under which both engines broke off is not sent again, and then has no event.
        assert!(answer.is_none() || answer == Some(failed()), "{answer:?}");
    }
    assert!(site.site.engines[0].total_run_count() > 0);
    assert!(site.site.engines[1].total_run_count() > 0);
}

#[tokio::test]
async fn a_resumed_stream_with_a_length_or_chunks_may_have_no_event_left() {
    let after_the_last_event = BreakOff {
        after_events: 6,
        then_bytes: 0,
    };
    for is_chunked in [false, true] {
        let site = ProxiedSite::launch(EAST).await;
        site.engines[0].set_answers(broken(after_the_last_event, ConnectionEnd::Reset));
        if is_chunked {
            let direct = &site.site.engines[1];
            site.site.store.put(&direct.key(), direct.record("ready"));
        }
        let vm = EntryVm::launch(new_ip(), EAST, &site.site.store, &[]).await;
        for index in 0..6 {
            let answer = answer(&vm, "/stream/x", &format!("r{index}")).await;
            assert_eq!(answer, Some((200, whole_stream())), "{is_chunked}");
        }
        assert!(site.site.engines[0].total_run_count() > 0);
    }
}

#[tokio::test]
async fn broken_streams_that_cannot_be_resumed_end_with_an_error() {
    let (site, vm) = launch().await;
    for (break_off, end) in BROKEN_STREAMS {
        site.set_answers(broken(break_off, end));
        let id = format!("{break_off:?}{end:?}").replace(' ', "");
        let answer = answer(&vm, "/tip-stream/x", &id).await;
        let expected = (break_off.after_events == 0).then(failed);
        assert_eq!(answer, expected, "{break_off:?} {end:?}");
        assert_eq!(site.site.runs(&id), 1, "{break_off:?} {end:?}");
    }
    site.set_answers(WHOLE);
    let answer = answer(&vm, "/tip-stream/x", "r1").await;
    assert_eq!(answer, Some((200, whole_stream())));
}

#[tokio::test]
async fn a_stream_that_ends_before_its_first_event_is_not_complete() {
    let (site, vm) = launch().await;
    for framing in UNFRAMED {
        site.set_answers(UnframedAnswers {
            framing,
            ..broken(AFTER_THE_HEAD, ConnectionEnd::HalfClose)
        });
        let id = format!("{framing:?}");
        let answer = answer(&vm, "/tip-stream/x", &id).await;
        assert_eq!(answer, Some(failed()), "{id}");
        assert_eq!(site.site.runs(&id), 1);
    }
}

#[tokio::test]
async fn a_reset_plain_answer_is_retried_only_if_that_is_safe() {
    for break_off in [WITHIN_A_PLAIN_BODY, AFTER_THE_HEAD] {
        let (site, vm) = launch().await;
        site.plain[0].set_answers(broken(break_off, ConnectionEnd::Reset));
        site.plain[1].set_answers(WHOLE);
        for index in 0..6 {
            let answer = answer(&vm, "/read/x", &format!("read{index}")).await;
            assert_eq!(answer, Some((200, "done".to_owned())));
        }
        assert!(site.site.plain[0].total_run_count() > 0);
        site.set_answers(broken(break_off, ConnectionEnd::Reset));
        let (status, body) = answer(&vm, "/book/x", "book").await.expect("an answer");
        assert_eq!((status, body.contains("do")), (502, false));
        assert_eq!(site.site.runs("book"), 1);
    }
}

#[tokio::test]
async fn other_pooled_connections_stay_in_use() {
    let (site, vm) = launch_with_one_endpoint().await;
    site.site.plain[0].set_faults(EndpointFaults {
        pause: Duration::from_millis(100),
        ..EndpointFaults::default()
    });
    let together = tokio::join!(answer(&vm, "/read/x", "r1"), answer(&vm, "/read/x", "r2"));
    assert!(together.0.is_some() && together.1.is_some());
    assert_eq!(site.plain[0].connection_count(), 2);
    site.set_answers(WHOLE);
    assert!(answer(&vm, "/book/x", "r3").await.is_some());
    site.set_answers(UnframedAnswers::default());
    for index in 4..10 {
        let id = format!("r{index}");
        let answer = answer(&vm, "/book/x", &id).await;
        assert_eq!(answer, Some((200, "done".to_owned())));
        assert_eq!(site.site.runs(&id), 1);
    }
    assert_eq!(site.plain[0].connection_count(), 2);
    assert_eq!(site.bytes_after_end(), 0);
}

#[tokio::test]
async fn whole_answers_of_another_region_are_passed_on_whole() {
    let (site, local, _remote) = launch_in_two_regions().await;
    for framing in UNFRAMED {
        site.set_answers(UnframedAnswers { framing, ..WHOLE });
        let id = format!("{framing:?}book");
        let booked = answer(&local, "/book/x", &id).await;
        assert_eq!(booked, Some((200, "done".to_owned())));
        assert_eq!(site.site.runs(&id), 1);
        for path in ["/stream/x", "/tip-stream/x"] {
            let id = format!("{framing:?}{path}");
            let answer = answer(&local, path, &id).await;
            assert_eq!(answer, Some((200, whole_stream())));
            assert_eq!(site.site.runs(&id), 1);
        }
    }
}

#[tokio::test]
async fn broken_answers_of_another_region_are_not_complete() {
    let (site, local, _remote) = launch_in_two_regions().await;
    let before_the_first_event = (AFTER_THE_HEAD, ConnectionEnd::HalfClose);
    for (break_off, end) in BROKEN_STREAMS.into_iter().chain([before_the_first_event]) {
        site.set_answers(broken(break_off, end));
        let id = format!("{break_off:?}{end:?}").replace(' ', "");
        // Before its first event, the other VM may break the answer off before its head.
        let is_success = match answer(&local, "/tip-stream/x", &id).await {
            Some((status, _)) => status != 502,
            None => false,
        };
        assert!(!is_success, "{break_off:?} {end:?}");
        assert_eq!(site.site.runs(&id), 1, "{break_off:?} {end:?}");
    }
    site.set_answers(broken(WITHIN_A_PLAIN_BODY, ConnectionEnd::Reset));
    let (status, _) = answer(&local, "/book/x", "r1").await.expect("an answer");
    assert_eq!(status, 502);
    assert_eq!(site.site.runs("r1"), 1);
}

#[tokio::test]
async fn broken_streams_of_another_region_are_resumed_there() {
    for (break_off, end) in BROKEN_STREAMS {
        let (site, local, _remote) = launch_in_two_regions().await;
        allow_three_attempts(&site.site).await;
        site.engines[0].set_answers(broken(break_off, end));
        site.engines[1].set_answers(WHOLE);
        for index in 0..6 {
            let answer = answer(&local, "/stream/x", &format!("r{index}")).await;
            assert_eq!(answer, Some((200, whole_stream())), "{break_off:?} {end:?}");
        }
        assert!(site.site.engines[0].total_run_count() > 0);
    }
}

/// Lets the other VM resume a stream: one attempt stays with the VM that forwards.
async fn allow_three_attempts(site: &Site) {
    let mut configuration = configuration(2, &[KEY]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["maxAttempts"] = serde_json::json!(3);
    }
    site.store.put("op/config", configuration.to_string());
    tokio::time::sleep(Duration::from_millis(500)).await;
}
