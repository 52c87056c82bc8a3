//! Starts of calls at an upstream that is cold, becomes cold or may be, by load pattern on a computed clock.

use std::time::Duration;

use tokio::time::Instant;
use yuccatray::coordination::cold_limit::ColdCause;
use yuccatray::coordination::cold_limit::ColdLimit;
use yuccatray::coordination::cold_limit::ColdState;
use yuccatray::coordination::cold_limit::HealthProbe;

/// Rates that cold upstreams tolerate, in requests per second.
const COLD_RATES: [u32; 4] = [1, 13, 15, 18];
/// Slots of the upstream.
const SLOTS: usize = 9;
/// Time that a call takes.
const SERVICE_MS: u64 = 43;
/// Minimum time between two probes.
const PROBE_INTERVAL_MS: u64 = 25;
const WINDOW_MS: u64 = 1_000;
/// Calls that join the queue in each millisecond under heavy load.
const HEAVY_LOAD: fn(u64) -> usize = |_| 1;
/// Forty calls at once, 2.5 times a second.
const GROUPS: fn(u64) -> usize = |at_ms| if at_ms.is_multiple_of(400) { 40 } else { 0 };

/// An upstream and the gate beside it, in steps of a millisecond.
struct Simulation {
    limit: ColdLimit,
    created_at: Instant,
    now_ms: u64,
    /// Whether the upstream is cold at a time.
    cold_for_ms: fn(u64) -> u64,
    /// Time that a probe and its answer take; `None` if probes are not answered.
    probe_ms: Option<u64>,
    in_flight: Option<(HealthProbe, u64)>,
    next_probe_ms: u64,
    probes: usize,
    queued: usize,
    starts_ms: Vec<u64>,
}

impl Simulation {
    fn new(max_starts_per_s: Option<u32>, cold_for_ms: fn(u64) -> u64) -> Self {
        let created_at = Instant::now();
        let mut limit = ColdLimit::new(created_at);
        limit.set_max_starts(max_starts_per_s, created_at);
        Self {
            limit,
            created_at,
            now_ms: 0,
            cold_for_ms,
            probe_ms: Some(3),
            in_flight: None,
            next_probe_ms: 0,
            probes: 0,
            queued: 0,
            starts_ms: Vec::new(),
        }
    }

    fn now(&self) -> Instant {
        self.created_at + Duration::from_millis(self.now_ms)
    }

    fn run(&mut self, until_ms: u64, load: fn(u64) -> usize) {
        while self.now_ms < until_ms {
            self.queued += load(self.now_ms);
            self.exchange_probes();
            self.start_calls();
            self.now_ms += 1;
        }
    }

    fn exchange_probes(&mut self) {
        let now = self.now();
        if let (Some((probe, sent_ms)), Some(probe_ms)) = (self.in_flight, self.probe_ms)
            && self.now_ms >= sent_ms + probe_ms
        {
            // The upstream answers in the middle of the exchange, and says how long it stays cold then.
            let cold_for = Duration::from_millis((self.cold_for_ms)(sent_ms + probe_ms / 2));
            self.limit.record_health(probe, cold_for, now);
            self.in_flight = None;
        }
        let may_probe = self.in_flight.is_none() && self.now_ms >= self.next_probe_ms;
        if may_probe && self.limit.needs_probe(self.queued > 0, now) {
            self.in_flight = Some((self.limit.begin_probe(), self.now_ms));
            self.next_probe_ms = self.now_ms + PROBE_INTERVAL_MS;
            self.probes += 1;
        }
    }

    fn start_calls(&mut self) {
        let now = self.now();
        while self.queued > 0 && self.running() < SLOTS && self.limit.delay(0, now).is_zero() {
            self.limit.record_start(now);
            self.starts_ms.push(self.now_ms);
            self.queued -= 1;
        }
    }

    fn running(&self) -> usize {
        self.starts_ms.iter().rev().take_while(|started_ms| **started_ms + SERVICE_MS > self.now_ms).count()
    }

