//! A change of the configuration is in force on every other node in time when the nodes that read the platform on
//! behalf of a zone fail before, at or after the change.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use yuccatray::coordination::config_confirmation::ConfigConfirmation;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::member::MemberState;
use yuccatray_testutils::simulated_fleet::CONFIRMING_WATCH_WAIT;
use yuccatray_testutils::simulated_fleet::NetFaults;
use yuccatray_testutils::simulated_fleet::STEP;
use yuccatray_testutils::simulated_fleet::SimulatedFleet;

/// Maximum time from a change at the platform until it is in force on every node.
const APPLY_BOUND: Duration = Duration::from_secs(2);
/// Age at which a confirmation by another node no longer counts, as with the deployed settings.
const MAX_AGE: Duration = Duration::from_millis(1_500);
const SERVICE: &str = "orders";

/// How nodes fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    Crash,
    Freeze,
    CutFromPlatform,
    /// A freeze that ends at the time of the change.
    FreezeUntilChange,
}

const FAILURES: [Failure; 4] =
    [Failure::Crash, Failure::Freeze, Failure::CutFromPlatform, Failure::FreezeUntilChange];

fn converged_fleet(node_count: usize, zones: usize, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(node_count, zones, seed);
    // `fleet_view.rs` checks them; they take time quadratic in the number of nodes.
    fleet.check_invariants = false;
    fleet.max_confirmation_age = Some(MAX_AGE);
    fleet.publish(SERVICE);
    for node in 0..node_count {
        fleet.start(node, false);
    }
    let converged = fleet.run_until(Duration::from_mins(1), SimulatedFleet::has_converged);
    assert!(converged.is_some(), "{node_count} nodes converge");
    fleet.run(Duration::from_secs(5));
    fleet
}

fn fail(fleet: &mut SimulatedFleet, nodes: &[usize], failure: Failure, before_change: Duration) {
    for node in nodes {
        match failure {
            Failure::Crash => fleet.crash(*node),
            Failure::Freeze => fleet.pause(*node, Duration::from_mins(1)),
            Failure::FreezeUntilChange => fleet.pause(*node, before_change),
            Failure::CutFromPlatform => fleet.cut_from_platform[*node] = true,
        }
    }
}

/// Checks that a change made `since_change` ago is in force in time on all nodes but those that have failed.
fn assert_in_force(fleet: &mut SimulatedFleet, failed: &[usize], since_change: Duration, case: &str) {
    let others: Vec<usize> = (0..fleet.nodes.len()).filter(|node| !failed.contains(node)).collect();
    let left = APPLY_BOUND.saturating_sub(since_change);
    let in_force = fleet.run_until(left, |fleet| others.iter().all(|node| fleet.is_up_to_date(*node)));
    assert!(in_force.is_some(), "{case}: {}", fleet.describe());
}

/// Guards against nodes that follow a change too late when all watchers of the platform fail before it.
#[test]
fn change_in_force_after_all_watchers_fail() {
    let few_ms: &[u64] = &[150];
    let many_ms: &[u64] = &[50, 150, 700, 1_500, 4_000];
    let fleets = [(3, 1, many_ms), (12, 1, many_ms), (12, 3, many_ms), (40, 1, few_ms), (76, 4, few_ms)];
    for (nodes, zones, times_ms) in fleets {
        for failure in FAILURES {
            for before_change_ms in times_ms.iter().copied() {
                let before_change = Duration::from_millis(before_change_ms);
                let mut fleet = converged_fleet(nodes, zones, before_change_ms);
                let watchers = fleet.platform_watchers();
                fail(&mut fleet, &watchers, failure, before_change);
                fleet.run(before_change);
                fleet.publish(SERVICE);
                let case =
                    format!("{nodes} nodes in {zones} zones, {failure:?} {before_change_ms} ms before");
                assert_in_force(&mut fleet, &watchers, Duration::ZERO, &case);
            }
        }
    }
}

/// Guards against nodes that follow a change too late when the watchers fail while it spreads.
#[test]
fn change_in_force_when_watchers_fail_right_after_it() {
    for failure in [Failure::Crash, Failure::Freeze, Failure::CutFromPlatform] {
        for (seed, steps) in (0..30).zip([0, 1, 2, 4, 8].into_iter().cycle()) {
            let mut fleet = converged_fleet(12, 1 + usize::try_from(seed % 3).expect("a small number"), seed);
            let watchers = fleet.platform_watchers();
            fleet.publish(SERVICE);
            fleet.run(STEP * steps);
            fail(&mut fleet, &watchers, failure, Duration::ZERO);
            let case = format!("seed {seed}, {failure:?} {steps} steps after");
            assert_in_force(&mut fleet, &watchers, STEP * steps, &case);
        }
    }
}

