//! Stand-ins for the users' deployment: the platform's store and the endpoints that register in it.

mod answer_body;
mod arrival;
mod crashing_request;
mod endpoint_faults;
mod endpoint_process;
mod endpoint_server;
mod endpoint_state;
mod http_listener;
mod late_reader;
mod link_proxy;
mod raw_head;
mod repeating_refuser;
mod silence;
mod store_server;
mod unframed_proxy;
mod work_log;

pub use arrival::Arrival;
pub use crashing_request::CrashingRequest;
pub use endpoint_faults::EndpointFaults;
pub use endpoint_server::EndpointServer;
pub use late_reader::LateAnswer;
pub use late_reader::LateReader;
pub use link_proxy::LinkProxy;
pub use link_proxy::LinkState;
pub use repeating_refuser::RepeatingRefuser;
pub use store_server::StoreBackup;
pub use store_server::StoreFault;
pub use store_server::StoreServer;
pub use unframed_proxy::AnswerFraming;
pub use unframed_proxy::BreakOff;
pub use unframed_proxy::ConnectionEnd;
pub use unframed_proxy::UnframedAnswers;
pub use unframed_proxy::UnframedProxy;
pub use work_log::Work;
