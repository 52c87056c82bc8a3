//! Admission against a simple oracle and under steady overload.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::TestCaseError;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;
use yuccatray::coordination::admission::Admission;
use yuccatray::coordination::admission::AdmissionOutcome;
use yuccatray::coordination::admission::AdmissionRequest;
use yuccatray::coordination::admission::QueueDecision;
use yuccatray::coordination::admission::QueueKey;
use yuccatray::coordination::admission::RejectReason;
use yuccatray::coordination::admission::SlotGrant;
use yuccatray::coordination::priority_queue::CallerKey;
use yuccatray::coordination::priority_queue::PriorityRule;
use yuccatray::coordination::service_estimate::ExecutionOutcome;

const SHARES: [u32; 4] = [30, 20, 10, 10];
const SERVICE_TIME: Duration = Duration::from_millis(30);

fn rule(min_share_percent: u32) -> PriorityRule {
    PriorityRule {
        min_share_percent,
        max_queue: 20,
        max_caller_queue_percent: 100,
        objective: Duration::from_secs(1),
        serve_late: false,
        usable_slots_percent: 100,
    }
}

fn rules(shares: &[u32]) -> Vec<PriorityRule> {
    shares.iter().map(|share| rule(*share)).collect()
}

#[derive(Clone, Debug)]
enum Step {
    RequestAdmission { priority: u8, timeout_ms: u64, max_gate_latency_ms: Option<u64> },
    Release { pick: usize, good: bool },
    Cancel { pick: usize },
    SetLimit(u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_u8, 1..2_000_u64, proptest::option::of(1..100_u64)).prop_map(
            |(priority, timeout_ms, max_gate_latency_ms)| Step::RequestAdmission {
                priority,
                timeout_ms,
                max_gate_latency_ms,
            }
        ),
        4 => (any::<usize>(), any::<bool>()).prop_map(|(pick, good)| Step::Release { pick, good }),
        1 => any::<usize>().prop_map(|pick| Step::Cancel { pick }),
        1 => (0..8_u32).prop_map(Step::SetLimit),
        3 => (0..50_u64).prop_map(Step::Wait),
        1 => Just(Step::Wait(1_500)),
    ]
}

/// What the gate should know: who waits, with which priority, and who holds a slot.
struct Oracle {
    admission: Admission,
    now: Instant,
    waiting: BTreeMap<QueueKey, (u8, Instant)>,
    running: Vec<SlotGrant>,
}

