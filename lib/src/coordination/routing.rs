//! Which upstream a call is sent to.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::coordination::admission::CROWDED_PERCENT;
use crate::coordination::admission::NEARLY_FULL_PERCENT;
use crate::coordination::outlier_ejection::ejected;
use crate::coordination::outlier_ejection::median_service_time_us;
use crate::state::upstream_stats::UpstreamLoad;

const DEFAULT_SERVICE_TIME_US: u64 = 1_000;
const REPORT_HALF_LIFE_US: u64 = 100_000;
const FAILURE_PENALTY_SHIFT_MAX: u32 = 6;
const REMOTE_ZONE_COST_US: u64 = 500;
/// Candidates of a zone's side that one choice looks at.
const SAMPLE: usize = 4;
const PERMILLE: u64 = 1_000;
/// Shares of the objective up to which an answer is sure to be in time, and past which it is not.
const SURE_PERMILLE: u64 = 600;
const HOPELESS_PERMILLE: u64 = 1_400;
/// What an objective's worth of time costs among answers that are all in time, or all late.
const LATE_PERMILLE: u64 = 50;
/// How much better another gate has to look for a call to be moved there, by the same scale.
const MOVE_PERMILLE: i64 = 100;
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

/// What operators allow the choice to do, and what the call needs.
#[derive(Clone, Copy, Debug)]
pub struct RoutingLimits {
    /// Share of the candidates that may be left out as outliers, in percent.
    pub max_ejected_percent: u32,
    /// Time left until an answer is worth less, in microseconds; 0 when nothing is known.
    pub objective_us: u64,
    /// Time that such a call usually takes, in microseconds; 0 when nothing is known.
    pub usual_us: u64,
    /// Price of crossing to another zone, in thousandths of the worth of an answer in time.
    pub crossing_permille: u64,
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
    fn patience(
        &self,
        _candidates: &[Candidate],
        _chosen: &Candidate,
        _limits: RoutingLimits,
    ) -> Option<Duration> {
        None
    }
}

/// The best chance of an answer in time, less the price of crossing to another zone.
///
/// Over few candidates it looks at each; over many, at a sample of the own zone and one of the rest.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneFirst;

impl RoutingPolicy for ZoneFirst {
    fn choose<R>(&self, candidates: &[Candidate], limits: RoutingLimits, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        let eligible = eligible(candidates, limits, rng);
        let (own, others): (Vec<usize>, Vec<usize>) =
            eligible.into_iter().partition(|index| candidates[*index].same_zone);
        let scale = Scale::of(candidates, limits);
        let sampled = sample(own, rng).into_iter().chain(sample(others, rng));
        sampled.max_by_key(|index| scale.worth(&candidates[*index]))
    }

    /// The time that the call takes at the chosen gate at which another would be better.
    fn patience(
        &self,
        candidates: &[Candidate],
        chosen: &Candidate,
        limits: RoutingLimits,
    ) -> Option<Duration> {
        let scale = Scale::of(candidates, limits);
        let others = candidates.iter().filter(|other| other.peer_addr != chosen.peer_addr);
        let best = others.map(|other| scale.worth(other)).max()?;
        scale.call_time_worth(best - MOVE_PERMILLE, chosen).map(Duration::from_micros)
    }
}

/// What a time at one of the candidates is worth to one call.
#[derive(Clone, Copy, Debug)]
struct Scale {
    limits: RoutingLimits,
    /// Usual service time at these candidates, over all the calls that they run.
    usual_service_us: u64,
}

impl Scale {
    fn of(candidates: &[Candidate], limits: RoutingLimits) -> Self {
        let usual_service_us = median_service_time_us(candidates).max(1);
        let known = limits.usual_us > 0;
        let usual_us = if known { limits.usual_us } else { usual_service_us };
        let objective_us = if limits.objective_us == 0 { usual_us } else { limits.objective_us };
        let limits = RoutingLimits { objective_us: objective_us.max(1), usual_us, ..limits };
        Self { limits, usual_service_us }
    }

    /// Worth of sending the call to the candidate, in thousandths of an answer in time.
    fn worth(&self, candidate: &Candidate) -> i64 {
        let crossing = if candidate.same_zone { 0 } else { self.limits.crossing_permille };
        let time_us = self.call_time_us(candidate);
        let late = time_us.saturating_mul(LATE_PERMILLE) / self.limits.objective_us;
        self.in_time_permille(time_us) - signed(late.min(PERMILLE)) - signed(crossing)
    }

