//! The operators' page as HTML.

use maud::html;
use maud::PreEscaped;
use maud::DOCTYPE;

use super::format;
use super::html_sections;
use super::style::STYLE;
use crate::operator::wire::PageWire;

/// Renders the page as HTML that has no scripts and loads nothing.
pub fn page_html(page: &PageWire) -> String {
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                meta http-equiv="refresh" content="15";
                title { "figramp: " (page.verdict_level) }
                style { (PreEscaped(STYLE)) }
            }
            body {
                main {
                    p class=(format!("verdict {}", page.verdict_level)) { (page.verdict) }
                    p class="made" {
                        "Since 00:00 UTC or the start of each VM; made " (format::time(page.made_at_unix_ms))
                        "; " (format::vms(page.vms.len())) " reported"
                        @if !page.missing_vms.is_empty() {
                            span class="late" {
                                ", no report from " (page.missing_vms.join(", "))
                            }
                        }
                        "."
                    }
                    (html_sections::requests(page))
                    (html_sections::accounts(page))
                    (html_sections::latencies(page))
                    (html_sections::configuration(page))
                    (html_sections::endpoints(page))
                    (html_sections::changes(page))
                }
            }
        }
    };
    markup.into_string()
}