impl Oracle {
    fn new() -> Self {
        let now = Instant::now();
        let mut admission = Admission::new(3, &rules(&SHARES), now);
        admission.set_adaptive(false);
        Self { admission, now, waiting: BTreeMap::new(), running: Vec::new() }
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::RequestAdmission { priority, timeout_ms, max_gate_latency_ms } => {
                self.request_admission(*priority, *timeout_ms, *max_gate_latency_ms)?;
            }
            Step::Release { pick, good } if !self.running.is_empty() => {
                let grant = self.running.swap_remove(pick % self.running.len());
                let outcome = if *good {
                    ExecutionOutcome::Succeeded(self.now - grant.started())
                } else {
                    ExecutionOutcome::Failed
                };
                let decisions = self.admission.release(grant, outcome, self.now);
                self.deliver(decisions)?;
            }
            Step::Cancel { pick } if !self.waiting.is_empty() => {
                let key = *self.waiting.keys().nth(pick % self.waiting.len()).expect("one waits");
                prop_assert!(self.admission.cancel(key), "a waiting call can leave");
                prop_assert!(!self.admission.cancel(key), "it leaves once");
                self.waiting.remove(&key);
            }
            Step::SetLimit(limit) => {
                let decisions = self.admission.set_limit(*limit, self.now);
                self.deliver(decisions)?;
            }
            Step::Wait(millis) => self.now += Duration::from_millis(*millis),
            Step::Release { .. } | Step::Cancel { .. } => {}
        }
        self.check()
    }

    fn request_admission(
        &mut self,
        priority: u8,
        timeout_ms: u64,
        max_gate_latency_ms: Option<u64>,
    ) -> Result<(), TestCaseError> {
        let deadline = self.now + Duration::from_millis(timeout_ms);
        let max_gate_latency = max_gate_latency_ms.map(Duration::from_millis);
        let request = AdmissionRequest {
            priority,
            caller: CallerKey(0),
            deadline,
            start_by: None,
            objective_at: None,
            typical_time: None,
            max_gate_latency,
            idempotent: timeout_ms.is_multiple_of(2),
        };
        let load = self.admission.load(self.now);
        match self.admission.request_admission(request, self.now) {
            AdmissionOutcome::Admitted(grant) => {
                prop_assert!(load.running < load.limit, "no slot is given twice");
                prop_assert_eq!(load.queued, 0, "nobody overtakes the queue");
                self.running.push(grant);
            }
            AdmissionOutcome::Queued(key) => {
                prop_assert!(!self.waiting.contains_key(&key), "keys are given once");
                self.waiting.insert(key, (priority, deadline));
            }
            AdmissionOutcome::Rejected(reason) => {
                let idle = load.running < load.limit && load.queued == 0;
                prop_assert!(
                    !idle || reason == RejectReason::GateTooSlow,
                    "an idle slot refuses no patient call"
                );
            }
        }
        Ok(())
    }

    fn deliver(&mut self, decisions: Vec<QueueDecision>) -> Result<(), TestCaseError> {
        for decision in decisions {
            match decision {
                QueueDecision::Admit(key, grant) => {
                    let (priority, deadline) =
                        self.waiting.remove(&key).expect("only a waiting call is let in");
                    prop_assert!(deadline > self.now, "nothing starts after its deadline");
                    let earlier = self
                        .waiting
                        .values()
                        .any(|(other, at)| *other == priority && *at < deadline && *at > self.now);
                    prop_assert!(!earlier, "the earliest deadline of a priority goes first");
                    self.running.push(grant);
                }
                QueueDecision::Reject(key, _) => {
                    prop_assert!(self.waiting.remove(&key).is_some(), "only a waiting call is refused");
                }
            }
        }
        Ok(())
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let load = self.admission.load(self.now);
        prop_assert_eq!(load.running as usize, self.running.len(), "slots held");
        prop_assert_eq!(load.queued as usize, self.waiting.len(), "no ticket is lost");
        prop_assert!(load.queued == 0 || load.running >= load.limit, "no slot idles while a call waits");
        Ok(())
    }
}

proptest! {
    #[test]
    fn admission_matches_oracle(steps in vec(step(), 1..200)) {
        let mut oracle = Oracle::new();
        for step in &steps {
            oracle.apply(step)?;
        }
    }
}

/// One gate under open arrivals at fixed rates, in simulated time.
struct Overload {
    admission: Admission,
    rng: Pcg64Mcg,
    start: Instant,
    arrivals: Vec<(Duration, Instant)>,
    service_time: [Duration; 4],
    running: Vec<(Instant, usize, SlotGrant)>,
    waiting: BTreeMap<QueueKey, (usize, Instant)>,
    slot_time: [Duration; 4],
    longest_wait: [Duration; 4],
    refused: [u32; 4],
}

impl Overload {
    fn new(slots: u32, per_second: [f64; 4], service_time: [Duration; 4]) -> Self {
        Self::with_rules(slots, per_second, service_time, &rules(&SHARES))
    }

    fn with_rules(
        slots: u32,
        per_second: [f64; 4],
        service_time: [Duration; 4],
        rules: &[PriorityRule],
    ) -> Self {
        let start = Instant::now();
        let mut admission = Admission::new(slots, rules, start);
        admission.set_adaptive(false);
        let arrivals = per_second.map(|rate| (Duration::from_secs_f64(1.0 / rate), start)).to_vec();
        Self {
            admission,
            rng: Pcg64Mcg::seed_from_u64(5),
            start,
            arrivals,
            service_time,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            slot_time: [Duration::ZERO; 4],
            longest_wait: [Duration::ZERO; 4],
            refused: [0; 4],
        }
    }

    fn run(&mut self, duration: Duration) {
        loop {
            let next_arrival = (0..4).min_by_key(|index| self.arrivals[*index].1).expect("four priorities");
            let next_end = (0..self.running.len()).min_by_key(|index| self.running[*index].0);
            let arrival_at = self.arrivals[next_arrival].1;
            let end = next_end.filter(|index| self.running[*index].0 <= arrival_at);
            let now = end.map_or(arrival_at, |index| self.running[index].0);
            if now > self.start + duration {
                return;
            }
            match end {
                Some(index) => self.end(index, now),
                None => self.arrive(next_arrival, now),
            }
        }
    }

