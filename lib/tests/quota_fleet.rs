//! Quotas of a simulated fleet in single situations: usable limits, failures and changes.

use std::sync::Arc;
use std::time::Duration;

use yuccatray::coordination::quota::client::QuotaRejectionKind;
use yuccatray::coordination::quota::tenant_limits::TenantLimit;
use yuccatray::coordination::quota::tenant_limits::TenantLimits;
use yuccatray::coordination::quota::tenant_limits::group_of;
use yuccatray_testutils::simulated_quotas::QuotaFleet;
use yuccatray_testutils::simulated_quotas::exceeded_window;

const NODE_COUNT: usize = 12;
const ZONE_COUNT: usize = 4;
const RATE: u32 = 100;
const BURST: u32 = 20;
/// Time that a request waits for a token.
const PATIENCE: Duration = Duration::from_millis(150);
const TENANT: &str = "tenant";

fn tenant() -> Arc<str> {
    Arc::from(TENANT)
}

fn limits(revision: u64, rate: u32) -> TenantLimits {
    let limit = TenantLimit { rate_millis_per_s: u64::from(rate) * 1_000, burst: BURST };
    TenantLimits { revision, limits: [(tenant(), limit)].into() }
}

/// Returns a fleet that has run long enough for its buckets to be full.
fn settled_fleet() -> QuotaFleet {
    let mut fleet = QuotaFleet::new(NODE_COUNT, ZONE_COUNT, limits(1, RATE), 5);
    fleet.store_equal_roster();
    fleet.run(Duration::from_secs(4));
    fleet
}

/// Sends `rate` requests per second, spread evenly, for some seconds; `node_at` chooses the node of each.
fn send<F>(fleet: &mut QuotaFleet, rate: u64, seconds: u64, node_at: F)
where
    F: Fn(u64) -> usize,
{
    for number in 0..rate * seconds {
        fleet.request(node_at(number), &tenant(), PATIENCE);
        fleet.run(Duration::from_millis(1_000 / rate));
    }
}

fn admitted_since(fleet: &QuotaFleet, count_before: usize) -> usize {
    fleet.admissions.len() - count_before
}

fn rejected(fleet: &QuotaFleet, kind: QuotaRejectionKind) -> usize {
    fleet.rejections.iter().filter(|(_, rejection)| rejection.kind == kind).count()
}

fn assert_within_limit(fleet: &QuotaFleet, rate: u32) {
    let (rate, burst) = (f64::from(rate) * 1.005, f64::from(BURST + 1));
    assert_eq!(exceeded_window(&fleet.admissions, TENANT, rate, burst), None);
}

/// Guards against a split of the limit among nodes, which leaves most of it unused.
#[test]
fn demand_through_one_node_uses_limit() {
    let mut fleet = settled_fleet();
    send(&mut fleet, 200, 10, |_| 3);
    let admitted = admitted_since(&fleet, 0);
    assert!(admitted >= 970, "{admitted} of 1000 requests were admitted");
    assert_within_limit(&fleet, RATE);
}

/// Guards against parts that follow demand too slowly when it moves to another zone each second.
#[test]
fn demand_that_moves_between_zones_uses_limit() {
    let mut fleet = settled_fleet();
    send(&mut fleet, 200, 12, |number| usize::try_from(number / 200).unwrap_or(0) % ZONE_COUNT);
    let admitted = admitted_since(&fleet, 0);
    assert!(admitted >= 1_164, "{admitted} of 1200 requests were admitted");
    assert_within_limit(&fleet, RATE);
}

/// Guards against rejections of a tenant that stays below its limit.
#[test]
fn demand_below_limit_is_not_rejected() {
    let mut fleet = settled_fleet();
    send(&mut fleet, 90, 10, |number| usize::try_from(number).unwrap_or(0) % NODE_COUNT);
    assert_eq!(fleet.rejections, Vec::new());
}

