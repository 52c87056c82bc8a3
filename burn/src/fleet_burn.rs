//! Aggregates the call counts of all nodes into error budgets, burn rates and alerts of the fleet.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use indexmap::IndexMap;
use serde::Serialize;
use yuccatray::protocol::burn::BurnReport;
use yuccatray::protocol::burn::BurnRow;
use yuccatray::protocol::burn::CallCounts;
use yuccatray::protocol::burn::LATENCY_RESOLUTION_US;
use yuccatray::protocol::burn::LATENCY_SIGNIFICANT_DIGITS;
use yuccatray::protocol::burn::MissCause;
use yuccatray::protocol::burn::Objective;
use yuccatray::protocol::burn::Window;
use yuccatray::state::burn_counts::latency_histogram;

use crate::collect_reports::CollectedReports;
use crate::collect_reports::MissingNode;

const MICROS_PER_MILLI: f64 = 1_000.0;
const PERCENT: f64 = 100.0;
/// Upper bound of a reported burn rate, which keeps it finite for a target of 100 %.
const MAX_BURN_RATE: f64 = 1_000_000.0;
/// Burn rate from which [`Alert::FastBurn`] fires.
const FAST_BURN_RATE: f64 = 14.4;
/// Burn rate from which [`Alert::SlowBurn`] fires.
const SLOW_BURN_RATE: f64 = 6.0;
/// Minimum number of misses in the short window of an alert, so that a few failed calls fire none.
const MIN_ALERT_MISSES: u64 = 5;

/// Alert that fires when the burn rate reaches its threshold in both a long and a short window.
///
/// The long window shows that a significant part of the budget is spent, the short one that it is still being
/// spent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// The burn rates over 1 h and over 5 min are both at least 14.4.
    FastBurn,
    /// The burn rates over 6 h and over 30 min are both at least 6.
    SlowBurn,
}

/// Counts and burn rate of one row in one window.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// Window that the counts cover.
    pub window: Window,
    /// Number of calls that count towards the objective.
    pub calls: u64,
    /// Good and missed calls.
    #[serde(flatten)]
    pub counts: CallCounts,
    /// Share of missed calls divided by the allowed share; 1 spends exactly the budget.
    pub burn_rate: Option<f64>,
    /// Most frequent cause of missed calls.
    pub main_cause: Option<MissCause>,
}

/// Latencies of answered calls over the last hour, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of answered calls.
    pub answered: u64,
    /// Median latency.
    pub p50_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// 99.9th percentile.
    pub p999_ms: f64,
}

/// Burn of one service and priority, in one availability zone or over all zones.
#[derive(Clone, Debug, Serialize)]
pub struct FleetRow {
    /// Service called.
    pub service: Arc<str>,
    /// Priority of the calls.
    pub priority: Arc<str>,
    /// Availability zone of the ingress, or `None` for all zones.
    pub zone: Option<Arc<str>>,
    /// Latency objective in force.
    pub objective: Option<Objective>,
    /// Whether nodes currently report different objectives.
    pub objective_differs: bool,
    /// Windows, shortest first.
    pub windows: Vec<WindowBurn>,
    /// Remaining share of the error budget of the last six hours, in percent; negative when overspent.
    pub budget_left_percent: Option<f64>,
    /// Firing alerts.
    pub alerts: Vec<Alert>,
    /// Summary of the latencies.
    pub latency: LatencySummary,
    /// Latency distribution, in microseconds.
    #[serde(skip)]
    pub histogram: Histogram<u32>,
}

/// Node whose counts are included in the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CountedNode {
    /// Name of the node.
    pub node: Arc<str>,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Availability zone of the node.
    pub zone: Arc<str>,
    /// Time since the node started, which its counts cover, in milliseconds.
    pub uptime_ms: u64,
}

/// Service-level burn of a fleet.
#[derive(Clone, Debug, Serialize)]
pub struct FleetBurn {
    /// Nodes whose counts are included.
    pub nodes: Vec<CountedNode>,
    /// Nodes whose counts are missing.
    pub missing: Vec<MissingNode>,
    /// Number of nodes that started within the last six hours, so that their counts cover less than that.
    pub started_within_longest_window: u64,
    /// Relative error of the latencies, in percent.
    pub latency_error_percent: f64,
    /// Resolution of the latencies, in microseconds.
    pub latency_resolution_us: u64,
    /// Rows by service and priority, over all zones.
    pub rows: Vec<FleetRow>,
    /// Rows by service, priority and availability zone of the ingress.
    pub zone_rows: Vec<FleetRow>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RowKey {
    service: Arc<str>,
    priority: Arc<str>,
    zone: Option<Arc<str>>,
}

#[derive(Debug)]
struct RowAggregate {
    objective: Option<Objective>,
    objective_differs: bool,
    windows: IndexMap<Window, CallCounts>,
    histogram: Histogram<u32>,
}

impl FleetBurn {
    /// Aggregates the collected reports.
    #[must_use]
    pub fn new(collected: &CollectedReports) -> Self {
        let nodes: Vec<CountedNode> = collected.reports.iter().map(counted_node).collect();
        let longest_ms = Window::SixHours.length().as_millis();
        let recently_started = nodes.iter().filter(|node| u128::from(node.uptime_ms) < longest_ms).count();
        Self {
            nodes,
            missing: collected.missing.clone(),
            started_within_longest_window: recently_started as u64,
            latency_error_percent: PERCENT / 10_f64.powi(i32::from(LATENCY_SIGNIFICANT_DIGITS)),
            latency_resolution_us: LATENCY_RESOLUTION_US,
            rows: aggregate_rows(&collected.reports, |_| None),
            zone_rows: aggregate_rows(&collected.reports, |report| Some(Arc::clone(&report.zone))),
        }
    }

