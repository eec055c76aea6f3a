//! Clients that read long answers slowly.

use std::net::Ipv4Addr;
use std::time::Duration;

use figramp::stand_in::deployment::EndpointFaults;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use super::support::configuration;
use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;

/// A little less than the longest answer that a VM buffers.
const ANSWER_BYTES: usize = 4_190_000;

/// Keeps the kernel from taking over most of an answer.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// The memory that the settings allow the process.
const MEMORY_MAX_KB: u64 = 182 * 1024;

const TIMEOUT_MS: u64 = 20_000;

/// Longer than the time that a VM which leaves goes on accepting connections.
const READ_DELAY: Duration = Duration::from_millis(3_500);

const READ_TIME: Duration = Duration::from_millis(2_000);

const READ_CHUNKS: u32 = 80;
const READERS: usize = 6;
const BURST_READERS: usize = 90;

async fn launch() -> (Site, EntryVm) {
    let site = Site::launch(EAST).await;
    let mut configuration = configuration(2, &[KEY]);
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["timeoutMs"] = TIMEOUT_MS.into();
    }
    site.store.put("op/config", configuration.to_string());
    for endpoint in &site.plain {
        endpoint.set_faults(EndpointFaults {
            answer_bytes: Some(ANSWER_BYTES),
            ..EndpointFaults::default()
        });
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    (site, vm)
}

async fn connect(ip: Ipv4Addr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let limited = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    limited.expect("the option is known");
    socket.set_nonblocking(true).expect("a socket");
    let socket = tokio::net::TcpSocket::from_std_stream(socket.into());
    let address = (ip, 8221).into();
    socket.connect(address).await.expect("a connection")
}

async fn ask(ip: Ipv4Addr, id: &str) -> TcpStream {
    let mut stream = connect(ip).await;
    let request = format!(
        "POST /read/x HTTP/1.1\r\nHost: test.example\r\nRequest-Id: {id}\r\n\
         Timeout-Ms: {TIMEOUT_MS}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 3\r\n\r\nask"
    );
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the request is sent");
    stream
}

/// Reads an answer at an even rate after a delay; returns the length of its body.
async fn read_slowly(mut stream: TcpStream) -> usize {
    sleep(READ_DELAY).await;
    let mut received = 0;
    let mut chunk = vec![0; ANSWER_BYTES / READ_CHUNKS as usize];
    loop {
        let length = match stream.read(&mut chunk).await {
            Ok(length) if length > 0 => length,
            _ => break,
        };
        received += chunk[..length].iter().filter(|byte| **byte == b'x').count();
        if received >= ANSWER_BYTES {
            break;
        }
        let part = length as f64 / ANSWER_BYTES as f64;
        sleep(READ_TIME.mul_f64(part)).await;
    }
    received
}

/// Guards against a stop that cuts answers which the daemon has read whole and not yet written.
#[tokio::test]
async fn a_stop_waits_for_answers_that_are_being_written() {
    let (_site, mut vm) = launch().await;
    let mut readers = Vec::new();
    for number in 0..READERS {
        let stream = ask(vm.ip, &format!("r{number}")).await;
        readers.push(tokio::spawn(read_slowly(stream)));
    }
    sleep(Duration::from_millis(500)).await;
    vm.signal("-TERM");
    for reader in readers {
        let length = reader.await.expect("the reader ends");
        assert!(length >= ANSWER_BYTES, "{length} bytes");
    }
    assert_eq!(vm.wait_for_exit(), Some(0));
}

/// Guards against answers in writing that no budget counts.
#[tokio::test]
async fn answers_that_nobody_reads_take_a_bounded_part_of_the_memory() {
    let (_site, vm) = launch().await;
    let mut streams = Vec::new();
    for number in 0..BURST_READERS {
        streams.push(ask(vm.ip, &format!("r{number}")).await);
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(1_000)).await;
    let peak_kb = vm.peak_memory_kb();
    assert!(peak_kb < MEMORY_MAX_KB, "{peak_kb} KB");
    drop(streams);
    // The memory of the answers is free again.
    sleep(Duration::from_millis(500)).await;
    let answer = timeout(READ_DELAY, vm.post("/read/x", "after").send());
    let answer = answer.await.expect("in time").expect("an answer");
    assert_eq!(answer.status(), 200);
}