    /// Returns the largest number of calls that the cold upstream got in a sliding second.
    fn most_while_cold(&self) -> usize {
        let cold: Vec<u64> =
            self.starts_ms.iter().copied().filter(|at_ms| (self.cold_for_ms)(*at_ms) > 0).collect();
        most_in_window(&cold)
    }

    fn starts_since(&self, from_ms: u64) -> usize {
        self.starts_ms.iter().filter(|at_ms| **at_ms >= from_ms).count()
    }
}

fn most_in_window(starts_ms: &[u64]) -> usize {
    let in_window =
        |from_ms: u64| starts_ms.iter().filter(|at| **at >= from_ms && **at < from_ms + WINDOW_MS).count();
    starts_ms.iter().map(|from_ms| in_window(*from_ms)).max().unwrap_or(0)
}

/// Cold for 3 s from the first moment on.
fn cold_at_start(at_ms: u64) -> u64 {
    3_000_u64.saturating_sub(at_ms)
}

/// Cold for 3 s from 5.007 s on, and again from 9.5 s on.
fn cold_while_busy(at_ms: u64) -> u64 {
    let remaining_from = |from_ms: u64| {
        if at_ms < from_ms { 0 } else { (from_ms + 3_000).saturating_sub(at_ms) }
    };
    remaining_from(5_007) + remaining_from(9_500)
}

const fn always_warm(_at_ms: u64) -> u64 {
    0
}

#[test]
fn new_cold_upstream_under_heavy_load_gets_its_rate() {
    for rate in COLD_RATES {
        let mut simulation = Simulation::new(Some(rate), cold_at_start);
        simulation.run(6_000, HEAVY_LOAD);
        let most = simulation.most_while_cold();
        assert!(most <= rate as usize, "{most} starts in a second at a cold rate of {rate}");
        let while_cold = simulation.starts_ms.len() - simulation.starts_since(3_000);
        assert!(while_cold >= 2 * rate as usize, "{while_cold} starts in 3 s: the cold rate is used");
    }
}

// Guards against a limit that counts only from when the gate learned that its upstream is cold.
#[test]
fn busy_upstream_that_becomes_cold_unnoticed_gets_its_rate() {
    for rate in COLD_RATES {
        for load in [HEAVY_LOAD, GROUPS] {
            for probe_ms in [1, 3, 20, 90] {
                let mut simulation = Simulation::new(Some(rate), cold_while_busy);
                simulation.probe_ms = Some(probe_ms);
                simulation.run(13_000, load);
                let most = simulation.most_while_cold();
                assert!(most <= rate as usize, "{most} starts at {rate}, probes take {probe_ms} ms");
            }
        }
    }
}

// Guards against a limit that slows a warm upstream down, and against too many probes.
#[test]
fn warm_upstream_under_heavy_load_keeps_its_slots_busy() {
    for rate in [13, 18] {
        let mut simulation = Simulation::new(Some(rate), always_warm);
        simulation.run(11_000, HEAVY_LOAD);
        let unlimited = SLOTS * 10_000 / usize::try_from(SERVICE_MS).expect("the time is short");
        let started = simulation.starts_since(1_000);
        assert!(started * 100 >= unlimited * 97, "{started} of {unlimited} at {rate}");
        assert!(simulation.probes <= 11 * 42, "{} probes in 11 s", simulation.probes);
    }
}

// Guards against memory for as many starts as a declared rate allows, which no process has.
#[test]
fn rate_beyond_reach_limits_nothing() {
    let mut unlimited = Simulation::new(None, cold_while_busy);
    unlimited.run(6_000, HEAVY_LOAD);
    for rate in [1_000_000_000, u32::MAX] {
        let mut simulation = Simulation::new(Some(rate), cold_while_busy);
        simulation.run(6_000, HEAVY_LOAD);
        let started = simulation.starts_since(1_000);
        assert_eq!(started, unlimited.starts_since(1_000), "at a rate of {rate}");
    }
}

