//! Tests of the request queues: shares of accounts, classes of work and refusals.

mod classes;
mod fair_shares;
mod refusals;
mod support;
