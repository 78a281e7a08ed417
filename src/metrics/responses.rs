//! Metrics of the responses to sweeps, from the moment at which they are due.

use std::time::Duration;

use ladder_core::gather::ResponseTime;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter};

/// Upper bounds of the histogram's buckets, in seconds.
const BUCKETS: [f64; 11] = [0.0005, 0.001, 0.002, 0.004, 0.006, 0.01, 0.015, 0.025, 0.05, 0.1, 0.5];

/// Metrics of the responses to sweeps.
#[derive(Clone)]
pub(super) struct ResponseMetrics {
    delays: Histogram<f64>,
    late: Counter<u64>,
}

impl ResponseMetrics {
    pub(super) fn new(meter: &Meter) -> Self {
        Self {
            delays: meter
                .f64_histogram("ladder_response_delay_seconds")
                .with_description(
                    "Time from the moment at which a sweep has to be answered until its caller has \
                     the response, by route and stage",
                )
                .with_boundaries(BUCKETS.to_vec())
                .build(),
            late: super::counter(
                meter,
                "ladder_late_responses",
                "Responses to sweeps that reach their callers after the target time, by route",
            ),
        }
    }

    pub(super) fn record(&self, response: &ResponseTime) {
        let route = KeyValue::new("route", response.route.to_string());
        let ResponseTime { wake, write, transfer, .. } = *response;
        for (stage, time) in [("wake", wake), ("write", write), ("transfer", transfer)] {
            let labels = [route.clone(), KeyValue::new("stage", stage)];
            self.delays.record(time.as_secs_f64(), &labels);
        }
        if response.late > Duration::ZERO {
            self.late.add(1, &[route]);
        }
    }
}
