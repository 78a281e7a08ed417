//! Counters and histograms of one instance, in Prometheus format.

mod budgets;
mod responses;

use std::time::Duration;

use ladder_core::admission::reservation;
use ladder_core::control::quarantine::UndecidedCrashes;
use ladder_core::control::reader::Cause;
use ladder_core::count::{Connection, Count, Crossing, Event};
use ladder_core::gather::{ResponseTime, ShareChange};
use ladder_core::leaf;
use ladder_schema::call::Answer;
use ladder_schema::outcome::{Reason, Verdict};
use ladder_schema::publication::Kind;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use budgets::BudgetMetrics;
use responses::ResponseMetrics;

/// Event of a connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerConnection {
    /// A connection is being opened.
    Dialled,
    /// A connection attempt was repeated because it was not open in time.
    Unopened,
    /// A connection was replaced because the peer left a frame unconfirmed.
    Silent,
    /// A connection was replaced because it had not proved that it works since another one fell
    /// silent.
    Unverified,
    /// A connection was replaced because the peer found a connection silent.
    Requested,
    /// A connection ended.
    Broken,
    /// A verified connection proved to work.
    Verified,
}

impl PeerConnection {
    /// Name of the event in metrics and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Dialled => "dialled",
            Self::Unopened => "unopened",
            Self::Silent => "silent",
            Self::Unverified => "unverified",
            Self::Requested => "requested",
            Self::Broken => "broken",
            Self::Verified => "verified",
        }
    }
}

/// The metrics of one process; all clones share them.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    // Kept because the metrics stop recording if their provider is dropped.
    _provider: SdkMeterProvider,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    hedges: Counter<u64>,
    drops: Counter<u64>,
    reselections: Counter<u64>,
    suspect_calls: Counter<u64>,
    connections: Counter<u64>,
    zone_calls: Counter<u64>,
    reservations: Counter<u64>,
    answers: Counter<u64>,
    latency: Histogram<f64>,
    peers: PeerMetrics,
    publication: PublicationMetrics,
    admissible_share: Gauge<f64>,
    undecided_crashes: Gauge<f64>,
    undecided_crash_age: Gauge<f64>,
    budgets: BudgetMetrics,
    responses: ResponseMetrics,
}

/// Metrics of what the platform publishes.
#[derive(Clone)]
struct PublicationMetrics {
    calls: Counter<u64>,
    reads: Counter<u64>,
    read_starts: Counter<u64>,
    eras: Counter<u64>,
    records_age: Gauge<f64>,
    refused_records: Counter<u64>,
    refused_routes_version: Gauge<f64>,
}

impl PublicationMetrics {
    fn new(meter: &Meter) -> Self {
        Self {
            calls: counter(meter, "ladder_platform_calls", "Calls made to the platform"),
            reads: counter(
                meter,
                "ladder_platform_reads",
                "Reads of the platform that ended, by outcome",
            ),
            read_starts: counter(
                meter,
                "ladder_platform_read_starts",
                "Reads of the platform that were started, by cause",
            ),
            eras: counter(
                meter,
                "ladder_platform_eras",
                "Changes of the era of the platform's store",
            ),
            records_age: gauge(
                meter,
                "ladder_records_age_seconds",
                "Time since the platform's latest answer that the records in force include",
            ),
            refused_records: counter(
                meter,
                "ladder_refused_records",
                "Published records refused, by kind and reason",
            ),
            refused_routes_version: gauge(
                meter,
                "ladder_refused_routes_version",
                "Version of the routes that is refused; 0 if the newest one is in force",
            ),
        }
    }
}

/// Metrics of the links to peers.
#[derive(Clone)]
struct PeerMetrics {
    bytes: Counter<u64>,
    frames: Counter<u64>,
    connections: Counter<u64>,
    silence: Histogram<f64>,
}

impl PeerMetrics {
    fn new(meter: &Meter) -> Self {
        Self {
            bytes: counter(meter, "ladder_peer_bytes", "Bytes sent to peers, by part"),
            frames: counter(meter, "ladder_peer_frames", "Frames sent to peers, by part"),
            connections: counter(
                meter,
                "ladder_peer_connections",
                "Connections to peers that were opened or replaced, by event",
            ),
            silence: meter
                .f64_histogram("ladder_peer_silence_seconds")
                .with_description("Time for which a peer left frames unanswered until its connection was replaced")
                .build(),
        }
    }
}

