//! Replays load patterns at one gate that sheds calls by what that costs their callers.
//!
//! Each test fails with shedding by priority, except the one of repeated bursts: it fails if no slots are kept free by
//! recent demand.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::num::NonZeroU32;
use std::time::Duration;

use indexmap::IndexMap;
use tokio::time::Instant;
use yuccatray::coordination::admission::Admission;
use yuccatray::coordination::admission::AdmissionOutcome;
use yuccatray::coordination::admission::AdmissionRequest;
use yuccatray::coordination::admission::QueueDecision;
use yuccatray::coordination::admission::QueueKey;
use yuccatray::coordination::admission::SlotGrant;
use yuccatray::coordination::priority_queue::CallerKey;
use yuccatray::coordination::priority_queue::PriorityRule;
use yuccatray::coordination::service_estimate::ExecutionOutcome;
use yuccatray::protocol::call_head::CallOrigin;
use yuccatray::protocol::settings::Shedding;

const SLOTS: u32 = 10;
const SERVICE_TIME: Duration = Duration::from_millis(40);
const OBJECTIVE: Duration = Duration::from_millis(200);
const TIMEOUT: Duration = Duration::from_secs(1);
/// Share of the slots that the calls of each rank may occupy when calls are shed by priority, in percent.
const USABLE_SLOTS_PERCENT: [u32; 4] = [100, 80, 60, 50];

/// One call of a replay.
#[derive(Clone, Copy, Debug)]
struct Call {
    at: Duration,
    rank: u8,
    caller: u64,
    weight: Option<u32>,
    objective: Duration,
    service_time: Duration,
    origin: CallOrigin,
}

impl Call {
    const fn new(at: Duration, rank: u8) -> Self {
        Self {
            at,
            rank,
            caller: 0,
            weight: None,
            objective: OBJECTIVE,
            service_time: SERVICE_TIME,
            origin: CallOrigin::Caller,
        }
    }
}

/// What became of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Finished { at: Duration },
    Rejected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { call: usize },
    Arrival { call: usize },
}

/// A gate and the calls that arrive at it.
struct Replay {
    start: Instant,
    now: Instant,
    admission: Admission,
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Instant, Event)>>,
    queued: IndexMap<QueueKey, usize>,
    grants: IndexMap<usize, SlotGrant>,
    fates: Vec<Option<Fate>>,
    /// Service times relative to those at normal speed, in percent.
    slowdown_percent: u32,
}

impl Replay {
    fn new(calls: Vec<Call>) -> Self {
        let start = Instant::now();
        let rules = USABLE_SLOTS_PERCENT.map(|usable_slots_percent| PriorityRule {
            min_share_percent: 10,
            max_queue: 200,
            max_caller_queue_percent: 100,
            objective: OBJECTIVE,
            serve_late: true,
            usable_slots_percent,
        });
        let mut admission = Admission::new(SLOTS, &rules, start).with_shedding(Shedding::ByCost);
        admission.set_adaptive(false);
        let arrivals = calls.iter().enumerate();
        let events =
            arrivals.map(|(call, spec)| Reverse((start + spec.at, Event::Arrival { call }))).collect();
        Self {
            start,
            now: start,
            admission,
            fates: vec![None; calls.len()],
            calls,
            events,
            queued: IndexMap::new(),
            grants: IndexMap::new(),
            slowdown_percent: 100,
        }
    }

    /// Makes the upstream slow from the start, as reported by itself.
    fn with_slowdown(mut self, percent: u32) -> Self {
        self.slowdown_percent = percent;
        let _decisions = self.admission.record_slowdown(percent, self.start);
        self
    }

    fn run(mut self) -> Vec<Fate> {
        while let Some(Reverse((at, event))) = self.events.pop() {
            self.now = at;
            match event {
                Event::Arrival { call } => self.arrive(call),
                Event::Finish { call } => self.finish(call),
            }
        }
        self.fates.into_iter().map(|fate| fate.unwrap_or(Fate::Rejected)).collect()
    }

