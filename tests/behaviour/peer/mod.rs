//! Tests of the `peer` behaviour.

mod fixture;
mod forwarding;
mod handshake;
mod wire_roundtrip;
