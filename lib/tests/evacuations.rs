//! Evacuations of zones: which publication a node makes of what it reads, and what is excluded.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use yuccatray::coordination::evacuation::EvacuationView;
use yuccatray::coordination::evacuation::GateChange;
use yuccatray::coordination::evacuation::evacuation_revision;
use yuccatray::coordination::evacuation::gate_change;
use yuccatray::coordination::evacuation::is_fully_evacuated;
use yuccatray::coordination::evacuation::may_send_to;
use yuccatray::coordination::execution_progress::Execution;
use yuccatray::coordination::service_estimate::ExecutionOutcome;
use yuccatray::coordination::service_estimate::ServiceEstimate;
use yuccatray::protocol::evacuation::EVACUATIONS_NAME;
use yuccatray::protocol::evacuation::EvacuationSet;
use yuccatray::protocol::load_report::LoadReport;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::published::Published;
use yuccatray::protocol::service_spec::UpstreamRuleSpec;
use yuccatray::state::config_table::ConfigTable;
use yuccatray::state::metrics::Metrics;
use yuccatray::state::metrics::SharedMetrics;
use yuccatray::state::upstream_stats::UpstreamStats;
use yuccatray::transport::evacuation_watcher::max_evacuation_wait_ms;
use yuccatray::transport::gate::Gate;

fn entry(zone: &str, uid: &str, version: u64) -> Object {
    Object {
        kind: ObjectKind::Evacuation,
        name: Arc::from(zone),
        uid: Arc::from(uid),
        version,
        value: json!({}),
    }
}

fn zones(published: &Published) -> Vec<&str> {
    let evacuations = published.evacuations.as_ref().expect("the publication has evacuations");
    evacuations.zones.iter().map(|evacuation| evacuation.zone.as_ref()).collect()
}

#[test]
fn publication_of_no_evacuations_is_none() {
    assert_eq!(EvacuationView::listed(&[], 1, 40).publication(None, 5), None, "the part is not used");
}

/// Guards against listings that are passed on to all nodes although nothing has changed.
#[test]
fn publication_of_same_set_is_none() {
    let objects = [entry("b", "7", 7), entry("a", "6", 6)];
    let held = EvacuationView::listed(&objects, 1, 9).publication(None, 5).expect("the set is new");
    assert_eq!((zones(&held), held.revision), (vec!["a", "b"], evacuation_revision(1, 9)));
    for (epoch, version) in [(1, 9), (1, 30), (2, 4)] {
        let view = EvacuationView::listed(&objects, epoch, version);
        assert_eq!(view.publication(Some(&held), 50), None, "{epoch}, {version}");
    }
}

/// Guards against an older answer of the store that ends or brings back an evacuation.
#[test]
fn publication_of_older_version_is_none() {
    let held = EvacuationView::listed(&[entry("a", "6", 6)], 1, 9).publication(None, 5);
    for view in [EvacuationView::listed(&[], 1, 5), EvacuationView::listed(&[], 0, 99)] {
        assert_eq!(view.publication(held.as_ref(), 50), None);
    }
}

/// Guards against changes that are hidden behind the versions of a store before its restore.
#[test]
fn publication_after_restore_supersedes_later_version() {
    let held = EvacuationView::listed(&[entry("a", "6", 6)], 1, 9).publication(None, 5);
    let restored =
        EvacuationView::listed(&[], 2, 3).publication(held.as_ref(), 50).expect("the entry is lost");
    assert_eq!(zones(&restored), Vec::<&str>::new());
    assert!(Some(restored.revision) > held.map(|held| held.revision));
}

#[test]
fn publication_of_changes_keeps_time_of_zones_that_stay() {
    let mut view = EvacuationView::listed(&[entry("a", "6", 6), entry("b", "7", 7)], 1, 9);
    let held = view.publication(None, 5).expect("the set is new");
    view.record_change(&entry("b", "7", 10), true, 1);
    view.record_change(&entry("c", "11", 11), false, 1);
    let next = view.publication(Some(&held), 50).expect("the set has changed");
    let evacuations = next.evacuations.as_ref().expect("the publication has evacuations");
    let since = |zone| evacuations.get(zone).map(|evacuation| evacuation.since_unix_ms);
    assert_eq!((since("a"), since("b"), since("c")), (Some(5), None, Some(50)));
    assert_eq!(next.revision, evacuation_revision(1, 11));
    view.record_change(&entry("a", "12", 12), false, 1);
    let rewritten = view.publication(Some(&next), 70).expect("the entry was deleted and written again");
    assert_eq!(rewritten.evacuations.and_then(|set| set.get("a").map(|one| one.since_unix_ms)), Some(70));
}