    /// Returns the number of firing alerts in the rows over all zones and in those of single zones.
    #[must_use]
    pub fn alert_count(&self) -> usize {
        self.rows.iter().chain(&self.zone_rows).map(|row| row.alerts.len()).sum()
    }
}

impl FleetRow {
    /// Returns the counts and burn rate of a window, or `None` if no node reported it.
    #[must_use]
    pub fn window(&self, window: Window) -> Option<&WindowBurn> {
        self.windows.iter().find(|burn| burn.window == window)
    }

    /// Returns the latency at a quantile between 0 and 1, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.histogram, quantile)
    }
}

fn counted_node(report: &BurnReport) -> CountedNode {
    CountedNode {
        node: Arc::clone(&report.node),
        incarnation: report.incarnation,
        zone: Arc::clone(&report.zone),
        uptime_ms: report.uptime_ms,
    }
}

fn aggregate_rows<F>(reports: &[BurnReport], zone_of: F) -> Vec<FleetRow>
where
    F: Fn(&BurnReport) -> Option<Arc<str>>,
{
    let mut aggregates = IndexMap::<RowKey, RowAggregate>::new();
    for report in reports {
        for row in &report.rows {
            let key = RowKey {
                service: Arc::clone(&row.service),
                priority: Arc::clone(&row.priority),
                zone: zone_of(report),
            };
            aggregates.entry(key).or_insert_with(RowAggregate::new).add(row);
        }
    }
    aggregates.sort_unstable_keys();
    aggregates.into_iter().map(|(key, aggregate)| aggregate.into_row(key)).collect()
}

impl RowAggregate {
    fn new() -> Self {
        Self {
            objective: None,
            objective_differs: false,
            windows: IndexMap::new(),
            histogram: latency_histogram(),
        }
    }

    fn add(&mut self, row: &BurnRow) {
        self.objective_differs |= self.objective.is_some() && self.objective != row.objective;
        self.objective = self.objective.or(row.objective);
        for counts in &row.windows {
            self.windows.entry(counts.window).or_default().merge(&counts.counts);
        }
        if let Some(latency) = decode_histogram(&row.latency_us) {
            self.histogram += &latency;
        }
    }

    fn into_row(self, key: RowKey) -> FleetRow {
        let windows: Vec<WindowBurn> = self
            .windows
            .iter()
            .map(|(window, counts)| WindowBurn {
                window: *window,
                calls: counts.calls(),
                counts: *counts,
                burn_rate: self.objective.and_then(|objective| burn_rate(counts, objective)),
                main_cause: counts.missed.main_cause(),
            })
            .collect();
        let budget_spent = window_burn_rate(&windows, Window::SixHours);
        FleetRow {
            service: key.service,
            priority: key.priority,
            zone: key.zone,
            objective: self.objective,
            objective_differs: self.objective_differs,
            budget_left_percent: budget_spent.map(|spent| (1.0 - spent) * PERCENT),
            alerts: firing_alerts(&windows),
            latency: LatencySummary {
                answered: self.histogram.len(),
                p50_ms: quantile_ms(&self.histogram, 0.5),
                p99_ms: quantile_ms(&self.histogram, 0.99),
                p999_ms: quantile_ms(&self.histogram, 0.999),
            },
            histogram: self.histogram,
            windows,
        }
    }
}

/// Returns the share of missed calls divided by the share that the objective allows.
///
/// `None` without calls; at most 1,000,000, since a target of 100 % allows no misses.
#[must_use]
pub fn burn_rate(counts: &CallCounts, objective: Objective) -> Option<f64> {
    let calls = counts.calls();
    let missed = counts.missed.total();
    if calls == 0 {
        return None;
    }
    if missed == 0 {
        return Some(0.0);
    }
    let allowed = 1.0 - objective.target_percent / PERCENT;
    Some((as_f64(missed) / as_f64(calls) / allowed).min(MAX_BURN_RATE))
}

fn firing_alerts(windows: &[WindowBurn]) -> Vec<Alert> {
    let fires = |long, short, threshold| {
        let exceeds_threshold =
            |window| window_burn_rate(windows, window).is_some_and(|rate| rate >= threshold);
        exceeds_threshold(long) && exceeds_threshold(short) && has_enough_misses(windows, short)
    };
    let mut alerts = Vec::new();
    if fires(Window::OneHour, Window::FiveMinutes, FAST_BURN_RATE) {
        alerts.push(Alert::FastBurn);
    }
    if fires(Window::SixHours, Window::HalfHour, SLOW_BURN_RATE) {
        alerts.push(Alert::SlowBurn);
    }
    alerts
}

fn window_burn_rate(windows: &[WindowBurn], window: Window) -> Option<f64> {
    windows.iter().find(|burn| burn.window == window).and_then(|burn| burn.burn_rate)
}

fn has_enough_misses(windows: &[WindowBurn], window: Window) -> bool {
    let burn = windows.iter().find(|burn| burn.window == window);
    burn.is_some_and(|burn| burn.counts.missed.total() >= MIN_ALERT_MISSES)
}

fn decode_histogram(encoded: &str) -> Option<Histogram<u32>> {
    let bytes = STANDARD.decode(encoded).ok()?;
    Deserializer::new().deserialize(&mut bytes.as_slice()).ok()
}

fn quantile_ms(histogram: &Histogram<u32>, quantile: f64) -> f64 {
    as_f64(histogram.value_at_quantile(quantile)) / MICROS_PER_MILLI
}

#[expect(clippy::cast_precision_loss, reason = "counts and microseconds here are far below 2^52")]
const fn as_f64(number: u64) -> f64 {
    number as f64
}
