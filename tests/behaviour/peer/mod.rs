//! Tests of the `peer` behaviour.

mod control;
mod fixture;
mod forwarding;
mod handshake;
mod hostile_bytes;
mod relay;
mod wire_roundtrip;
