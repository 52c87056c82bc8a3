//! The report as a table for a terminal.

use std::fmt::Write;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use yuccatray::protocol::burn::Window;

use crate::fleet_burn::Alert;
use crate::fleet_burn::FleetBurn;
use crate::fleet_burn::FleetRow;

const NONE: &str = "-";

/// The whole report as text.
#[must_use]
pub fn render(burn: &FleetBurn) -> String {
    let mut text = render_rows(&burn.rows);
    if burn.zone_rows.iter().any(|row| row.zone != burn.zone_rows[0].zone) {
        text.push_str("\n\nBy availability zone of the ingress:\n");
        text.push_str(&render_rows(&burn.zone_rows));
    }
    text.push_str("\n\n");
    text.push_str(&coverage(burn));
    text
}

/// What the figures cover and what they leave out.
#[must_use]
pub fn coverage(burn: &FleetBurn) -> String {
    let mut text = format!(
        "{} nodes counted, {} of them for less than 6 h; latencies within {:.0} % or {} us",
        burn.nodes.len(),
        burn.started_within_longest_window,
        burn.latency_error_percent,
        burn.latency_resolution_us
    );
    if !burn.missing.is_empty() {
        // Writing to a string does not fail.
        let _written =
            write!(text, "\nMISSING {} nodes; what they served is not in this report:", burn.missing.len());
    }
    for node in &burn.missing {
        let _written = write!(text, "\n  {} ({}): {}", node.node, node.zone, node.reason);
    }
    text
}

/// Rows as an aligned table.
#[must_use]
pub fn render_rows(rows: &[FleetRow]) -> String {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header([
        "SERVICE",
        "PRIORITY",
        "ZONE",
        "OBJECTIVE",
        "CALLS 1H",
        "BUDGET LEFT",
        "BURN 5M",
        "1H",
        "6H",
        "P50 MS",
        "P99 MS",
        "P99.9 MS",
        "BURNED BY",
        "ALERT",
    ]);
    for row in rows {
        table.add_row([
            row.service.to_string(),
            row.priority.to_string(),
            row.zone.as_deref().unwrap_or("all").to_owned(),
            objective(row),
            row.window(Window::OneHour).map_or(0, |burn| burn.calls).to_string(),
            row.budget_left_percent.map_or(NONE.to_owned(), |left| format!("{left:.1} %")),
            burn_rate(row, Window::FiveMinutes),
            burn_rate(row, Window::OneHour),
            burn_rate(row, Window::SixHours),
            format!("{:.2}", row.latency.p50_ms),
            format!("{:.2}", row.latency.p99_ms),
            format!("{:.2}", row.latency.p999_ms),
            burned_by(row),
            alerts(row),
        ]);
    }
    table.trim_fmt()
}

/// The objective as a person writes it.
#[must_use]
pub fn objective(row: &FleetRow) -> String {
    let text = row.objective.map_or(NONE.to_owned(), |objective| {
        format!("{} % in {} ms", objective.target_percent, objective.objective_ms)
    });
    if row.objective_differs { format!("{text} (changing)") } else { text }
}

/// A burn rate as a person writes it.
#[must_use]
pub fn burn_rate(row: &FleetRow, window: Window) -> String {
    let rate = row.window(window).and_then(|burn| burn.burn_rate);
    rate.map_or(NONE.to_owned(), |rate| format!("{rate:.2}"))
}

/// The alerts of a row.
#[must_use]
pub fn alerts(row: &FleetRow) -> String {
    let names: Vec<&str> = row
        .alerts
        .iter()
        .map(|alert| match alert {
            Alert::FastBurn => "FAST",
            Alert::SlowBurn => "SLOW",
        })
        .collect();
    if names.is_empty() { NONE.to_owned() } else { names.join(" ") }
}

fn burned_by(row: &FleetRow) -> String {
    let Some(burn) = row.window(Window::OneHour) else {
        return NONE.to_owned();
    };
    let missed = burn.counts.missed;
    burn.main_cause.map_or(NONE.to_owned(), |cause| {
        format!("{} {}/{}", cause.name(), missed.count(cause), missed.total())
    })
}
