//! Entries of another writer in the store's list.

use std::time::Duration;

use tokio::time::sleep;

use super::support::new_ip;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;

const LISTING_TIME: Duration = Duration::from_millis(1_500);

/// Returns an item whose value is this JSON text, which is no base64.
fn item(value: &str) -> String {
    format!("{{\"key\":\"servers/i-odd\",\"value\":{value},\"lease\":0}}")
}

fn nested(depth: usize) -> String {
    format!("{}1{}", "[".repeat(depth), "]".repeat(depth))
}

fn odd_items() -> Vec<String> {
    let record = |port: &str, rest: &str| {
        item(&format!(
            "{{\"service\":\"plain\",\"address\":\"127.0.0.1:{port}\",\"zone\":\"east-a\",\"slots\":8{rest}}}"
        ))
    };
    vec![
        item(&nested(5_000)),
        item(&nested(200_000)),
        item("1e400"),
        item("-1e400"),
        item("{\"a\":1e999,\"a\":[]}"),
        item("\"\\ud800\""),
        record("70000", ""),
        record("0", ",\"sequence\":99999999999999999999999999"),
        "{\"key\":7,\"value\":\"\"}".to_owned(),
        "{\"value\":\"\"}".to_owned(),
        "{\"key\":\"servers/\\udc00\",\"value\":\"\"}".to_owned(),
        nested(5_000),
        "null".to_owned(),
        "1e400".to_owned(),
    ]
}

#[tokio::test]
async fn a_vm_follows_the_list_beside_entries_that_cannot_be_read() {
    for odd in odd_items() {
        let site = Site::launch(EAST).await;
        site.store.remove(&site.plain[1].key());
        let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
        let text: String = odd.chars().take(60).collect();
        site.store.put_odd(odd);
        let record = site.plain[1].record("ready");
        site.store.put(&site.plain[1].key(), record);
        site.store.remove(&site.plain[0].key());
        sleep(LISTING_TIME).await;
        let answer = vm.post("/book/x", "r1").send().await.expect("an answer");
        assert_eq!(answer.status(), 200, "{text}");
        assert_eq!(site.plain[1].run_count("r1"), 1, "{text}");
    }
}

#[tokio::test]
async fn a_vm_starts_beside_entries_that_cannot_be_read() {
    let site = Site::launch(EAST).await;
    for odd in odd_items() {
        site.store.put_odd(odd);
    }
    let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
    let answer = vm.post("/book/x", "r1").send().await.expect("an answer");
    assert_eq!(answer.status(), 200);
}

/// Guards against a VM that never becomes ready, as it cannot ask for the page after such a key.
#[tokio::test]
async fn a_vm_starts_though_a_page_ends_with_a_key_that_is_no_query() {
    for odd_key in [
        "servers/a b",
        "servers/a&b=c#d",
        "servers/a%41+?",
        "servers/\u{e9}\"<",
    ] {
        let site = Site::launch(EAST).await;
        site.store.set_page_size(1);
        site.store.put(odd_key, "no record at all");
        let vm = EntryVm::launch(new_ip(), EAST, &site.store, &[]).await;
        let answer = vm.post("/book/x", "r1").send().await.expect("an answer");
        assert_eq!(answer.status(), 200, "{odd_key}");
        assert_eq!(site.runs("r1"), 1, "{odd_key}");
    }
}