/// Guards against a flood that costs datagrams for each of its requests.
#[test]
fn flood_costs_few_messages() {
    let mut idle = settled_fleet();
    let mut flooded = settled_fleet();
    let before = idle.sent_messages;
    idle.run(Duration::from_secs(5));
    let idle_messages = idle.sent_messages - before;
    let before = flooded.sent_messages;
    send(&mut flooded, 1_000, 5, |_| 3);
    let flood_messages = flooded.sent_messages - before - idle_messages;
    assert!(flood_messages <= 5_000 / 4, "{flood_messages} messages for 5000 requests");
    assert_within_limit(&flooded, RATE);
}

/// Guards against callers that are rejected together and told to return together, or too early.
#[test]
fn retry_after_is_spread_by_rate() {
    let mut fleet = settled_fleet();
    for _ in 0..BURST + 41 {
        fleet.request(3, &tenant(), PATIENCE);
    }
    fleet.run(Duration::from_millis(20));
    let mut waits: Vec<Duration> =
        fleet.rejections.iter().map(|(_, rejection)| rejection.retry_after).collect();
    assert!((39..=41).contains(&waits.len()), "{} requests were rejected", waits.len());
    waits.sort_unstable();
    let last = waits.last().copied().unwrap_or_default();
    assert!(last >= Duration::from_millis(380) && last <= Duration::from_millis(430), "{last:?}");
    let gaps = waits.windows(2).map(|pair| pair[1].saturating_sub(pair[0]));
    assert!(gaps.clone().all(|gap| gap >= Duration::from_millis(9)), "{:?}", gaps.min());
}

/// Guards against a limit that stays unusable after the death of the tenant's quota server.
#[test]
fn dead_server_is_replaced() {
    let mut fleet = settled_fleet();
    let server = fleet.server_of(group_of(TENANT));
    let caller = (server + 1) % NODE_COUNT;
    send(&mut fleet, 80, 2, |_| caller);
    assert_eq!(fleet.rejections, Vec::new());
    fleet.kill(server);
    send(&mut fleet, 80, 2, |_| caller);
    let lost = fleet.rejections.len();
    assert!(lost <= 80, "{lost} requests were rejected in the two seconds after the death");
    fleet.rejections.clear();
    send(&mut fleet, 80, 5, |_| caller);
    assert_eq!(fleet.rejections, Vec::new());
    assert_within_limit(&fleet, RATE);
}

/// Guards against a zone whose shares stay idle after the death of its leading node.
#[test]
fn dead_leading_node_is_replaced() {
    let mut fleet = settled_fleet();
    let server = fleet.server_of(group_of(TENANT));
    let zone = (0..ZONE_COUNT).find(|zone| fleet.leader_of_zone(*zone) != server).expect("some other zone");
    let leader = fleet.leader_of_zone(zone);
    fleet.kill(leader);
    fleet.run(Duration::from_secs(2));
    let lost = 1_000_000 / 12;
    assert!(fleet.spendable_parts() >= 1_000_000 - 2 * lost, "only the dead node's own share is idle");
    let caller = (0..NODE_COUNT).find(|node| *node != leader).expect("some other node");
    send(&mut fleet, 85, 5, |_| caller);
    assert_eq!(fleet.rejections, Vec::new());
}

/// Guards against a restarted leading node that lends what its predecessor has lent to another server.
#[test]
fn restarted_leading_node_waits_for_leases_of_predecessor() {
    let mut fleet = settled_fleet();
    let server = fleet.server_of(group_of(TENANT));
    let leaders: Vec<usize> = (0..ZONE_COUNT).map(|zone| fleet.leader_of_zone(zone)).collect();
    for leader in leaders.into_iter().filter(|leader| *leader != server) {
        fleet.start(leader);
    }
    for observer in (0..NODE_COUNT).filter(|observer| *observer != server) {
        fleet.set_view(observer, server, true);
    }
    for _ in 0..2_000 {
        fleet.run(Duration::from_millis(1));
        assert!(fleet.spendable_parts() <= 1_000_000, "{} parts at once", fleet.spendable_parts());
    }
}

