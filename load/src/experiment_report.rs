//! Renders the results of an experiment as text tables, and serializes them as JSON.

use std::sync::Arc;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;

use crate::experiment::Experiment;
use crate::experiment::Phase;
use crate::experiment_run::RunCounts;
use crate::experiment_run::VariantOutcome;
use crate::latency_table::LatencyRow;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Results of one variant in one phase, for one service and priority.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    /// Name of the variant.
    pub policy: Arc<str>,
    /// Name of the phase.
    pub phase: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Name of the priority.
    pub priority: Arc<str>,
    /// Calls that were due in the phase.
    pub calls: u64,
    /// Calls answered by an upstream, per second.
    pub answered_per_second: f64,
    /// Calls answered within the objective, per second.
    pub goodput_per_second: f64,
    /// Share of all calls answered within the objective, in percent.
    pub in_objective_percent: f64,
    /// Median latency of answered calls, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the latency, in milliseconds.
    pub p999_ms: f64,
    /// Failed calls by error kind, as text.
    pub errors: String,
}

/// Overhead of one variant over the whole run.
#[derive(Clone, Debug, Serialize)]
pub struct CostRow {
    /// Name of the variant.
    pub policy: Arc<str>,
    /// Retries per hundred calls.
    pub retries_percent: f64,
    /// Reroutes to another gate, per hundred calls.
    #[serde(rename = "spills_percent")]
    pub reroutes_percent: f64,
    /// Hedged requests per hundred calls.
    pub hedges_percent: f64,
    /// Probes of upstreams or gates, per hundred calls.
    pub probes_percent: f64,
}

/// Results of an experiment.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Latency and goodput by variant, phase, service and priority.
    pub rows: Vec<ReportRow>,
    /// Overhead by variant.
    pub costs: Vec<CostRow>,
}

impl Report {
    /// Creates the report of all variants.
    #[must_use]
    pub fn new(experiment: &Experiment, outcomes: &[VariantOutcome]) -> Self {
        let rows = outcomes.iter().flat_map(|outcome| report_rows(experiment, outcome)).collect();
        let costs = outcomes.iter().map(|outcome| cost_row(&outcome.name, outcome.counts)).collect();
        Self { rows, costs }
    }

    /// Renders the results as aligned text tables.
    #[must_use]
    pub fn render(&self) -> String {
        let mut table = Table::new();
        table.load_style(NOTHING);
        table.set_header([
            "POLICY",
            "PHASE",
            "SERVICE",
            "PRIORITY",
            "CALLS",
            "ANSWERED/S",
            "GOOD/S",
            "IN OBJECTIVE",
            "P50 MS",
            "P99 MS",
            "P99.9 MS",
            "ERRORS",
        ]);
        for row in &self.rows {
            table.add_row([
                row.policy.to_string(),
                row.phase.to_string(),
                row.service.to_string(),
                row.priority.to_string(),
                row.calls.to_string(),
                format!("{:.1}", row.answered_per_second),
                format!("{:.1}", row.goodput_per_second),
                format!("{:.2} %", row.in_objective_percent),
                format!("{:.1}", row.p50_ms),
                format!("{:.1}", row.p99_ms),
                format!("{:.1}", row.p999_ms),
                row.errors.clone(),
            ]);
        }
        let mut costs = Table::new();
        costs.load_style(NOTHING);
        costs.set_header(["POLICY", "RETRIES/100", "SPILLS/100", "HEDGES/100", "PROBES/100"]);
        for row in &self.costs {
            costs.add_row([
                row.policy.to_string(),
                format!("{:.2}", row.retries_percent),
                format!("{:.2}", row.reroutes_percent),
                format!("{:.2}", row.hedges_percent),
                format!("{:.2}", row.probes_percent),
            ]);
        }
        format!("{}\n\n{}", table.trim_fmt(), costs.trim_fmt())
    }
}

fn report_rows(experiment: &Experiment, outcome: &VariantOutcome) -> Vec<ReportRow> {
    let mut rows = Vec::new();
    for (phase, table) in experiment.phases.iter().zip(&outcome.phases) {
        for ((service, priority), row) in table.rows() {
            let reported =
                experiment.report_services.is_empty() || experiment.report_services.contains(service);
            if reported {
                rows.push(report_row(&outcome.name, phase, (service, priority), row));
            }
        }
    }
    rows.sort_by(|a, b| (&a.phase, &a.service, &a.priority).cmp(&(&b.phase, &b.service, &b.priority)));
    rows
}

fn report_row(
    policy: &Arc<str>,
    phase: &Phase,
    (service, priority): (&Arc<str>, &Arc<str>),
    row: &LatencyRow,
) -> ReportRow {
    let seconds = as_f64(phase.until_ms - phase.from_ms) / MILLIS_PER_SECOND;
    ReportRow {
        policy: Arc::clone(policy),
        phase: Arc::clone(&phase.name),
        service: Arc::clone(service),
        priority: Arc::clone(priority),
        calls: row.calls(),
        answered_per_second: as_f64(row.answered()) / seconds,
        goodput_per_second: as_f64(row.in_objective()) / seconds,
        in_objective_percent: percent(row.in_objective(), row.calls()),
        p50_ms: row.quantile_ms(0.5),
        p99_ms: row.quantile_ms(0.99),
        p999_ms: row.quantile_ms(0.999),
        errors: row.errors_text(),
    }
}

fn cost_row(policy: &Arc<str>, counts: RunCounts) -> CostRow {
    CostRow {
        policy: Arc::clone(policy),
        retries_percent: percent(counts.retries, counts.calls),
        reroutes_percent: percent(counts.reroutes, counts.calls),
        hedges_percent: percent(counts.hedges, counts.calls),
        probes_percent: percent(counts.probes, counts.calls),
    }
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * as_f64(part) / as_f64(whole.max(1))
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run are far below 2^52")]
const fn as_f64(count: u64) -> f64 {
    count as f64
}
