//! Latencies and outcomes by service and priority.

use std::sync::Arc;
use std::time::Duration;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use hdrhistogram::Histogram;
use indexmap::IndexMap;

const SIGNIFICANT_DIGITS: u8 = 3;
const MAX_LATENCY_US: u64 = 3_600_000_000;
const MICROS_PER_MILLI: f64 = 1_000.0;

/// What became of the calls of one service and priority.
#[derive(Debug)]
pub struct LatencyRow {
    histogram: Histogram<u64>,
    answered: u64,
    in_objective: u64,
    errors: IndexMap<String, u64>,
}

/// Rows by service and priority.
#[derive(Debug, Default)]
pub struct LatencyTable {
    rows: IndexMap<(Arc<str>, Arc<str>), LatencyRow>,
}

impl LatencyRow {
    fn new() -> Option<Self> {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).ok()?;
        Some(Self { histogram, answered: 0, in_objective: 0, errors: IndexMap::new() })
    }

    /// The latency at a quantile, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let micros = u32::try_from(self.histogram.value_at_quantile(quantile)).unwrap_or(u32::MAX);
        f64::from(micros) / MICROS_PER_MILLI
    }

    /// Calls, answered or not.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.answered + self.errors.values().sum::<u64>()
    }

    /// Failures by error kind, as text.
    #[must_use]
    pub fn errors_text(&self) -> String {
        let errors: Vec<String> = self.errors.iter().map(|(kind, count)| format!("{kind}={count}")).collect();
        if errors.is_empty() { "-".to_owned() } else { errors.join(" ") }
    }

    /// Calls that an upstream answered.
    #[must_use]
    pub const fn answered(&self) -> u64 {
        self.answered
    }

    /// Calls answered within the objective.
    #[must_use]
    pub const fn in_objective(&self) -> u64 {
        self.in_objective
    }
}

impl LatencyTable {
    /// Counts a call that an upstream answered.
    pub fn answered(&mut self, service: &Arc<str>, priority: &Arc<str>, took: Duration, objective: Duration) {
        let Some(row) = self.row(service, priority) else {
            return;
        };
        row.answered += 1;
        row.in_objective += u64::from(took <= objective);
        row.histogram.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
    }

    /// Counts a call that failed.
    pub fn failed(&mut self, service: &Arc<str>, priority: &Arc<str>, error: &str) {
        if let Some(row) = self.row(service, priority) {
            *row.errors.entry(error.to_owned()).or_default() += 1;
        }
    }

    /// Adds every row of another table to one row of this one.
    pub fn merge(&mut self, other: &Self, service: &Arc<str>, priority: &Arc<str>) {
        let Some(row) = self.row(service, priority) else {
            return;
        };
        for added in other.rows.values() {
            row.answered += added.answered;
            row.in_objective += added.in_objective;
            row.histogram += &added.histogram;
            for (kind, count) in &added.errors {
                *row.errors.entry(kind.clone()).or_default() += count;
            }
        }
    }

    /// The rows, in the order in which they were first counted.
    pub fn rows(&self) -> impl Iterator<Item = (&(Arc<str>, Arc<str>), &LatencyRow)> {
        self.rows.iter()
    }

    /// The table as text, aligned.
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

    fn row(&mut self, service: &Arc<str>, priority: &Arc<str>) -> Option<&mut LatencyRow> {
        let key = (Arc::clone(service), Arc::clone(priority));
        if !self.rows.contains_key(&key) {
            self.rows.insert(key.clone(), LatencyRow::new()?);
        }
        self.rows.get_mut(&key)
    }
}

fn percent(part: u64, whole: u64) -> String {
    if whole == 0 {
        return "-".to_owned();
    }
    let hundredths = part * 10_000 / whole;
    format!("{}.{:02} %", hundredths / 100, hundredths % 100)
}