// Guards against a new rate that forgets the starts of the last second, or remembers more of them than it allows.
#[test]
fn changed_rate_applies_to_earlier_starts() {
    let mut simulation = Simulation::new(Some(u32::MAX), |_| 60_000);
    simulation.run(3_000, HEAVY_LOAD);
    assert!(simulation.starts_since(2_000) > 100, "the first rate limits nothing");
    let now = simulation.now();
    simulation.limit.set_max_starts(Some(13), now);
    simulation.run(4_000, HEAVY_LOAD);
    let first_ms = simulation.starts_ms.iter().copied().find(|at_ms| *at_ms >= 3_000);
    assert!(first_ms.is_some_and(|at_ms| at_ms >= 3_900), "{first_ms:?}");
    simulation.run(9_000, HEAVY_LOAD);
    let after: Vec<u64> = simulation.starts_ms.iter().copied().filter(|at_ms| *at_ms >= 3_000).collect();
    assert!(most_in_window(&after) <= 13);
    assert!(after.len() >= 5 * 13, "{} starts in 6 s", after.len());
}

#[test]
fn unanswered_probes_leave_the_cold_rate() {
    for rate in COLD_RATES {
        let mut simulation = Simulation::new(Some(rate), always_warm);
        simulation.run(2_000, HEAVY_LOAD);
        simulation.probe_ms = None;
        simulation.run(9_000, HEAVY_LOAD);
        let after: Vec<u64> = simulation.starts_ms.iter().copied().filter(|at| *at >= 2_000).collect();
        let most = most_in_window(&after);
        assert!(most <= rate as usize, "{most} starts in a second at {rate}");
        assert!(after.len() >= 5 * rate as usize, "{} starts in 7 s at {rate}", after.len());
    }
}

// Guards against a node that starts anew and forgets what its earlier process sent.
#[test]
fn restarted_node_and_its_earlier_process_stay_within_one_and_a_half_times_the_rate() {
    for rate in COLD_RATES {
        let mut earlier = Simulation::new(Some(rate), cold_while_busy);
        earlier.run(6_300, HEAVY_LOAD);
        let mut later = Simulation::new(Some(rate), cold_while_busy);
        later.created_at = earlier.created_at;
        later.now_ms = 6_300;
        later.next_probe_ms = 0;
        later.limit = ColdLimit::new(later.now());
        later.limit.set_max_starts(Some(rate), later.now());
        later.run(8_000, HEAVY_LOAD);
        let mut all = earlier;
        all.starts_ms.extend(&later.starts_ms);
        let most = all.most_while_cold();
        assert!(most * 2 <= 3 * rate as usize + 1, "{most} starts in a second at {rate}");
        assert!(!later.starts_ms.is_empty());
    }
}

// Guards against an answer that the upstream gave before it was restarted.
#[test]
fn health_response_to_a_probe_sent_before_a_reset_proves_nothing() {
    let now = Instant::now();
    let mut limit = ColdLimit::new(now);
    limit.set_max_starts(Some(13), now);
    let probe = limit.begin_probe();
    limit.record_health(probe, Duration::ZERO, now);
    assert_eq!(limit.state(), ColdState::Warm);
    let early_probe = limit.begin_probe();
    let change = limit.suspect(ColdCause::ConnectionFailed, now).expect("the upstream was warm");
    assert_eq!((change.state, change.cause), (ColdState::Unconfirmed, ColdCause::ConnectionFailed));
    assert!(limit.needs_probe(false, now), "a probe is due at once");
    assert_eq!(limit.record_health(early_probe, Duration::ZERO, now), None);
    assert_eq!(limit.state(), ColdState::Unconfirmed);
    let probe = limit.begin_probe();
    let change = limit.record_health(probe, Duration::ZERO, now).expect("the upstream is warm again");
    assert_eq!(change.state, ColdState::Warm);
}

