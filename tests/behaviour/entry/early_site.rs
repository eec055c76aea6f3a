//! Sites with endpoints that answer early, and checks of what clients get.

use std::time::Duration;

use super::early_endpoint::EarlyAnswer;
use super::early_endpoint::EarlyEndpoint;
use super::early_endpoint::UPLOAD_BYTES;
use super::support::configuration;
use super::support::new_ip;
use super::support::whole_stream;
use super::support::EntryVm;
use super::support::Site;
use super::support::EAST;
use super::support::KEY;
use super::support::WEST;

/// Launches a site that takes long uploads and three attempts at a request.
pub(super) async fn site_for_uploads(zone: &str) -> Site {
    let site = Site::launch(zone).await;
    let mut configuration = configuration(2, &[KEY]);
    configuration["limits"]["maxBodyBytes"] = (2 * UPLOAD_BYTES).into();
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route["maxAttempts"] = 3.into();
    }
    site.store.put("op/config", configuration.to_string());
    site
}

/// A site whose endpoints of each service are one that answers early and, for some tests, a sound one.
struct EarlySite {
    site: Site,
    plain: EarlyEndpoint,
    engine: EarlyEndpoint,
}

/// Whether each service has a sound endpoint too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Others {
    Sound,
    None,
}

impl EarlySite {
    async fn launch(zone: &str, others: Others, plain: EarlyAnswer, stream: EarlyAnswer) -> Self {
        let site = site_for_uploads(zone).await;
        for endpoints in [&site.plain, &site.engines] {
            site.store.remove(&endpoints[0].key());
            if others == Others::None {
                site.store.remove(&endpoints[1].key());
            }
        }
        let plain = EarlyEndpoint::launch(plain).await;
        let engine = EarlyEndpoint::launch(stream).await;
        plain.register(&site.store, "p1", "plain", zone);
        engine.register(&site.store, "e1", "engine", zone);
        Self {
            site,
            plain,
            engine,
        }
    }

    /// Returns how often a request arrived at the endpoints that answer early.
    fn early_arrivals(&self, request_id: &str) -> usize {
        self.plain.arrival_count(request_id) + self.engine.arrival_count(request_id)
    }

    fn sound_runs(&self, request_id: &str) -> usize {
        self.site.runs(request_id) as usize
    }
}

/// The status of an answer and its body, or `None` if it broke off.
pub(super) async fn send(
    vm: &EntryVm,
    path: &str,
    id: &str,
    upload: usize,
) -> Option<(u16, String)> {
    let request = vm.post(path, id).body(id.repeat(upload / id.len() + 1));
    let response = request.send().await.ok()?;
    let status = response.status().as_u16();
    Some((status, response.text().await.ok()?))
}

/// Checks that requests which must not be repeated are failed, and were sent on once.
async fn check_unsafe(vm: &EntryVm, site: &EarlySite, upload: usize, case: &str) {
    for path in ["/book/x", "/tip-stream/x"] {
        let id = format!("u{}", path.len());
        let answer = send(vm, path, &id, upload).await;
        let is_failed = matches!(&answer, None | Some((502, _)));
        assert!(is_failed, "{case} {path}: {answer:?}");
        assert_eq!(site.early_arrivals(&id), 1, "{case} {path}");
    }
}

/// Sends requests that may be repeated until one has arrived at an endpoint that answers early, and checks
/// that each gets the whole answer of the sound one.
async fn check_retried(vm: &EntryVm, site: &EarlySite, upload: usize, case: &str) {
    let whole = [
        ("/read/x", "done".to_owned()),
        ("/stream/x", whole_stream()),
    ];
    for (path, whole) in whole {
        let mut has_arrived = false;
        for index in 0..20 {
            let id = format!("r{}-{index}", path.len());
            let answer = send(vm, path, &id, upload).await;
            assert_eq!(answer, Some((200, whole.clone())), "{case} {path}");
            assert_eq!(site.sound_runs(&id), 1, "{case} {path}");
            has_arrived = site.early_arrivals(&id) > 0;
            if has_arrived {
                break;
            }
        }
        assert!(has_arrived, "{case} {path}");
    }
}

/// Checks what clients get whose VM sends their requests to the endpoints.
pub(super) async fn check_in_one_region([plain, stream]: [EarlyAnswer; 2], upload: usize) {
    let case = format!("{plain:?} {upload}");
    let site = EarlySite::launch(EAST, Others::None, plain, stream).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.site.store, &[]).await;
    check_unsafe(&vm, &site, upload, &case).await;
    let site = EarlySite::launch(EAST, Others::Sound, plain, stream).await;
    let vm = EntryVm::launch(new_ip(), EAST, &site.site.store, &[]).await;
    check_retried(&vm, &site, upload, &case).await;
}

/// Checks what clients get whose VM forwards their requests to one of the other region.
pub(super) async fn check_over_a_forward([plain, stream]: [EarlyAnswer; 2], upload: usize) {
    let case = format!("forwarded: {plain:?} {upload}");
    for others in [Others::None, Others::Sound] {
        let site = EarlySite::launch(WEST, others, plain, stream).await;
        let (east, west) = (new_ip(), new_ip());
        let _remote = EntryVm::launch(west, WEST, &site.site.store, &[east]).await;
        let local = EntryVm::launch(east, EAST, &site.site.store, &[west]).await;
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        match others {
            Others::None => check_unsafe(&local, &site, upload, &case).await,
            Others::Sound => check_retried(&local, &site, upload, &case).await,
        }
    }
}