    fn arrive(&mut self, lane: usize, now: Instant) {
        let gap = self.arrivals[lane].0;
        self.arrivals[lane].1 = now + gap.mul_f64(self.rng.random_range(0.0..2.0));
        let priority = u8::try_from(lane).expect("four priorities");
        let deadline = now + Duration::from_secs(10);
        let request = AdmissionRequest {
            priority,
            caller: CallerKey(0),
            deadline,
            start_by: None,
            objective_at: None,
            typical_time: None,
            max_gate_latency: None,
            idempotent: false,
        };
        match self.admission.request_admission(request, now) {
            AdmissionOutcome::Admitted(grant) => self.start(lane, grant, now),
            AdmissionOutcome::Queued(key) => {
                self.waiting.insert(key, (lane, now));
            }
            AdmissionOutcome::Rejected(_) => self.refused[lane] += 1,
        }
    }

    fn start(&mut self, lane: usize, grant: SlotGrant, now: Instant) {
        let took = self.service_time[lane].mul_f64(self.rng.random_range(0.2..1.8));
        self.running.push((now + took, lane, grant));
    }

    fn end(&mut self, index: usize, now: Instant) {
        let (_, lane, grant) = self.running.swap_remove(index);
        let took = now - grant.started();
        self.slot_time[lane] += took;
        for decision in self.admission.release(grant, ExecutionOutcome::Succeeded(took), now) {
            match decision {
                QueueDecision::Admit(key, grant) => {
                    let (lane, since) = self.waiting.remove(&key).expect("it was waiting");
                    self.longest_wait[lane] = self.longest_wait[lane].max(now - since);
                    self.start(lane, grant, now);
                }
                QueueDecision::Reject(key, _) => {
                    let (lane, _) = self.waiting.remove(&key).expect("it was waiting");
                    self.refused[lane] += 1;
                }
            }
        }
    }

    fn share_percent(&self, lane: usize, slots: u32, duration: Duration) -> f64 {
        100.0 * self.slot_time[lane].as_secs_f64() / (duration.as_secs_f64() * f64::from(slots))
    }
}

fn assert_shares_kept(slots: u32, per_second: [f64; 4], service_time: [Duration; 4]) {
    let duration = Duration::from_mins(1);
    let mut overload = Overload::new(slots, per_second, service_time);
    overload.run(duration);
    let total: f64 = (0..4).map(|lane| overload.share_percent(lane, slots, duration)).sum();
    assert!(total > 98.0, "slots are in use, not {total} percent");
    for (lane, share) in SHARES.iter().enumerate() {
        let kept = overload.share_percent(lane, slots, duration);
        assert!(kept >= f64::from(*share) * 0.98, "lane {lane} keeps {kept} of {share} percent");
    }
}

#[test]
fn shares_most_urgent_overloaded() {
    assert_shares_kept(10, [3_333.0, 500.0, 500.0, 500.0], [SERVICE_TIME; 4]);
}

#[test]
fn shares_all_overloaded() {
    assert_shares_kept(10, [3_333.0; 4], [SERVICE_TIME; 4]);
}

#[test]
fn shares_fraction_of_a_slot() {
    assert_shares_kept(2, [700.0, 200.0, 200.0, 200.0], [SERVICE_TIME; 4]);
}

#[test]
fn shares_one_slot() {
    assert_shares_kept(1, [330.0, 200.0, 200.0, 200.0], [SERVICE_TIME; 4]);
}

#[test]
fn shares_unequal_service_times() {
    let long = SERVICE_TIME * 5;
    assert_shares_kept(10, [3_333.0, 500.0, 500.0, 500.0], [SERVICE_TIME, SERVICE_TIME, long, SERVICE_TIME]);
}

#[test]
fn shares_tight_objectives_offered_little_more() {
    let slots = 10;
    let objectives_ms = [100, 150, 1_000, 500];
    let tight: Vec<PriorityRule> = SHARES
        .into_iter()
        .zip(objectives_ms)
        .map(|(share, millis)| PriorityRule { objective: Duration::from_millis(millis), ..rule(share) })
        .collect();
    let duration = Duration::from_mins(1);
    let mut overload = Overload::with_rules(slots, [3_333.0, 117.0, 83.0, 82.0], [SERVICE_TIME; 4], &tight);
    overload.run(duration);
    for (lane, share) in SHARES.iter().enumerate() {
        let kept = overload.share_percent(lane, slots, duration);
        assert!(kept >= f64::from(*share) * 0.98, "lane {lane} keeps {kept} of {share} percent");
    }
}

