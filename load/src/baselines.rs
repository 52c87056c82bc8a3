//! Known ways to choose upstreams, to compare the real one with.

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

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The gates of a fleet, where baselines read what a probe would answer.
#[derive(Clone, Debug, Default)]
pub struct GateBoard {
    gates: Arc<ArcSwap<IndexMap<SocketAddr, Arc<Gate>>>>,
    probes: Arc<AtomicU64>,
}

/// What a probe answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeAnswer {
    /// Calls running and queued.
    pub in_flight: u32,
    /// Recent time that a call held a slot, in microseconds.
    pub service_time_us: u64,
}

impl GateBoard {
    /// Adds a gate under the address that its peers use.
    pub fn add(&self, peer_addr: SocketAddr, gate: &Arc<Gate>) {
        self.gates.rcu(|gates| {
            let mut next = IndexMap::clone(gates);
            next.insert(peer_addr, Arc::clone(gate));
            next
        });
    }

    /// Asks one gate and counts it as a probe.
    #[must_use]
    pub fn probe(&self, peer_addr: SocketAddr) -> Option<ProbeAnswer> {
        self.probes.fetch_add(1, Ordering::Relaxed);
        let gates = self.gates.load();
        let load = gates.get(&peer_addr)?.load();
        Some(ProbeAnswer { in_flight: load.running + load.queued, service_time_us: load.service_time_us })
    }

    /// Probes so far.
    #[must_use]
    pub fn probes(&self) -> u64 {
        self.probes.load(Ordering::Relaxed)
    }
}

/// The policy of a fleet's nodes, chosen when the fleet starts.
#[derive(Debug)]
pub enum FleetPolicy {
    /// As yuccatray does.
    Yuccatray(PowerOfTwoChoices),
    /// Any upstream, each as likely.
    Random,
    /// Each upstream in turn.
    RoundRobin(AtomicUsize),
    /// The upstream with the fewest calls of this ingress.
    LeastOutstanding,
    /// The less loaded of two by polled reports.
    Polled(PolledReports),
    /// A pool of probes with a split between hot and cold.
    ProbePool(ProbePool),
}

impl FleetPolicy {
    /// The policy of one node.
    #[must_use]
    pub fn new(variant: RoutingVariant, board: &GateBoard) -> Self {
        match variant {
            RoutingVariant::Yuccatray => Self::Yuccatray(PowerOfTwoChoices),
            RoutingVariant::Random => Self::Random,
            RoutingVariant::RoundRobin => Self::RoundRobin(AtomicUsize::new(0)),
            RoutingVariant::LeastOutstanding => Self::LeastOutstanding,
            RoutingVariant::PolledTwoChoices => Self::Polled(PolledReports::new(board.clone())),
            RoutingVariant::ProbePool => Self::ProbePool(ProbePool::new(board.clone())),
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

/// Reports of upstreams, each asked for again once it is an interval old.
#[derive(Debug)]
pub struct PolledReports {
    board: GateBoard,
    held: Mutex<IndexMap<SocketAddr, (Instant, u32)>>,
}

impl PolledReports {
    fn new(board: GateBoard) -> Self {
        Self { board, held: Mutex::default() }
    }

    fn choose<R>(&self, candidates: &[Candidate], rng: &mut R) -> usize
    where
        R: Rng,
    {
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        let first_wins = self.report(&candidates[first]) <= self.report(&candidates[second]);
        if first_wins { first } else { second }
    }

    fn report(&self, candidate: &Candidate) -> u32 {
        let now = Instant::now();
        let mut held = self.held.lock();
        if let Some((asked_at, in_flight)) = held.get(&candidate.peer_addr)
            && now - *asked_at < POLL_INTERVAL
        {
            return *in_flight;
        }
        let in_flight = self.board.probe(candidate.peer_addr).map_or(0, |answer| answer.in_flight);
        held.insert(candidate.peer_addr, (now, in_flight));
        in_flight
    }
}