#[test]
fn apply_ignores_lower_revision_and_missing_content() {
    let table = ConfigTable::new();
    let view = EvacuationView::listed(&[entry("a", "6", 6)], 1, 9);
    let newer = view.publication(None, 5).expect("the set is new");
    assert!(table.apply(newer.clone()));
    let empty = Some(EvacuationSet::default());
    let older = Published { revision: evacuation_revision(1, 8), evacuations: empty, ..newer.clone() };
    assert!(!table.apply(older));
    assert!(!table.apply(Published { revision: u64::MAX, evacuations: None, ..newer }));
    assert!(table.evacuations().is_some_and(|evacuations| evacuations.contains("a")));
    assert!(!table.is_configured(), "evacuations make no node ready");
}

/// Guards against payloads of nodes that do not know evacuations, and against new ones that they can't read.
#[test]
fn payload_without_evacuations_reads_as_before() {
    let text = r#"{"service":"orders","revision":3,"epoch":1,"config":null}"#;
    let published: Published = serde_json::from_str(text).expect("the payload is readable");
    assert_eq!(published.evacuations, None);
    assert_eq!(serde_json::to_string(&published).ok().as_deref(), Some(text));
}

#[test]
fn excluded_upstreams_are_those_of_evacuated_zones() {
    let published = EvacuationView::listed(&[entry("a", "6", 6)], 1, 9).publication(None, 5);
    let set = published.and_then(|published| published.evacuations).expect("the set is new");
    assert!(!may_send_to("a", Some(&set)) && may_send_to("b", Some(&set)) && may_send_to("a", None));
    assert!(is_fully_evacuated(["a", "a"], &set));
    assert!(!is_fully_evacuated(["a", "b"], &set));
    assert!(!is_fully_evacuated([], &set), "a service without upstreams is not evacuated");
    assert!(!is_fully_evacuated(["a"], &EvacuationSet::default()));
}

#[test]
fn gate_change_follows_zone() {
    assert_eq!(gate_change(false, true), Some(GateChange::Close));
    assert_eq!(gate_change(true, false), Some(GateChange::Reopen));
    assert_eq!(gate_change(true, true), None);
    assert_eq!(gate_change(false, false), None);
}

/// Guards against a heartbeat, or the end of one of two reasons, that reopens a gate.
#[tokio::test]
async fn gate_stays_closed_while_drained_or_evacuated() {
    let gate = Gate::new(SharedMetrics::new(Metrics::default()));
    let addr: SocketAddr = "127.0.0.1:9".parse().expect("the text is an address");
    let heartbeat = || gate.set_upstream(addr, &Arc::from("orders"), None, 9, &UpstreamRuleSpec::default());
    heartbeat();
    gate.close_for_evacuation();
    heartbeat();
    assert!(gate.is_zone_evacuated() && !gate.accepts_calls());
    gate.drain();
    gate.reopen_after_evacuation();
    assert!(!gate.is_zone_evacuated() && !gate.accepts_calls());
    heartbeat();
    assert!(gate.accepts_calls());
}

#[test]
fn evacuation_wait_leaves_time_within_the_bound() {
    assert_eq!([300, 2_500, 5_000].map(max_evacuation_wait_ms), [100, 500, 3_000]);
}

#[test]
fn publication_is_named_apart_from_services() {
    let published = EvacuationView::listed(&[entry("a", "6", 6)], 1, 9).publication(None, 5);
    assert_eq!(published.map(|published| published.service).as_deref(), Some(EVACUATIONS_NAME));
}

/// Guards against avoiding an upstream for its slowness before the evacuation, which no call would ever correct.
#[test]
fn upstream_of_a_zone_taken_back_is_judged_anew() {
    let now = Instant::now();
    let slow = LoadReport {
        limit: 9,
        service_time_us: 2_600_000,
        slowness_permille: 300_000,
        ..LoadReport::default()
    };
    let stats = UpstreamStats::new(now);
    stats.record_load_report(slow, now);
    stats.record_failure();
    stats.reset_slowness();
    let load = stats.load(now);
    assert_eq!((load.service_time_us, load.slowness_permille, load.consecutive_failures), (0, 0, 0));
    assert_eq!(load.reported_slots, 9, "the slots are known");

    let mut estimate = ServiceEstimate::new(now);
    let typical_time = Some(Duration::from_millis(2));
    let execution = Execution {
        started: now,
        typical_time,
        slowdown_percent: 100,
        slots_in_use: 1,
        near_capacity: false,
    };
    estimate.start(execution);
    let end = now + Duration::from_millis(600);
    estimate.finish(execution, ExecutionOutcome::Succeeded(Duration::from_millis(600)), end);
    assert_eq!(estimate.slowness_permille(end), 300_000);
    estimate.reset_slowness();
    assert_eq!(estimate.slowness_permille(end), 1_000, "as fast as others");
}