/// Guards against a lower limit that waits for full buckets or for nodes with the earlier configuration.
#[test]
fn lower_limit_applies_once_caller_or_server_has_it() {
    let mut fleet = settled_fleet();
    let server = fleet.server_of(group_of(TENANT));
    let caller = (server + 1) % NODE_COUNT;
    fleet.set_limits(limits(2, 10), [caller]);
    let changed_at = fleet.now;
    send(&mut fleet, 100, 5, |number| if number % 2 == 0 { caller } else { (caller + 5) % NODE_COUNT });
    fleet.admissions.retain(|admission| admission.arrived_at > changed_at);
    assert_within_limit(&fleet, 10);
}

/// Guards against requests that wait for a token after their tenant's limit was removed.
#[test]
fn removed_limit_admits_waiting_requests() {
    let mut fleet = QuotaFleet::new(NODE_COUNT, ZONE_COUNT, limits(1, RATE), 9);
    fleet.request(3, &tenant(), PATIENCE);
    fleet.set_limits(TenantLimits { revision: 2, ..TenantLimits::default() }, 0..NODE_COUNT);
    fleet.run(Duration::from_millis(140));
    assert_eq!(fleet.admissions.len(), 1);
}

/// Guards against a start at which all nodes wait for each other.
#[test]
fn start_of_all_nodes_serves_within_seconds() {
    let mut fleet = QuotaFleet::new(NODE_COUNT, ZONE_COUNT, limits(1, RATE), 9);
    fleet.store_equal_roster();
    fleet.run(Duration::from_secs(3));
    send(&mut fleet, 90, 5, |number| usize::try_from(number).unwrap_or(0) % NODE_COUNT);
    assert_eq!(fleet.rejections, Vec::new());
}

/// Guards against a first start that never writes a roster.
#[test]
fn first_start_writes_equal_shares() {
    let mut fleet = QuotaFleet::new(NODE_COUNT, ZONE_COUNT, limits(1, RATE), 9);
    send(&mut fleet, 10, 2, |_| 3);
    assert_eq!(rejected(&fleet, QuotaRejectionKind::Unavailable), fleet.rejections.len());
    assert_eq!(fleet.admissions.len(), 0);
    fleet.run(Duration::from_secs(5));
    let roster = fleet.store.roster.clone().expect("the leading node wrote a roster");
    assert_eq!(roster.all_parts(), 1_000_000);
    assert_eq!(roster.shares.len(), NODE_COUNT);
    assert!(fleet.spendable_parts() > 999_000);
}

/// Guards against an isolated node that spends more than its share, or nothing.
#[test]
fn isolated_node_spends_its_share() {
    let mut fleet = settled_fleet();
    let isolated = fleet.leader_of_zone(1);
    for other in (0..NODE_COUNT).filter(|other| *other != isolated) {
        fleet.set_cut(isolated, other, true);
        fleet.set_cut(other, isolated, true);
    }
    fleet.correct_views();
    fleet.run(Duration::from_secs(4));
    let before = fleet.admissions.len();
    send(&mut fleet, 40, 10, |_| isolated);
    let admitted = admitted_since(&fleet, before);
    let share = 10 * usize::try_from(RATE).unwrap_or(0) / NODE_COUNT;
    assert!(admitted >= share * 97 / 100, "{admitted} of {share} requests were admitted");
    let most = share + 1 + usize::try_from(BURST).unwrap_or(0) / NODE_COUNT + 1;
    assert!(admitted <= most, "{admitted} of {most} requests were admitted");
}

/// Guards against an outage of the store that takes the limits away.
#[test]
fn store_outage_changes_nothing() {
    let mut fleet = settled_fleet();
    fleet.store.is_down = true;
    fleet.run_coarsely(Duration::from_mins(20));
    fleet.run(Duration::from_secs(4));
    send(&mut fleet, 90, 3, |number| usize::try_from(number).unwrap_or(0) % NODE_COUNT);
    assert_eq!(fleet.rejections, Vec::new());
}

