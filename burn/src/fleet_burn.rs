//! The counts of many nodes as one: budget left, burn rates and alerts.

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

use crate::gather::Gathered;
use crate::gather::MissingNode;

const MICROS_PER_MILLI: f64 = 1_000.0;
const PERCENT: f64 = 100.0;
const BURN_RATE_MAX: f64 = 1_000_000.0;
const FAST_BURN_RATE: f64 = 14.4;
const SLOW_BURN_RATE: f64 = 6.0;
const ALERT_MISSES_MIN: u64 = 5;

/// An alert on two windows: the long one shows that it matters, the short one that it goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Over 1 h and 5 m the budget burns at 14.4 times its even rate or faster.
    FastBurn,
    /// Over 6 h and 30 m the budget burns at 6 times its even rate or faster.
    SlowBurn,
}

/// One window of one row.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct WindowBurn {
    /// The window.
    pub window: Window,
    /// Calls held against the objective.
    pub calls: u64,
    /// What was counted.
    #[serde(flatten)]
    pub counts: CallCounts,
    /// Share of misses over the share allowed; 1 spends exactly the budget.
    pub burn_rate: Option<f64>,
    /// The cause of most misses.
    pub main_cause: Option<MissCause>,
}

/// Latencies of answered calls over the last hour, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Answered calls.
    pub answered: u64,
    /// Half of the calls took no longer.
    pub p50_ms: f64,
    /// 99 in 100 took no longer.
    pub p99_ms: f64,
    /// 999 in 1,000 took no longer.
    pub p999_ms: f64,
}

/// One service and priority, in one zone or in all.
#[derive(Clone, Debug, Serialize)]
pub struct FleetRow {
    /// Service called.
    pub service: Arc<str>,
    /// Priority of the calls.
    pub priority: Arc<str>,
    /// Availability zone of the ingress, or nothing for all of them.
    pub zone: Option<Arc<str>>,
    /// Objective in force.
    pub objective: Option<Objective>,
    /// Whether nodes hold different objectives at present.
    pub objective_differs: bool,
    /// Windows, the shortest first.
    pub windows: Vec<WindowBurn>,
    /// Share of the error budget of the last six hours that is left, in percent; negative when overspent.
    pub budget_left_percent: Option<f64>,
    /// Alerts that fire.
    pub alerts: Vec<Alert>,
    /// Latencies.
    pub latency: LatencySummary,
    /// Latencies in full, in microseconds.
    #[serde(skip)]
    pub histogram: Histogram<u32>,
}

/// A node whose counts are in the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CountedNode {
    /// Name of the node.
    pub node: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// How far back its counts reach, in milliseconds.
    pub uptime_ms: u64,
}

/// The service levels of a fleet.
#[derive(Clone, Debug, Serialize)]
pub struct FleetBurn {
    /// Nodes whose counts are in the report.
    pub nodes: Vec<CountedNode>,
    /// Nodes whose counts are not.
    pub missing: Vec<MissingNode>,
    /// Nodes whose counts do not reach back over six hours, since they started later.
    pub started_within_longest_window: u64,
    /// Relative error of the latencies, in percent.
    pub latency_error_percent: f64,
    /// Smallest latency told apart, in microseconds.
    pub latency_resolution_us: u64,
    /// Services and priorities over all zones.
    pub rows: Vec<FleetRow>,
    /// The same by availability zone of the ingress.
    pub zone_rows: Vec<FleetRow>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct RowKey {
    service: Arc<str>,
    priority: Arc<str>,
    zone: Option<Arc<str>>,
}

#[derive(Debug)]
struct RowSum {
    objective: Option<Objective>,
    objective_differs: bool,
    windows: IndexMap<Window, CallCounts>,
    histogram: Histogram<u32>,
}

impl FleetBurn {
    /// Adds up what was gathered.
    #[must_use]
    pub fn new(gathered: &Gathered) -> Self {
        let nodes: Vec<CountedNode> = gathered.reports.iter().map(counted_node).collect();
        let longest_ms = Window::SixHours.length().as_millis();
        let young = nodes.iter().filter(|node| u128::from(node.uptime_ms) < longest_ms).count();
        Self {
            nodes,
            missing: gathered.missing.clone(),
            started_within_longest_window: young as u64,
            latency_error_percent: PERCENT / 10_f64.powi(i32::from(LATENCY_SIGNIFICANT_DIGITS)),
            latency_resolution_us: LATENCY_RESOLUTION_US,
            rows: added_up(&gathered.reports, |_| None),
            zone_rows: added_up(&gathered.reports, |report| Some(Arc::clone(&report.zone))),
        }
    }

