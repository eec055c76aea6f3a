//! Tests of the `platform` behaviour.

mod faults;