/// Guards against shares of lost nodes that stay idle for ever, or that move to a node that may be cut off.
#[test]
fn share_of_lost_node_moves_after_wait() {
    let mut fleet = settled_fleet();
    fleet.kill(7);
    fleet.correct_views();
    fleet.run_coarsely(Duration::from_mins(25));
    let roster = fleet.store.roster.clone().expect("the roster is stored");
    assert_eq!((roster.share_of("node-7"), roster.withdrawn.len()), (0, 1));
    fleet.run_coarsely(Duration::from_hours(1));
    let roster = fleet.store.roster.clone().expect("the roster is stored");
    assert!(roster.withdrawn.is_empty());
    assert!(roster.all_parts() > 999_000);
}

/// Guards against a new leading node that takes a store without its roster for a first start.
#[test]
fn restored_store_without_roster_is_no_first_start() {
    let mut fleet = settled_fleet();
    let isolated = fleet.leader_of_zone(1);
    for other in (0..NODE_COUNT).filter(|other| *other != isolated) {
        fleet.set_cut(isolated, other, true);
        fleet.set_cut(other, isolated, true);
    }
    fleet.correct_views();
    fleet.store.roster = None;
    fleet.store.epoch += 1;
    let leader = fleet.leader_of_zone(0);
    fleet.start(leader);
    for _ in 0..60 {
        fleet.run(Duration::from_secs(1));
        assert!(fleet.usable_shares() <= 1_000_000, "{} parts are in use", fleet.usable_shares());
    }
}

/// Guards against a restored store whose roster of an earlier epoch takes the limits away.
#[test]
fn restored_store_gets_the_known_roster() {
    let mut fleet = settled_fleet();
    fleet.copy_store();
    fleet.run_coarsely(Duration::from_mins(2));
    fleet.restore_store();
    fleet.run_coarsely(Duration::from_mins(40));
    fleet.run(Duration::from_secs(4));
    let roster = fleet.store.roster.clone().expect("the roster is stored");
    assert_eq!((roster.epoch, roster.shares.len()), (1, NODE_COUNT));
    assert!(fleet.spendable_parts() > 999_000);
}

/// Guards against servers that drop their answers to a node that they still regard as dead after a cut.
#[test]
fn node_regarded_as_dead_gets_answers() {
    let mut fleet = settled_fleet();
    let server = fleet.server_of(group_of(TENANT));
    let caller = (server + 1) % NODE_COUNT;
    for observer in 0..NODE_COUNT {
        fleet.set_view(observer, caller, true);
    }
    send(&mut fleet, 50, 2, |_| caller);
    assert_eq!(fleet.rejections, Vec::new());
}

/// Guards against a server that is skipped long after the cut to it has healed.
#[test]
fn server_is_asked_again_soon_after_cut() {
    let mut fleet = settled_fleet();
    let server = fleet.server_of(group_of(TENANT));
    let caller = (server + 1) % NODE_COUNT;
    fleet.set_cut(caller, server, true);
    send(&mut fleet, 50, 7, |_| caller);
    fleet.heal();
    send(&mut fleet, 50, 5, |_| caller);
    fleet.rejections.clear();
    for other in (0..NODE_COUNT).filter(|other| *other != server) {
        fleet.set_cut(caller, other, true);
    }
    send(&mut fleet, 50, 1, |_| caller);
    assert_eq!(fleet.rejections, Vec::new());
}

fn cut_off(fleet: &mut QuotaFleet, node: usize) {
    for other in (0..NODE_COUNT).filter(|other| *other != node) {
        fleet.set_cut(node, other, true);
        fleet.set_cut(other, node, true);
    }
}