    fn arrive(&mut self, call: usize) {
        let spec = self.calls[call];
        let request = AdmissionRequest {
            priority: spec.rank,
            caller: CallerKey(spec.caller),
            caller_weight: spec.weight.and_then(NonZeroU32::new),
            deadline: self.now + TIMEOUT,
            start_by: None,
            objective_at: Some(self.now + spec.objective),
            typical_time: Some(spec.service_time),
            max_gate_latency: None,
            origin: spec.origin,
            idempotent: true,
        };
        match self.admission.request_admission(request, self.now) {
            AdmissionOutcome::Admitted(grant) => self.begin(call, grant),
            AdmissionOutcome::Queued(key) => {
                self.queued.insert(key, call);
            }
            AdmissionOutcome::Rejected(_) => self.fates[call] = Some(Fate::Rejected),
        }
    }

    fn begin(&mut self, call: usize, grant: SlotGrant) {
        self.grants.insert(call, grant);
        let service_time = self.calls[call].service_time * self.slowdown_percent / 100;
        self.events.push(Reverse((self.now + service_time, Event::Finish { call })));
    }

    fn finish(&mut self, call: usize) {
        let grant = self.grants.swap_remove(&call).expect("a call that ends has a slot");
        self.fates[call] = Some(Fate::Finished { at: self.now - self.start });
        let outcome = ExecutionOutcome::Succeeded(self.now - grant.started());
        for decision in self.admission.release(grant, outcome, self.now) {
            let (QueueDecision::Admit(key, _) | QueueDecision::Reject(key, _)) = decision;
            let call = self.queued.swap_remove(&key).expect("a decided call was queued");
            match decision {
                QueueDecision::Admit(_, grant) => self.begin(call, grant),
                QueueDecision::Reject(..) => self.fates[call] = Some(Fate::Rejected),
            }
        }
    }
}

/// Returns whether each call was finished within its objective.
fn on_time(calls: &[Call], fates: &[Fate]) -> Vec<bool> {
    let is_on_time = |(call, fate): (&Call, &Fate)| match fate {
        Fate::Finished { at } => *at <= call.at + call.objective,
        Fate::Rejected => false,
    };
    calls.iter().zip(fates).map(is_on_time).collect()
}

fn count_on_time<F>(calls: &[Call], fates: &[Fate], is_counted: F) -> usize
where
    F: Fn(&Call) -> bool,
{
    calls.iter().zip(on_time(calls, fates)).filter(|(call, on_time)| *on_time && is_counted(call)).count()
}

/// Returns calls that arrive at even intervals during one second.
fn steady(calls_per_s: u32, rank: u8) -> impl Iterator<Item = Call> {
    (0..calls_per_s).map(move |index| Call::new(Duration::from_secs(1) * index / calls_per_s, rank))
}

/// Guards against rejecting calls of a low priority at the crest of a wave while most slots are free.
#[test]
fn crest_of_a_wave_uses_the_slots_that_are_free() {
    // 7 of 10 slots are needed; the rank may use 5 when calls are shed by priority.
    let calls: Vec<Call> = steady(175, 3).collect();
    let fates = Replay::new(calls.clone()).run();
    let served = count_on_time(&calls, &fates, |_| true);
    assert_eq!(served, calls.len(), "all calls fit into the slots");
}

/// Guards against urgent calls that find all slots taken by less urgent ones.
#[test]
fn urgent_burst_finds_slots_at_the_crest_of_a_wave() {
    let burst =
        (0..4).map(|_| Call { objective: SERVICE_TIME * 2, ..Call::new(Duration::from_millis(500), 0) });
    let calls: Vec<Call> = steady(400, 3).chain(burst).collect();
    let fates = Replay::new(calls.clone()).run();
    assert_eq!(count_on_time(&calls, &fates, |call| call.rank == 0), 4, "urgent calls are on time");
    // 80 % of the slots are for the wave: 200 calls a second, less than the urgent calls take.
    assert!(count_on_time(&calls, &fates, |call| call.rank == 3) > 170, "the wave uses its slots");
}

/// Guards against urgent calls that wait at each of several bursts because a wave takes the slots between them.
#[test]
fn repeated_urgent_bursts_find_slots_after_the_first() {
    let burst = |at_ms| {
        let call = Call { objective: SERVICE_TIME * 5 / 4, ..Call::new(Duration::from_millis(at_ms), 0) };
        std::iter::repeat_n(call, 4)
    };
    let calls: Vec<Call> = steady(400, 3).chain([300, 500, 700, 900].into_iter().flat_map(burst)).collect();
    let fates = Replay::new(calls.clone()).run();
    let later = |call: &Call| call.rank == 0 && call.at > Duration::from_millis(300);
    assert_eq!(count_on_time(&calls, &fates, later), 12, "the later bursts are on time");
}