/// Guards against nodes that gossip passes by, which waited for the repair by digests.
#[test]
fn change_in_force_on_nodes_that_gossip_passes_by() {
    for seed in 0..60 {
        let mut fleet = converged_fleet(12, 1, seed);
        fleet.faults = NetFaults { loss_percent: 30, ..NetFaults::default() };
        fleet.publish(SERVICE);
        assert_in_force(&mut fleet, &[], Duration::ZERO, &format!("seed {seed}"));
    }
}

/// Guards against a fleet in which every node reads the platform although nothing has failed.
#[test]
fn no_node_reads_for_itself_at_rest() {
    for (nodes, zones) in [(3, 1), (12, 3), (76, 4), (200, 1)] {
        let mut fleet = converged_fleet(nodes, zones, 7);
        for _ in 0..100 {
            fleet.run(STEP);
            let now = fleet.now;
            let reading = fleet.nodes.iter().flatten().filter(|node| node.view.may_miss_configurations(now));
            assert_eq!(reading.count(), 0, "{nodes} nodes in {zones} zones");
        }
    }
}

/// Guards against a loss of the leading watcher after which all nodes of its zone read the platform.
#[test]
fn second_watcher_confirms_after_loss_of_the_first() {
    let mut late = 0;
    for seed in 0..20 {
        let mut fleet = converged_fleet(12, 1, seed);
        let watchers = fleet.platform_watchers();
        let leader = watchers.iter().find(|node| fleet.leads_zone(**node)).expect("a node leads the zone");
        fleet.crash(*leader);
        for _ in 0..100 {
            fleet.run(STEP);
            let now = fleet.now;
            let others = (0..12).filter(|node| !watchers.contains(node));
            let views = others.filter_map(|node| fleet.nodes[node].as_ref());
            late += views.filter(|node| node.view.may_miss_configurations(now)).count();
        }
    }
    assert_eq!(late, 0, "no other node reads the platform");
}

fn member(name: &str) -> Arc<Member> {
    let addr = SocketAddr::from(([10, 0, 0, 1], 1));
    Arc::new(Member {
        id: MemberId { name: Arc::from(name), incarnation: 1 },
        version: 1,
        state: MemberState::Alive,
        region: Arc::from("r"),
        zone: Arc::from("z"),
        peer_addr: addr,
        ingress_addr: addr,
        admin_addr: addr,
        upstream: None,
    })
}

#[test]
fn age_counts_from_the_request() {
    let start = Instant::now();
    let mut confirmation = ConfigConfirmation::new(MAX_AGE, start);
    assert!(confirmation.is_missing(start), "nothing is confirmed yet");
    assert!(confirmation.begin_request(start));
    let (first, second) = (member("first"), member("second"));
    assert_eq!(confirmation.source(&[&first, &second]), Some(first));
    confirmation.record_request(1, start);
    // The answer arrives late, and the confirmation was 400 ms old when it was sent.
    confirmation.record_answer(1, Some(Duration::from_millis(400)));
    assert!(!confirmation.is_missing(start + Duration::from_millis(1_099)));
    assert!(confirmation.is_missing(start + Duration::from_millis(1_100)));
    assert_eq!(confirmation.age_ms(start + CONFIRMING_WATCH_WAIT), Some(1_300));
}

#[test]
fn unanswered_request_goes_to_the_next_source() {
    let start = Instant::now();
    let mut confirmation = ConfigConfirmation::new(MAX_AGE, start);
    assert!(confirmation.begin_request(start));
    let (first, second) = (member("first"), member("second"));
    let _first = confirmation.source(&[&first, &second]);
    confirmation.record_request(1, start);
    assert!(!confirmation.begin_request(start + Duration::from_millis(199)));
    assert!(confirmation.begin_request(start + Duration::from_millis(200)));
    assert_eq!(confirmation.source(&[&first, &second]), Some(second));
}

#[test]
fn answer_without_confirmation_counts_as_alive_only() {
    let start = Instant::now();
    let mut confirmation = ConfigConfirmation::new(MAX_AGE, start);
    for (number, at_ms) in [(1, 0), (2, 300)] {
        let at = start + Duration::from_millis(at_ms);
        assert!(confirmation.begin_request(at));
        let _source = confirmation.source(&[&member("first")]);
        confirmation.record_request(number, at);
        let age = (number == 1).then_some(Duration::ZERO);
        confirmation.record_answer(number, age);
    }
    assert!(!confirmation.is_missing(start + MAX_AGE - Duration::from_millis(1)));
    assert!(confirmation.is_missing(start + MAX_AGE));
}
