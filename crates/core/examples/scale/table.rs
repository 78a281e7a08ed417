//! Formats the printed table of figures.

use std::fmt;

use crate::fleet::Size;

/// Part of a daemon, or simulation, that a row reports on.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Part {
    Control,
    /// Control machines connected by simulated links.
    Spread,
    /// Control machines connected by simulated links with a long delay.
    SlowSpread,
    /// Rule by which changes are forwarded, simulated without machines.
    Rule,
    Gather,
    Leaf,
}

/// Metric of a row.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Metric {
    Records,
    PageBytes,
    StoreMemory,
    Memory,
    PeakMemory,
    StartTime,
    FirstFrame,
    StartRumours,
    IdleTime,
    IdleFrames,
    IdleSent,
    IdleReceived,
    ChangeTime,
    ChangeCopyTime,
    ChangeSent,
    FailureTime,
    FailureSent,
    ReplacementTime,
    ReplacementSent,
    ZoneTime,
    ZoneViews,
    ZoneSent,
    BucketTime,
    BucketSent,
    GatherView,
    LeafView,
    OwnersPerQuery,
    MostServicesOwned,
    HopsHalf,
    HopsAll,
    Copies,
    BucketsAsked,
    RankTime,
    Missed,
    Rounds,
    QueryTime,
    FirstQueryTime,
    WorkBytes,
    CodecTime,
    Decisions,
    Reads,
    JsonTime,
    BinaryTime,
    LargestRecord,
}

impl Metric {
    const fn description(self) -> (&'static str, &'static str) {
        match self {
            Self::Records => ("published records", "records"),
            Self::PageBytes => ("whole publication, encoded", "KB"),
            Self::StoreMemory => ("growth of VmRSS, records alone", "MB"),
            Self::Memory => ("growth of VmRSS, loaded", "MB"),
            Self::PeakMemory => ("growth of VmHWM, loaded", "MB"),
            Self::StartTime => ("first page to first view", "ms"),
            Self::FirstFrame => ("first frame of a listed peer", "ms"),
            Self::StartRumours => ("frame of 16 first rumours", "ms"),
            Self::IdleTime => ("idle", "us/s"),
            Self::IdleFrames => ("idle, frames sent", "frames/s"),
            Self::IdleSent => ("idle, sent", "B/s"),
            Self::IdleReceived => ("idle, received", "B/s"),
            Self::ChangeTime => ("catalogue change", "ms"),
            Self::ChangeCopyTime => ("copy of a known change", "us"),
            Self::ChangeSent => ("catalogue change, sent", "B"),
            Self::FailureTime => ("instance failure", "ms"),
            Self::FailureSent => ("instance failure, sent", "B"),
            Self::ReplacementTime => ("instance replaced", "ms"),
            Self::ReplacementSent => ("instance replaced, sent", "B"),
            Self::ZoneTime => ("zone lost", "ms"),
            Self::ZoneViews => ("zone lost, views", "views"),
            Self::ZoneSent => ("zone lost, sent", "KB"),
            Self::BucketTime => ("one bucket differs", "ms"),
            Self::BucketSent => ("one bucket differs, sent", "KB"),
            Self::GatherView => ("gather takes a view", "ms"),
            Self::LeafView => ("leaf takes a view", "ms"),
            Self::OwnersPerQuery => ("owners of one index", "owners"),
            Self::MostServicesOwned => ("most services of one owner", "services"),
            Self::HopsHalf => ("change at half of the fleet", "hops"),
            Self::HopsAll => ("change at all reached", "hops"),
            Self::Copies => ("copies of a change", "per instance"),
            Self::BucketsAsked => ("change, frames asking for buckets", "per instance"),
            Self::RankTime => ("ranking one service", "us"),
            Self::Missed => ("missed by push, left to digests", "%"),
            Self::Rounds => ("digest periods until all have it", "periods"),
            Self::QueryTime => ("query", "us"),
            Self::FirstQueryTime => ("first query after a view", "us"),
            Self::WorkBytes => ("query, work and replies encoded", "KB"),
            Self::CodecTime => ("query, encode work, decode replies", "us"),
            Self::Decisions => ("calls decided", "calls/s"),
            Self::JsonTime => ("call, request and answer as JSON", "us"),
            Self::BinaryTime => ("call, request and answer as protobuf", "us"),
            Self::LargestRecord => ("largest record, encoded", "KB"),
            Self::Reads => ("shard reads", "reads/s"),
        }
    }
}

/// One figure of the table.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) part: Part,
    pub(crate) size: Size,
    /// Number of shards of a query or portion, if the figure depends on it.
    pub(crate) shards: Option<usize>,
    pub(crate) metric: Metric,
    pub(crate) value: f64,
}

impl Row {
    pub(crate) const fn new(part: Part, size: Size, metric: Metric, value: f64) -> Self {
        Self { part, size, shards: None, metric, value }
    }

    pub(crate) const fn shards(mut self, shards: usize) -> Self {
        self.shards = Some(shards);
        self
    }
}

pub(crate) fn header() {
    println!(
        "{:<10} {:>9} {:>8} {:>6}  {:<36} {:>12} unit",
        "part", "instances", "servers", "shards", "metric", "value"
    );
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, unit) = self.metric.description();
        let part = format!("{:?}", self.part).to_lowercase();
        let shards = self.shards.map_or_else(String::new, |shards| shards.to_string());
        let (instances, servers) = (self.size.instances, self.size.servers);
        let digits = if self.value.abs() < 100.0 { 2 } else { 0 };
        write!(
            f,
            "{part:<10} {instances:>9} {servers:>8} {shards:>6}  {name:<36} {:>12.digits$} {unit}",
            self.value
        )
    }
}
