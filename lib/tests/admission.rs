//! Checks admission against a simple model and measures slot shares and queue times under steady overload.

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
use yuccatray::protocol::call_head::CallOrigin;

/// Minimum share of the slots of each priority, in percent.
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
    SubmitCall { priority: u8, timeout_ms: u64, max_gate_latency_ms: Option<u64> },
    Release { selector: usize, succeeded: bool },
    Cancel { selector: usize },
    SetLimit(u32),
    AdvanceMillis(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..4_u8, 1..2_000_u64, proptest::option::of(1..100_u64)).prop_map(
            |(priority, timeout_ms, max_gate_latency_ms)| {
                Step::SubmitCall {
                priority,
                timeout_ms, max_gate_latency_ms }
            }
        ),
        4 => (any::<usize>(), any::<bool>())
            .prop_map(|(selector, succeeded)| Step::Release { selector, succeeded }),
        1 => any::<usize>().prop_map(|selector| Step::Cancel { selector }),
        1 => (0..8_u32).prop_map(Step::SetLimit),
        3 => (0..50_u64).prop_map(Step::AdvanceMillis),
        1 => Just(Step::AdvanceMillis(1_500)),
    ]
}

/// Expected state of a gate: its queued calls with priority and deadline, and its running calls.
struct Oracle {
    admission: Admission,
    now: Instant,
    queued: BTreeMap<QueueKey, (u8, Instant)>,
    running: Vec<SlotGrant>,
}

impl Oracle {
    fn new() -> Self {
        let now = Instant::now();
        let mut admission = Admission::new(3, &rules(&SHARES), now);
        admission.set_adaptive(false);
        Self { admission, now, queued: BTreeMap::new(), running: Vec::new() }
    }

    fn apply(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match step {
            Step::SubmitCall { priority, timeout_ms, max_gate_latency_ms } => {
                self.submit_call(*priority, *timeout_ms, *max_gate_latency_ms)?;
            }
            Step::Release { selector, succeeded } if !self.running.is_empty() => {
                let grant = self.running.swap_remove(selector % self.running.len());
                let outcome = if *succeeded {
                    ExecutionOutcome::Succeeded(self.now - grant.started())
                } else {
                    ExecutionOutcome::Failed
                };
                let decisions = self.admission.release(grant, outcome, self.now);
                self.apply_decisions(decisions)?;
            }
            Step::Cancel { selector } if !self.queued.is_empty() => {
                let key = *self
                    .queued
                    .keys()
                    .nth(selector % self.queued.len())
                    .expect("the index is below the number of queued calls");
                prop_assert!(self.admission.cancel(key), "a queued call can be cancelled");
                prop_assert!(!self.admission.cancel(key), "a call can be cancelled only once");
                self.queued.remove(&key);
            }
            Step::SetLimit(limit) => {
                let decisions = self.admission.set_limit(*limit, self.now);
                self.apply_decisions(decisions)?;
            }
            Step::AdvanceMillis(millis) => self.now += Duration::from_millis(*millis),
            Step::Release { .. } | Step::Cancel { .. } => {}
        }
        self.check_load()
    }

