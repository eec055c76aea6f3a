//! Change tickets, their merge and their propagation.

mod message;

mod raw_ticket;

pub use raw_ticket::RawTicket;

pub use message::ConfigurationMessage;
