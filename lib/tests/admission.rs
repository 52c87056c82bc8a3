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
use yuccatray::coordination::admission::Grant;
use yuccatray::coordination::admission::Offer;
use yuccatray::coordination::admission::Refusal;
use yuccatray::coordination::admission::Ticket;
use yuccatray::coordination::admission::TicketKey;
use yuccatray::coordination::admission::Verdict;
use yuccatray::coordination::priority_lane::CallerKey;
use yuccatray::coordination::priority_lane::PriorityRule;
use yuccatray::coordination::service_estimate::Ended;

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
                Step::SubmitCall { priority, timeout_ms, max_gate_latency_ms }
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
    queued: BTreeMap<TicketKey, (u8, Instant)>,
    running: Vec<Grant>,
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
                let ended = if *succeeded { Ended::Good(self.now - grant.started()) } else { Ended::Failed };
                let decisions = self.admission.release(grant, ended, self.now);
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
        let request = Ticket {
            priority,
            caller: CallerKey(0),
            deadline,
            start_by: None,
            objective_at: None,
            usual: None,
            patience: max_gate_latency,
            idempotent: timeout_ms.is_multiple_of(2),
        };
        let load = self.admission.load(self.now);
        match self.admission.offer(request, self.now) {
            Offer::Admitted(grant) => {
                prop_assert!(load.running < load.limit, "no slot is granted twice");
                prop_assert_eq!(load.queued, 0, "a new call does not overtake queued calls");
                self.running.push(grant);
            }
            Offer::Queued(key) => {
                prop_assert!(!self.queued.contains_key(&key), "each queue key is issued once");
                self.queued.insert(key, (priority, deadline));
            }
            Offer::Refused(refusal) => {
                let idle = load.running < load.limit && load.queued == 0;
                prop_assert!(
                    !idle || refusal == Refusal::Impatient,
                    "a gate with a free slot rejects a call only for exceeding its maximum gate latency"
                );
            }
        }
        Ok(())
    }

    fn apply_decisions(&mut self, decisions: Vec<Verdict>) -> Result<(), TestCaseError> {
        for decision in decisions {
            match decision {
                Verdict::Admit(key, grant) => {
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
                Verdict::Refuse(key, _) => {
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
    running: Vec<(Instant, usize, Grant)>,
    /// Priority and start of the queue time of each queued call.
    queued: BTreeMap<TicketKey, (usize, Instant)>,
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
        let request = Ticket {
            priority,
            caller: CallerKey(0),
            deadline,
            start_by: None,
            objective_at: None,
            usual: None,
            patience: None,
            idempotent: false,
        };
        match self.admission.offer(request, now) {
            Offer::Admitted(grant) => self.start_call(priority_index, grant, now),
            Offer::Queued(key) => {
                self.queued.insert(key, (priority_index, now));
            }
            Offer::Refused(_) => self.rejected[priority_index] += 1,
        }
    }

    fn start_call(&mut self, priority_index: usize, grant: Grant, now: Instant) {
        let service_time = self.service_time[priority_index].mul_f64(self.rng.random_range(0.2..1.8));
        self.running.push((now + service_time, priority_index, grant));
    }

    fn finish_call(&mut self, index: usize, now: Instant) {
        let (_, priority_index, grant) = self.running.swap_remove(index);
        let service_time = now - grant.started();
        self.busy_time[priority_index] += service_time;
        for decision in self.admission.release(grant, Ended::Good(service_time), now) {
            match decision {
                Verdict::Admit(key, grant) => {
                    let (priority_index, queued_at) = self.queued.remove(&key).expect("the call was queued");
                    self.longest_queue_time[priority_index] =
                        self.longest_queue_time[priority_index].max(now - queued_at);
                    self.start_call(priority_index, grant, now);
                }
                Verdict::Refuse(key, _) => {
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

fn call_of_caller(caller: u64, now: Instant) -> Ticket {
    let deadline = now + Duration::from_secs(10);
    Ticket {
        priority: 0,
        caller: CallerKey(caller),
        deadline,
        start_by: None,
        objective_at: None,
        usual: None,
        patience: None,
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
        match admission.offer(call_of_caller(1, now), now) {
            Offer::Admitted(grant) => running.push(grant),
            Offer::Queued(key) => queued.push(key),
            Offer::Refused(refusal) => panic!("the queue accepts twenty calls: {refusal:?}"),
        }
    }
    assert_eq!(running.len(), 2);
    let Offer::Queued(other_caller) = admission.offer(call_of_caller(2, now), now) else {
        panic!("a call of another caller is queued");
    };
    let decisions = admission.release(running[0], Ended::Good(SERVICE_TIME), now);
    let [Verdict::Admit(next, _)] = decisions[..] else {
        panic!("one released slot admits one call: {decisions:?}");
    };
    assert_eq!(next, other_caller, "the call of the caller without running calls is admitted first");
}

#[test]
fn admission_limits_queue_share_of_one_caller() {
    let now = Instant::now();
    let rule = PriorityRule { max_caller_queue_percent: 50, ..rule(30) };
    let mut admission = Admission::new(1, &[rule], now);
    let offers: Vec<Offer> = (0..13).map(|_| admission.offer(call_of_caller(1, now), now)).collect();
    assert!(matches!(offers[0], Offer::Admitted(_)));
    assert!(
        offers[1..11].iter().all(|offer| matches!(offer, Offer::Queued(_))),
        "the caller may use ten of twenty queue entries"
    );
    assert_eq!(offers[11..], [Offer::Refused(Refusal::CallerLimited); 2]);
    assert!(
        matches!(admission.offer(call_of_caller(2, now), now), Offer::Queued(_)),
        "another caller can still queue a call"
    );
}

fn serve_late_rules() -> Vec<PriorityRule> {
    let usable_percents = [100, 80, 60];
    usable_percents
        .map(|usable_slots_percent| PriorityRule { serve_late: true, usable_slots_percent, ..rule(0) })
        .to_vec()
}

fn call_with_objective(priority: u8, objective_ms: u64, timeout_ms: u64, now: Instant) -> Ticket {
    Ticket {
        priority,
        caller: CallerKey(0),
        deadline: now + Duration::from_millis(timeout_ms),
        start_by: None,
        objective_at: Some(now + Duration::from_millis(objective_ms)),
        usual: Some(Duration::from_millis(50)),
        patience: None,
        idempotent: true,
    }
}

fn admitted_slot(admission: &mut Admission, request: Ticket, now: Instant) -> Option<Grant> {
    match admission.offer(request, now) {
        Offer::Admitted(grant) => Some(grant),
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
    let expect_queued = |offer| match offer {
        Offer::Queued(key) => key,
        unexpected => panic!("expected a queued call, not {unexpected:?}"),
    };
    let late = expect_queued(admission.offer(call_with_objective(0, 10, 1_000, now), now));
    let in_time = expect_queued(admission.offer(call_with_objective(0, 500, 2_000, now), now));
    let decisions = admission.release(running, Ended::Good(Duration::from_millis(50)), now);
    let [Verdict::Admit(first, grant)] = decisions[..] else {
        panic!("one released slot admits one call: {decisions:?}");
    };
    assert_eq!(
        first, in_time,
        "the call that can meet its objective starts first, although its deadline is later"
    );
    let decisions = admission.release(grant, Ended::Good(Duration::from_millis(50)), now);
    assert!(matches!(decisions[..], [Verdict::Admit(second, _)] if second == late), "{decisions:?}");
}

#[test]
fn admission_rejects_call_that_cannot_finish_by_deadline() {
    let now = Instant::now();
    let mut admission = Admission::new(1, &serve_late_rules(), now);
    admitted_slot(&mut admission, call_with_objective(0, 500, 1_000, now), now).expect("a free slot");
    let offer = admission.offer(call_with_objective(0, 10, 40, now), now);
    assert_eq!(
        offer,
        Offer::Refused(Refusal::TooLate),
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
    let request = Ticket { start_by: Some(start_by), ..call_with_objective(0, 500, 9_000, now) };
    let Offer::Queued(key) = admission.offer(request, now) else {
        panic!("a call with time until its latest start is queued");
    };
    assert_eq!(
        key.start_by(),
        start_by,
        "the key carries the latest start, at which the sender withdraws the call"
    );
    let expired = Ticket { start_by: Some(now), ..call_with_objective(0, 500, 9_000, now) };
    assert_eq!(admission.offer(expired, now), Offer::Refused(Refusal::TooLate));
}

#[test]
fn admission_on_slow_vm_rejects_call_over_max_gate_latency() {
    let now = Instant::now();
    let mut admission = Admission::new(10, &serve_late_rules(), now);
    let request =
        Ticket { patience: Some(Duration::from_millis(120)), ..call_with_objective(0, 500, 9_000, now) };
    let grant = admitted_slot(&mut admission, request, now)
        .expect("without a speed report the VM counts as having normal speed");
    admission.release(grant, Ended::Good(Duration::from_millis(50)), now);
    admission.note_pace(400, now);
    assert_eq!(admission.offer(request, now), Offer::Refused(Refusal::Impatient));
    admission.note_pace(100, now);
    assert!(admitted_slot(&mut admission, request, now).is_some(), "a VM at normal speed admits the call");
}

#[test]
fn speed_probe_needed_while_calls_arrive_and_report_is_stale() {
    let now = Instant::now();
    let mut admission = Admission::new(10, &serve_late_rules(), now);
    assert!(!admission.wants_pace(now), "no call was received");
    let _grant = admitted_slot(&mut admission, call_with_objective(0, 500, 9_000, now), now);
    assert!(admission.wants_pace(now), "no speed report was received");
    admission.note_pace(100, now);
    assert!(!admission.wants_pace(now + Duration::from_millis(50)));
    assert!(admission.wants_pace(now + Duration::from_millis(150)));
    assert!(!admission.wants_pace(now + Duration::from_secs(2)), "no call was received for two seconds");
}