    fn submit_call(
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
            caller_weight: None,
            deadline,
            start_by: None,
            objective_at: None,
            typical_time: None,
            max_gate_latency,
            origin: CallOrigin::Caller,
            idempotent: timeout_ms.is_multiple_of(2),
        };
        let load = self.admission.load(self.now);
        match self.admission.request_admission(request, self.now) {
            AdmissionOutcome::Admitted(grant) => {
                prop_assert!(load.running < load.limit, "no slot is granted twice");
                prop_assert_eq!(load.queued, 0, "a new call does not overtake queued calls");
                self.running.push(grant);
            }
            AdmissionOutcome::Queued(key) => {
                prop_assert!(!self.queued.contains_key(&key), "each queue key is issued once");
                self.queued.insert(key, (priority, deadline));
            }
            AdmissionOutcome::Rejected(reason) => {
                let idle = load.running < load.limit && load.queued == 0;
                prop_assert!(
                    !idle || reason == RejectReason::GateTooSlow,
                    "a gate with a free slot rejects a call only for exceeding its maximum gate latency"
                );
            }
        }
        Ok(())
    }

    fn apply_decisions(&mut self, decisions: Vec<QueueDecision>) -> Result<(), TestCaseError> {
        for decision in decisions {
            match decision {
                QueueDecision::Admit(key, grant) => {
                    let (priority, deadline) =
                        self.queued.remove(&key).expect("only a queued call is admitted");
                    prop_assert!(deadline > self.now, "no call starts after its deadline");
                    let earlier = self.queued.values().any(|(queued_priority, queued_deadline)| {
                        *queued_priority == priority
                            && *queued_deadline < deadline
                            && *queued_deadline > self.now
                    });
                    prop_assert!(!earlier, "calls of one priority start in order of their deadlines");
                    self.running.push(grant);
                }
                QueueDecision::Reject(key, _) => {
                    prop_assert!(self.queued.remove(&key).is_some(), "only a queued call is rejected");
                }
            }
        }
        Ok(())
    }

    fn check_load(&self) -> Result<(), TestCaseError> {
        let load = self.admission.load(self.now);
        prop_assert_eq!(load.running as usize, self.running.len(), "number of running calls");
        prop_assert_eq!(load.queued as usize, self.queued.len(), "number of queued calls");
        prop_assert!(
            load.queued == 0 || load.running >= load.limit,
            "no slot is free while a call is queued"
        );
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

/// Simulation of one gate with open-loop arrivals at a fixed mean rate per priority, in simulated time.
struct OverloadSimulation {
    admission: Admission,
    rng: Pcg64Mcg,
    start: Instant,
    /// Mean interval between calls and time of the next call, by priority.
    next_arrivals: Vec<(Duration, Instant)>,
    service_time: [Duration; 4],
    /// End time, priority and slot of each running call.
    running: Vec<(Instant, usize, SlotGrant)>,
    /// Priority and start of the queue time of each queued call.
    queued: BTreeMap<QueueKey, (usize, Instant)>,
    /// Slot time used by finished calls, by priority.
    busy_time: [Duration; 4],
    longest_queue_time: [Duration; 4],
    rejected: [u32; 4],
}

impl OverloadSimulation {
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
        let next_arrivals = per_second.map(|rate| (Duration::from_secs_f64(1.0 / rate), start)).to_vec();
        Self {
            admission,
            rng: Pcg64Mcg::seed_from_u64(5),
            start,
            next_arrivals,
            service_time,
            running: Vec::new(),
            queued: BTreeMap::new(),
            busy_time: [Duration::ZERO; 4],
            longest_queue_time: [Duration::ZERO; 4],
            rejected: [0; 4],
        }
    }

    fn run(&mut self, duration: Duration) {
        loop {
            let next_arrival =
                (0..4).min_by_key(|index| self.next_arrivals[*index].1).expect("four priorities");
            let next_finished = (0..self.running.len()).min_by_key(|index| self.running[*index].0);
            let arrival_at = self.next_arrivals[next_arrival].1;
            let finished = next_finished.filter(|index| self.running[*index].0 <= arrival_at);
            let now = finished.map_or(arrival_at, |index| self.running[index].0);
            if now > self.start + duration {
                return;
            }
            match finished {
                Some(index) => self.finish_call(index, now),
                None => self.request_next(next_arrival, now),
            }
        }
    }

    fn request_next(&mut self, priority_index: usize, now: Instant) {
        let mean_interval = self.next_arrivals[priority_index].0;
        self.next_arrivals[priority_index].1 = now + mean_interval.mul_f64(self.rng.random_range(0.0..2.0));
        let priority = u8::try_from(priority_index).expect("four priorities");
        let deadline = now + Duration::from_secs(10);
        let request = AdmissionRequest {
            priority,
            caller: CallerKey(0),
            caller_weight: None,
            deadline,
            start_by: None,
            objective_at: None,
            typical_time: None,
            max_gate_latency: None,
            origin: CallOrigin::Caller,
            idempotent: false,
        };
        match self.admission.request_admission(request, now) {
            AdmissionOutcome::Admitted(grant) => self.start_call(priority_index, grant, now),
            AdmissionOutcome::Queued(key) => {
                self.queued.insert(key, (priority_index, now));
            }
            AdmissionOutcome::Rejected(_) => self.rejected[priority_index] += 1,
        }
    }

    fn start_call(&mut self, priority_index: usize, grant: SlotGrant, now: Instant) {
        let service_time = self.service_time[priority_index].mul_f64(self.rng.random_range(0.2..1.8));
        self.running.push((now + service_time, priority_index, grant));
    }

    fn finish_call(&mut self, index: usize, now: Instant) {
        let (_, priority_index, grant) = self.running.swap_remove(index);
        let service_time = now - grant.started();
        self.busy_time[priority_index] += service_time;
        for decision in self.admission.release(grant, ExecutionOutcome::Succeeded(service_time), now) {
            match decision {
                QueueDecision::Admit(key, grant) => {
                    let (priority_index, queued_at) = self.queued.remove(&key).expect("the call was queued");
                    self.longest_queue_time[priority_index] =
                        self.longest_queue_time[priority_index].max(now - queued_at);
                    self.start_call(priority_index, grant, now);
                }
                QueueDecision::Reject(key, _) => {
                    let (priority_index, _) = self.queued.remove(&key).expect("the call was queued");
                    self.rejected[priority_index] += 1;
                }
            }
        }
    }

    fn used_share_percent(&self, priority_index: usize, slots: u32, duration: Duration) -> f64 {
        100.0 * self.busy_time[priority_index].as_secs_f64() / (duration.as_secs_f64() * f64::from(slots))
    }
}

