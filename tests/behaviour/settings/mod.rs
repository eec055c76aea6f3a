//! Tests of the `settings` behaviour.

mod bad_settings;
mod command_line;