#[test]
fn urgent_least_overloaded() {
    let slots = 10;
    let mut overload = Overload::new(slots, [60.0, 60.0, 30.0, 3_333.0], [SERVICE_TIME; 4]);
    overload.run(Duration::from_mins(1));
    assert_eq!(overload.refused[..3], [0, 0, 0], "none of the urgent is refused");
    let longest = overload.longest_wait[0];
    assert!(longest < SERVICE_TIME, "the most urgent waits {longest:?} for the next free slot");
}

fn caller_request(caller: u64, now: Instant) -> AdmissionRequest {
    let deadline = now + Duration::from_secs(10);
    AdmissionRequest {
        priority: 0,
        caller: CallerKey(caller),
        deadline,
        start_by: None,
        objective_at: None,
        typical_time: None,
        max_gate_latency: None,
        idempotent: false,
    }
}

#[test]
fn caller_flooding_leaves_others_their_turn() {
    let now = Instant::now();
    let mut admission = Admission::new(2, &rules(&SHARES), now);
    let mut running = Vec::new();
    let mut waiting = Vec::new();
    for _ in 0..20 {
        match admission.request_admission(caller_request(1, now), now) {
            AdmissionOutcome::Admitted(grant) => running.push(grant),
            AdmissionOutcome::Queued(key) => waiting.push(key),
            AdmissionOutcome::Rejected(reason) => panic!("there is room for twenty: {reason:?}"),
        }
    }
    assert_eq!(running.len(), 2);
    let AdmissionOutcome::Queued(other) = admission.request_admission(caller_request(2, now), now) else {
        panic!("another caller may wait");
    };
    let decisions = admission.release(running[0], ExecutionOutcome::Succeeded(SERVICE_TIME), now);
    let [QueueDecision::Admit(next, _)] = decisions[..] else {
        panic!("one slot, one call: {decisions:?}");
    };
    assert_eq!(next, other, "the caller with nothing running goes first");
}

#[test]
fn caller_alone_takes_its_share_of_the_queue() {
    let now = Instant::now();
    let rule = PriorityRule { max_caller_queue_percent: 50, ..rule(30) };
    let mut admission = Admission::new(1, &[rule], now);
    let outcomes: Vec<AdmissionOutcome> =
        (0..13).map(|_| admission.request_admission(caller_request(1, now), now)).collect();
    assert!(matches!(outcomes[0], AdmissionOutcome::Admitted(_)));
    assert!(
        outcomes[1..11].iter().all(|outcome| matches!(outcome, AdmissionOutcome::Queued(_))),
        "ten of twenty places"
    );
    assert_eq!(outcomes[11..], [AdmissionOutcome::Rejected(RejectReason::CallerLimited); 2]);
    assert!(
        matches!(admission.request_admission(caller_request(2, now), now), AdmissionOutcome::Queued(_)),
        "others find room"
    );
}

fn late_rules() -> Vec<PriorityRule> {
    let usable = [100, 80, 60];
    usable
        .map(|usable_slots_percent| PriorityRule { serve_late: true, usable_slots_percent, ..rule(0) })
        .to_vec()
}

fn ranked(priority: u8, objective_ms: u64, timeout_ms: u64, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        caller: CallerKey(0),
        deadline: now + Duration::from_millis(timeout_ms),
        start_by: None,
        objective_at: Some(now + Duration::from_millis(objective_ms)),
        typical_time: Some(Duration::from_millis(50)),
        max_gate_latency: None,
        idempotent: true,
    }
}

fn granted(admission: &mut Admission, request: AdmissionRequest, now: Instant) -> Option<SlotGrant> {
    match admission.request_admission(request, now) {
        AdmissionOutcome::Admitted(grant) => Some(grant),
        _ => None,
    }
}

#[test]
fn usable_slots_left_free_for_the_urgent() {
    let now = Instant::now();
    let mut admission = Admission::new(10, &late_rules(), now);
    let taken = |admission: &mut Admission, priority| {
        (0..10).filter(|_| granted(admission, ranked(priority, 500, 1_000, now), now).is_some()).count()
    };
    assert_eq!(taken(&mut admission, 2), 6);
    assert_eq!(taken(&mut admission, 1), 2, "the next rank finds two more, though others wait");
    assert_eq!(taken(&mut admission, 0), 2, "the most urgent find the rest");
}

