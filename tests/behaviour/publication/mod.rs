//! Tests of the client of the platform's configuration service and VM list.

mod cut_answers;
mod faults;
