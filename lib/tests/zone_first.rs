//! When a call crosses to another zone, and how long it puts up with its own.

use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccatray::coordination::routing::Candidate;
use yuccatray::coordination::routing::RoutingContext;
use yuccatray::coordination::routing::RoutingPolicy;
use yuccatray::coordination::routing::ZoneFirst;
use yuccatray::state::upstream_stats::UpstreamLoad;

const SERVICE_US: u64 = 100_000;
const CONTEXT: RoutingContext = RoutingContext {
    max_ejected_percent: 0,
    objective_us: 300_000,
    typical_us: SERVICE_US,
    cross_zone_cost_permille: 300,
};

fn candidate(port: u16, same_zone: bool, service_time_us: u64, busy: u32) -> Candidate {
    Candidate {
        peer_addr: SocketAddr::from(([127, 0, 0, 1], port)),
        load: UpstreamLoad {
            in_flight: busy,
            reported_busy: busy,
            reported_limit: 9,
            service_time_us,
            ..UpstreamLoad::default()
        },
        slots: 9,
        same_zone,
        ramp_permille: 1_000,
    }
}

fn chosen(candidates: &[Candidate]) -> u16 {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let index = ZoneFirst.choose(candidates, CONTEXT, &mut rng).expect("a candidate is chosen");
    candidates[index].peer_addr.port()
}

#[test]
fn choose_own_zone_while_it_is_in_time() {
    let others = [candidate(2, false, SERVICE_US, 0), candidate(3, false, SERVICE_US, 0)];
    let own_busy = candidate(1, true, SERVICE_US, 8);
    assert_eq!(chosen(&[own_busy, others[0], others[1]]), 1, "free slots cost no wait");
}

#[test]
fn choose_other_zone_when_the_own_is_late() {
    let others = [candidate(2, false, SERVICE_US, 0), candidate(3, false, SERVICE_US, 0)];
    let own_slow = candidate(1, true, SERVICE_US * 4, 0);
    assert_ne!(chosen(&[own_slow, others[0], others[1]]), 1);
    let own_full = candidate(1, true, SERVICE_US, 40);
    assert_ne!(chosen(&[own_full, others[0], others[1]]), 1);
}

#[test]
fn choose_own_zone_when_all_are_late_alike() {
    let all = [
        candidate(1, true, SERVICE_US * 9, 30),
        candidate(2, false, SERVICE_US * 9, 30),
        candidate(3, false, SERVICE_US * 9, 30),
    ];
    assert_eq!(chosen(&all), 1, "crossing brings nothing");
}

#[test]
fn choose_failing_upstream_left_for_another() {
    let mut own = candidate(1, true, SERVICE_US, 0);
    own.load.consecutive_failures = 3;
    assert_eq!(chosen(&[own, candidate(2, false, SERVICE_US, 0)]), 2);
}

#[test]
fn patience_ends_where_another_zone_is_better() {
    let all = [candidate(1, true, SERVICE_US, 0), candidate(2, false, SERVICE_US, 0)];
    let max_gate_latency = ZoneFirst.max_gate_latency(&all, &all[0], CONTEXT).expect("another may be better");
    assert!(max_gate_latency > Duration::from_micros(SERVICE_US * 2), "{max_gate_latency:?}");
    assert!(max_gate_latency < Duration::from_micros(CONTEXT.objective_us), "{max_gate_latency:?}");
    assert_eq!(ZoneFirst.max_gate_latency(&all[..1], &all[0], CONTEXT), None, "nowhere else to go");
}

#[test]
fn choose_fast_vm_by_the_slowness_that_gates_tell() {
    let mut slow = candidate(1, true, SERVICE_US, 0);
    slow.load.slowness_permille = 4_000;
    let mut fast = candidate(2, false, SERVICE_US * 4, 0);
    fast.load.slowness_permille = 1_000;
    assert_eq!(chosen(&[slow, fast]), 2, "what gates tell goes before service times over all calls");
}

#[test]
fn choose_less_crowded_upstream_before_it_is_full() {
    let mut crowded = candidate(1, true, SERVICE_US, 8);
    crowded.load.slowness_permille = 1_600;
    let mut free = candidate(2, true, SERVICE_US, 0);
    free.load.slowness_permille = 1_600;
    assert_eq!(chosen(&[crowded, free]), 2);
}
