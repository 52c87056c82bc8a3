//! Focused failures of membership and of the spread of configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use yuccatray::coordination::fleet_view::Action;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::MemberId;
use yuccatray::protocol::member::MemberState;
use yuccatray_proto::peer_v1 as wire;
use yuccatray_testutils::fleet_harness::Fleet;

fn running(places: usize, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(places, 3, seed);
    for place in 0..places {
        fleet.start(place, false);
    }
    let joined = fleet.run_until(Duration::from_mins(1), Fleet::has_converged);
    assert!(joined.is_some(), "{places} nodes find each other");
    fleet
}

#[test]
fn leave_announced_within_two_seconds() {
    for seed in 0..10 {
        let mut fleet = running(30, seed);
        fleet.leave(7);
        let took = fleet.run_until(Duration::from_secs(2), |fleet| fleet.is_out_of_use(7));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn crash_noticed_in_stated_time() {
    for seed in 0..10 {
        let mut fleet = running(30, seed);
        fleet.crash(7);
        let took = fleet.run_until(Duration::from_secs(12), |fleet| fleet.is_out_of_use(7));
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn publication_everywhere_within_three_seconds() {
    for seed in 0..10 {
        let mut fleet = running(30, seed);
        fleet.publish("orders");
        let took = fleet.run_until(Duration::from_secs(3), Fleet::all_hold_latest);
        assert!(took.is_some(), "seed {seed}");
    }
}

#[test]
fn publication_survives_first_readers() {
    let mut fleet = running(12, 1);
    fleet.publish("orders");
    fleet.run(Duration::from_millis(500));
    fleet.platform_up = false;
    let readers: Vec<usize> = (0..6).collect();
    for place in &readers {
        fleet.crash(*place);
    }
    fleet.start(0, false);
    let took = fleet.run_until(Duration::from_secs(30), Fleet::all_hold_latest);
    assert!(took.is_some(), "a node started while the platform is down learns from its peers");
}

#[test]
fn paused_node_returns_as_new_incarnation() {
    let mut fleet = running(10, 3);
    let before = fleet.lives[4].as_ref().expect("it runs").view.membership().local_member().id.incarnation;
    fleet.pause(4, Duration::from_secs(40));
    fleet.run(Duration::from_secs(30));
    assert!(fleet.is_out_of_use(4), "it was declared dead");
    let took = fleet.run_until(Duration::from_mins(1), Fleet::has_converged);
    assert!(took.is_some(), "it comes back");
    let after = fleet.lives[4].as_ref().expect("it runs").view.membership().local_member().id.incarnation;
    assert!(after > before);
}

#[test]
fn restart_with_clock_behind_joins() {
    let mut fleet = running(6, 4);
    fleet.crash(3);
    fleet.run(Duration::from_millis(200));
    fleet.start(3, true);
    let took = fleet.run_until(Duration::from_mins(1), Fleet::has_converged);
    assert!(took.is_some(), "its clock stands before that of its former life");
}

#[test]
fn cut_region_heals_by_itself() {
    let mut fleet = running(20, 5);
    for place in 0..7 {
        fleet.side[place] = 1;
    }
    fleet.run(Duration::from_mins(3));
    fleet.publish("orders");
    fleet.run(Duration::from_secs(5));
    fleet.heal();
    let took = fleet.run_until(Duration::from_mins(1), Fleet::has_converged);
    assert!(took.is_some(), "both sides find each other again");
}

#[test]
fn superseded_node_falls_silent() {
    let mut fleet = running(6, 6);
    let mut older = fleet.lives[2].take().expect("it runs");
    let local_member = Arc::clone(older.view.membership().local_member());
    let id = MemberId { incarnation: local_member.id.incarnation + 1, ..local_member.id.clone() };
    let elsewhere = SocketAddr::from(([10, 0, 0, 2], 1));
    let later = Member { id, peer_addr: elsewhere, ..Member::clone(&local_member) };
    let mut news = older.view.datagram(wire::DatagramKind::Ping, 1);
    news.members = vec![wire::Member::from(&later)];
    let actions = older.view.receive(elsewhere, &news, fleet.now);
    assert!(actions.contains(&Action::Superseded));
    let answers = actions.iter().filter(|action| matches!(action, Action::Send { .. }));
    assert_eq!(answers.count(), 0, "it no longer answers in the name of its successor");
    assert!(older.view.is_superseded());
}

#[test]
fn superseded_node_returns_once_successor_is_dead() {
    let mut fleet = running(6, 6);
    let mut older = fleet.lives[2].take().expect("it runs");
    let local_member = Arc::clone(older.view.membership().local_member());
    let id = MemberId { incarnation: local_member.id.incarnation + 1, ..local_member.id.clone() };
    let elsewhere = SocketAddr::from(([10, 0, 0, 2], 1));
    let later = Member { id, peer_addr: elsewhere, ..Member::clone(&local_member) };
    let mut news = older.view.datagram(wire::DatagramKind::Gossip, 0);
    news.members = vec![wire::Member::from(&later)];
    older.view.receive(elsewhere, &news, fleet.now);
    news.members = vec![wire::Member::from(&Member { state: MemberState::Dead, ..later.clone() })];
    older.view.receive(elsewhere, &news, fleet.now);
    assert!(!older.view.is_superseded());
    assert_eq!(older.view.membership().local_member().id.incarnation, later.id.incarnation + 1);
}
