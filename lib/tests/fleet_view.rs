//! Single failures and their effect on membership and configuration propagation, on a simulated fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use yuccatray::coordination::fleet_view::Action;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::member::MemberState;
use yuccatray_proto::peer_v1 as wire;
use yuccatray_testutils::simulated_fleet::SimulatedFleet;

fn converged_fleet(node_count: usize, seed: u64) -> SimulatedFleet {
    let mut fleet = SimulatedFleet::new(node_count, 3, seed);
    for node in 0..node_count {
        fleet.start(node, false);
    }
    let convergence_time = fleet.run_until(Duration::from_mins(1), SimulatedFleet::has_converged);
    assert!(convergence_time.is_some(), "{node_count} nodes converge");
    fleet
}

#[test]
fn leave_reaches_all_nodes_within_two_seconds() {
    for seed in 0..10 {
        let mut fleet = converged_fleet(30, seed);
        fleet.leave(7);
        let elapsed = fleet.run_until(Duration::from_secs(2), |fleet| fleet.is_unrouted(7));
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn crash_detected_within_twelve_seconds() {
    for seed in 0..10 {
        let mut fleet = converged_fleet(30, seed);
        fleet.crash(7);
        let elapsed = fleet.run_until(Duration::from_secs(12), |fleet| fleet.is_unrouted(7));
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn publication_reaches_all_nodes_within_three_seconds() {
    for seed in 0..10 {
        let mut fleet = converged_fleet(30, seed);
        fleet.publish("orders");
        let elapsed = fleet.run_until(Duration::from_secs(3), SimulatedFleet::all_nodes_up_to_date);
        assert!(elapsed.is_some(), "seed {seed}");
    }
}

#[test]
fn publication_survives_crash_of_first_watchers() {
    let mut fleet = converged_fleet(12, 1);
    fleet.publish("orders");
    fleet.run(Duration::from_millis(500));
    fleet.platform_up = false;
    let crashed_nodes: Vec<usize> = (0..6).collect();
    for node in &crashed_nodes {
        fleet.crash(*node);
    }
    fleet.start(0, false);
    let elapsed = fleet.run_until(Duration::from_secs(30), SimulatedFleet::all_nodes_up_to_date);
    assert!(
        elapsed.is_some(),
        "a node that starts while the platform is down gets the configuration from its peers"
    );
}

#[test]
fn paused_node_rejoins_with_new_incarnation() {
    let mut fleet = converged_fleet(10, 3);
    let incarnation_before =
        fleet.nodes[4].as_ref().expect("the node runs").view.membership().local_member().id.incarnation;
    fleet.pause(4, Duration::from_secs(40));
    fleet.run(Duration::from_secs(30));
    assert!(fleet.is_unrouted(4), "the paused node is declared dead");
    let elapsed = fleet.run_until(Duration::from_mins(1), SimulatedFleet::has_converged);
    assert!(elapsed.is_some(), "the node rejoins");
    let incarnation_after =
        fleet.nodes[4].as_ref().expect("the node runs").view.membership().local_member().id.incarnation;
    assert!(incarnation_after > incarnation_before);
}

#[test]
fn restart_with_clock_behind_joins() {
    let mut fleet = converged_fleet(6, 4);
    fleet.crash(3);
    fleet.run(Duration::from_millis(200));
    fleet.start(3, true);
    let elapsed = fleet.run_until(Duration::from_mins(1), SimulatedFleet::has_converged);
    assert!(elapsed.is_some(), "a node whose clock is behind that of its previous incarnation joins");
}

#[test]
fn partition_heals_by_itself() {
    let mut fleet = converged_fleet(20, 5);
    for node in 0..7 {
        fleet.partition_side[node] = 1;
    }
    fleet.run(Duration::from_mins(3));
    fleet.publish("orders");
    fleet.run(Duration::from_secs(5));
    fleet.end_faults();
    let elapsed = fleet.run_until(Duration::from_mins(1), SimulatedFleet::has_converged);
    assert!(elapsed.is_some(), "both sides of the partition converge");
}

#[test]
fn superseded_node_stops_sending() {
    let mut fleet = converged_fleet(6, 6);
    let mut superseded = fleet.nodes[2].take().expect("the node runs");
    let local_member = Arc::clone(superseded.view.membership().local_member());
    let id = MemberId { incarnation: local_member.id.incarnation + 1, ..local_member.id.clone() };
    let successor_addr = SocketAddr::from(([10, 0, 0, 2], 1));
    let successor = Member { id, peer_addr: successor_addr, ..Member::clone(&local_member) };
    let mut update = superseded.view.datagram(wire::DatagramKind::Ping, 1);
    update.members = vec![wire::Member::from(&successor)];
    let actions = superseded.view.receive(successor_addr, &update, fleet.now);
    assert!(actions.contains(&Action::Superseded));
    let answers = actions.iter().filter(|action| matches!(action, Action::Send { .. }));
    assert_eq!(answers.count(), 0, "a superseded node does not answer under the name of its successor");
    assert!(superseded.view.is_superseded());
}

#[test]
fn superseded_node_rejoins_after_death_of_successor() {
    let mut fleet = converged_fleet(6, 6);
    let mut superseded = fleet.nodes[2].take().expect("the node runs");
    let local_member = Arc::clone(superseded.view.membership().local_member());
    let id = MemberId { incarnation: local_member.id.incarnation + 1, ..local_member.id.clone() };
    let successor_addr = SocketAddr::from(([10, 0, 0, 2], 1));
    let successor = Member { id, peer_addr: successor_addr, ..Member::clone(&local_member) };
    let mut update = superseded.view.datagram(wire::DatagramKind::Gossip, 0);
    update.members = vec![wire::Member::from(&successor)];
    superseded.view.receive(successor_addr, &update, fleet.now);
    update.members = vec![wire::Member::from(&Member { state: MemberState::Dead, ..successor.clone() })];
    superseded.view.receive(successor_addr, &update, fleet.now);
    assert!(!superseded.view.is_superseded());
    assert_eq!(superseded.view.membership().local_member().id.incarnation, successor.id.incarnation + 1);
}
