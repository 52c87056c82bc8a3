//! Which upstream a call is sent to.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::coordination::outlier_ejection::ejected;
use crate::coordination::outlier_ejection::usual_service_time_us;
use crate::state::upstream_stats::UpstreamLoad;

const DEFAULT_SERVICE_TIME_US: u64 = 1_000;
const REPORT_HALF_LIFE_US: u64 = 100_000;
const FAILURE_PENALTY_SHIFT_MAX: u32 = 6;
const REMOTE_ZONE_COST_US: u64 = 500;
const PATIENCE_PERCENT: u64 = 150;
const PERCENT: u64 = 100;
/// Share of its work that an upstream gets while it ramps up, at full strength.
pub const FULL_RAMP_PERMILLE: u32 = 1_000;
const LEAST_RAMP_PERMILLE: u32 = 50;

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
    /// How far it has ramped up since it joined, in thousandths.
    pub ramp_permille: u32,
}

/// What operators allow the choice to do.
#[derive(Clone, Copy, Debug)]
pub struct RoutingLimits {
    /// Share of the candidates that may be left out as outliers, in percent.
    pub max_ejected_percent: u32,
}

/// A way to choose among upstreams.
pub trait RoutingPolicy {
    /// The index of the chosen candidate, or nothing when there are none.
    fn choose<R>(&self, candidates: &[Candidate], limits: RoutingLimits, rng: &mut R) -> Option<usize>
    where
        R: Rng;

    /// How long a call should put up with the chosen gate while others may be better.
    ///
    /// A gate that expects to need longer refuses at once, and the call goes on to the
    /// next one. Without a patience the gate decides by itself.
    fn patience(&self, _candidates: &[Candidate]) -> Option<Duration> {
        None
    }
}

/// The better of two random candidates by expected time, outliers left out.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoices;

impl RoutingPolicy for TwoChoices {
    fn choose<R>(&self, candidates: &[Candidate], limits: RoutingLimits, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        let eligible = eligible(candidates, limits, rng);
        match eligible.len() {
            0 => None,
            1 => Some(eligible[0]),
            count => {
                let first = rng.random_range(0..count);
                let second = (first + rng.random_range(1..count)) % count;
                let (first, second) = (eligible[first], eligible[second]);
                let first_wins = expected_us(&candidates[first]) <= expected_us(&candidates[second]);
                Some(if first_wins { first } else { second })
            }
        }
    }

    fn patience(&self, candidates: &[Candidate]) -> Option<Duration> {
        let usual_us = usual_service_time_us(candidates);
        (candidates.len() > 1 && usual_us > 0)
            .then(|| Duration::from_micros(usual_us * PATIENCE_PERCENT / PERCENT))
    }
}

/// Candidates that are no outliers; one that ramps up takes part now and then.
fn eligible<R>(candidates: &[Candidate], limits: RoutingLimits, rng: &mut R) -> Vec<usize>
where
    R: Rng,
{
    let out = ejected(candidates, limits.max_ejected_percent);
    let kept: Vec<usize> = (0..candidates.len()).filter(|index| !out[*index]).collect();
    let most_ramped = kept.iter().map(|index| candidates[*index].ramp_permille).max().unwrap_or(0);
    let ramped = |index: &usize| {
        let own = candidates[*index].ramp_permille.max(LEAST_RAMP_PERMILLE);
        own >= most_ramped || rng.random_range(0..most_ramped) < own
    };
    kept.into_iter().filter(ramped).collect()
}

/// Time that a call sent now would take, in microseconds, by what is known.
#[must_use]
pub fn expected_us(candidate: &Candidate) -> u64 {
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
