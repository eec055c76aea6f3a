//! What the kernel tells about a process and its sockets.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::time::sleep;

/// The bytes in the queues stay the same for so many polls once a process has read what it will read.
const SAME_POLLS: u32 = 10;
const POLL: Duration = Duration::from_millis(50);
const POLLS_MAX: u32 = 400;

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Waits until no other test of this binary runs.
pub(crate) async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// Returns the peak resident memory of a process.
pub(crate) fn peak_memory_kb(process_id: u32) -> u64 {
    let path = format!("/proc/{process_id}/status");
    let status = fs::read_to_string(path).expect("the process runs");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let value = line.and_then(|line| line.split_whitespace().next());
    value.expect("a value").parse().expect("a number")
}

/// Returns the number of open descriptors of a process.
pub(crate) fn open_descriptors(process_id: u32) -> usize {
    let path = format!("/proc/{process_id}/fd");
    fs::read_dir(path).expect("the process runs").count()
}

/// Waits until the queues of the connections to `door` no longer change.
pub(crate) async fn settle(door: SocketAddr) {
    let mut before = queues(door);
    let mut same = 0;
    for _ in 0..POLLS_MAX {
        sleep(POLL).await;
        let now = queues(door);
        same = if now == before { same + 1 } else { 0 };
        before = now;
        if same == SAME_POLLS {
            return;
        }
    }
}

/// Returns the connections that a process has accepted at `door`, and the bytes in their queues.
fn queues(door: SocketAddr) -> (usize, u64) {
    let table = fs::read_to_string("/proc/net/tcp").expect("a table of connections");
    let std::net::IpAddr::V4(ip) = door.ip() else {
        return (0, 0);
    };
    let local = format!("{:08X}:{:04X}", hexadecimal(ip), door.port());
    let lines = table.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let is_local = fields.next()? == local;
        let is_established = fields.nth(1)? == "01";
        let (sent, received) = fields.next()?.split_once(':')?;
        let bytes = |text| u64::from_str_radix(text, 16).ok();
        (is_local && is_established).then_some(bytes(sent)? + bytes(received)?)
    });
    lines.fold((0, 0), |(count, total), bytes| (count + 1, total + bytes))
}

const fn hexadecimal(ip: Ipv4Addr) -> u32 {
    u32::from_le_bytes(ip.octets())
}