#[test]
fn heartbeat_limits_busy_upstream_whose_probes_are_late() {
    let mut simulation = Simulation::new(Some(15), cold_while_busy);
    simulation.run(5_000, HEAVY_LOAD);
    simulation.probe_ms = None;
    simulation.run(5_050, HEAVY_LOAD);
    let cold_for = Duration::from_millis(cold_while_busy(5_050));
    let now = simulation.now();
    simulation.limit.record_heartbeat(cold_for, now);
    assert_eq!(simulation.limit.state(), ColdState::Cold(now + cold_for));
    simulation.run(12_000, HEAVY_LOAD);
    let most = simulation.most_while_cold();
    assert!(most <= 15, "{most} starts in a second");
}

// Guards against a late heartbeat of the time before the upstream became cold.
#[test]
fn warm_heartbeat_counts_only_after_a_failed_probe() {
    let now = Instant::now();
    let mut limit = ColdLimit::new(now);
    limit.set_max_starts(Some(14), now);
    assert_eq!(limit.record_heartbeat(Duration::ZERO, now), None);
    let probe = limit.begin_probe();
    limit.record_probe_failure(probe, now);
    let change = limit.record_heartbeat(Duration::ZERO, now).expect("nothing else can tell");
    assert_eq!((change.state, change.cause), (ColdState::Warm, ColdCause::Heartbeat));
    let started = (0..100).take_while(|_| {
        let may_start = limit.delay(0, now).is_zero();
        limit.record_start(now);
        may_start
    });
    assert_eq!(started.count(), 7, "half as many as after a health response");
}

#[test]
fn end_of_the_stated_time_needs_a_health_response() {
    let now = Instant::now();
    let mut limit = ColdLimit::new(now);
    limit.set_max_starts(Some(14), now);
    let probe = limit.begin_probe();
    limit.record_health(probe, Duration::from_secs(2), now);
    assert!(!limit.needs_probe(true, now), "nothing is to be learned yet");
    let end = now + Duration::from_secs(2);
    assert_eq!(limit.cold_until(now), Some(end));
    assert_eq!(limit.cold_until(end), None);
    assert!(limit.needs_probe(true, end));
    assert!(limit.needs_probe(false, end), "an idle upstream is probed once");
    limit.begin_probe();
    assert!(!limit.needs_probe(false, end), "and again once it gets calls");
    limit.record_start(end);
    assert!(limit.needs_probe(false, end));
}

// Guards against delays in load reports and in Retry-After that are too short or too long.
#[test]
fn delay_of_a_limited_upstream_is_when_the_call_starts() {
    for rate in COLD_RATES {
        let mut simulation = Simulation::new(Some(rate), |_| 60_000);
        simulation.run(1_777, HEAVY_LOAD);
        let now_ms = simulation.now_ms;
        let expected: Vec<u64> = (0..40)
            .map(|ahead| simulation.limit.delay(ahead, simulation.now()).as_millis())
            .map(|delay_ms| now_ms + u64::try_from(delay_ms).expect("the delay is short"))
            .collect();
        simulation.run(60_000, HEAVY_LOAD);
        let later = simulation.starts_ms.iter().copied().filter(|at_ms| *at_ms >= now_ms);
        for (expected_ms, actual_ms) in expected.into_iter().zip(later) {
            let error_ms = expected_ms.abs_diff(actual_ms);
            assert!(error_ms <= 260, "expected at {expected_ms} ms, started at {actual_ms} ms at {rate}");
        }
    }
}

#[test]
fn undeclared_rate_limits_and_probes_nothing() {
    let mut simulation = Simulation::new(None, cold_at_start);
    simulation.limit.suspect(ColdCause::OutOfUse, simulation.now());
    simulation.limit.record_heartbeat(Duration::from_secs(3), simulation.now());
    simulation.run(2_000, HEAVY_LOAD);
    assert_eq!(simulation.probes, 0);
    assert_eq!(simulation.limit.delay(1_000, simulation.now()), Duration::ZERO);
    let unlimited = SLOTS * 2_000 / usize::try_from(SERVICE_MS).expect("the time is short");
    assert!(simulation.starts_ms.len() >= unlimited, "{} starts", simulation.starts_ms.len());
}
