//! Choices among upstreams and what they rest on, with fixed seeds and clock readings.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use yuccatray::coordination::concurrency_limit::ConcurrencyLimit;
use yuccatray::coordination::execution_progress::Execution;
use yuccatray::coordination::hedge::StreamingQuantile;
use yuccatray::coordination::load_probe_budget::LoadProbeBudget;
use yuccatray::coordination::load_probe_budget::reserved_slots;
use yuccatray::coordination::outlier_ejection::ejection_flags;
use yuccatray::coordination::reroute_budget::RerouteBudget;
use yuccatray::coordination::retry_budget::RetryBudget;
use yuccatray::coordination::routing::Candidate;
use yuccatray::coordination::routing::FULL_RAMP_PERMILLE;
use yuccatray::coordination::routing::PowerOfTwoChoices;
use yuccatray::coordination::routing::RoutingContext;
use yuccatray::coordination::routing::RoutingPolicy;
use yuccatray::coordination::service_estimate::ExecutionOutcome;
use yuccatray::coordination::service_estimate::ServiceEstimate;
use yuccatray::protocol::load_report::LoadReport;
use yuccatray::protocol::service_spec::MeasuringSpec;
use yuccatray::state::typical_time::TypicalTime;
use yuccatray::state::upstream_stats::UpstreamLoad;
use yuccatray::state::upstream_stats::UpstreamStats;

const CHOICES: usize = 10_000;
const CONTEXT: RoutingContext =
    RoutingContext { max_ejected_percent: 34, objective_us: 0, typical_us: 0, cross_zone_cost_permille: 0 };
const MAX_GATE_LATENCY: Duration = Duration::from_millis(45);
const USUAL: Duration = Duration::from_millis(30);

fn candidate(port: u16) -> Candidate {
    Candidate {
        peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        load: UpstreamLoad { service_time_us: 30_000, ..UpstreamLoad::default() },
        slots: 10,
        same_zone: true,
        ramp_permille: FULL_RAMP_PERMILLE,
    }
}

fn candidates(count: u16) -> Vec<Candidate> {
    (0..count).map(candidate).collect()
}

/// How often each candidate is chosen.
fn chosen(candidates: &[Candidate]) -> Vec<usize> {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut counts = vec![0; candidates.len()];
    for _ in 0..CHOICES {
        let index = PowerOfTwoChoices.choose(candidates, CONTEXT, &mut rng).expect("there are candidates");
        counts[index] += 1;
    }
    counts
}

#[test]
fn choose_no_candidates() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    assert_eq!(PowerOfTwoChoices.choose(&[], CONTEXT, &mut rng), None);
}

#[test]
fn choose_slow_upstream_left_out() {
    let mut all = candidates(3);
    all[1].load.service_time_us = 300_000;
    assert_eq!(chosen(&all)[1], 0);
}

#[test]
fn choose_failing_upstream_left_out() {
    let mut all = candidates(3);
    all[1].load.service_time_us = 100;
    all[1].load.consecutive_failures = 5;
    assert_eq!(chosen(&all)[1], 0);
}

#[test]
fn choose_ramp_grows_with_age() {
    let mut all = candidates(3);
    let mut shares = Vec::new();
    for ramp_permille in [50, 250, 500, FULL_RAMP_PERMILLE] {
        all[0].ramp_permille = ramp_permille;
        shares.push(chosen(&all)[0]);
    }
    assert!(shares.is_sorted(), "the share grows: {shares:?}");
    assert!((1..CHOICES / 10).contains(&shares[0]), "it starts small: {}", shares[0]);
}

#[test]
fn choose_all_new_share_alike() {
    let mut all = candidates(3);
    for candidate in &mut all {
        candidate.ramp_permille = 50;
    }
    let least = chosen(&all).into_iter().min().expect("three candidates");
    assert!(least > CHOICES / 4, "none of three new upstreams is left out: {least}");
}

