//! Checks the burn report against the callers' own counts of the same calls.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use serde_json::json;
use tempfile::TempDir;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use yuccatray::protocol::burn::MissCause;
use yuccatray::protocol::burn::Window;
use yuccatray_burn::collect_reports::CollectOptions;
use yuccatray_burn::collect_reports::collect_reports;
use yuccatray_burn::fleet_burn::FleetBurn;
use yuccatray_burn::fleet_burn::FleetRow;
use yuccatray_burn::page;
use yuccatray_burn::table;
use yuccatray_load::caller::CallPlan;
use yuccatray_load::caller::Caller;
use yuccatray_load::deployment::Deployment;
use yuccatray_load::deployment::ServiceLoad;
use yuccatray_load::embedded_fleet::EmbeddedFleet;
use yuccatray_load::latency_table::LatencyTable;
use yuccatray_standin::upstream::UpstreamBehaviour;

/// Timeout of collecting the burn report.
const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Latency objective of the test priority, which no call misses.
const OBJECTIVE: Duration = Duration::from_hours(1);
/// Default number of calls to a service.
const CALLS: u64 = 120;

/// Writes the services "steady" (responds), "failing" (fails) and "stuck" (exceeds every deadline).
fn write_objects(directory: &Path) {
    let service = |name: &str, timeout_ms: u64| {
        json!({ "kind": "Service", "name": name, "spec": {
            "priority_set": "one", "upstream_rule": "workers", "default_priority": "normal",
            "default_timeout_ms": timeout_ms
        } })
    };
    let objects = json!([
        { "kind": "PrioritySet", "name": "one", "spec": { "priorities": {
            "normal": { "objective_ms": 3_600_000, "target_percent": 90 }
        } } },
        { "kind": "UpstreamRule", "name": "workers", "spec": { "ramp_ms": 0 } },
        service("steady", 60_000),
        service("failing", 60_000),
        service("stuck", 200),
    ]);
    std::fs::write(directory.join("objects.jsonc"), objects.to_string()).expect("the file can be written");
}

fn deployment() -> Deployment {
    let service = |name: &str, mean_service_us: u64| ServiceLoad {
        name: Arc::from(name),
        upstreams: 2,
        slots: 50,
        mean_service_us,
        service_stages: 1,
        streams: Vec::new(),
    };
    let mut deployment =
        Deployment::load(&yuccatray_testutils::workspace::workspace_root().join("examples/dakar.jsonc"))
            .expect("the example is valid");
    deployment.objects = Arc::from("objects.jsonc");
    deployment.zones.truncate(2);
    deployment.services =
        vec![service("steady", 3_000), service("failing", 1_000), service("stuck", 9_000_000)];
    deployment
}

async fn fleet() -> EmbeddedFleet {
    let directory = TempDir::new().expect("a temporary directory can be made");
    write_objects(directory.path());
    let fleet = EmbeddedFleet::start(&deployment(), directory.path()).await.expect("the fleet starts");
    for member in fleet.members.iter().filter(|member| &*member.service == "failing") {
        member
            .upstream
            .standin
            .set_behaviour(UpstreamBehaviour { fail_fast: true, ..UpstreamBehaviour::default() });
    }
    fleet
}

async fn send_calls(fleet: &EmbeddedFleet, service: &str, calls: u64) -> LatencyTable {
    let mut calls_in_flight = JoinSet::new();
    for sequence in 0..calls {
        let node = usize::try_from(sequence).expect("a small number fits");
        let caller = Caller::new(fleet.ingress_addr(node));
        let plan = CallPlan {
            method: Method::POST,
            target: format!("/{sequence}"),
            service: service.to_owned(),
            priority: "normal".to_owned(),
            body: Bytes::from_static(b"x"),
        };
        calls_in_flight.spawn(async move { caller.call(&plan).await });
    }
    let (name, priority) = (Arc::from(service), Arc::from("normal"));
    let mut table = LatencyTable::default();
    for outcome in calls_in_flight.join_all().await {
        let outcome = outcome.expect("every call is answered");
        if outcome.error.is_none() && outcome.status.is_success() {
            table.add_answered(&name, &priority, outcome.latency, OBJECTIVE);
        } else {
            table.add_failed(&name, &priority, &outcome.error.unwrap_or_else(|| "status".to_owned()));
        }
    }
    table
}

async fn collect_burn(fleet: &EmbeddedFleet) -> FleetBurn {
    let node = fleet.members[0].node.addrs().admin;
    let collected = collect_reports(&CollectOptions { node, service: None, timeout: TIMEOUT }).await;
    FleetBurn::new(&collected.expect("the node lists its members"))
}

