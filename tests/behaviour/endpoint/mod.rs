//! Tests of the HTTP client for endpoints.

mod answer_checks;
mod copied_refusals;
mod copying_endpoint;
mod early_answers;
mod early_calls;
mod endless_bytes;
mod engine_faults;
mod invalid_statuses;
mod operations;
mod pooled_connections;
mod service_faults;
mod support;
mod unframed_answers;
