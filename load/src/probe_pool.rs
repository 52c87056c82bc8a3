//! Baseline policy with a pool of probes: upstreams above a quantile of calls in flight are hot, others cold.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use rand::RngExt;
use tokio::time::Instant;
use yuccatray::coordination::routing::Candidate;

use crate::baselines::GateRegistry;
use crate::baselines::ProbeResult;

/// Random upstreams probed with each call.
const PROBES_PER_CALL: usize = 3;
/// Maximum probes in the pool; the oldest are dropped.
const POOL_SIZE: usize = 16;
/// Time for which a probe stays in the pool after its response.
const MAX_PROBE_AGE: Duration = Duration::from_secs(1);
/// Simulated time from sending a probe until its result can be used.
const PROBE_ROUND_TRIP: Duration = Duration::from_millis(6);
/// Quantile of recent calls in flight above which an upstream is hot.
const HOT_QUANTILE_PERCENT: usize = 84;
/// Number of recent probes from which the hot threshold is computed.
const RECENT_LOAD_SAMPLES: usize = 128;

/// A probe result in the pool.
#[derive(Clone, Copy, Debug)]
struct PooledProbe {
    peer_addr: SocketAddr,
    usable_at: Instant,
    result: ProbeResult,
}

/// Probes in order of time, and a ring buffer of recent calls in flight.
#[derive(Debug, Default)]
struct Pool {
    probes: Vec<PooledProbe>,
    recent_loads: Vec<u32>,
    next_sample: usize,
}

/// Policy that probes random upstreams with every call, and keeps the results for later calls.
#[derive(Debug)]
pub struct ProbePool {
    gates: GateRegistry,
    pool: Mutex<Pool>,
}

impl ProbePool {
    /// Creates an empty pool over the gates of a fleet.
    #[must_use]
    pub fn new(gates: GateRegistry) -> Self {
        Self { gates, pool: Mutex::default() }
    }

    /// Returns the index of the chosen candidate, a random one if no probe can be used.
    pub fn choose<R>(&self, candidates: &[Candidate], rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        let now = Instant::now();
        let mut pool = self.pool.lock();
        for _ in 0..PROBES_PER_CALL.min(candidates.len()) {
            let peer_addr = candidates[rng.random_range(0..candidates.len())].peer_addr;
            if let Some(result) = self.gates.probe(peer_addr) {
                pool.add(PooledProbe { peer_addr, usable_at: now + PROBE_ROUND_TRIP, result });
            }
        }
        pool.expire(now);
        let chosen = pool.choose(candidates, now);
        chosen.or_else(|| Some(rng.random_range(0..candidates.len())))
    }
}

impl Pool {
    /// Adds a probe and records its calls in flight.
    fn add(&mut self, probe: PooledProbe) {
        if self.recent_loads.len() < RECENT_LOAD_SAMPLES {
            self.recent_loads.push(probe.result.in_flight);
        } else {
            self.recent_loads[self.next_sample] = probe.result.in_flight;
            self.next_sample = (self.next_sample + 1) % RECENT_LOAD_SAMPLES;
        }
        self.probes.push(probe);
    }

    /// Drops probes that are too old or exceed the size of the pool.
    fn expire(&mut self, now: Instant) {
        self.probes.retain(|probe| now < probe.usable_at + MAX_PROBE_AGE);
        let excess = self.probes.len().saturating_sub(POOL_SIZE);
        self.probes.drain(..excess);
    }

    /// Consumes the best probe: of cold upstreams the fastest, else of hot ones the least loaded.
    fn choose(&mut self, candidates: &[Candidate], now: Instant) -> Option<usize> {
        let hot_threshold = self.hot_threshold();
        let index_of = |probe: &PooledProbe| {
            candidates.iter().position(|candidate| candidate.peer_addr == probe.peer_addr)
        };
        let usable = self.probes.iter().enumerate();
        let usable = usable.filter(|(_, probe)| probe.usable_at <= now && index_of(probe).is_some());
        let (position, probe) = usable.min_by_key(|(_, probe)| {
            let hot = probe.result.in_flight > hot_threshold;
            let rank = if hot { u64::from(probe.result.in_flight) } else { probe.result.service_time_us };
            (hot, rank, probe.result.in_flight)
        })?;
        let chosen = index_of(probe);
        self.probes.remove(position);
        chosen
    }

    /// Returns the calls in flight above which an upstream is hot.
    fn hot_threshold(&self) -> u32 {
        let mut loads = self.recent_loads.clone();
        loads.sort_unstable();
        let position = loads.len().saturating_sub(1) * HOT_QUANTILE_PERCENT / 100;
        loads.get(position).copied().unwrap_or(u32::MAX)
    }
}
