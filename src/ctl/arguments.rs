//! Command line of `ladderctl`.

use std::path::PathBuf;

use bpaf::{OptionParser, Parser, construct, positional};
use ladder_core::fingerprint::Fingerprint;

/// What the operator asks for.
#[derive(Clone, Debug)]
pub enum Command {
    /// Check records before they are published.
    Check {
        /// A JSON file with a page of records.
        file: PathBuf,
    },
    /// Show what each instance holds true.
    Status {
        /// Operators' addresses of the instances.
        instances: Vec<String>,
    },
    /// Show who owns what, and the order in which others would.
    Owners {
        /// Only this service.
        service: Option<String>,
        /// Operators' addresses of the instances.
        instances: Vec<String>,
    },
    /// Show what happened to the requests of one key.
    Explain {
        /// The request key.
        key: String,
        /// Operators' addresses of the instances.
        instances: Vec<String>,
    },
    /// Show what the instances' logs say of one request.
    Story {
        /// The request key.
        key: String,
        /// Files of log lines; none: standard input.
        logs: Vec<PathBuf>,
    },
    /// Show the requests that are refused because servers ended under them, or release one.
    Quarantine {
        /// The request to release.
        release: Option<Fingerprint>,
        /// Operators' addresses of the instances.
        instances: Vec<String>,
    },
    /// Stop an instance gracefully.
    Drain {
        /// Operators' address of the instance.
        instance: String,
    },
    /// Cut an instance off from peers, for failure tests.
    Cut {
        /// Operators' address of the instance.
        instance: String,
        /// Peer addresses; none: heal.
        peers: Vec<String>,
    },
}

/// Parser of the command line.
pub fn arguments() -> OptionParser<Command> {
    construct!([check(), status(), owners(), explain(), story(), quarantine(), drain(), cut()])
        .to_options()
        .descr("Checks what is to be published and shows and stops instances.")
        .footer("Exit codes: 0 done, 1 an instance does not answer or a record is refused.")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Operators' addresses of instances.
fn instances() -> impl Parser<Vec<String>> {
    positional::<String>("ADMIN")
        .help("Operators' address of an instance, IP:PORT")
        .some("name at least one instance")
}

/// Operators' address of one instance.
fn instance() -> impl Parser<String> {
    positional::<String>("ADMIN").help("Operators' address of the instance, IP:PORT")
}

/// `check FILE`.
fn check() -> impl Parser<Command> {
    let file = positional::<PathBuf>("FILE").help("A page of records as JSON");
    construct!(Command::Check { file })
        .to_options()
        .descr("Checks records before they are published, as instances will.")
        .command("check")
}

/// `status ADMIN...`.
fn status() -> impl Parser<Command> {
    let instances = instances();
    construct!(Command::Status { instances })
        .to_options()
        .descr("Shows the revision in force, members and refused records of each instance.")
        .command("status")
}

/// `owners [--service NAME] ADMIN...`.
fn owners() -> impl Parser<Command> {
    let service =
        bpaf::long("service").help("Only this service").argument::<String>("NAME").optional();
    let instances = instances();
    construct!(Command::Owners { service, instances })
        .to_options()
        .descr("Shows who owns each service in the view of each instance, and who would be next.")
        .command("owners")
}

/// `explain KEY ADMIN...`.
fn explain() -> impl Parser<Command> {
    let key = positional::<String>("KEY").help("The request key");
    let instances = instances();
    construct!(Command::Explain { key, instances })
        .to_options()
        .descr("Shows what happened to the requests of one key at the instances.")
        .command("explain")
}

/// `story KEY LOG...`.
fn story() -> impl Parser<Command> {
    let key = positional::<String>("KEY").help("The request key");
    let logs =
        positional::<PathBuf>("LOG").help("Log lines of instances; none: standard input").many();
    construct!(Command::Story { key, logs })
        .to_options()
        .descr("Shows what the logs of all instances say of one request, in order of time.")
        .command("story")
}

/// `quarantine [--release FINGERPRINT] ADMIN...`.
fn quarantine() -> impl Parser<Command> {
    let release = bpaf::long("release")
        .help("Let this request be served again, at all instances")
        .argument::<Fingerprint>("FINGERPRINT")
        .optional();
    let instances = instances();
    construct!(Command::Quarantine { release, instances })
        .to_options()
        .descr("Shows the requests that are refused because servers ended under them.")
        .command("quarantine")
}

/// `drain ADMIN`.
fn drain() -> impl Parser<Command> {
    let instance = instance();
    construct!(Command::Drain { instance })
        .to_options()
        .descr("Stops an instance gracefully.")
        .command("drain")
}

/// `cut ADMIN PEER...`.
fn cut() -> impl Parser<Command> {
    let instance = instance();
    let peers = positional::<String>("PEER").help("Peer address, IP:PORT; none: heal").many();
    construct!(Command::Cut { instance, peers })
        .to_options()
        .descr("Cuts an instance off from peers; only where its settings allow fault injection.")
        .command("cut")
}