/// Guards against cut-off nodes that serve nothing until the membership regards the others as dead.
#[test]
fn cut_off_node_spends_its_share_within_two_seconds() {
    for node in 0..NODE_COUNT {
        let mut fleet = settled_fleet();
        cut_off(&mut fleet, node);
        send(&mut fleet, 40, 2, |_| node);
        fleet.rejections.clear();
        let before = fleet.admissions.len();
        send(&mut fleet, 40, 6, |_| node);
        let admitted = admitted_since(&fleet, before);
        let share = 6 * usize::try_from(RATE).unwrap_or(0) / NODE_COUNT;
        assert!(admitted >= share * 95 / 100, "node {node} admitted {admitted} of {share} requests");
        assert_eq!(rejected(&fleet, QuotaRejectionKind::Unavailable), 0, "node {node}");
        fleet.heal();
        send(&mut fleet, 90, 1, |_| node);
        fleet.rejections.clear();
        send(&mut fleet, 80, 3, |_| node);
        assert_eq!(fleet.rejections, Vec::new(), "node {node} after the cut");
        assert_within_limit(&fleet, RATE);
    }
}

/// Guards against nodes that are cut off together and leave their shares to a leading node that nobody borrows from.
#[test]
fn nodes_cut_off_together_spend_their_shares() {
    for (zone, other) in [(0, 4), (1, 5), (2, 6), (3, 7), (0, 1), (6, 11), (8, 4)] {
        let mut fleet = settled_fleet();
        let inside = |node: usize| node == zone || node == other || (other == zone + 4 && node % 4 == zone);
        for (from, to) in (0..NODE_COUNT * NODE_COUNT).map(|pair| (pair / NODE_COUNT, pair % NODE_COUNT)) {
            fleet.set_cut(from, to, inside(from) != inside(to));
        }
        let nodes: Vec<usize> = (0..NODE_COUNT).filter(|node| inside(*node)).collect();
        send(&mut fleet, 40, 3, |number| nodes[usize::try_from(number).unwrap_or(0) % nodes.len()]);
        fleet.rejections.clear();
        let before = fleet.admissions.len();
        send(&mut fleet, 60, 6, |number| nodes[usize::try_from(number).unwrap_or(0) % nodes.len()]);
        let admitted = admitted_since(&fleet, before);
        let share = 6 * usize::try_from(RATE).unwrap_or(0) * nodes.len() / NODE_COUNT;
        let unavailable = rejected(&fleet, QuotaRejectionKind::Unavailable);
        assert!(admitted >= share * 95 / 100, "{nodes:?} admitted {admitted} of {share} requests");
        assert_eq!(unavailable, 0, "{nodes:?}");
        assert_within_limit(&fleet, RATE);
    }
}

/// Guards against nodes with few requests that go on splitting a small tenant's parts among servers after a cut.
#[test]
fn small_tenant_is_served_soon_after_cut() {
    let limit = TenantLimit { rate_millis_per_s: 5_000, burst: 1 };
    let limits = TenantLimits { revision: 1, limits: [(tenant(), limit)].into() };
    let mut fleet = QuotaFleet::new(NODE_COUNT, ZONE_COUNT, limits, 5);
    fleet.store_equal_roster();
    fleet.run(Duration::from_secs(4));
    let server = fleet.server_of(group_of(TENANT));
    let is_inside = |node: usize| node % ZONE_COUNT == server % ZONE_COUNT;
    for (from, to) in (0..NODE_COUNT * NODE_COUNT).map(|pair| (pair / NODE_COUNT, pair % NODE_COUNT)) {
        fleet.set_cut(from, to, is_inside(from) != is_inside(to));
    }
    send(&mut fleet, 4, 10, |number| usize::try_from(number).unwrap_or(0) % NODE_COUNT);
    fleet.heal();
    send(&mut fleet, 4, 6, |number| usize::try_from(number).unwrap_or(0) % NODE_COUNT);
    fleet.rejections.clear();
    send(&mut fleet, 4, 5, |number| usize::try_from(number).unwrap_or(0) % NODE_COUNT);
    assert_eq!(fleet.rejections, Vec::new());
}
