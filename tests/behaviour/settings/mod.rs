//! Tests of the settings files and of the command line.

mod bad_settings;
mod command_line;
