//! The parsed command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::ArgMatches;

/// The subcommand to run, with its arguments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Invocation {
    /// Run the daemon.
    Serve {
        /// The settings file.
        settings: PathBuf,
    },
    /// Run the daemon on the users' platform.
    Entry,
    /// Check files.
    Check {
        /// The files.
        files: Vec<PathBuf>,
    },
    /// Print the operators' page.
    Status(Query),
    /// Print where a request went and why.
    Explain {
        /// The identifier of the request.
        request: String,
        /// The VM to query and the output format.
        query: Query,
    },
    /// Print the audit trail.
    Audit {
        /// The sequence number above which to print.
        after: u64,
        /// The VM to query and the output format.
        query: Query,
    },
    /// Run the platform stand-in.
    StandInPlatform {
        /// The address to listen at.
        address: SocketAddr,
        /// The tickets to publish.
        tickets: Vec<PathBuf>,
    },
    /// Run an endpoint stand-in.
    StandInEndpoint(StandInEndpoint),
    /// Run the demo.
    Demo {
        /// The number of requests; `None` runs until stopped.
        request_count: Option<u64>,
    },
}

/// The VM to query and the output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// The operators' address of the VM.
    pub vm: SocketAddr,
    /// The format in which the answer is printed.
    pub output: OutputFormat,
}

/// The format in which an answer is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Readable text.
    Text,
    /// JSON, for programs.
    Json,
}

/// An endpoint stand-in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StandInEndpoint {
    /// The kind of endpoint that it replaces.
    pub kind: StandInKind,
    /// The address to listen at.
    pub address: SocketAddr,
    /// The faults to simulate from the start, in JSON.
    pub faults: String,
}

/// The kind of endpoint that a stand-in replaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StandInKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

impl From<&ArgMatches> for Invocation {
    fn from(matches: &ArgMatches) -> Self {
        let Some((name, matches)) = matches.subcommand() else {
            unreachable!("the command line requires a subcommand");
        };
        match name {
            "serve" => Self::Serve {
                settings: one(matches, "settings"),
            },
            "entry" => Self::Entry,
            "check" => Self::Check {
                files: many(matches, "files"),
            },
            "status" => Self::Status(Query::from(matches)),
            "explain" => Self::Explain {
                request: one(matches, "request"),
                query: Query::from(matches),
            },
            "audit" => Self::Audit {
                after: one(matches, "after"),
                query: Query::from(matches),
            },
            "stand-in" => stand_in(matches),
            "demo" => Self::Demo {
                request_count: matches.get_one("requests").copied(),
            },
            _ => unreachable!("the command line has no other subcommand"),
        }
    }
}

impl From<&ArgMatches> for Query {
    fn from(matches: &ArgMatches) -> Self {
        let output = match matches.get_flag("json") {
            true => OutputFormat::Json,
            false => OutputFormat::Text,
        };
        Self {
            vm: one(matches, "vm"),
            output,
        }
    }
}

fn stand_in(matches: &ArgMatches) -> Invocation {
    let Some((name, matches)) = matches.subcommand() else {
        unreachable!("the command line requires a stand-in");
    };
    let kind = match name {
        "platform" => {
            return Invocation::StandInPlatform {
                address: one(matches, "address"),
                tickets: many(matches, "tickets"),
            }
        }
        "engine" => StandInKind::Engine,
        _ => StandInKind::Service,
    };
    Invocation::StandInEndpoint(StandInEndpoint {
        kind,
        address: one(matches, "address"),
        faults: one(matches, "faults"),
    })
}

fn one<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, id: &str) -> T {
    matches
        .get_one::<T>(id)
        .cloned()
        .expect("the argument is required or has a default")
}

fn many<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, id: &str) -> Vec<T> {
    matches
        .get_many::<T>(id)
        .map(|values| values.cloned().collect())
        .unwrap_or_default()
}