    /// Time of this call at the candidate: what it usually takes, by how slow the candidate is.
    fn call_time_us(&self, candidate: &Candidate) -> u64 {
        let slowness_permille = match candidate.load.slowness_permille {
            0 => service_time_us(candidate).saturating_mul(PERMILLE) / self.usual_service_us,
            told => told,
        };
        let runs_us = self.limits.usual_us.saturating_mul(slowness_permille) / PERMILLE;
        let time_us = runs_us + runs_us.saturating_mul(waiting(candidate)) / slots(candidate);
        let crowded_us =
            if is_nearly_full(candidate) { time_us * CROWDED_PERCENT / PERCENT } else { time_us };
        crowded_us << candidate.load.consecutive_failures.min(FAILURE_PENALTY_SHIFT_MAX)
    }

    /// Chance of an answer in time: sure well within the objective, none well past it.
    fn in_time_permille(&self, time_us: u64) -> i64 {
        let share = time_us.saturating_mul(PERMILLE) / self.limits.objective_us;
        let past = share.saturating_sub(SURE_PERMILLE).min(HOPELESS_PERMILLE - SURE_PERMILLE);
        signed(PERMILLE - past * PERMILLE / (HOPELESS_PERMILLE - SURE_PERMILLE))
    }

    /// The time that the call takes at the candidate at which sending it there is worth so much.
    fn call_time_worth(&self, worth: i64, candidate: &Candidate) -> Option<u64> {
        let crossing = if candidate.same_zone { 0 } else { signed(self.limits.crossing_permille) };
        let chance = u64::try_from(worth + crossing).ok().filter(|chance| *chance > 0)?;
        let past = (HOPELESS_PERMILLE - SURE_PERMILLE) * PERMILLE.saturating_sub(chance) / PERMILLE;
        Some(self.limits.objective_us.saturating_mul(SURE_PERMILLE + past) / PERMILLE)
    }
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Some of the candidates by chance, in an order by chance.
fn sample<R>(mut candidates: Vec<usize>, rng: &mut R) -> Vec<usize>
where
    R: Rng,
{
    let count = candidates.len().min(SAMPLE);
    for place in 0..count {
        let other = rng.random_range(place..candidates.len());
        candidates.swap(place, other);
    }
    candidates.truncate(count);
    candidates
}

fn service_time_us(candidate: &Candidate) -> u64 {
    match candidate.load.service_time_us {
        0 => DEFAULT_SERVICE_TIME_US,
        known => known,
    }
}

fn slots(candidate: &Candidate) -> u64 {
    let told = candidate.load.reported_limit;
    u64::from(if told == 0 { candidate.slots } else { told }.max(1))
}

fn busy(candidate: &Candidate) -> u64 {
    u64::from(candidate.load.in_flight) + u64::from(aged_report(&candidate.load))
}

/// Calls that would wait before one that is sent now, since calls wait only once every slot is taken.
fn waiting(candidate: &Candidate) -> u64 {
    (busy(candidate) + 1).saturating_sub(slots(candidate))
}

fn is_nearly_full(candidate: &Candidate) -> bool {
    (busy(candidate) + 1) * PERCENT > slots(candidate) * u64::from(NEARLY_FULL_PERCENT)
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

    fn patience(
        &self,
        candidates: &[Candidate],
        _chosen: &Candidate,
        _limits: RoutingLimits,
    ) -> Option<Duration> {
        let usual_us = median_service_time_us(candidates);
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
    let service_time_us = service_time_us(candidate);
    let slots = u64::from(candidate.slots.max(1));
    let wait_us = service_time_us + service_time_us * busy(candidate) / slots;
    let hop_us = if candidate.same_zone { 0 } else { REMOTE_ZONE_COST_US };
    (wait_us << load.consecutive_failures.min(FAILURE_PENALTY_SHIFT_MAX)) + hop_us
}

fn aged_report(load: &UpstreamLoad) -> u32 {
    let halvings = u32::try_from(load.report_age_us / REPORT_HALF_LIFE_US).unwrap_or(u32::MAX);
    let others = load.reported_busy.saturating_sub(load.in_flight);
    others.checked_shr(halvings).unwrap_or(0)
}
