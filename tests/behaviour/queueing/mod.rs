//! Tests of the `queueing` behaviour.

mod classes;
mod fair_shares;
mod refusals;
mod support;
