//! Which upstream a call is sent to.

use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;

use crate::state::upstream_stats::UpstreamLoad;

const DEFAULT_SERVICE_TIME_US: u64 = 1_000;
const REPORT_HALF_LIFE_US: u64 = 100_000;
const FAILURE_PENALTY_SHIFT_MAX: u32 = 6;
const REMOTE_ZONE_COST_US: u64 = 500;

/// One upstream that a call may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Where the gate is reached; the same for as long as its node lives.
    pub peer_addr: SocketAddr,
    /// What the ingress knows about its load.
    pub load: UpstreamLoad,
    /// Slots that the upstream declared.
    pub slots: u32,
    /// Whether it stands in the zone of the ingress.
    pub same_zone: bool,
}

/// A way to choose among upstreams.
pub trait RoutingPolicy {
    /// The index of the chosen candidate, or nothing when there are none.
    fn choose<R>(&self, candidates: &[Candidate], rng: &mut R) -> Option<usize>
    where
        R: Rng;
}

/// The better of two random candidates by expected wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl RoutingPolicy for TwoChoices {
    fn choose<R>(&self, candidates: &[Candidate], rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        match candidates.len() {
            0 => None,
            1 => Some(0),
            count => {
                let first = rng.random_range(0..count);
                let second = (first + rng.random_range(1..count)) % count;
                let first_wins =
                    expected_wait_us(&candidates[first]) <= expected_wait_us(&candidates[second]);
                Some(if first_wins { first } else { second })
            }
        }
    }
}

/// Time that a call sent now would take, in microseconds, by what is known.
#[must_use]
pub fn expected_wait_us(candidate: &Candidate) -> u64 {
    let load = &candidate.load;
    let service_time_us =
        if load.service_time_us == 0 { DEFAULT_SERVICE_TIME_US } else { load.service_time_us };
    let busy = u64::from(load.in_flight) + u64::from(aged_report(load));
    let slots = u64::from(candidate.slots.max(1));
    let wait_us = service_time_us + service_time_us * busy / slots;
    let hop_us = if candidate.same_zone { 0 } else { REMOTE_ZONE_COST_US };
    (wait_us << load.consecutive_failures.min(FAILURE_PENALTY_SHIFT_MAX)) + hop_us
}

fn aged_report(load: &UpstreamLoad) -> u32 {
    let halvings = u32::try_from(load.report_age_us / REPORT_HALF_LIFE_US).unwrap_or(u32::MAX);
    let others = load.reported_busy.saturating_sub(load.in_flight);
    others.checked_shr(halvings).unwrap_or(0)
}