impl Metrics {
    /// Creates the metrics and a registry for them.
    ///
    /// # Errors
    ///
    /// An error of the OpenTelemetry SDK if the exporter cannot be registered.
    pub fn new() -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let provider = provider(&registry)?;
        let meter: Meter = provider.meter("ladder");
        let counter = |name, description| counter(&meter, name, description);
        Ok(Self {
            refusals: counter("ladder_refusals", "Requests or portions refused, by reason"),
            retries: counter("ladder_retries", "Requests sent again, by reason"),
            hedges: counter("ladder_hedges", "Second copies sent, by reason"),
            drops: counter("ladder_drops", "Messages dropped, by reason"),
            reselections: counter("ladder_reselections", "Other servers selected, by reason"),
            suspect_calls: counter(
                "ladder_suspect_calls",
                "Calls of suspected requests, by reason",
            ),
            connections: counter(
                "ladder_connections",
                "Connections to servers that were opened, reset or closed, by event",
            ),
            zone_calls: counter(
                "ladder_zone_calls",
                "Parts of sweeps sent with zonal aggregation, by crossing and its reason",
            ),
            reservations: counter(
                "ladder_reservations",
                "Reservations of sweeps held here, by event",
            ),
            answers: counter("ladder_answers", "Answers to callers, by verdict and coverage"),
            latency: meter
                .f64_histogram("ladder_answer_seconds")
                .with_description("Time from a caller's request to its answer")
                .build(),
            peers: PeerMetrics::new(&meter),
            publication: PublicationMetrics::new(&meter),
            undecided_crashes: gauge(
                &meter,
                "ladder_undecided_crashes",
                "Crashes of servers that are attributed to no request",
            ),
            undecided_crash_age: gauge(
                &meter,
                "ladder_undecided_crash_age_seconds",
                "Time since the oldest crash that is attributed to no request; 0 without any",
            ),
            admissible_share: gauge(
                &meter,
                "ladder_admissible_share",
                "Share of the sweeps that are admitted, by route",
            ),
            budgets: BudgetMetrics::new(&meter),
            responses: ResponseMetrics::new(&meter),
            registry,
            _provider: provider,
        })
    }

    /// Increments the counter of an event that the core reports.
    pub fn count(&self, count: Count) {
        let counter = match count.event {
            Event::Refusal => &self.refusals,
            Event::Retry => &self.retries,
            Event::Hedge => &self.hedges,
            Event::Drop => &self.drops,
            Event::Reselection => &self.reselections,
            Event::SuspectCall => &self.suspect_calls,
            Event::ZoneCall(crossing) => return self.zone_call(crossing, count.reason),
        };
        counter.add(1, &[KeyValue::new("reason", count.reason.as_str_name())]);
    }

    /// Counts an event of a connection to a server.
    pub fn connection(&self, event: Connection) {
        let event = match event {
            Connection::Opened => "opened",
            Connection::Reset => "reset",
            Connection::Closed => "closed",
        };
        self.connections.add(1, &[KeyValue::new("event", event)]);
    }

    /// Counts a call to a server, or a work message to a peer of another zone.
    fn zone_call(&self, crossing: Crossing, reason: Reason) {
        let crossing = match crossing {
            Crossing::None => "none",
            Crossing::Server => "server",
            Crossing::Peer => "peer",
        };
        let reason = KeyValue::new("reason", reason.as_str_name());
        self.zone_calls.add(1, &[KeyValue::new("crossing", crossing), reason]);
    }

    /// Counts an event of a reservation that this instance holds.
    pub fn reservation(&self, event: reservation::Event) {
        self.reservations.add(1, &[KeyValue::new("event", event.name())]);
    }

    /// Counts a message that was dropped before it reached the core.
    pub fn dropped(&self, reason: Reason) {
        self.count(Count { event: Event::Drop, reason });
    }

    /// Counts an answer to a caller that was sent `elapsed` after the request arrived.
    pub fn answered(&self, answer: &Answer, elapsed: Duration) {
        let coverage = match (answer.covered.is_empty(), answer.missing.is_empty()) {
            (true, _) => "none",
            (false, true) => "full",
            (false, false) => "partial",
        };
        let verdict = Verdict::try_from(answer.verdict).unwrap_or_default();
        self.answers.add(
            1,
            &[KeyValue::new("verdict", verdict.as_str_name()), KeyValue::new("coverage", coverage)],
        );
        self.latency.record(elapsed.as_secs_f64(), &[]);
    }

    /// Records the times of the response to a sweep.
    pub fn response(&self, response: &ResponseTime) {
        self.responses.record(response);
    }

    /// Counts a frame that is sent to a peer; `part` is its kind of content.
    pub fn sent(&self, part: &'static str, bytes: usize) {
        let part = [KeyValue::new("part", part)];
        self.peers.bytes.add(bytes as u64, &part);
        self.peers.frames.add(1, &part);
    }

    /// Counts an event of a connection to a peer.
    pub fn peer_connection(&self, event: PeerConnection) {
        self.peers.connections.add(1, &[KeyValue::new("event", event.name())]);
    }

    /// Records how long a replaced connection to a peer had been silent.
    pub fn peer_silence(&self, silence: Duration) {
        self.peers.silence.record(silence.as_secs_f64(), &[]);
    }

    /// Counts the start of a platform read.
    pub fn platform_read_started(&self, cause: Cause) {
        self.publication.read_starts.add(1, &[KeyValue::new("cause", cause.name())]);
    }

    /// Counts a call to the platform.
    pub fn platform_call(&self) {
        self.publication.calls.add(1, &[]);
    }

    /// Counts a finished platform read by its result: `answered`, `expired`, `cut` or
    /// `failed`.
    pub fn platform_read(&self, outcome: &'static str) {
        self.publication.reads.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a change of the era of the platform's store.
    pub fn era_changed(&self) {
        self.publication.eras.add(1, &[]);
    }

    /// Sets the share of a route's sweeps that are admitted.
    pub fn admissible_share(&self, change: &ShareChange) {
        let route = KeyValue::new("route", change.route.to_string());
        self.admissible_share.record(change.share.fraction(), &[route]);
    }

    /// Sets the time since the platform's latest answer that the records in force include.
    pub fn records_age(&self, age: Duration) {
        self.publication.records_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts a published record that was refused.
    pub fn record_refused(&self, kind: Kind, reason: &'static str) {
        let kind = KeyValue::new("kind", kind.as_str_name());
        self.publication.refused_records.add(1, &[kind, KeyValue::new("reason", reason)]);
    }

    /// Sets the version of the routes that is refused; 0 if none is.
    pub fn refused_routes_version(&self, version: u64) {
        self.publication.refused_routes_version.record(version as f64, &[]);
    }

    /// Sets the number and the greatest age of the crashes that are attributed to no request.
    pub fn undecided_crashes(&self, undecided: UndecidedCrashes) {
        self.undecided_crashes.record(undecided.count as f64, &[]);
        self.undecided_crash_age.record(undecided.max_age.as_secs_f64(), &[]);
    }

    /// Sets the calls and the budgets for extra calls of all services.
    pub fn budgets(&self, services: &[leaf::status::Service]) {
        self.budgets.update(services);
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        // Encoding to memory fails only for invalid metric names, and the names here are constants.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8_lossy(&buffer).into_owned()
    }
}

/// Creates a provider of meters whose metrics are exported to a registry.
fn provider(registry: &Registry) -> Result<SdkMeterProvider, OTelSdkError> {
    let exporter = opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
    Ok(SdkMeterProvider::builder().with_reader(exporter).build())
}

fn counter(meter: &Meter, name: &'static str, description: &'static str) -> Counter<u64> {
    meter.u64_counter(name).with_description(description).build()
}

fn gauge(meter: &Meter, name: &'static str, description: &'static str) -> Gauge<f64> {
    meter.f64_gauge(name).with_description(description).build()
}