fn assert_shares_kept(slots: u32, per_second: [f64; 4], service_time: [Duration; 4]) {
    let duration = Duration::from_mins(1);
    let mut overload = OverloadSimulation::new(slots, per_second, service_time);
    overload.run(duration);
    let total: f64 =
        (0..4).map(|priority_index| overload.used_share_percent(priority_index, slots, duration)).sum();
    assert!(total > 98.0, "at least 98 percent of the slot time is used, not {total}");
    for (priority_index, share) in SHARES.iter().enumerate() {
        let used_percent = overload.used_share_percent(priority_index, slots, duration);
        assert!(
            used_percent >= f64::from(*share) * 0.98,
            "priority {priority_index} uses {used_percent} percent; its share is {share} percent"
        );
    }
}

#[test]
fn shares_highest_priority_overloaded() {
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
fn shares_tight_objectives_moderate_overload() {
    let slots = 10;
    let objectives_ms = [100, 150, 1_000, 500];
    let tight_rules: Vec<PriorityRule> = SHARES
        .into_iter()
        .zip(objectives_ms)
        .map(|(share, millis)| PriorityRule { objective: Duration::from_millis(millis), ..rule(share) })
        .collect();
    let duration = Duration::from_mins(1);
    let mut overload =
        OverloadSimulation::with_rules(slots, [3_333.0, 117.0, 83.0, 82.0], [SERVICE_TIME; 4], &tight_rules);
    overload.run(duration);
    for (priority_index, share) in SHARES.iter().enumerate() {
        let used_percent = overload.used_share_percent(priority_index, slots, duration);
        assert!(
            used_percent >= f64::from(*share) * 0.98,
            "priority {priority_index} uses {used_percent} percent; its share is {share} percent"
        );
    }
}

#[test]
fn higher_priorities_unaffected_by_overload_of_lowest() {
    let slots = 10;
    let mut overload = OverloadSimulation::new(slots, [60.0, 60.0, 30.0, 3_333.0], [SERVICE_TIME; 4]);
    overload.run(Duration::from_mins(1));
    assert_eq!(overload.rejected[..3], [0, 0, 0], "no call of a higher priority is rejected");
    let longest = overload.longest_queue_time[0];
    assert!(longest < SERVICE_TIME, "a call of the highest priority waited {longest:?} for a slot");
}

fn call_of_caller(caller: u64, now: Instant) -> AdmissionRequest {
    let deadline = now + Duration::from_secs(10);
    AdmissionRequest {
        priority: 0,
        caller: CallerKey(caller),
        caller_weight: None,
        deadline,
        start_by: None,
        objective_at: None,
        typical_time: None,
        max_gate_latency: None,
        origin: CallOrigin::Caller,
        idempotent: false,
    }
}

#[test]
fn release_prefers_caller_without_running_calls() {
    let now = Instant::now();
    let mut admission = Admission::new(2, &rules(&SHARES), now);
    let mut running = Vec::new();
    let mut queued = Vec::new();
    for _ in 0..20 {
        match admission.request_admission(call_of_caller(1, now), now) {
            AdmissionOutcome::Admitted(grant) => running.push(grant),
            AdmissionOutcome::Queued(key) => queued.push(key),
            AdmissionOutcome::Rejected(reason) => panic!("the queue accepts twenty calls: {reason:?}"),
        }
    }
    assert_eq!(running.len(), 2);
    let AdmissionOutcome::Queued(other_caller) = admission.request_admission(call_of_caller(2, now), now)
    else {
        panic!("a call of another caller is queued");
    };
    let decisions = admission.release(running[0], ExecutionOutcome::Succeeded(SERVICE_TIME), now);
    let [QueueDecision::Admit(next, _)] = decisions[..] else {
        panic!("one released slot admits one call: {decisions:?}");
    };
    assert_eq!(next, other_caller, "the call of the caller without running calls is admitted first");
}

#[test]
fn admission_limits_queue_share_of_one_caller() {
    let now = Instant::now();
    let rule = PriorityRule { max_caller_queue_percent: 50, ..rule(30) };
    let mut admission = Admission::new(1, &[rule], now);
    let outcomes: Vec<AdmissionOutcome> =
        (0..13).map(|_| admission.request_admission(call_of_caller(1, now), now)).collect();
    assert!(matches!(outcomes[0], AdmissionOutcome::Admitted(_)));
    assert!(
        outcomes[1..11].iter().all(|outcome| matches!(outcome, AdmissionOutcome::Queued(_))),
        "the caller may use ten of twenty queue entries"
    );
    assert_eq!(outcomes[11..], [AdmissionOutcome::Rejected(RejectReason::CallerLimited); 2]);
    assert!(
        matches!(admission.request_admission(call_of_caller(2, now), now), AdmissionOutcome::Queued(_)),
        "another caller can still queue a call"
    );
}

fn serve_late_rules() -> Vec<PriorityRule> {
    let usable_percents = [100, 80, 60];
    usable_percents
        .map(|usable_slots_percent| PriorityRule { serve_late: true, usable_slots_percent, ..rule(0) })
        .to_vec()
}

fn call_with_objective(priority: u8, objective_ms: u64, timeout_ms: u64, now: Instant) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        caller: CallerKey(0),
        caller_weight: None,
        deadline: now + Duration::from_millis(timeout_ms),
        start_by: None,
        objective_at: Some(now + Duration::from_millis(objective_ms)),
        typical_time: Some(Duration::from_millis(50)),
        max_gate_latency: None,
        origin: CallOrigin::Caller,
        idempotent: true,
    }
}