/// Guards against losing the work of a running request because its nested call waits behind new requests.
#[test]
fn nested_call_starts_before_new_requests() {
    let clump = (0..28).map(|_| Call::new(Duration::ZERO, 0));
    let nested = Call { origin: CallOrigin::Upstream, ..Call::new(Duration::from_millis(1), 0) };
    let calls: Vec<Call> = clump.chain([nested]).collect();
    let fates = Replay::new(calls).run();
    assert_eq!(
        fates.last(),
        Some(&Fate::Finished { at: SERVICE_TIME * 2 }),
        "it takes the first slot that is free"
    );
}

/// Guards against rejecting a nested call of a low priority while the slots for urgent calls are free.
#[test]
fn nested_call_of_a_low_priority_uses_any_free_slot() {
    let wave = (0..16).map(|_| Call::new(Duration::ZERO, 2));
    let nested = Call { origin: CallOrigin::Upstream, ..Call::new(Duration::from_millis(1), 3) };
    let calls: Vec<Call> = wave.chain([nested]).collect();
    let fates = Replay::new(calls).run();
    let at = Duration::from_millis(1) + SERVICE_TIME;
    assert_eq!(fates.last(), Some(&Fate::Finished { at }), "it does not wait");
}

/// Guards against a tenant's burst that delays another tenant beyond its objective.
#[test]
fn burst_of_one_tenant_leaves_another_its_share() {
    let tenant = |caller, at_ms, weight| Call {
        caller,
        weight: Some(weight),
        ..Call::new(Duration::from_millis(at_ms), 1)
    };
    let burst = (0..32).map(|_| tenant(1, 0, 20));
    let others = (0..4).map(|index| Call { objective: SERVICE_TIME * 5 / 2, ..tenant(2, 1 + index, 20) });
    let calls: Vec<Call> = burst.chain(others).collect();
    let fates = Replay::new(calls.clone()).run();
    assert_eq!(
        count_on_time(&calls, &fates, |call| call.caller == 2),
        4,
        "the other tenant is served on time"
    );
}

/// Guards against starting calls in the order of their timeouts although another has less time until its objective.
#[test]
fn call_with_the_least_spare_time_starts_first() {
    let clump = (0..16).map(|_| Call { objective: OBJECTIVE * 2, ..Call::new(Duration::ZERO, 1) });
    let short =
        (0..8).map(|_| Call { objective: SERVICE_TIME * 5 / 2, ..Call::new(Duration::from_millis(1), 1) });
    let calls: Vec<Call> = clump.chain(short).collect();
    let fates = Replay::new(calls.clone()).run();
    assert!(on_time(&calls, &fates).iter().all(|on_time| *on_time), "all calls can be on time: {fates:?}");
}

/// Guards against slots spent on calls that will be late because the upstream is slow since its start.
#[test]
fn calls_at_a_cold_upstream_are_judged_at_its_speed() {
    let call =
        |at_ms| Call { objective: SERVICE_TIME * 15 / 4, ..Call::new(Duration::from_millis(at_ms), 1) };
    // When the first calls end after 100 ms, the others of the clump are late at this speed; the new ones are not.
    let clump = (0..24).map(|_| call(0));
    let calls: Vec<Call> = clump.chain((0..8).map(|_| call(90))).collect();
    let fates = Replay::new(calls.clone()).with_slowdown(250).run();
    let new_on_time = count_on_time(&calls, &fates, |call| !call.at.is_zero());
    assert_eq!(new_on_time, 8, "new calls get the slots: {fates:?}");
}

/// Guards against callers that were rejected together and come back together.
#[test]
fn retry_delays_of_calls_rejected_together_are_spread() {
    let mut admission = Replay::new(Vec::new()).admission;
    let now = Instant::now();
    let mut delays: Vec<Duration> = (0..16).map(|_| admission.next_retry_delay(now)).collect();
    delays.sort();
    let (first, last) = (delays[0], delays[delays.len() - 1]);
    let largest_gap = delays
        .windows(2)
        .map(|pair| pair[1].saturating_sub(pair[0]))
        .max()
        .expect("there are several delays");
    assert!(last <= first * 2, "no delay is twice as long as the shortest");
    assert!(last >= first * 3 / 2, "callers return at different times: {delays:?}");
    assert!(largest_gap <= last.saturating_sub(first) / 5, "delays are spread evenly: {delays:?}");
}
