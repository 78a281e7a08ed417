//! Metrics of the budgets for extra calls (retries and hedges), by service.
//!
//! The leaf machine keeps the totals, because a counter of the SDK costs more than the bookkeeping
//! of a call. They are read when the metrics are exported.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use ladder_core::leaf::budget::Usage;
use ladder_core::leaf::status::Service;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Gauge, Meter};

/// Totals of each service; a service that is no longer known keeps its last ones.
type Totals = Arc<Mutex<BTreeMap<Arc<str>, Usage>>>;

/// A value of the label `kind` with the total that it stands for.
struct Kind(&'static str, fn(&Usage) -> u64);

/// Metrics of the budgets of all services.
#[derive(Clone)]
pub(super) struct BudgetMetrics {
    totals: Totals,
    saved: Gauge<u64>,
    share: Gauge<u64>,
}

impl BudgetMetrics {
    /// Registers the metrics.
    pub(super) fn new(meter: &Meter) -> Self {
        let totals = Totals::default();
        let calls = Arc::clone(&totals);
        let _ = meter
            .u64_observable_counter("ladder_service_calls")
            .with_description(
                "Calls to servers by service and kind: first calls, and extra calls paid for",
            )
            .with_callback(move |observer| {
                observe(
                    &calls,
                    observer,
                    &[
                        Kind("first", |usage| usage.first_calls),
                        Kind("extra", |usage| usage.extra_calls),
                    ],
                );
            })
            .build();
        let refused = Arc::clone(&totals);
        let _ = meter
            .u64_observable_counter("ladder_service_extra_calls_refused")
            .with_description("Extra calls refused for lack of budget, by service")
            .with_callback(move |observer| {
                observe(&refused, observer, &[Kind("extra", |usage| usage.refused)]);
            })
            .build();
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Self {
            totals,
            saved: gauge(
                "ladder_service_extra_calls_saved",
                "Whole extra calls that the budget of a service pays for now",
            ),
            share: gauge(
                "ladder_service_extra_calls_share",
                "Most whole extra calls that the budget of a service saves up: the share of this instance",
            ),
        }
    }

    /// Takes over the state of all services.
    pub(super) fn update(&self, services: &[Service]) {
        let mut totals = self.totals.lock().unwrap_or_else(PoisonError::into_inner);
        for service in services {
            totals.insert(Arc::clone(&service.name), service.usage);
            let name = [KeyValue::new("service", service.name.to_string())];
            self.saved.record(service.budget.into(), &name);
            self.share.record(service.max_budget.into(), &name);
        }
    }
}

/// Reports totals of each service that has any, one for each kind of call.
fn observe(totals: &Totals, observer: &dyn AsyncInstrument<u64>, kinds: &[Kind]) {
    let totals = totals.lock().unwrap_or_else(PoisonError::into_inner);
    for (name, usage) in totals.iter().filter(|(_, usage)| **usage != Usage::default()) {
        for Kind(kind, total) in kinds {
            let service = KeyValue::new("service", name.to_string());
            observer.observe(total(usage), &[service, KeyValue::new("kind", *kind)]);
        }
    }
}