    /// Alerts that fire, over all zones or in one.
    #[must_use]
    pub fn alert_count(&self) -> usize {
        self.rows.iter().chain(&self.zone_rows).map(|row| row.alerts.len()).sum()
    }
}

impl FleetRow {
    /// One window of the row.
    #[must_use]
    pub fn window(&self, window: Window) -> Option<&WindowBurn> {
        self.windows.iter().find(|burn| burn.window == window)
    }

    /// The latency at a quantile, in milliseconds.
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

fn added_up<F>(reports: &[BurnReport], zone_of: F) -> Vec<FleetRow>
where
    F: Fn(&BurnReport) -> Option<Arc<str>>,
{
    let mut sums = IndexMap::<RowKey, RowSum>::new();
    for report in reports {
        for row in &report.rows {
            let key = RowKey {
                service: Arc::clone(&row.service),
                priority: Arc::clone(&row.priority),
                zone: zone_of(report),
            };
            sums.entry(key).or_insert_with(RowSum::new).add(row);
        }
    }
    sums.sort_unstable_keys();
    sums.into_iter().map(|(key, sum)| sum.into_row(key)).collect()
}

impl RowSum {
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
        if let Some(latency) = decoded(&row.latency_us) {
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
        let budget_spent = rate(&windows, Window::SixHours);
        FleetRow {
            service: key.service,
            priority: key.priority,
            zone: key.zone,
            objective: self.objective,
            objective_differs: self.objective_differs,
            budget_left_percent: budget_spent.map(|spent| (1.0 - spent) * PERCENT),
            alerts: alerts(&windows),
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

/// Share of misses over the share that the objective allows, or nothing without calls.
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
    Some((as_f64(missed) / as_f64(calls) / allowed).min(BURN_RATE_MAX))
}

fn alerts(windows: &[WindowBurn]) -> Vec<Alert> {
    let burns = |long, short, threshold| {
        let fires = |window| rate(windows, window).is_some_and(|rate| rate >= threshold);
        fires(long) && fires(short) && enough_misses(windows, short)
    };
    let mut alerts = Vec::new();
    if burns(Window::OneHour, Window::FiveMinutes, FAST_BURN_RATE) {
        alerts.push(Alert::FastBurn);
    }
    if burns(Window::SixHours, Window::HalfHour, SLOW_BURN_RATE) {
        alerts.push(Alert::SlowBurn);
    }
    alerts
}

fn rate(windows: &[WindowBurn], window: Window) -> Option<f64> {
    windows.iter().find(|burn| burn.window == window).and_then(|burn| burn.burn_rate)
}

fn enough_misses(windows: &[WindowBurn], window: Window) -> bool {
    let burn = windows.iter().find(|burn| burn.window == window);
    burn.is_some_and(|burn| burn.counts.missed.total() >= ALERT_MISSES_MIN)
}

fn decoded(latency: &str) -> Option<Histogram<u32>> {
    let bytes = STANDARD.decode(latency).ok()?;
    Deserializer::new().deserialize(&mut bytes.as_slice()).ok()
}

fn quantile_ms(histogram: &Histogram<u32>, quantile: f64) -> f64 {
    as_f64(histogram.value_at_quantile(quantile)) / MICROS_PER_MILLI
}

#[expect(clippy::cast_precision_loss, reason = "counts and microseconds here are far below 2^52")]
const fn as_f64(number: u64) -> f64 {
    number as f64
}