#[test]
fn ejected_cap_holds_worst_first() {
    let mut all = candidates(4);
    for (index, candidate) in all.iter_mut().enumerate() {
        candidate.load.consecutive_failures = 5 * u32::try_from(index).expect("four") + 5;
    }
    assert_eq!(ejection_flags(&all, 34), [false, false, false, true]);
    assert_eq!(ejection_flags(&all, 50), [false, false, true, true]);
    assert_eq!(ejection_flags(&all, 0), [false; 4]);
    assert_eq!(ejection_flags(&all, 100), [false, true, true, true], "one always stays");
}

#[test]
fn ejected_all_equally_slow_none() {
    let mut all = candidates(4);
    for candidate in &mut all {
        candidate.load.service_time_us = 900_000;
    }
    assert_eq!(ejection_flags(&all, 50), [false; 4]);
}

#[test]
fn patience_one_upstream_none() {
    let (one, two) = (candidates(1), candidates(2));
    assert_eq!(PowerOfTwoChoices.max_gate_latency(&one, &one[0], CONTEXT), None);
    assert_eq!(PowerOfTwoChoices.max_gate_latency(&two, &two[0], CONTEXT), Some(MAX_GATE_LATENCY));
}

#[test]
fn report_bad_word_fades() {
    let start = Instant::now();
    let stats = UpstreamStats::new(start);
    stats.observe(USUAL);
    let bad = LoadReport { running: 1, limit: 10, service_time_us: 300_000, ..LoadReport::default() };
    stats.report(bad, start);
    let at = |millis| stats.load(start + Duration::from_millis(millis)).service_time_us;
    assert_eq!(at(0), 300_000);
    assert!(at(1_000) < at(500), "it fades with age");
    assert!(at(10_000) < 31_000, "at last only this node's own figure counts");
}

fn execution(started: Instant) -> Execution {
    Execution { started, typical_time: None, slowdown_percent: 100 }
}

fn warm_estimate(now: Instant) -> ServiceEstimate {
    let mut estimate = ServiceEstimate::new(now);
    for _ in 0..100 {
        estimate.start(execution(now));
        estimate.finish(execution(now), ExecutionOutcome::Succeeded(USUAL), now);
    }
    estimate
}

#[test]
fn estimate_slowdown_seen_before_any_end() {
    let start = Instant::now();
    let mut estimate = warm_estimate(start);
    for _ in 0..10 {
        estimate.start(execution(start));
    }
    assert_eq!(estimate.current_service_us(start), 30_000);
    assert_eq!(estimate.current_service_us(start + Duration::from_millis(90)), 90_000);
}

#[test]
fn estimate_failing_fast_looks_slow() {
    let now = Instant::now();
    let mut estimate = warm_estimate(now);
    for _ in 0..10 {
        estimate.start(execution(now));
        estimate.finish(execution(now), ExecutionOutcome::Failed, now);
    }
    assert!(
        estimate.current_service_us(now) > 90_000,
        "failures raise it: {}",
        estimate.current_service_us(now)
    );
}

#[test]
fn estimate_abandoned_slow_call_counts() {
    let start = Instant::now();
    let mut estimate = warm_estimate(start);
    let later = start + Duration::from_secs(1);
    estimate.start(execution(start));
    estimate.finish(execution(start), ExecutionOutcome::Abandoned, later);
    assert!(estimate.current_service_us(later) > 60_000, "a cancelled loser leaves its mark");
}

#[test]
fn trial_one_at_a_time_then_later() {
    let now = Instant::now();
    let mut estimate = warm_estimate(now);
    assert!(estimate.claim_trial(MAX_GATE_LATENCY, true, now));
    estimate.start(execution(now));
    assert!(!estimate.claim_trial(MAX_GATE_LATENCY, true, now), "one trial at a time");
    let end = now + Duration::from_millis(300);
    estimate.finish(execution(now), ExecutionOutcome::Succeeded(Duration::from_millis(300)), end);
    assert!(!estimate.claim_trial(MAX_GATE_LATENCY, true, end), "a bad trial puts off the next");
    let next = end + Duration::from_millis(250);
    assert!(!estimate.claim_trial(MAX_GATE_LATENCY, false, next), "a call that may run once waits longer");
    assert!(estimate.claim_trial(MAX_GATE_LATENCY, true, next));
}

