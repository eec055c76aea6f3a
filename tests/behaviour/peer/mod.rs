//! Tests of the messages and connections between VMs.

mod control;
mod fixture;
mod forwarding;
mod handshake;
mod hostile_bytes;
mod relay;
mod wire_roundtrip;