fn admitted_slot(admission: &mut Admission, request: AdmissionRequest, now: Instant) -> Option<SlotGrant> {
    match admission.request_admission(request, now) {
        AdmissionOutcome::Admitted(grant) => Some(grant),
        _ => None,
    }
}

#[test]
fn usable_slots_reserved_for_higher_priorities() {
    let now = Instant::now();
    let mut admission = Admission::new(10, &serve_late_rules(), now);
    let count_admitted = |admission: &mut Admission, priority| {
        (0..10)
            .filter(|_| {
                admitted_slot(admission, call_with_objective(priority, 500, 1_000, now), now).is_some()
            })
            .count()
    };
    assert_eq!(count_admitted(&mut admission, 2), 6);
    assert_eq!(
        count_admitted(&mut admission, 1),
        2,
        "the middle priority gets two more slots although calls are queued"
    );
    assert_eq!(count_admitted(&mut admission, 0), 2, "the highest priority gets the remaining slots");
}

#[test]
fn release_admits_in_time_calls_before_late_ones() {
    let now = Instant::now();
    let mut admission = Admission::new(1, &serve_late_rules(), now);
    let running =
        admitted_slot(&mut admission, call_with_objective(0, 500, 1_000, now), now).expect("a free slot");
    let expect_queued = |outcome| match outcome {
        AdmissionOutcome::Queued(key) => key,
        unexpected => panic!("expected a queued call, not {unexpected:?}"),
    };
    let late = expect_queued(admission.request_admission(call_with_objective(0, 10, 1_000, now), now));
    let in_time = expect_queued(admission.request_admission(call_with_objective(0, 500, 2_000, now), now));
    let decisions = admission.release(running, ExecutionOutcome::Succeeded(Duration::from_millis(50)), now);
    let [QueueDecision::Admit(first, grant)] = decisions[..] else {
        panic!("one released slot admits one call: {decisions:?}");
    };
    assert_eq!(
        first, in_time,
        "the call that can meet its objective starts first, although its deadline is later"
    );
    let decisions = admission.release(grant, ExecutionOutcome::Succeeded(Duration::from_millis(50)), now);
    assert!(matches!(decisions[..], [QueueDecision::Admit(second, _)] if second == late), "{decisions:?}");
}

