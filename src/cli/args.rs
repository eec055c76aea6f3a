//! Defines the subcommands and arguments of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::builder::NonEmptyStringValueParser;
use clap::value_parser;
use clap::Arg;
use clap::ArgAction;
use clap::Command;

const DEFAULT_OPERATOR_ADDRESS: &str = "127.0.0.1:7300";

const EXIT_CODES: &str = "Exit codes:
  0  success
  1  a checked file is not accepted, or a demo call failed or a booking did not run exactly once
  2  the arguments are wrong
  3  the queried VM did not answer
  4  the queried VM does not know the request
  5  the program could not start, or a part of it failed";

/// Returns the definition of the command line of `figramp`.
pub fn command() -> Command {
    Command::new("figramp")
        .version(clap::crate_version!())
        .about("A multi-region inference gateway")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(serve())
        .subcommand(entry())
        .subcommand(check())
        .subcommand(status())
        .subcommand(explain())
        .subcommand(audit())
        .subcommand(stand_in())
        .subcommand(demo())
}

fn serve() -> Command {
    Command::new("serve")
        .about("Run the daemon of one entry VM")
        .long_about(
            "Run the daemon of one entry VM until it gets SIGTERM or SIGINT. It then leaves the \
             list of entry VMs, refuses new work as not run, finishes every running request and \
             exits with 0. A second signal prints what is still running.",
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .help("The settings of this VM, in TOML")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn entry() -> Command {
    Command::new("entry")
        .about("Run the daemon of one entry VM on the users' platform")
        .long_about(
            "Run the daemon of one entry VM on the users' platform until it gets SIGTERM or \
             SIGINT. The platform names the settings file in an environment variable.",
        )
}

fn check() -> Command {
    Command::new("check")
        .about("Check settings and change tickets before anything runs")
        .long_about(
            "Check settings (*.toml) and change tickets (*.json) before anything runs. Each \
             problem is printed with file, line, field and what was expected. The files are also \
             checked against each other: names and addresses of VMs and numbers of tickets must \
             be distinct. References to objects that none of the tickets publishes are printed \
             as notes.",
        )
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .help("Settings (*.toml) or change tickets (*.json)")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
}

fn status() -> Command {
    Command::new("status")
        .about("Print the operators' page of the whole fleet")
        .arg(vm_arg())
        .arg(json_arg())
}

fn explain() -> Command {
    Command::new("explain")
        .about("Print where a request went and why")
        .arg(
            Arg::new("request")
                .value_name("REQUEST_ID")
                .help("The 32 hexadecimal digits that came with the answer")
                .required(true)
                .value_parser(NonEmptyStringValueParser::new()),
        )
        .arg(vm_arg())
        .arg(json_arg())
}

fn audit() -> Command {
    Command::new("audit")
        .about("Print the trail of changes of one VM")
        .arg(
            Arg::new("after")
                .long("after")
                .value_name("SEQUENCE")
                .help("Print only the entries above this sequence number")
                .default_value("0")
                .value_parser(value_parser!(u64)),
        )
        .arg(vm_arg())
        .arg(json_arg())
}

fn stand_in() -> Command {
    Command::new("stand-in")
        .about("Run a stand-in for the platform, a model engine or a plain service")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("platform")
                .about("Stand in for the configuration service, the VM list and the directory")
                .long_about(
                    "Stand in for the configuration service, the VM list and the directory. \
                     Faults are switched at run time by PUT /control/faults, tickets published \
                     by POST /control/tickets, calls counted by GET /control/calls.",
                )
                .arg(address_arg("127.0.0.1:7000"))
                .arg(
                    Arg::new("tickets")
                        .value_name("FILE")
                        .help("Change tickets (*.json) to publish at the start")
                        .num_args(0..)
                        .value_parser(value_parser!(PathBuf)),
                ),
        )
        .subcommand(
            Command::new("engine")
                .about("Stand in for a model engine")
                .arg(address_arg("127.0.0.1:7400"))
                .arg(faults_arg()),
        )
        .subcommand(
            Command::new("service")
                .about("Stand in for a plain service that counts executions")
                .arg(address_arg("127.0.0.1:7500"))
                .arg(faults_arg()),
        )
}

fn demo() -> Command {
    Command::new("demo")
        .about("Run stand-ins and the VMs of three regions in one process")
        .long_about(
            "Run stand-ins and the VMs of three regions in one process on loopback addresses and \
             print the address of the operators' page. With --requests, send a mixed load, print \
             a table of outcomes and exit with 0 only if every accepted request was answered in \
             full and every booking ran once.",
        )
        .arg(
            Arg::new("requests")
                .long("requests")
                .value_name("N")
                .help("The number of requests to send; without it the demo runs until stopped")
                .value_parser(value_parser!(u64).range(1..)),
        )
}

fn vm_arg() -> Arg {
    Arg::new("vm")
        .long("vm")
        .value_name("ADDRESS")
        .help("The operators' address of any VM")
        .default_value(DEFAULT_OPERATOR_ADDRESS)
        .value_parser(value_parser!(SocketAddr))
}

fn json_arg() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Print JSON for programs in place of text")
        .action(ArgAction::SetTrue)
}

fn address_arg(default: &'static str) -> Arg {
    Arg::new("address")
        .long("address")
        .value_name("ADDRESS")
        .help("The address to listen at; port 0 takes a free one")
        .default_value(default)
        .value_parser(value_parser!(SocketAddr))
}

fn faults_arg() -> Arg {
    Arg::new("faults")
        .long("faults")
        .value_name("JSON")
        .help("The faults to show from the start, as PUT /control/faults takes them")
        .default_value("{}")
        .value_parser(NonEmptyStringValueParser::new())
}