#[test]
fn late_call_served_after_those_in_time() {
    let now = Instant::now();
    let mut admission = Admission::new(1, &late_rules(), now);
    let running = granted(&mut admission, ranked(0, 500, 1_000, now), now).expect("a free slot");
    let queued = |outcome| match outcome {
        AdmissionOutcome::Queued(key) => key,
        other => panic!("expected to wait, not {other:?}"),
    };
    let late = queued(admission.request_admission(ranked(0, 10, 1_000, now), now));
    let in_time = queued(admission.request_admission(ranked(0, 500, 2_000, now), now));
    let decisions = admission.release(running, ExecutionOutcome::Succeeded(Duration::from_millis(50)), now);
    let [QueueDecision::Admit(first, grant)] = decisions[..] else {
        panic!("one call starts: {decisions:?}");
    };
    assert_eq!(first, in_time, "though its deadline is later");
    let decisions = admission.release(grant, ExecutionOutcome::Succeeded(Duration::from_millis(50)), now);
    assert!(matches!(decisions[..], [QueueDecision::Admit(second, _)] if second == late), "{decisions:?}");
}

#[test]
fn late_call_that_cannot_end_in_its_time_refused_at_once() {
    let now = Instant::now();
    let mut admission = Admission::new(1, &late_rules(), now);
    granted(&mut admission, ranked(0, 500, 1_000, now), now).expect("a free slot");
    let outcome = admission.request_admission(ranked(0, 10, 40, now), now);
    assert_eq!(outcome, AdmissionOutcome::Rejected(RejectReason::TooLate), "it usually takes 50 ms");
}

#[test]
fn call_that_cannot_wait_refused_before_its_deadline() {
    let now = Instant::now();
    let mut admission = Admission::new(1, &late_rules(), now);
    let _running = granted(&mut admission, ranked(0, 500, 9_000, now), now).expect("a free slot");
    let start_by = now + Duration::from_millis(700);
    let request = AdmissionRequest { start_by: Some(start_by), ..ranked(0, 500, 9_000, now) };
    let AdmissionOutcome::Queued(key) = admission.request_admission(request, now) else {
        panic!("it may wait for a while");
    };
    assert_eq!(key.start_by(), start_by, "its sender hands it back then");
    let passed = AdmissionRequest { start_by: Some(now), ..ranked(0, 500, 9_000, now) };
    assert_eq!(admission.request_admission(passed, now), AdmissionOutcome::Rejected(RejectReason::TooLate));
}

#[test]
fn slow_vm_refuses_who_is_faster_elsewhere_by_its_told_pace() {
    let now = Instant::now();
    let mut admission = Admission::new(10, &late_rules(), now);
    let request =
        AdmissionRequest { max_gate_latency: Some(Duration::from_millis(120)), ..ranked(0, 500, 9_000, now) };
    let grant = granted(&mut admission, request, now).expect("as fast as usual, as far as is known");
    admission.release(grant, ExecutionOutcome::Succeeded(Duration::from_millis(50)), now);
    admission.record_slowdown(400, now);
    assert_eq!(
        admission.request_admission(request, now),
        AdmissionOutcome::Rejected(RejectReason::GateTooSlow)
    );
    admission.record_slowdown(100, now);
    assert!(granted(&mut admission, request, now).is_some(), "it is fast again");
}

#[test]
fn pace_wanted_while_calls_come_and_the_word_is_old() {
    let now = Instant::now();
    let mut admission = Admission::new(10, &late_rules(), now);
    assert!(!admission.needs_slowdown_probe(now), "nobody calls");
    let _grant = granted(&mut admission, ranked(0, 500, 9_000, now), now);
    assert!(admission.needs_slowdown_probe(now), "nothing was told yet");
    admission.record_slowdown(100, now);
    assert!(!admission.needs_slowdown_probe(now + Duration::from_millis(50)));
    assert!(admission.needs_slowdown_probe(now + Duration::from_millis(150)));
    assert!(!admission.needs_slowdown_probe(now + Duration::from_secs(2)), "nobody called for long");
}
