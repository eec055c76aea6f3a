//! The operators' page of a sample day as JSON, text and HTML.

use figramp::operator::render::page_html;
use figramp::operator::render::page_text;
use figramp::operator::wire::PageWire;
use figramp::operator::FleetReport;

use super::fixture::at;
use super::fixture::fleet;

fn page() -> PageWire {
    PageWire::new(&fleet(), at(21, 5).unix_ms)
}

#[test]
fn the_json_is_as_recorded() {
    insta::assert_json_snapshot!(page());
}

#[test]
fn the_text_is_as_recorded() {
    insta::assert_snapshot!(page_text(&page()));
}

#[test]
fn the_html_loads_nothing_and_escapes_its_values() {
    let mut page = page();
    page.changes[0].summary = "<script>alert(1)</script>".to_owned();
    let html = page_html(&page);
    assert!(!html.contains("<script"));
    assert!(!html.contains("http://"));
    assert!(!html.contains("https://"));
    assert!(html.contains(&page.verdict));
    // If FIGRAMP_PAGE is set, writes the page to that file for a look in a browser.
    if let Ok(path) = std::env::var("FIGRAMP_PAGE") {
        std::fs::write(path, page_html(&self::page())).unwrap();
    }
}

#[test]
fn a_day_without_requests_has_a_page() {
    let page = PageWire::new(&FleetReport::default(), at(0, 0).unix_ms);
    assert_eq!(page.verdict, "No request has ended yet today.");
    assert!(!page_html(&page).is_empty());
}
