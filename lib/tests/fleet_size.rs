//! Convergence times and control traffic by fleet size, with simulated nodes and network.
//!
//! `YUCCATRAY_FLEET_SIZE=1300 cargo test --release -p yuccatray --test fleet_size -- --nocapture`
//! prints the figures at the design size.

use std::time::Duration;

use yuccatray_testutils::simulated_fleet::SimulatedFleet;

const DEFAULT_NODES: usize = 40;
const ZONE_COUNT: usize = 7;
/// Length of the interval over which idle traffic is measured.
const IDLE_SECONDS: u8 = 20;

/// Required upper bound on the control traffic of one node, sent and received together.
const MAX_BYTES_PER_SECOND: usize = 3_000;

fn node_count() -> usize {
    std::env::var("YUCCATRAY_FLEET_SIZE").ok().and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_NODES)
}

fn sent_bytes(fleet: &SimulatedFleet) -> usize {
    fleet.datagram_bytes + fleet.exchange_bytes
}

#[test]
fn fleet_propagates_changes_within_time_and_traffic_bounds() {
    let node_count = node_count();
    let mut fleet = SimulatedFleet::new(node_count, ZONE_COUNT, 1);
    fleet.check_invariants = node_count <= DEFAULT_NODES;
    for node in 0..node_count {
        fleet.start(node, false);
    }
    let join_time = fleet
        .run_until(Duration::from_mins(3), SimulatedFleet::all_members_discovered)
        .expect("all nodes join");
    println!("{node_count} nodes joined after {join_time:?}, {} bytes each", sent_bytes(&fleet) / node_count);
    fleet.run(Duration::from_mins(2));

    let sent_before = sent_bytes(&fleet);
    fleet.run(Duration::from_secs(u64::from(IDLE_SECONDS)));
    let bytes_per_second = (sent_bytes(&fleet) - sent_before) / node_count / usize::from(IDLE_SECONDS);
    println!("idle: {bytes_per_second} bytes/s sent by each node");
    assert!(
        bytes_per_second * 2 <= MAX_BYTES_PER_SECOND,
        "each node sends {bytes_per_second} bytes/s and receives as many"
    );

    let sent_before = sent_bytes(&fleet);
    fleet.publish("orders");
    let propagation_time = fleet.run_until(Duration::from_secs(19), SimulatedFleet::all_nodes_up_to_date);
    println!("configuration change applied by all nodes after {propagation_time:?}");
    assert!(propagation_time.is_some(), "a configuration change is applied by all nodes within 19 s");
    fleet.run(Duration::from_secs(10));
    let bytes_per_node = (sent_bytes(&fleet) - sent_before) / node_count;
    println!("{bytes_per_node} bytes sent by each node from the change until 10 s after it was applied");

    fleet.leave(7);
    let detection_time = fleet.run_until(Duration::from_secs(2), |fleet| fleet.is_unrouted(7));
    println!("leave known to all nodes after {detection_time:?}");
    assert!(detection_time.is_some(), "a leave is known to all nodes within 2 s");

    fleet.crash(11);
    let detection_time = fleet.run_until(Duration::from_secs(30), |fleet| fleet.is_unrouted(11));
    println!("crash known to all nodes after {detection_time:?}");
    assert!(detection_time.is_some(), "a crash is known to all nodes within 30 s");
}
