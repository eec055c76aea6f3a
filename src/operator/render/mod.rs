//! Renders the page, explanations and the audit trail as HTML and text.

mod format;
mod html;
mod html_sections;
mod style;
mod svg;
mod text;
mod text_table;

pub use html::page_html;
pub use text::audit_text;
pub use text::explanation_text;
pub use text::page_text;