#[test]
fn admission_rejects_call_that_cannot_finish_by_deadline() {
    let now = Instant::now();
    let mut admission = Admission::new(1, &serve_late_rules(), now);
    admitted_slot(&mut admission, call_with_objective(0, 500, 1_000, now), now).expect("a free slot");
    let outcome = admission.request_admission(call_with_objective(0, 10, 40, now), now);
    assert_eq!(
        outcome,
        AdmissionOutcome::Rejected(RejectReason::TooLate),
        "the typical service time of 50 ms exceeds the 40 ms until the deadline"
    );
}

#[test]
fn admission_rejects_call_past_its_latest_start() {
    let now = Instant::now();
    let mut admission = Admission::new(1, &serve_late_rules(), now);
    let _running =
        admitted_slot(&mut admission, call_with_objective(0, 500, 9_000, now), now).expect("a free slot");
    let start_by = now + Duration::from_millis(700);
    let request = AdmissionRequest { start_by: Some(start_by), ..call_with_objective(0, 500, 9_000, now) };
    let AdmissionOutcome::Queued(key) = admission.request_admission(request, now) else {
        panic!("a call with time until its latest start is queued");
    };
    assert_eq!(
        key.start_by(),
        start_by,
        "the key carries the latest start, at which the sender withdraws the call"
    );
    let expired = AdmissionRequest { start_by: Some(now), ..call_with_objective(0, 500, 9_000, now) };
    assert_eq!(admission.request_admission(expired, now), AdmissionOutcome::Rejected(RejectReason::TooLate));
}