fn row<'a>(burn: &'a FleetBurn, service: &str) -> &'a FleetRow {
    burn.rows.iter().find(|row| &*row.service == service).expect("the service was called")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn collect_counts_equal_callers_own() {
    let fleet = fleet().await;
    let steady = send_calls(&fleet, "steady", CALLS).await;
    let failing = send_calls(&fleet, "failing", CALLS).await;
    let stuck = send_calls(&fleet, "stuck", 20).await;
    let burn = collect_burn(&fleet).await;

    assert_eq!(burn.missing, []);
    assert_eq!(burn.nodes.len(), 6);
    for (service, caller_counts) in [("steady", &steady), ("failing", &failing), ("stuck", &stuck)] {
        let (_, caller_counts) = caller_counts.rows().next().expect("calls were made");
        for window in Window::ALL {
            let reported = row(&burn, service).window(window).expect("every window is reported");
            assert_eq!(reported.calls, caller_counts.calls(), "{service}");
            assert_eq!(reported.counts.good, caller_counts.in_objective(), "{service}");
        }
        let by_zone = burn.zone_rows.iter().filter(|row| &*row.service == service);
        let zone_calls: u64 =
            by_zone.filter_map(|row| row.window(Window::OneHour)).map(|burn| burn.calls).sum();
        assert_eq!(zone_calls, caller_counts.calls(), "{service} over the zones");
    }
    let (_, caller_counts) = steady.rows().next().expect("calls were made");
    let reported = row(&burn, "steady");
    assert_eq!(reported.latency.answered, CALLS);
    for quantile in [0.5, 0.9, 0.99] {
        // The ingress measures latency from a later start and to an earlier end than the caller.
        let error = 1.0 + burn.latency_error_percent / 100.0;
        let resolution_ms = f64::from(u32::try_from(burn.latency_resolution_us).expect("it fits")) / 1_000.0;
        assert!(
            reported.quantile_ms(quantile) <= caller_counts.quantile_ms(quantile) * error + resolution_ms
        );
    }
    let failed = row(&burn, "failing").window(Window::OneHour).expect("it is reported").counts.missed;
    assert_eq!(failed.count(MissCause::UpstreamError), CALLS);
    let stuck = row(&burn, "stuck").window(Window::OneHour).expect("it is reported");
    assert_eq!(stuck.main_cause, Some(MissCause::UnknownOutcome));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn collect_unreachable_node_is_missing() {
    let mut fleet = fleet().await;
    send_calls(&fleet, "failing", CALLS).await;
    let complete = collect_burn(&fleet).await;
    assert!(complete.missing.is_empty());
    assert!(complete.alert_count() > 0, "every call failed");

    let stopped = fleet.members.pop().expect("there are nodes");
    let admin_addr = stopped.node.addrs().admin;
    stopped.node.stop().await;
    let partial = collect_burn(&fleet).await;
    assert_eq!(
        partial.nodes.len() + partial.missing.len(),
        complete.nodes.len(),
        "every node is either reported or missing"
    );
    assert_eq!(partial.missing.len(), 1, "the node at {admin_addr} has stopped");
    assert!(table::render(&partial).contains("MISSING 1 nodes"));
    assert!(page::render(&partial).expect("the page can be drawn").contains("class=\"missing\""));
    fleet.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn collect_caller_disconnect_is_neither_good_nor_missed() {
    let fleet = fleet().await;
    let steady: Vec<_> = fleet.members.iter().filter(|member| &*member.service == "steady").collect();
    for member in &steady {
        let slow = UpstreamBehaviour { mean_service_us: 10_000_000, ..UpstreamBehaviour::default() };
        member.upstream.standin.set_behaviour(slow);
    }
    let mut caller = TcpStream::connect(fleet.ingress_addr(0)).await.expect("the node listens");
    let request = b"POST / HTTP/1.1\r\nhost: a\r\nyuccatray-service: steady\r\ncontent-length: 0\r\n\r\n";
    caller.write_all(request).await.expect("the request can be sent");
    while steady.iter().all(|member| member.upstream.standin.executions().is_empty()) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    drop(caller);
    loop {
        let burn = collect_burn(&fleet).await;
        let reported = burn.rows.iter().find(|row| &*row.service == "steady");
        if let Some(reported) = reported.and_then(|row| row.window(Window::OneHour)) {
            assert_eq!((reported.counts.left, reported.calls), (1, 0));
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    fleet.stop().await;
}
