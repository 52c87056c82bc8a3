//! Well-known routing policies, as baselines for comparison with the policy of yuccatray.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwap;
use indexmap::IndexMap;
use parking_lot::Mutex;
use rand::Rng;
use rand::RngExt;
use tokio::time::Instant;
use yuccatray::coordination::routing::Candidate;
use yuccatray::coordination::routing::PowerOfTwoChoices;
use yuccatray::coordination::routing::RoutingContext;
use yuccatray::coordination::routing::RoutingPolicy;
use yuccatray::transport::gate::Gate;

use crate::policy_variant::RoutingVariant;
use crate::probe_pool::ProbePool;

/// Age from which a cached report is polled again.
const REPORT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Gates of a fleet by peer address, from which baselines read load without sending a probe.
#[derive(Clone, Debug, Default)]
pub struct GateRegistry {
    gates: Arc<ArcSwap<IndexMap<SocketAddr, Arc<Gate>>>>,
    probes: Arc<AtomicU64>,
}

/// Load of a gate, as a probe of it would report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeResult {
    /// Calls running and queued.
    pub in_flight: u32,
    /// Recent time for which a call occupied a slot, in microseconds.
    pub service_time_us: u64,
}

impl GateRegistry {
    /// Registers a gate under its peer address.
    pub fn add(&self, peer_addr: SocketAddr, gate: &Arc<Gate>) {
        self.gates.rcu(|gates| {
            let mut next = IndexMap::clone(gates);
            next.insert(peer_addr, Arc::clone(gate));
            next
        });
    }

    /// Returns the load of a gate, if it is registered, and counts a probe.
    #[must_use]
    pub fn probe(&self, peer_addr: SocketAddr) -> Option<ProbeResult> {
        self.probes.fetch_add(1, Ordering::Relaxed);
        let gates = self.gates.load();
        let load = gates.get(&peer_addr)?.load();
        Some(ProbeResult { in_flight: load.running + load.queued, service_time_us: load.service_time_us })
    }

    /// Returns the number of probes so far.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.probes.load(Ordering::Relaxed)
    }
}

/// Routing policy of the nodes of a fleet, fixed when the fleet starts.
#[derive(Debug)]
pub enum FleetPolicy {
    /// Routing policy of yuccatray.
    Yuccatray(PowerOfTwoChoices),
    /// A uniformly random upstream.
    Random,
    /// The upstreams in turn.
    RoundRobin(AtomicUsize),
    /// The upstream with the fewest calls in flight from this ingress.
    LeastOutstanding,
    /// The less loaded of two random upstreams, by load reports polled at a fixed interval.
    Polled(PolledReports),
    /// A pool of probe results, which distinguishes hot from cold upstreams.
    ProbePool(ProbePool),
}

impl FleetPolicy {
    /// Creates the policy of one node.
    #[must_use]
    pub fn new(variant: RoutingVariant, gates: &GateRegistry) -> Self {
        match variant {
            RoutingVariant::Yuccatray => Self::Yuccatray(PowerOfTwoChoices),
            RoutingVariant::Random => Self::Random,
            RoutingVariant::RoundRobin => Self::RoundRobin(AtomicUsize::new(0)),
            RoutingVariant::LeastOutstanding => Self::LeastOutstanding,
            RoutingVariant::PolledTwoChoices => Self::Polled(PolledReports::new(gates.clone())),
            RoutingVariant::ProbePool => Self::ProbePool(ProbePool::new(gates.clone())),
        }
    }
}

impl RoutingPolicy for FleetPolicy {
    fn choose<R>(&self, candidates: &[Candidate], context: RoutingContext, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        if candidates.is_empty() {
            return None;
        }
        match self {
            Self::Yuccatray(policy) => policy.choose(candidates, context, rng),
            Self::Random => Some(rng.random_range(0..candidates.len())),
            Self::RoundRobin(next) => Some(next.fetch_add(1, Ordering::Relaxed) % candidates.len()),
            Self::LeastOutstanding => least_outstanding(candidates, rng),
            Self::Polled(reports) => Some(reports.choose(candidates, rng)),
            Self::ProbePool(pool) => pool.choose(candidates, rng),
        }
    }

    fn max_gate_latency(
        &self,
        candidates: &[Candidate],
        chosen: &Candidate,
        context: RoutingContext,
    ) -> Option<Duration> {
        match self {
            Self::Yuccatray(policy) => policy.max_gate_latency(candidates, chosen, context),
            _ => None,
        }
    }
}

fn least_outstanding<R>(candidates: &[Candidate], rng: &mut R) -> Option<usize>
where
    R: Rng,
{
    let offset = rng.random_range(0..candidates.len());
    let order = (0..candidates.len()).map(|index| (index + offset) % candidates.len());
    order.min_by_key(|index| candidates[*index].load.in_flight)
}

/// Cached load reports, each polled again once it is [`REPORT_POLL_INTERVAL`] old.
#[derive(Debug)]
pub struct PolledReports {
    gates: GateRegistry,
    cached: Mutex<IndexMap<SocketAddr, (Instant, u32)>>,
}

impl PolledReports {
    fn new(gates: GateRegistry) -> Self {
        Self { gates, cached: Mutex::default() }
    }

    fn choose<R>(&self, candidates: &[Candidate], rng: &mut R) -> usize
    where
        R: Rng,
    {
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        let choose_first =
            self.polled_in_flight(&candidates[first]) <= self.polled_in_flight(&candidates[second]);
        if choose_first { first } else { second }
    }

    fn polled_in_flight(&self, candidate: &Candidate) -> u32 {
        let now = Instant::now();
        let mut cached = self.cached.lock();
        if let Some((polled_at, in_flight)) = cached.get(&candidate.peer_addr)
            && now - *polled_at < REPORT_POLL_INTERVAL
        {
            return *in_flight;
        }
        let in_flight = self.gates.probe(candidate.peer_addr).map_or(0, |result| result.in_flight);
        cached.insert(candidate.peer_addr, (now, in_flight));
        in_flight
    }
}
