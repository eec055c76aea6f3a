//! The HTTP client of the platform against faults of the platform stand-in.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use figramp::catalog::Name;
use figramp::catalog::ServiceState;
use figramp::catalog::TicketNumber;
use figramp::configuration::RawTicket;
use figramp::publication::HttpPlatformClient;
use figramp::publication::PlatformClient;
use figramp::publication::PlatformError;
use figramp::publication::VmListEntry;
use figramp::publication::VmStateWire;
use figramp::publication::VmWire;
use figramp::stand_in::platform::AnswerForm;
use figramp::stand_in::platform::Availability;
use figramp::stand_in::platform::DirectoryEntryWire;
use figramp::stand_in::platform::PlatformFaults;
use figramp::stand_in::platform::PlatformStandIn;
use figramp::stand_in::platform::TicketCopies;
use figramp::stand_in::platform::TicketOrder;

const TIMEOUT: Duration = Duration::from_millis(500);

fn ticket(number: u64, size_bytes: usize) -> RawTicket {
    let text = format!(
        "{{\"number\":{number},\"objects\":\"{}\"}}",
        "x".repeat(size_bytes)
    );
    RawTicket {
        number: TicketNumber(number),
        body: Bytes::from(text),
    }
}

async fn start(tickets: u64) -> (PlatformStandIn, HttpPlatformClient) {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = PlatformStandIn::start(any_port).await.unwrap();
    for number in 1..=tickets {
        platform.publish(ticket(number, 10));
    }
    let client = HttpPlatformClient::new(platform.address(), TIMEOUT).unwrap();
    (platform, client)
}

async fn numbers(client: &HttpPlatformClient, after: u64) -> Result<Vec<u64>, PlatformError> {
    let batch = client.tickets(TicketNumber(after), Duration::ZERO).await?;
    Ok(batch.tickets.iter().map(|ticket| ticket.number.0).collect())
}

#[rocket::async_test]
async fn ticket_faults_reach_the_client() {
    let (platform, client) = start(3).await;
    assert_eq!(numbers(&client, 1).await, Ok(vec![2, 3]));
    let cases = [
        (
            PlatformFaults {
                pinned_ticket: Some(2),
                ..Default::default()
            },
            vec![1, 2],
        ),
        (
            PlatformFaults {
                withheld_tickets: vec![2],
                ..Default::default()
            },
            vec![1, 3],
        ),
        (
            PlatformFaults {
                ticket_order: TicketOrder::Descending,
                ..Default::default()
            },
            vec![3, 2, 1],
        ),
        (
            PlatformFaults {
                ticket_copies: TicketCopies::Twice,
                ..Default::default()
            },
            vec![1, 2, 3, 1, 2, 3],
        ),
    ];
    for (faults, expected) in cases {
        platform.set_faults(faults);
        assert_eq!(numbers(&client, 0).await, Ok(expected));
    }
    platform.stop().await;
}

#[rocket::async_test]
async fn an_unresponsive_service_is_an_error_within_the_timeout() {
    let (platform, client) = start(1).await;
    for availability in [Availability::Down, Availability::Silent] {
        platform.set_faults(PlatformFaults {
            availability,
            ..Default::default()
        });
        let start = Instant::now();
        let error = numbers(&client, 0).await.unwrap_err();
        assert!(
            matches!(error, PlatformError::Unavailable { .. }),
            "{error}"
        );
        assert!(start.elapsed() < TIMEOUT * 4, "{availability:?}");
    }
    let address = platform.address();
    platform.stop().await;
    let gone = HttpPlatformClient::new(address, TIMEOUT).unwrap();
    let reason = "no connection".to_owned();
    assert_eq!(gone.vms().await, Err(PlatformError::Unavailable { reason }));
}

#[rocket::async_test]
async fn malformed_responses_are_errors() {
    let (platform, client) = start(1).await;
    let answer_form = AnswerForm::Malformed;
    platform.set_faults(PlatformFaults {
        answer_form,
        ..Default::default()
    });
    let is_malformed = |error| matches!(error, PlatformError::Malformed { .. });
    assert!(is_malformed(numbers(&client, 0).await.unwrap_err()));
    platform.set_faults(PlatformFaults::default());
    platform.set_vms([VmWire {
        name: "not a name".to_owned(),
        state: VmStateWire::Live,
    }]);
    assert!(is_malformed(client.vms().await.unwrap_err()));
    platform.stop().await;
}

#[rocket::async_test]
async fn a_watch_ends_with_the_ticket_and_counts_as_one_call() {
    let (platform, client) = start(1).await;
    let watch = client.tickets(TicketNumber(1), Duration::from_secs(20));
    let publish = async {
        while platform.counts().waiting_calls == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        platform.publish(ticket(2, 10));
    };
    let (batch, ()) = tokio::join!(watch, publish);
    assert_eq!(batch.unwrap().tickets, vec![ticket(2, 10)]);
    assert_eq!(platform.counts().total_calls, 1);
    assert_eq!(platform.counts().waiting_calls, 0);
    platform.stop().await;
}

#[rocket::async_test]
async fn values_of_a_megabyte_come_in_bounded_pages() {
    let (platform, client) = start(0).await;
    for number in 1..=6 {
        platform.publish(ticket(number, 1_000_000));
    }
    let first = numbers(&client, 0).await.unwrap();
    assert_eq!(first, vec![1, 2, 3, 4]);
    assert_eq!(numbers(&client, 4).await, Ok(vec![5, 6]));
    platform.stop().await;
}

#[rocket::async_test]
async fn the_vm_list_lags_and_the_directory_names_a_dead_vm() {
    let (platform, client) = start(0).await;
    let wire = |state| VmWire {
        name: "sydney-1".to_owned(),
        state,
    };
    platform.set_vms([wire(VmStateWire::Live)]);
    platform.set_vms([wire(VmStateWire::Leaving)]);
    let entry = |state| VmListEntry {
        vm: Name::new("sydney-1").unwrap(),
        state,
    };
    assert_eq!(client.vms().await, Ok(vec![entry(ServiceState::Leaving)]));
    let dead = DirectoryEntryWire {
        name: "gone".to_owned(),
        caller_address: SocketAddr::from(([127, 0, 0, 1], 1)),
    };
    platform.set_faults(PlatformFaults {
        vm_list_lag_ms: 60_000,
        directory_dead_vm: Some(dead),
        ..Default::default()
    });
    assert_eq!(client.vms().await, Ok(vec![entry(ServiceState::Active)]));
    let url = format!("http://{}/v1/directory", platform.address());
    let directory = reqwest::get(url).await.unwrap().text().await.unwrap();
    assert!(directory.contains("gone"), "{directory}");
    platform.stop().await;
}
