//! Renders the report as text tables for a terminal.

use std::fmt::Write;

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use yuccatray::protocol::burn::Window;

use crate::fleet_burn::Alert;
use crate::fleet_burn::FleetBurn;
use crate::fleet_burn::FleetRow;

const NO_VALUE: &str = "-";

/// Renders the whole report as text.
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

/// Describes which nodes the report covers, which are missing, and the accuracy of the latencies.
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
        // Writing to a string can't fail.
        let _written =
            write!(text, "\nMISSING {} nodes; their calls are not in this report:", burn.missing.len());
    }
    for node in &burn.missing {
        let _written = write!(text, "\n  {} ({}): {}", node.node, node.zone, node.reason);
    }
    text
}

/// Renders rows as an aligned table.
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
            format_objective(row),
            row.window(Window::OneHour).map_or(0, |burn| burn.calls).to_string(),
            row.budget_left_percent.map_or(NO_VALUE.to_owned(), |percent| format!("{percent:.1} %")),
            format_burn_rate(row, Window::FiveMinutes),
            format_burn_rate(row, Window::OneHour),
            format_burn_rate(row, Window::SixHours),
            format!("{:.2}", row.latency.p50_ms),
            format!("{:.2}", row.latency.p99_ms),
            format!("{:.2}", row.latency.p999_ms),
            format_main_cause(row),
            format_alerts(row),
        ]);
    }
    table.trim_fmt()
}

/// Formats the objective, such as `99 % in 100 ms`; `(changing)` marks nodes that report different ones.
#[must_use]
pub fn format_objective(row: &FleetRow) -> String {
    let text = row.objective.map_or(NO_VALUE.to_owned(), |objective| {
        format!("{} % in {} ms", objective.target_percent, objective.objective_ms)
    });
    if row.objective_differs { format!("{text} (changing)") } else { text }
}

/// Formats the burn rate of a window, or `-` without calls or objective.
#[must_use]
pub fn format_burn_rate(row: &FleetRow, window: Window) -> String {
    let rate = row.window(window).and_then(|burn| burn.burn_rate);
    rate.map_or(NO_VALUE.to_owned(), |rate| format!("{rate:.2}"))
}

/// Formats the alerts of a row, or `-` if none fires.
#[must_use]
pub fn format_alerts(row: &FleetRow) -> String {
    let names: Vec<&str> = row
        .alerts
        .iter()
        .map(|alert| match alert {
            Alert::FastBurn => "FAST",
            Alert::SlowBurn => "SLOW",
        })
        .collect();
    if names.is_empty() { NO_VALUE.to_owned() } else { names.join(" ") }
}

fn format_main_cause(row: &FleetRow) -> String {
    let Some(burn) = row.window(Window::OneHour) else {
        return NO_VALUE.to_owned();
    };
    let missed = burn.counts.missed;
    burn.main_cause.map_or(NO_VALUE.to_owned(), |cause| {
        format!("{} {}/{}", cause.name(), missed.count(cause), missed.total())
    })
}