#[test]
fn reroute_budget_closes_when_all_full() {
    let budget = RerouteBudget::default();
    for _ in 0..100 {
        budget.record_rerouted();
    }
    let open = (0..160).filter(|_| budget.is_open()).count();
    assert_eq!(open, 10, "one call in sixteen still asks");
    budget.record_accepted();
    assert!(budget.has_credit(), "and opens it again");
}

#[test]
fn retry_budget_share_of_calls() {
    let budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn(10, 10);
        retries += u32::from(budget.spend());
    }
    assert_eq!(retries, 1_000);
}

#[test]
fn live_quantile_uniform_latencies() {
    let quantile = StreamingQuantile::default();
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    assert_eq!(quantile.get(), None);
    for _ in 0..5_000 {
        quantile.observe(Duration::from_micros(rng.random_range(10_000..110_000)), 95.0);
    }
    let at = quantile.get().expect("enough samples").as_micros();
    assert!((95_000..115_000).contains(&at), "the 95th percentile is 105 ms, not {at} us");
}

#[test]
fn concurrency_limit_follows_latency() {
    let mut limit = ConcurrencyLimit::new(10);
    let feed = |limit: &mut ConcurrencyLimit, slots: u32| {
        // An upstream that declared ten slots and has fewer: the rest queue inside it.
        let crowded = USUAL * limit.current().max(slots) / slots;
        for _ in 0..40 {
            limit.observe(crowded);
        }
    };
    for _ in 0..5 {
        feed(&mut limit, 10);
    }
    assert_eq!(limit.current(), 10, "it starts from what was declared");
    for _ in 0..5 {
        feed(&mut limit, 4);
    }
    assert!(limit.current() < 8, "it shrinks to what the upstream can do: {}", limit.current());
    for _ in 0..20 {
        feed(&mut limit, 10);
    }
    assert_eq!(limit.current(), 10, "it grows back");
}

#[test]
fn concurrency_limit_slow_upstream_keeps_slots() {
    let mut limit = ConcurrencyLimit::new(10);
    for _ in 0..400 {
        limit.observe(USUAL);
    }
    for _ in 0..400 {
        limit.observe(USUAL * 10);
    }
    assert_eq!(limit.current(), 10, "fewer calls at once don't make this one faster");
}

fn measuring(probes_per_second: f64) -> MeasuringSpec {
    MeasuringSpec { probes_per_second, ..MeasuringSpec::default() }
}

/// Measurements of one node that restarts every so often and asks at every chance.
fn measurements(gates: u32, life: Duration, span: Duration) -> u32 {
    let start = Instant::now();
    let step = Duration::from_millis(10);
    let mut now = start;
    let mut born = start;
    let mut budget = LoadProbeBudget::new(start);
    let mut count = 0;
    while now < start + span {
        now += step;
        if now - born >= life {
            born = now;
            budget = LoadProbeBudget::new(now);
        }
        budget.record_gate_count(gates, now);
        count += u32::from(budget.try_acquire(&measuring(4.0), 10, now));
    }
    count
}

#[test]
fn load_probe_budget_shared_by_gates() {
    let span = Duration::from_mins(1);
    for gates in [1, 4, 100] {
        let all = gates * measurements(gates, span * 2, span);
        assert!(all <= 4 * 60, "{gates} gates together measure {all} times a minute");
        assert!(all >= 4 * 60 - gates * 2, "{gates} gates use what they may: {all}");
    }
}

#[test]
fn load_probe_budget_restarts_add_nothing() {
    let span = Duration::from_mins(1);
    for life_ms in [100, 900, 1_100, 3_700] {
        let all = 4 * measurements(4, Duration::from_millis(life_ms), span);
        assert!(all <= 4 * 60, "with lives of {life_ms} ms they measure {all} times a minute");
    }
}

#[test]
fn load_probe_budget_gate_out_of_sight_still_counts() {
    let start = Instant::now();
    let mut budget = LoadProbeBudget::new(start);
    budget.record_gate_count(8, start);
    budget.record_gate_count(1, start + Duration::from_secs(1));
    assert!(!budget.try_acquire(&measuring(4.0), 10, start + Duration::from_millis(1_900)));
    assert!(budget.try_acquire(&measuring(4.0), 10, start + Duration::from_secs(2)));
}

