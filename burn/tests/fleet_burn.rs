//! Tests the aggregation of burn reports (rates, alerts, zones, restarts) and the rendered page.

use std::sync::Arc;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use hdrhistogram::serialization::Serializer;
use hdrhistogram::serialization::V2DeflateSerializer;
use yuccatray::protocol::burn::BurnReport;
use yuccatray::protocol::burn::BurnRow;
use yuccatray::protocol::burn::CallCounts;
use yuccatray::protocol::burn::MissCause;
use yuccatray::protocol::burn::Objective;
use yuccatray::protocol::burn::Window;
use yuccatray::protocol::burn::WindowCounts;
use yuccatray::state::burn_counts::latency_histogram;
use yuccatray_burn::collect_reports::CollectedReports;
use yuccatray_burn::fleet_burn::Alert;
use yuccatray_burn::fleet_burn::FleetBurn;
use yuccatray_burn::fleet_burn::burn_rate;
use yuccatray_burn::page;

const OBJECTIVE: Objective = Objective { objective_ms: 100, target_percent: 99.0 };

fn counts(good: u64, missed: u64) -> CallCounts {
    let mut counts = CallCounts { good, ..CallCounts::default() };
    counts.missed.add(MissCause::Queueing, missed);
    counts
}

fn encode_latencies(micros: &[u64]) -> String {
    let mut histogram = latency_histogram();
    for value in micros {
        histogram.record(*value).expect("the value is in range");
    }
    let mut bytes = Vec::new();
    V2DeflateSerializer::new().serialize(&histogram, &mut bytes).expect("the histogram can be serialised");
    STANDARD.encode(bytes)
}

/// Returns a node's report with `counts` in the windows from `shortest` on, and zeros in shorter ones.
fn report(node: &str, zone: &str, counts: CallCounts, shortest: Window) -> BurnReport {
    let windows = Window::ALL.into_iter().map(|window| WindowCounts {
        window,
        counts: if window >= shortest { counts } else { CallCounts::default() },
    });
    BurnReport {
        node: Arc::from(node),
        incarnation: 1,
        region: Arc::from("dakar"),
        zone: Arc::from(zone),
        uptime_ms: 60_000,
        rows: vec![BurnRow {
            service: Arc::from("deposits"),
            priority: Arc::from("<deposit>"),
            objective: Some(OBJECTIVE),
            windows: windows.collect(),
            latency_us: encode_latencies(&[1_000, 2_000]),
        }],
    }
}

fn burn(reports: Vec<BurnReport>) -> FleetBurn {
    FleetBurn::new(&CollectedReports { reports, missing: Vec::new() })
}

#[test]
fn burn_rate_one_spends_the_budget() {
    let rate = burn_rate(&counts(99, 1), OBJECTIVE).expect("calls were counted");
    assert!((rate - 1.0).abs() < 1e-9);
    assert_eq!(burn_rate(&counts(0, 0), OBJECTIVE), None);
    assert_eq!(burn_rate(&counts(7, 0), OBJECTIVE), Some(0.0));
}

#[test]
fn burn_rate_full_target_stays_finite() {
    let full_target = Objective { target_percent: 100.0, ..OBJECTIVE };
    assert_eq!(burn_rate(&counts(7, 0), full_target), Some(0.0));
    let rate = burn_rate(&counts(7, 1), full_target).expect("calls were counted");
    assert!(rate.is_finite() && rate > 1_000.0);
}

#[test]
fn new_aggregates_nodes_overall_and_by_zone() {
    let first = report("a", "dakar-a", counts(90, 10), Window::OneMinute);
    let second = report("b", "dakar-b", counts(100, 0), Window::OneMinute);
    let burn = burn(vec![first, second]);
    assert_eq!(burn.rows.len(), 1);
    let hour = burn.rows[0].window(Window::OneHour).expect("the window is reported");
    assert_eq!((hour.calls, hour.counts.good), (200, 190));
    assert_eq!(burn.rows[0].latency.answered, 4);
    let by_zone: Vec<u64> =
        burn.zone_rows.iter().filter_map(|row| row.window(Window::OneHour)).map(|burn| burn.calls).collect();
    assert_eq!(by_zone, [100, 100]);
    assert_eq!(burn.started_within_longest_window, 2);
}

#[test]
fn new_restarted_node_is_counted_in_each_incarnation() {
    let mut restarted = report("a", "dakar-a", counts(50, 0), Window::OneMinute);
    restarted.incarnation = 2;
    let burn = burn(vec![report("a", "dakar-a", counts(50, 50), Window::OneMinute), restarted]);
    assert_eq!(burn.nodes.len(), 2);
    assert_eq!(burn.rows[0].window(Window::OneHour).expect("the window is reported").calls, 150);
}

#[test]
fn new_alerts_require_both_windows() {
    let ongoing = burn(vec![report("a", "dakar-a", counts(80, 20), Window::OneMinute)]);
    assert_eq!(ongoing.rows[0].alerts, [Alert::FastBurn, Alert::SlowBurn]);
    let half_hour_old = burn(vec![report("a", "dakar-a", counts(80, 20), Window::HalfHour)]);
    assert_eq!(half_hour_old.rows[0].alerts, [Alert::SlowBurn]);
    let hour_old = burn(vec![report("a", "dakar-a", counts(80, 20), Window::OneHour)]);
    assert_eq!(hour_old.rows[0].alerts, []);
    let too_few_misses = burn(vec![report("a", "dakar-a", counts(0, 4), Window::OneMinute)]);
    assert_eq!(too_few_misses.rows[0].alerts, []);
}

#[test]
fn new_differing_objectives_are_reported() {
    let mut other = report("b", "dakar-a", counts(1, 0), Window::OneMinute);
    other.rows[0].objective = None;
    assert!(
        burn(vec![report("a", "dakar-a", counts(1, 0), Window::OneMinute), other]).rows[0].objective_differs
    );
}

#[test]
fn render_page_escapes_names_and_is_self_contained() {
    let page = page::render(&burn(vec![report("a", "dakar-a", counts(80, 20), Window::OneMinute)]));
    let page = page.expect("the page can be drawn");
    assert!(page.contains("&lt;deposit&gt;") && !page.contains("<deposit>"));
    assert_eq!(page.matches("<svg").count(), 3);
    for external in ["<script", "<link", "<img", "src="] {
        assert!(!page.contains(external), "the page contains {external}");
    }
}

#[test]
fn render_page_of_idle_fleet() {
    let page = page::render(&burn(Vec::new())).expect("the page can be drawn");
    assert!(page.contains("0 nodes counted"));
}
