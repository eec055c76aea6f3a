//! Tests of the `vm` behaviour.
