//! Service of a fleet on noisy VMs before, during and after an overload, on a computed clock.
//!
//! The decisions are those of the product: routing, rerouting and admission. Upstreams, VMs and callers
//! are simulated: a VM is slowed down at random for short times, and an upstream slows down when nearly full.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use indexmap::IndexMap;
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
use yuccatray::coordination::reroute_budget::RerouteBudget;
use yuccatray::coordination::routing::Candidate;
use yuccatray::coordination::routing::FULL_RAMP_UP_PERMILLE;
use yuccatray::coordination::routing::RoutingContext;
use yuccatray::coordination::routing::RoutingPolicy;
use yuccatray::coordination::routing::ZoneFirst;
use yuccatray::coordination::service_estimate::ExecutionOutcome;
use yuccatray::protocol::call_head::CallOrigin;
use yuccatray::state::typical_time::TypicalTime;
use yuccatray::state::upstream_stats::UpstreamStats;

const ZONES: usize = 3;
const GATES: usize = 24;
const INGRESSES: usize = 48;
const SLOTS: u32 = 12;
const MAX_REROUTES: usize = 3;
const MEAN_SERVICE: Duration = Duration::from_millis(230);
const OBJECTIVE: Duration = Duration::from_millis(500);
const TIMEOUT: Duration = Duration::from_secs(2);
/// Share of the VMs that are slowed down at any time, by which factor, and how often that is drawn anew.
const SLOW_VM_PERCENT: u32 = 35;
const VM_SLOWDOWN: u32 = 4;
const VM_PERIOD: Duration = Duration::from_millis(300);
/// Interval at which a gate hears of its VM's slowdown.
const REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// Slots in use above which an upstream slows down, and the resulting service time in percent.
const KNEE_SLOTS: u32 = 9;
const KNEE_PERCENT: u32 = 170;
/// Calls per second that the VMs at normal speed serve with their slots filled up to the knee.
const CAPACITY_PER_S: f64 = 24.0 * 0.65 * 9.0 / 0.23;
const OVERLOAD_STARTS: Duration = Duration::from_secs(6);
const OVERLOAD_ENDS: Duration = Duration::from_secs(9);
/// Time after the overload from which the service has to be what it is without one.
const RECOVERED: Duration = Duration::from_secs(13);
const END: Duration = Duration::from_secs(25);
/// Arrival of the last calls that are counted; they can end before the run does.
const LAST_COUNTED: Duration = Duration::from_secs(23);

/// One simulated gate with its upstream.
struct Gate {
    admission: Admission,
    slowed_down: bool,
    queued: IndexMap<QueueKey, usize>,
}

/// One simulated ingress.
struct Ingress {
    zone: usize,
    stats: Vec<UpstreamStats>,
    typical_time: TypicalTime,
    budget: RerouteBudget,
}

#[derive(Clone, Copy)]
struct Call {
    ingress: usize,
    arrived: Instant,
    gate: usize,
    /// Gates that rerouted the call before the present one.
    reroutes: usize,
    sent_with_limit: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EventKind {
    Arrival,
    DrawSlowdown { gate: usize },
    Report { gate: usize },
    Finish { call: usize, gate: usize },
    Expire { call: usize, gate: usize },
}

/// Answered in time and asked, among the calls that arrived in one phase.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    in_time: u32,
    asked: u32,
}

impl Tally {
    fn percent(self) -> u32 {
        self.in_time * 100 / self.asked.max(1)
    }
}

struct Fleet {
    start: Instant,
    now: Instant,
    rng: Pcg64Mcg,
    events: BinaryHeap<Reverse<(Instant, u64, EventKind)>>,
    sequence: u64,
    gates: Vec<Gate>,
    ingresses: Vec<Ingress>,
    calls: Vec<Call>,
    grants: IndexMap<usize, SlotGrant>,
    calm: Tally,
    recovered: Tally,
}