#[test]
fn admission_on_slow_vm_rejects_call_over_max_gate_latency() {
    let now = Instant::now();
    let mut admission = Admission::new(10, &serve_late_rules(), now);
    let request = AdmissionRequest {
        max_gate_latency: Some(Duration::from_millis(120)),
        ..call_with_objective(0, 500, 9_000, now)
    };
    let grant = admitted_slot(&mut admission, request, now)
        .expect("without a slowdown report the VM counts as not slowed down");
    admission.release(grant, ExecutionOutcome::Succeeded(Duration::from_millis(50)), now);
    admission.record_slowdown(400, now);
    assert_eq!(
        admission.request_admission(request, now),
        AdmissionOutcome::Rejected(RejectReason::GateTooSlow)
    );
    admission.record_slowdown(100, now);
    assert!(
        admitted_slot(&mut admission, request, now).is_some(),
        "a VM that is not slowed down admits the call"
    );
}

#[test]
fn slowdown_probe_needed_while_calls_arrive_and_report_is_stale() {
    let now = Instant::now();
    let mut admission = Admission::new(10, &serve_late_rules(), now);
    assert!(!admission.needs_slowdown_probe(now), "no call was received");
    let _grant = admitted_slot(&mut admission, call_with_objective(0, 500, 9_000, now), now);
    assert!(admission.needs_slowdown_probe(now), "no slowdown report was received");
    admission.record_slowdown(100, now);
    assert!(!admission.needs_slowdown_probe(now + Duration::from_millis(50)));
    assert!(admission.needs_slowdown_probe(now + Duration::from_millis(150)));
    assert!(
        !admission.needs_slowdown_probe(now + Duration::from_secs(2)),
        "no call was received for two seconds"
    );
}

#[test]
fn expired_call_rejected_and_late_call_started_in_its_place() {
    let now = Instant::now();
    let mut admission = Admission::new(1, &serve_late_rules(), now);
    let grant =
        admitted_slot(&mut admission, call_with_objective(0, 500, 9_000, now), now).expect("a free slot");
    let expiring = admission.request_admission(call_with_objective(0, 8_000, 500, now), now);
    let late = admission.request_admission(call_with_objective(0, 100, 9_000, now), now);
    let (AdmissionOutcome::Queued(expiring), AdmissionOutcome::Queued(late)) = (expiring, late) else {
        panic!("both calls are queued: {expiring:?} {late:?}");
    };
    let end = now + Duration::from_secs(1);
    let decisions = admission.release(grant, ExecutionOutcome::Succeeded(Duration::from_secs(1)), end);
    assert!(
        matches!(
            decisions.as_slice(),
            [QueueDecision::Reject(rejected, RejectReason::TooLate), QueueDecision::Admit(admitted, _)]
                if *rejected == expiring && *admitted == late
        ),
        "{decisions:?}"
    );
}

#[test]
fn admission_short_of_slots_rejects_callers_but_queues_nested_calls() {
    let now = Instant::now();
    let mut admission = Admission::new(1, &serve_late_rules(), now);
    let first = admitted_slot(&mut admission, call_with_objective(0, 500, 1_000, now), now);
    let later = now + Duration::from_millis(400);
    admission.release(
        first.expect("a free slot"),
        ExecutionOutcome::Succeeded(Duration::from_millis(50)),
        now + Duration::from_millis(50),
    );
    let _running = admitted_slot(&mut admission, call_with_objective(0, 500, 1_000, later), later);
    let mut short_of_slots = false;
    for _ in 0..20 {
        let outcome = admission.request_admission(call_with_objective(0, 500, 2_000, later), later);
        short_of_slots |= outcome == AdmissionOutcome::Rejected(RejectReason::ObjectiveMissed);
    }
    assert!(short_of_slots, "more calls came than can be on time");
    let late_call = call_with_objective(0, 10, 2_000, later);
    assert_eq!(
        admission.request_admission(late_call, later),
        AdmissionOutcome::Rejected(RejectReason::ObjectiveMissed),
        "a late call of a caller yields"
    );
    let nested = AdmissionRequest { origin: CallOrigin::Upstream, ..late_call };
    assert!(
        matches!(admission.request_admission(nested, later), AdmissionOutcome::Queued(_)),
        "a running request waits for the nested call"
    );
}
