//! Conversions between domain types and wire types.

mod answer_wire;
mod call_wire;
mod control_wire;
mod text;

pub use answer_wire::read_item;
pub use answer_wire::write_item;
pub use answer_wire::AnswerItem;
pub use call_wire::read_forward;
pub use call_wire::write_forward;
pub use control_wire::read_control;
pub use control_wire::write_control;
pub use text::read_request_id;
pub use text::write_request_id;
