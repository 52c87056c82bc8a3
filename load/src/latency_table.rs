//! Latency histograms and outcome counts by service and priority.

use std::sync::Arc;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

/// Precision of the histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Highest latency that the histograms distinguish, in microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Outcomes and latencies of the calls of one service and priority.
#[derive(Debug)]
pub struct LatencyRow {
    histogram: Histogram<u64>,
    answered: u64,
    in_objective: u64,
    errors: IndexMap<String, u64>,
}

/// Outcomes and latencies by service and priority.
#[derive(Debug, Default)]
pub struct LatencyTable {
    rows: IndexMap<(Arc<str>, Arc<str>), LatencyRow>,
}

impl LatencyRow {
    fn new() -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()?;
        Some(Self { histogram, answered: 0, in_objective: 0, errors: IndexMap::new() })
    }

    /// Returns the latency of answered calls at a quantile, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let micros = u32::try_from(self.histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        f64::from(micros) / MICROS_PER_MILLI
    }

    /// Returns the number of calls, answered or failed.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.answered + self.errors.values().sum::<u64>()
    }

    /// Returns the number of failed calls by error kind, as text.
    #[must_use]
    pub fn errors_text(&self) -> String {
        let errors: Vec<String> = self.errors.iter().map(|(kind, count)| format!("{kind}={count}")).collect();
        if errors.is_empty() { "-".to_owned() } else { errors.join(" ") }
    }

    /// Returns the number of calls that an upstream answered.
    #[must_use]
    pub const fn answered(&self) -> u64 {
        self.answered
    }

    /// Returns the number of calls answered within the latency objective.
    #[must_use]
    pub const fn in_objective(&self) -> u64 {
        self.in_objective
    }
}

impl LatencyTable {
    /// Adds a call that an upstream answered.
    pub fn add_answered(
        &mut self,
        service: &Arc<str>,
        priority: &Arc<str>,
        latency: Duration,
        objective: Duration,
    ) {
        let Some(row) = self.row_mut(service, priority) else {
            return;
        };
        row.answered += 1;
        row.in_objective += u64::from(latency <= objective);
        row.histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
    }

    /// Adds a failed call.
    pub fn add_failed(&mut self, service: &Arc<str>, priority: &Arc<str>, error: &str) {
        if let Some(row) = self.row_mut(service, priority) {
            *row.errors.entry(error.to_owned()).or_default() += 1;
        }
    }

    /// Adds all rows of another table to one row of this table.
    pub fn merge(&mut self, other: &Self, service: &Arc<str>, priority: &Arc<str>) {
        let Some(row) = self.row_mut(service, priority) else {
            return;
        };
        for other_row in other.rows.values() {
            row.answered += other_row.answered;
            row.in_objective += other_row.in_objective;
            row.histogram += &other_row.histogram;
            for (kind, count) in &other_row.errors {
                *row.errors.entry(kind.clone()).or_default() += count;
            }
        }
    }

    /// Returns the rows, in the order of their first calls.
    pub fn rows(&self) -> impl Iterator<Item = (&(Arc<str>, Arc<str>), &LatencyRow)> {
        self.rows.iter()
    }

    /// Renders the table as aligned text.
    #[must_use]
    pub fn render(&self) -> String {
        let mut table = Table::new();
        table.load_style(NOTHING);
        table.set_header([
            "SERVICE",
            "PRIORITY",
            "CALLS",
            "ANSWERED",
            "IN OBJECTIVE",
            "P50 MS",
            "P99 MS",
            "P99.9 MS",
            "ERRORS",
        ]);
        for ((service, priority), row) in &self.rows {
            table.add_row([
                service.to_string(),
                priority.to_string(),
                row.calls().to_string(),
                row.answered.to_string(),
                percent(row.in_objective, row.calls()),
                format!("{:.2}", row.quantile_ms(0.5)),
                format!("{:.2}", row.quantile_ms(0.99)),
                format!("{:.2}", row.quantile_ms(0.999)),
                row.errors_text(),
            ]);
        }
        table.trim_fmt()
    }

    /// Returns the row of a service and priority, which it creates if it is missing.
    fn row_mut(&mut self, service: &Arc<str>, priority: &Arc<str>) -> Option<&mut LatencyRow> {
        let key = (Arc::clone(service), Arc::clone(priority));
        if !self.rows.contains_key(&key) {
            self.rows.insert(key.clone(), LatencyRow::new()?);
        }
        self.rows.get_mut(&key)
    }
}

/// Returns a share as percent with two decimals, rounded down, or `-` if there is nothing.
fn percent(part: u64, whole: u64) -> String {
    if whole == 0 {
        return "-".to_owned();
    }
    let hundredths = part * 10_000 / whole;
    format!("{}.{:02} %", hundredths / 100, hundredths % 100)
}
