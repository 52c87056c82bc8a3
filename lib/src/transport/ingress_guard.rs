//! Guards that live until a call's answer has been passed on, then update in-flight counts and metrics.

use std::fmt::Display;
use std::sync::Arc;

use http::HeaderValue;
use tokio::time::Instant;

use crate::coordination::call_measurement::BodyEnd;
use crate::coordination::call_measurement::CallMeasurement;
use crate::state::metrics::CallLabels;
use crate::state::metrics::LatencyLabels;
use crate::state::metrics::Metrics;
use crate::state::metrics::ServiceLabel;
use crate::state::metrics::SharedMetrics;
use crate::state::upstream_stats::UpstreamStats;
use crate::transport::call_body::BodyGuard;
use crate::transport::unfinished_request::UnfinishedAnswer;

const ANSWERED: &str = "answered";

/// One call in flight from this node to an upstream; dropping it decrements the in-flight count.
#[derive(Debug)]
pub(super) struct InFlightCall {
    stats: Arc<UpstreamStats>,
}

impl InFlightCall {
    pub(super) fn new(stats: &Arc<UpstreamStats>) -> Self {
        stats.record_start();
        Self { stats: Arc::clone(stats) }
    }

    /// Records the load report in the given header field, if it can be parsed.
    pub(super) fn record_load_report(&self, field: Option<&HeaderValue>) {
        let report = field.and_then(|value| value.to_str().ok()).and_then(|text| text.parse().ok());
        if let Some(report) = report {
            self.stats.record_load_report(report, Instant::now());
        }
    }
}

impl Drop for InFlightCall {
    fn drop(&mut self) {
        self.stats.record_end();
    }
}

/// Records the outcome and latency of a call when the body of its answer ends or is dropped.
#[derive(Debug)]
pub struct AnswerBodyGuard {
    pub(super) metrics: SharedMetrics,
    pub(super) service: Arc<str>,
    pub(super) priority: u8,
    pub(super) started: Instant,
    pub(super) measurement: Arc<CallMeasurement>,
    /// Logs an answer that does not reach its end; none for a call without a route.
    pub(super) unfinished_answer: Option<Box<UnfinishedAnswer>>,
    /// Keeps the call in flight until the body of the answer ends.
    pub(super) _in_flight: InFlightCall,
}

impl BodyGuard for AnswerBodyGuard {
    fn ended(&mut self, whole: bool) {
        self.measurement.record_body_end(
            if whole { BodyEnd::Complete } else { BodyEnd::UpstreamAborted },
            Instant::now(),
        );
        self.count(whole);
    }

    fn aborted(&mut self, error: &impl Display) {
        if let Some(unfinished_answer) = &self.unfinished_answer {
            unfinished_answer.log_aborted(error);
        }
        self.ended(false);
    }

    fn dropped(&mut self) {
        if let Some(unfinished_answer) = &self.unfinished_answer {
            unfinished_answer.log_connection_ended();
        }
        self.measurement.record_body_end(BodyEnd::CallerDisconnected, Instant::now());
        self.count(false);
    }
}

impl AnswerBodyGuard {
    fn count(&self, whole: bool) {
        let outcome = if whole { ANSWERED } else { "cut_short" };
        count_call(&self.metrics, &self.service, self.priority, outcome);
        let labels = LatencyLabels {
            service: ServiceLabel(Arc::clone(&self.service)),
            priority: u32::from(self.priority),
        };
        self.metrics.call_latency.get_or_create(&labels).observe(self.started.elapsed().as_secs_f64());
    }
}

/// Increments the metric that counts calls by service, priority and outcome.
pub(super) fn count_call(metrics: &Metrics, service: &Arc<str>, priority: u8, outcome: &'static str) {
    let labels =
        CallLabels { service: ServiceLabel(Arc::clone(service)), priority: u32::from(priority), outcome };
    metrics.calls.get_or_create(&labels).inc();
}