#[test]
fn load_probe_budget_slow_endpoint_asked_less() {
    let start = Instant::now();
    let mut budget = LoadProbeBudget::new(start);
    let later = start + Duration::from_secs(1);
    assert!(budget.try_acquire(&measuring(4.0), 10, later));
    budget.record_probe_duration(Duration::from_millis(500));
    // Half a second in one of ten slots is half a percent of ten seconds.
    assert!(!budget.try_acquire(&measuring(4.0), 10, later + Duration::from_secs(9)));
    assert!(budget.try_acquire(&measuring(4.0), 10, later + Duration::from_secs(10)));
}

#[test]
fn withheld_slots_lie_takes_stated_share() {
    assert_eq!(reserved_slots(1_000_000, 3, 10, 20), 2, "at most a fifth");
    assert_eq!(reserved_slots(4, 3, 10, 20), 1);
    assert_eq!(reserved_slots(0, 9, 10, 20), 0, "too little changes nothing");
    assert_eq!(reserved_slots(9, 0, 1, 100), 0, "one slot always stays");
}

fn of_kind(started: Instant, typical_ms: u64, slowdown_percent: u64) -> Execution {
    Execution { started, typical_time: Some(Duration::from_millis(typical_ms)), slowdown_percent }
}

#[test]
fn estimate_of_known_kinds_does_not_follow_the_mix() {
    let now = Instant::now();
    let mut estimate = ServiceEstimate::new(now);
    for typical_ms in [20, 200].repeat(50) {
        let execution = of_kind(now, typical_ms, 100);
        estimate.start(execution);
        estimate.finish(execution, ExecutionOutcome::Succeeded(Duration::from_millis(typical_ms)), now);
    }
    assert_eq!(estimate.slowness_permille(now), 1_000);
    estimate.record_slowdown(400, now);
    assert_eq!(estimate.slowness_permille(now), 4_000, "by the upstream's own word");
}

#[test]
fn estimate_of_a_run_is_learned_at_the_pace_of_its_start() {
    let now = Instant::now();
    let mut estimate = ServiceEstimate::new(now);
    for _ in 0..100 {
        let execution = of_kind(now, 50, 400);
        estimate.start(execution);
        estimate.finish(execution, ExecutionOutcome::Succeeded(Duration::from_millis(200)), now);
    }
    assert_eq!(estimate.slowness_permille(now), 1_000, "the VM was slow, not the upstream");
}

#[test]
fn estimate_one_long_call_among_others_says_little() {
    let start = Instant::now();
    let mut estimate = ServiceEstimate::new(start);
    let done = of_kind(start, 50, 100);
    estimate.start(done);
    estimate.finish(done, ExecutionOutcome::Succeeded(Duration::from_millis(50)), start);
    let later = start + Duration::from_millis(400);
    estimate.start(of_kind(start, 50, 100));
    assert!(estimate.slowness_permille(later) < 1_500, "{}", estimate.slowness_permille(later));
    for _ in 0..8 {
        estimate.start(of_kind(start, 50, 100));
    }
    assert!(estimate.slowness_permille(later) > 4_000, "all of them are overdue");
}

#[test]
fn typical_time_is_not_lifted_by_slow_calls() {
    let typical_time = TypicalTime::default();
    for round in 0..1_000 {
        typical_time.observe(Duration::from_millis(if round % 4 == 0 { 400 } else { 100 }));
    }
    let typical_time = typical_time.get();
    assert!(
        typical_time > Duration::from_millis(80) && typical_time < Duration::from_millis(130),
        "{typical_time:?}"
    );
}

#[test]
fn stats_told_slowness_returns_to_its_mean() {
    let start = Instant::now();
    let stats = UpstreamStats::new(start);
    for slowness_permille in [1_000; 50] {
        stats.report(LoadReport { slowness_permille, ..LoadReport::default() }, start);
    }
    stats.report(LoadReport { slowness_permille: 4_000, ..LoadReport::default() }, start);
    let at = |millis| stats.load(start + Duration::from_millis(millis)).slowness_permille;
    assert_eq!(at(0), 4_000);
    assert!(at(2_000) < 1_500, "{}", at(2_000));
}
