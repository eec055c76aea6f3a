//! The adapter to the users' platform: its names, formats and calls.
//!
//! It holds no policy. Every name on the platform's wire is decoded here, once, into the types of
//! the other modules.

mod answer_head;
mod configuration_wire;
mod directory_wire;
mod item_wire;
mod probe_wire;
mod record_wire;
mod request_head;
mod settings_file;
mod settings_wire;
mod store_client;
mod store_error;

pub use answer_head::is_not_executed;
pub use answer_head::AnswerHead;
pub use answer_head::RateNotice;
pub use configuration_wire::decode_configuration;
pub use directory_wire::DirectoryAnswer;
pub use directory_wire::DirectoryQuery;
pub use probe_wire::decode_report;
pub use probe_wire::probe_request;
pub use record_wire::decode_record;
pub use request_head::set_endpoint_headers;
pub use request_head::set_resume_position;
pub use request_head::EndpointHeaders;
pub use request_head::RequestHead;
pub use settings_file::load_settings;
pub use settings_file::settings_path;
pub use settings_file::SettingsError;
pub use store_client::StoreClient;
pub use store_client::StoreContent;
pub use store_error::StoreError;
