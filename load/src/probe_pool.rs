//! The baseline with a pool of probes: hot and cold by a quantile of calls in flight.

use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::Mutex;
use rand::Rng;
use rand::RngExt;
use tokio::time::Instant;
use yuccatray::coordination::routing::Candidate;

use crate::baselines::GateBoard;
use crate::baselines::ProbeAnswer;

const PROBES_PER_CALL: usize = 3;
const POOL_SIZE: usize = 16;
const MAX_AGE: Duration = Duration::from_secs(1);
const PROBE_TIME: Duration = Duration::from_millis(6);
const HOT_QUANTILE_PERCENT: usize = 84;
const RECENT_LOADS: usize = 128;

#[derive(Clone, Copy, Debug)]
struct PooledProbe {
    peer_addr: SocketAddr,
    usable_at: Instant,
    answer: ProbeAnswer,
}

#[derive(Debug, Default)]
struct Pool {
    probes: Vec<PooledProbe>,
    recent_loads: Vec<u32>,
    next_load: usize,
}

/// Probes of a few random upstreams with every call, kept for the next calls.
#[derive(Debug)]
pub struct ProbePool {
    board: GateBoard,
    pool: Mutex<Pool>,
}

impl ProbePool {
    /// An empty pool over the gates of a fleet.
    #[must_use]
    pub fn new(board: GateBoard) -> Self {
        Self { board, pool: Mutex::default() }
    }

    /// The index of the chosen candidate.
    pub fn choose<R>(&self, candidates: &[Candidate], rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        let now = Instant::now();
        let mut pool = self.pool.lock();
        for _ in 0..PROBES_PER_CALL.min(candidates.len()) {
            let peer_addr = candidates[rng.random_range(0..candidates.len())].peer_addr;
            if let Some(answer) = self.board.probe(peer_addr) {
                pool.add(PooledProbe { peer_addr, usable_at: now + PROBE_TIME, answer });
            }
        }
        pool.expire(now);
        let chosen = pool.choose(candidates, now);
        chosen.or_else(|| Some(rng.random_range(0..candidates.len())))
    }
}

impl Pool {
    fn add(&mut self, probe: PooledProbe) {
        if self.recent_loads.len() < RECENT_LOADS {
            self.recent_loads.push(probe.answer.in_flight);
        } else {
            self.recent_loads[self.next_load] = probe.answer.in_flight;
            self.next_load = (self.next_load + 1) % RECENT_LOADS;
        }
        self.probes.push(probe);
    }

    fn expire(&mut self, now: Instant) {
        self.probes.retain(|probe| now < probe.usable_at + MAX_AGE);
        let surplus = self.probes.len().saturating_sub(POOL_SIZE);
        self.probes.drain(..surplus);
    }

    fn choose(&mut self, candidates: &[Candidate], now: Instant) -> Option<usize> {
        let hot_above = self.hot_above();
        let index_of = |probe: &PooledProbe| {
            candidates.iter().position(|candidate| candidate.peer_addr == probe.peer_addr)
        };
        let usable = self.probes.iter().enumerate();
        let usable = usable.filter(|(_, probe)| probe.usable_at <= now && index_of(probe).is_some());
        let (place, probe) = usable.min_by_key(|(_, probe)| {
            let hot = probe.answer.in_flight > hot_above;
            let rank = if hot { u64::from(probe.answer.in_flight) } else { probe.answer.service_time_us };
            (hot, rank, probe.answer.in_flight)
        })?;
        let chosen = index_of(probe);
        self.probes.remove(place);
        chosen
    }

    fn hot_above(&self) -> u32 {
        let mut loads = self.recent_loads.clone();
        loads.sort_unstable();
        let place = loads.len().saturating_sub(1) * HOT_QUANTILE_PERCENT / 100;
        loads.get(place).copied().unwrap_or(u32::MAX)
    }
}
