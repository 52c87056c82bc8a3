//! Control traffic between availability zones, with simulated nodes and network.

use std::time::Duration;

use yuccatray_testutils::simulated_fleet::SimulatedFleet;

const ZONES: usize = 5;
const NODES: usize = 100;
/// Upper bound of a member's record on the wire, in bytes.
const RECORD_BYTES: usize = 200;
/// Copies of a record that may reach each other zone while a fleet starts: a few from each of two relays, and
/// what nodes exchange before they know the relays of their zone.
const COPIES_PER_ZONE: usize = 20;
/// Bytes that one node may send to other zones at rest, in bytes per second.
const MAX_IDLE_BYTES_PER_SECOND: usize = 100;
/// Length of the interval over which traffic at rest is measured, in seconds.
const IDLE_SECONDS: usize = 30;

fn started_fleet() -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(NODES, ZONES, 3);
    fleet.check_invariants = false;
    for node in 0..NODES {
        fleet.start(node, false);
    }
    let joined = fleet.run_until(Duration::from_mins(1), SimulatedFleet::all_members_discovered);
    assert!(joined.is_some(), "every node knows every other within a minute");
    fleet.run(Duration::from_secs(30));
    fleet
}

#[test]
fn mass_start_sends_few_copies_of_records_between_zones() {
    let fleet = started_fleet();
    let limit = NODES * (ZONES - 1) * RECORD_BYTES * COPIES_PER_ZONE;
    assert!(
        fleet.cross_zone_bytes <= limit,
        "{} bytes between zones, at most {limit}",
        fleet.cross_zone_bytes
    );
}

#[test]
fn idle_fleet_sends_few_bytes_between_zones() {
    let mut fleet = started_fleet();
    let before = fleet.cross_zone_bytes;
    fleet.run(Duration::from_secs(IDLE_SECONDS as u64));
    let per_second = (fleet.cross_zone_bytes - before) / NODES / IDLE_SECONDS;
    assert!(per_second <= MAX_IDLE_BYTES_PER_SECOND, "{per_second} bytes/s of each node");
}
