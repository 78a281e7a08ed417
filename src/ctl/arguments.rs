//! Command line of `ladderctl`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, positional};
use ladder_core::fingerprint::Fingerprint;

/// A parsed command of `ladderctl`.
#[derive(Clone, Debug)]
pub enum Command {
    /// Check records before they are published.
    Check {
        /// Path of a JSON file with a page of records.
        file: PathBuf,
    },
    /// Show the status of each instance.
    Status {
        /// Admin addresses of the instances to query.
        instances: Vec<String>,
    },
    /// Show the owner of each service and the order of its fallback owners.
    Owners {
        /// Name of the only service to show; all services if absent.
        service: Option<String>,
        /// Admin addresses of the instances to query.
        instances: Vec<String>,
    },
    /// Show what happened to the requests with one request key.
    Explain {
        /// Request key of the query.
        key: String,
        /// Admin addresses of the instances to query.
        instances: Vec<String>,
    },
    /// Show the log lines of all instances about one request.
    Story {
        /// Request key of the query.
        key: String,
        /// Paths of log files; if empty, the log is read from standard input.
        logs: Vec<PathBuf>,
    },
    /// Show the requests in quarantine, during which server processes crashed, or release one.
    Quarantine {
        /// Fingerprint of the request to release from quarantine.
        release: Option<Fingerprint>,
        /// Admin addresses of the instances to query.
        instances: Vec<String>,
    },
    /// Stop an instance gracefully.
    Drain {
        /// Admin address of the instance.
        instance: String,
    },
    /// Cut an instance off from peers, for failure tests.
    Cut {
        /// Admin address of the instance.
        instance: String,
        /// Addresses of the peers to cut off; if empty, all links are restored.
        peers: Vec<String>,
    },
}

/// Returns the parser of the command line.
pub fn arguments() -> OptionParser<Command> {
    construct!([check(), status(), owners(), explain(), story(), quarantine(), drain(), cut()])
        .to_options()
        .descr("Checks what is to be published, shows the state of instances and stops them.")
        .footer("Exit codes: 0 success, 1 an instance does not answer or a record is refused.")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Parses the admin addresses of one or more instances.
fn instances() -> impl Parser<Vec<String>> {
    positional::<String>("ADMIN")
        .help("Admin address of an instance, IP:PORT")
        .some("name at least one admin address")
}

/// Parses the admin address of one instance.
fn instance() -> impl Parser<String> {
    positional::<String>("ADMIN").help("Admin address of the instance, IP:PORT")
}

/// Parses the command `check FILE`.
fn check() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE").help("A page of records as JSON");
    construct!(Command::Check { file })
        .to_options()
        .descr("Checks records before they are published, with the same rules as the instances.")
        .command("check")
}

/// Parses the command `status ADMIN...`.
fn status() -> impl Parser<Command> {
    let instances = instances();
    construct!(Command::Status { instances })
        .to_options()
        .descr("Shows the revision in force, members and refused records of each instance.")
        .command("status")
}

/// Parses the command `owners [--service NAME] ADMIN...`.
fn owners() -> impl Parser<Command> {
    let service =
        bpaf::long("service").help("Show only this service").argument::<String>("NAME").optional();
    let instances = instances();
    construct!(Command::Owners { service, instances })
        .to_options()
        .descr(
            "Shows the owner and the fallback owners of each service in the view of each instance.",
        )
        .command("owners")
}

/// Parses the command `explain KEY ADMIN...`.
fn explain() -> impl Parser<Command> {
    let key = positional::<String>("KEY").help("The request key");
    let instances = instances();
    construct!(Command::Explain { key, instances })
        .to_options()
        .descr("Shows what happened at the instances to the requests with one request key.")
        .command("explain")
}

/// Parses the command `story KEY LOG...`.
fn story() -> impl Parser<Command> {
    let key = positional::<String>("KEY").help("The request key");
    let logs = positional::<PathBuf>("LOG")
        .help("Log files of instances; standard input if none is given")
        .many();
    construct!(Command::Story { key, logs })
        .to_options()
        .descr("Shows what the logs of all instances contain about one request, ordered by time.")
        .command("story")
}

/// Parses the command `quarantine [--release FINGERPRINT] ADMIN...`.
fn quarantine() -> impl Parser<Command> {
    let release = bpaf::long("release")
        .help("Release this request from quarantine, at all instances")
        .argument::<Fingerprint>("FINGERPRINT")
        .optional();
    let instances = instances();
    construct!(Command::Quarantine { release, instances })
        .to_options()
        .descr("Shows the requests that are refused because server processes crashed during them.")
        .command("quarantine")
}

/// Parses the command `drain ADMIN`.
fn drain() -> impl Parser<Command> {
    let instance = instance();
    construct!(Command::Drain { instance })
        .to_options()
        .descr("Stops an instance gracefully.")
        .command("drain")
}

/// Parses the command `cut ADMIN PEER...`.
fn cut() -> impl Parser<Command> {
    let instance = instance();
    let peers = positional::<String>("PEER")
        .help("Peer address, IP:PORT; all links are restored if none is given")
        .many();
    construct!(Command::Cut { instance, peers })
        .to_options()
        .descr("Cuts an instance off from peers; only where its settings allow fault injection.")
        .command("cut")
}
