//! Errors of the load generator and its reports.

use std::path::PathBuf;

use displaydoc::Display;

/// Error of a run, a comparison or another command of the load generator.
#[derive(Debug)]
#[derive(Display)]
pub enum Error {
    /// cannot read {0}: {1}
    Read(PathBuf, String),
    /// cannot write {0}: {1}
    Write(PathBuf, String),
    /// {0}: {1}
    Decode(PathBuf, String),
    /// the layout in {0} has no {1}
    Layout(PathBuf, &'static str),
    /// no index of the layout has shards of a service with operation {0}
    Operation(String),
    /// the mix has no class with a positive rate
    EmptyMix,
    /// fault "{0}" is not AT_S:KIND:NAME with a known kind
    Fault(String),
    /// "{0}" is not in the layout
    Unknown(String),
    /// {0} does not answer: {1}
    Admin(String, String),
    /// the ledgers already hold keys of seed {0}: choose another seed or restart the targets
    Seed(u64),
    /// an answer was wrong, doubled or lost, or there was none
    Unsound,
    /// a sending thread failed
    Thread,
    /// {0}
    Soak(ladder_soak::error::Error),
    /// {0}
    Broken(ladder_soak::Report),
    /// no result of label "{0}" among the files
    Label(String),
    /// cannot create a plot or histogram: {0}
    Plot(String),
}

impl std::error::Error for Error {}