fn rule() -> PriorityRule {
    PriorityRule {
        min_share_percent: 10,
        max_queue: 200,
        max_caller_queue_percent: 100,
        objective: OBJECTIVE,
        serve_late: true,
        usable_slots_percent: 100,
    }
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let start = Instant::now();
        let gate = || {
            let mut admission = Admission::new(SLOTS, &[rule()], start);
            admission.set_adaptive(false);
            Gate { admission, slowed_down: false, queued: IndexMap::new() }
        };
        let ingress = |index: usize| Ingress {
            zone: index % ZONES,
            stats: (0..GATES).map(|_| UpstreamStats::new(start)).collect(),
            typical_time: TypicalTime::default(),
            budget: RerouteBudget::default(),
        };
        let mut fleet = Self {
            start,
            now: start,
            rng: Pcg64Mcg::seed_from_u64(seed),
            events: BinaryHeap::new(),
            sequence: 0,
            gates: (0..GATES).map(|_| gate()).collect(),
            ingresses: (0..INGRESSES).map(ingress).collect(),
            calls: Vec::new(),
            grants: IndexMap::new(),
            calm: Tally::default(),
            recovered: Tally::default(),
        };
        for gate in 0..GATES {
            let offset = VM_PERIOD.mul_f64(fleet.rng.random::<f64>());
            fleet.schedule(offset, EventKind::DrawSlowdown { gate });
            fleet.schedule(offset, EventKind::Report { gate });
        }
        fleet.schedule(Duration::ZERO, EventKind::Arrival);
        fleet
    }

    fn schedule(&mut self, delay: Duration, event: EventKind) {
        self.sequence += 1;
        self.events.push(Reverse((self.now + delay, self.sequence, event)));
    }

    /// Runs the whole time; callers ask `load` times the capacity, and `overload` times during the overload.
    fn run(&mut self, load: f64, overload: f64) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            let elapsed = at - self.start;
            if elapsed > END {
                return;
            }
            match event {
                EventKind::Arrival => {
                    let overloaded = (OVERLOAD_STARTS..OVERLOAD_ENDS).contains(&elapsed);
                    let per_s = CAPACITY_PER_S * if overloaded { overload } else { load };
                    let gap_s = -(1.0 - self.rng.random::<f64>()).ln() / per_s;
                    self.schedule(Duration::from_secs_f64(gap_s), EventKind::Arrival);
                    self.arrive();
                }
                EventKind::DrawSlowdown { gate } => {
                    self.gates[gate].slowed_down = self.rng.random_range(0..100) < SLOW_VM_PERCENT;
                    self.schedule(VM_PERIOD, EventKind::DrawSlowdown { gate });
                }
                EventKind::Report { gate } => {
                    self.report_slowdown(gate);
                    self.schedule(REPORT_INTERVAL, EventKind::Report { gate });
                }
                EventKind::Finish { call, gate } => self.finish(call, gate),
                EventKind::Expire { call, gate } => self.expire(call, gate),
            }
        }
    }

    fn report_slowdown(&mut self, gate: usize) {
        let percent = if self.gates[gate].slowed_down { 100 * VM_SLOWDOWN } else { 100 };
        let decisions = self.gates[gate].admission.record_slowdown(percent, self.now);
        self.deliver(gate, &decisions);
    }

    fn arrive(&mut self) {
        let ingress = self.rng.random_range(0..INGRESSES);
        let call = self.calls.len();
        self.calls.push(Call { ingress, arrived: self.now, gate: 0, reroutes: 0, sent_with_limit: false });
        if let Some(tally) = self.tally_of(call) {
            tally.asked += 1;
        }
        self.send(call);
    }

    /// Returns the tally of the phase in which the call arrived.
    fn tally_of(&mut self, call: usize) -> Option<&mut Tally> {
        let arrived = self.calls[call].arrived - self.start;
        if (Duration::from_secs(2)..OVERLOAD_STARTS).contains(&arrived) {
            return Some(&mut self.calm);
        }
        (RECOVERED..LAST_COUNTED).contains(&arrived).then_some(&mut self.recovered)
    }

    /// Makes attempts until a gate admits, queues or finally rejects the call, as an ingress does.
    fn send(&mut self, call: usize) {
        let mut rerouted: Vec<usize> = Vec::new();
        let ingress = self.calls[call].ingress;
        loop {
            let may_reroute =
                rerouted.len() < MAX_REROUTES && self.ingresses[ingress].budget.permits_reroute();
            let skipped: &[usize] = if may_reroute { &rerouted } else { &[] };
            let (gate, max_gate_latency) = self.choose(ingress, skipped);
            let max_gate_latency = max_gate_latency.filter(|_| may_reroute);
            self.calls[call].gate = gate;
            self.calls[call].reroutes = rerouted.len();
            self.calls[call].sent_with_limit = max_gate_latency.is_some();
            let reason = match self.request_admission(call, gate, max_gate_latency) {
                AdmissionOutcome::Admitted(grant) => return self.start_execution(call, gate, grant),
                AdmissionOutcome::Queued(key) => {
                    self.gates[gate].queued.insert(key, call);
                    self.ingresses[ingress].stats[gate].record_start();
                    let wait = key.start_by().saturating_duration_since(self.now);
                    return self.schedule(wait, EventKind::Expire { call, gate });
                }
                AdmissionOutcome::Rejected(reason) => reason,
            };
            let load = self.gates[gate].admission.load(self.now);
            let sender = &self.ingresses[ingress];
            sender.stats[gate].record_load_report(load, self.now);
            if reason != RejectReason::GateTooSlow {
                return;
            }
            sender.budget.record_reroute(rerouted.len());
            rerouted.push(gate);
        }
    }

    fn choose(&mut self, ingress: usize, skipped: &[usize]) -> (usize, Option<Duration>) {
        let sender = &self.ingresses[ingress];
        let candidate = |gate: usize| Candidate {
            peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, u16::try_from(gate + 1).expect("few gates"))),
            load: sender.stats[gate].load(self.now),
            slots: SLOTS,
            same_zone: gate % ZONES == sender.zone,
            ramp_up_permille: FULL_RAMP_UP_PERMILLE,
        };
        let all: Vec<Candidate> = (0..GATES).map(candidate).collect();
        let eligible: Vec<usize> = (0..GATES).filter(|gate| !skipped.contains(gate)).collect();
        let candidates: Vec<Candidate> = eligible.iter().map(|gate| all[*gate]).collect();
        let context = RoutingContext {
            max_ejected_percent: 50,
            objective_us: u64::try_from(OBJECTIVE.as_micros()).expect("the objective is short"),
            typical_us: u64::try_from(sender.typical_time.get().as_micros()).expect("the time is short"),
            cross_zone_cost_permille: 200,
        };
        let chosen = ZoneFirst.choose(&candidates, context, &mut self.rng).expect("there are gates");
        (eligible[chosen], ZoneFirst.max_gate_latency(&all, &candidates[chosen], context))
    }

    fn request_admission(
        &mut self,
        call: usize,
        gate: usize,
        max_gate_latency: Option<Duration>,
    ) -> AdmissionOutcome {
        let Call { ingress, arrived, .. } = self.calls[call];
        let typical_time = self.ingresses[ingress].typical_time.get();
        let request = AdmissionRequest {
            priority: 0,
            caller: CallerKey(u64::try_from(ingress).expect("few ingresses")),
            caller_weight: None,
            deadline: arrived + TIMEOUT,
            start_by: None,
            objective_at: Some(arrived + OBJECTIVE),
            typical_time: Some(typical_time).filter(|time| !time.is_zero()),
            max_gate_latency,
            origin: CallOrigin::Caller,
            idempotent: true,
        };
        self.gates[gate].admission.request_admission(request, self.now)
    }

    fn start_execution(&mut self, call: usize, gate: usize, grant: SlotGrant) {
        let running = self.gates[gate].admission.load(self.now).running;
        let spread = 0.7 + 0.6 * self.rng.random::<f64>();
        let mut service_time = MEAN_SERVICE.mul_f64(spread);
        if self.gates[gate].slowed_down {
            service_time *= VM_SLOWDOWN;
        }
        if running > KNEE_SLOTS {
            service_time = service_time * KNEE_PERCENT / 100;
        }
        self.grants.insert(call, grant);
        self.ingresses[self.calls[call].ingress].stats[gate].record_start();
        self.schedule(service_time, EventKind::Finish { call, gate });
    }

    fn finish(&mut self, call: usize, gate: usize) {
        let Some(grant) = self.grants.swap_remove(&call) else {
            return;
        };
        let Call { ingress, arrived, sent_with_limit, reroutes, .. } = self.calls[call];
        self.report_slowdown(gate);
        let service_time = self.now - grant.started();
        let outcome = ExecutionOutcome::Succeeded(service_time);
        let decisions = self.gates[gate].admission.release(grant, outcome, self.now);
        let load = self.gates[gate].admission.load(self.now);
        let sender = &self.ingresses[ingress];
        sender.stats[gate].record_end();
        sender.stats[gate].record_load_report(load, self.now);
        sender.stats[gate].record_success(self.now - arrived);
        let slowdown = u32::try_from(grant.execution().slowdown_percent).expect("a slowdown is small");
        sender.typical_time.record(service_time * 100 / slowdown);
        if sent_with_limit {
            sender.budget.record_admitted(reroutes);
        }
        if self.now <= arrived + OBJECTIVE
            && let Some(tally) = self.tally_of(call)
        {
            tally.in_time += 1;
        }
        self.deliver(gate, &decisions);
    }

    fn deliver(&mut self, gate: usize, decisions: &[QueueDecision]) {
        for decision in decisions {
            match decision {
                QueueDecision::Admit(key, grant) => {
                    if let Some(call) = self.gates[gate].queued.swap_remove(key) {
                        self.ingresses[self.calls[call].ingress].stats[gate].record_end();
                        self.start_execution(call, gate, *grant);
                    }
                }
                QueueDecision::Reject(key, _) => self.drop_queued(gate, *key),
            }
        }
    }

    fn expire(&mut self, call: usize, gate: usize) {
        let key = self.gates[gate].queued.iter().find(|(_, queued)| **queued == call).map(|(key, _)| *key);
        if let Some(key) = key {
            self.gates[gate].admission.cancel(key);
            self.drop_queued(gate, key);
        }
    }

    fn drop_queued(&mut self, gate: usize, key: QueueKey) {
        if let Some(call) = self.gates[gate].queued.swap_remove(&key) {
            self.ingresses[self.calls[call].ingress].stats[gate].record_end();
        }
    }
}

/// Runs a fleet at the given load and returns the shares in time before and after the overload, in percent.
fn shares_in_time(load: f64, overload: f64, seed: u64) -> (u32, u32) {
    let mut fleet = Fleet::new(seed);
    fleet.run(load, overload);
    (fleet.calm.percent(), fleet.recovered.percent())
}

/// Seeds that the checks are repeated with.
const SEEDS: [u64; 3] = [1, 2, 3];
/// Load of a calm fleet, as a share of its capacity.
const LOAD: f64 = 0.6;
/// Load during the overload.
const OVERLOAD: f64 = 2.0;
/// Share of the service without an overload that has to be back after one, in percent.
const RETURNED_PERCENT: u32 = 90;

#[test]
fn overload_service_returns_when_it_ends() {
    for seed in SEEDS {
        let (calm, _) = shares_in_time(LOAD, LOAD, seed);
        let (_, after_overload) = shares_in_time(LOAD, OVERLOAD, seed);
        assert!(
            after_overload >= calm * RETURNED_PERCENT / 100,
            "seed {seed}: {after_overload} % in time after an overload, {calm} % before it"
        );
    }
}
