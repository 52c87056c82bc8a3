//! Cross-zone routing: when a call leaves its zone, and the maximum gate latency in its own zone.

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

fn candidate(port: u16, same_zone: bool, service_time_us: u64, running: u32) -> Candidate {
    Candidate {
        peer_addr: SocketAddr::from(([127, 0, 0, 1], port)),
        load: UpstreamLoad {
            in_flight: running,
            reported_calls: running,
            reported_slots: 9,
            service_time_us,
            ..UpstreamLoad::default()
        },
        slots: 9,
        same_zone,
        ramp_up_permille: 1_000,
    }
}

fn chosen_port(candidates: &[Candidate]) -> u16 {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let index = ZoneFirst.choose(candidates, CONTEXT, &mut rng).expect("there are candidates");
    candidates[index].peer_addr.port()
}

#[test]
fn choose_own_zone_while_it_meets_objective() {
    let others = [candidate(2, false, SERVICE_US, 0), candidate(3, false, SERVICE_US, 0)];
    let own_busy = candidate(1, true, SERVICE_US, 8);
    assert_eq!(
        chosen_port(&[own_busy, others[0], others[1]]),
        1,
        "a gate with free slots adds no queue time"
    );
}

#[test]
fn choose_other_zone_when_own_misses_objective() {
    let others = [candidate(2, false, SERVICE_US, 0), candidate(3, false, SERVICE_US, 0)];
    let own_slow = candidate(1, true, SERVICE_US * 4, 0);
    assert_ne!(chosen_port(&[own_slow, others[0], others[1]]), 1);
    let own_overloaded = candidate(1, true, SERVICE_US, 40);
    assert_ne!(chosen_port(&[own_overloaded, others[0], others[1]]), 1);
}

#[test]
fn choose_own_zone_when_all_zones_equally_late() {
    let all = [
        candidate(1, true, SERVICE_US * 9, 30),
        candidate(2, false, SERVICE_US * 9, 30),
        candidate(3, false, SERVICE_US * 9, 30),
    ];
    assert_eq!(chosen_port(&all), 1, "another zone would not be faster");
}

#[test]
fn choose_skips_failing_upstream_in_own_zone() {
    let mut own = candidate(1, true, SERVICE_US, 0);
    own.load.consecutive_failures = 3;
    assert_eq!(chosen_port(&[own, candidate(2, false, SERVICE_US, 0)]), 2);
}

#[test]
fn max_gate_latency_ends_where_another_zone_is_faster() {
    let all = [candidate(1, true, SERVICE_US, 0), candidate(2, false, SERVICE_US, 0)];
    let max_gate_latency = ZoneFirst
        .max_gate_latency(&all, &all[0], CONTEXT)
        .expect("a candidate in another zone limits the gate latency");
    assert!(max_gate_latency > Duration::from_micros(SERVICE_US * 2), "{max_gate_latency:?}");
    assert!(max_gate_latency < Duration::from_micros(CONTEXT.objective_us), "{max_gate_latency:?}");
    assert_eq!(
        ZoneFirst.max_gate_latency(&all[..1], &all[0], CONTEXT),
        None,
        "without another candidate there is no maximum"
    );
}

#[test]
fn choose_prefers_reported_slowness_over_service_time() {
    let mut slow = candidate(1, true, SERVICE_US, 0);
    slow.load.slowness_permille = 4_000;
    let mut fast = candidate(2, false, SERVICE_US * 4, 0);
    fast.load.slowness_permille = 1_000;
    assert_eq!(
        chosen_port(&[slow, fast]),
        2,
        "the slowness reported by gates takes precedence over mean service times"
    );
}

#[test]
fn choose_less_loaded_upstream_before_overload() {
    let mut near_capacity = candidate(1, true, SERVICE_US, 8);
    near_capacity.load.slowness_permille = 1_600;
    let mut idle = candidate(2, true, SERVICE_US, 0);
    idle.load.slowness_permille = 1_600;
    assert_eq!(chosen_port(&[near_capacity, idle]), 2);
}
