//! The settings of a daemon, read from TOML and checked before use.
