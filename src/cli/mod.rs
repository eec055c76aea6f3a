//! The command line.

mod run;

pub use run::run;
