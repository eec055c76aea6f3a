//! Tests of the `publication` behaviour.

mod faults;
