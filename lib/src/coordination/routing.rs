//! Routing policies, which choose the upstream that a call is sent to.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::coordination::near_capacity::NEAR_CAPACITY_PERCENT;
use crate::coordination::near_capacity::NEAR_CAPACITY_SLOWDOWN_PERCENT;
use crate::coordination::outlier_ejection::ejection_flags;
use crate::coordination::outlier_ejection::median_service_time_us;
use crate::state::upstream_stats::UpstreamLoad;

/// Service time assumed for an upstream without any known one.
const DEFAULT_SERVICE_TIME_US: u64 = 1_000;
/// Age at which a gate's load report counts half.
const REPORT_HALF_LIFE_US: u64 = 100_000;
/// Maximum number of consecutive failures of which each doubles the expected latency.
const FAILURE_PENALTY_SHIFT_MAX: u32 = 6;
/// Latency added to a call to another zone.
const REMOTE_ZONE_COST_US: u64 = 500;
/// Number of candidates that one choice compares within the own zone, and likewise among the other zones.
const SAMPLE_SIZE: usize = 4;
const PERMILLE: u64 = 1_000;
/// Expected latency up to which an answer counts as certain to be in time, as a share of the objective.
const CERTAIN_SUCCESS_PERMILLE: u64 = 600;
/// Expected latency from which an answer counts as certain to be late, as a share of the objective.
const CERTAIN_MISS_PERMILLE: u64 = 1_400;
/// Score deducted for each multiple of the objective in expected latency.
///
/// It ranks candidates whose answers are all certain to be in time, or all certain to be late.
const LATENCY_COST_PERMILLE: u64 = 50;
/// Minimum gain in score for which a call is rerouted to another gate.
const MIN_REROUTE_GAIN_PERMILLE: i64 = 100;
/// Maximum latency at the chosen gate under `PowerOfTwoChoices`, relative to the median service time.
const MAX_GATE_LATENCY_PERCENT: u64 = 150;
const PERCENT: u64 = 100;
/// Ramp of an upstream that gets its full share of calls, in thousandths.
pub const FULL_RAMP_UP_PERMILLE: u32 = 1_000;
/// Lower bound of the ramp, so that a new upstream gets some calls, in thousandths.
const MIN_RAMP_UP_PERMILLE: u32 = 50;

/// One upstream that a call may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Address of the gate; it identifies the candidate, since it is fixed for the lifetime of the node.
    pub peer_addr: SocketAddr,
    /// Load known to the ingress.
    pub load: UpstreamLoad,
    /// Number of slots that the upstream declared.
    pub slots: u32,
    /// Whether it is in the zone of the ingress.
    pub same_zone: bool,
    /// Share of its full traffic that it gets while it ramps up after joining, in thousandths.
    pub ramp_up_permille: u32,
}

/// Limits set by operators on the choice, and the requirements of the call.
#[derive(Clone, Copy, Debug)]
pub struct RoutingContext {
    /// Share of the candidates that may be ejected as outliers, in percent.
    pub max_ejected_percent: u32,
    /// Time left until the latency objective is missed, in microseconds; 0 if not known.
    pub objective_us: u64,
    /// Typical service time of this kind of call, in microseconds; 0 if not known.
    pub typical_us: u64,
    /// Score deducted for a candidate in another zone, in thousandths of the score of an answer in time.
    pub cross_zone_cost_permille: u64,
}

/// Candidates that remain at the steps of one choice, by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shortlist {
    /// Candidates that are neither ejected nor left out while they ramp up.
    pub eligible: Vec<usize>,
    /// Candidates among the eligible ones whose expected latencies were compared.
    pub compared: Vec<usize>,
}

/// A choice with the steps that led to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExplainedChoice {
    /// Index of the chosen candidate, or `None` if there are no candidates.
    pub chosen: Option<usize>,
    /// Candidates that remained at each step.
    pub shortlist: Shortlist,
    /// Expected latency at each candidate, in microseconds.
    pub expected_latencies_us: Vec<u64>,
}

/// Policy for choosing among upstreams.
pub trait RoutingPolicy {
    /// Returns the index of the chosen candidate, or `None` if there are no candidates.
    fn choose<R>(&self, candidates: &[Candidate], context: RoutingContext, rng: &mut R) -> Option<usize>
    where
        R: Rng;

    /// Makes a choice by the same steps as [`Self::choose`] and returns them with it.
    ///
    /// `None` if the policy keeps no steps, or if its choices affect later ones.
    fn explain_choice<R>(
        &self,
        _candidates: &[Candidate],
        _context: RoutingContext,
        _rng: &mut R,
    ) -> Option<ExplainedChoice>
    where
        R: Rng,
    {
        None
    }

    /// Returns the maximum expected latency at the chosen gate before the call should try another one.
    ///
    /// A gate that expects a longer latency rejects the call at once, and the call is rerouted to another
    /// gate. With `None`, only the rules of the gate apply.
    fn max_gate_latency(
        &self,
        _candidates: &[Candidate],
        _chosen: &Candidate,
        _context: RoutingContext,
    ) -> Option<Duration> {
        None
    }
}

/// Chooses the candidate with the best chance of an answer in time, less a cost for cross-zone calls.
///
/// It compares all candidates if they are few, and otherwise a sample of the own zone and one of the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneFirst;

impl ZoneFirst {
    /// Returns the eligible candidates, and samples of the own zone and of the others.
    fn shortlist<R>(candidates: &[Candidate], context: RoutingContext, rng: &mut R) -> Shortlist
    where
        R: Rng,
    {
        let eligible = eligible(candidates, context, rng);
        let (own, others): (Vec<usize>, Vec<usize>) =
            eligible.iter().copied().partition(|index| candidates[*index].same_zone);
        let mut compared = sample(own, rng);
        compared.extend(sample(others, rng));
        Shortlist { eligible, compared }
    }

    /// Returns the compared candidate with the best score; the last one of several.
    fn best(candidates: &[Candidate], compared: &[usize], scorer: &Scorer) -> Option<usize> {
        compared.iter().copied().max_by_key(|index| scorer.score(&candidates[*index]))
    }
}

impl RoutingPolicy for ZoneFirst {
    fn choose<R>(&self, candidates: &[Candidate], context: RoutingContext, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        let shortlist = Self::shortlist(candidates, context, rng);
        Self::best(candidates, &shortlist.compared, &Scorer::new(candidates, context))
    }

    fn explain_choice<R>(
        &self,
        candidates: &[Candidate],
        context: RoutingContext,
        rng: &mut R,
    ) -> Option<ExplainedChoice>
    where
        R: Rng,
    {
        let shortlist = Self::shortlist(candidates, context, rng);
        let scorer = Scorer::new(candidates, context);
        let chosen = Self::best(candidates, &shortlist.compared, &scorer);
        let latencies_us = candidates.iter().map(|candidate| scorer.call_latency_us(candidate));
        Some(ExplainedChoice { chosen, shortlist, expected_latencies_us: latencies_us.collect() })
    }

    /// Returns the latency at the chosen gate above which the best other gate would be clearly better.
    fn max_gate_latency(
        &self,
        candidates: &[Candidate],
        chosen: &Candidate,
        context: RoutingContext,
    ) -> Option<Duration> {
        let scorer = Scorer::new(candidates, context);
        let others = candidates.iter().filter(|other| other.peer_addr != chosen.peer_addr);
        let best = others.map(|other| scorer.score(other)).max()?;
        scorer.latency_at_score_us(best - MIN_REROUTE_GAIN_PERMILLE, chosen).map(Duration::from_micros)
    }
}

/// Scores candidates for one call by the expected latency there.
#[derive(Clone, Copy, Debug)]
struct Scorer {
    context: RoutingContext,
    /// Median service time of the candidates, over all kinds of calls.
    median_service_us: u64,
}

impl Scorer {
    /// Creates a scorer; values that the context leaves unknown are taken from the median service time.
    fn new(candidates: &[Candidate], context: RoutingContext) -> Self {
        let median_service_us = median_service_time_us(candidates).max(1);
        let is_known = context.typical_us > 0;
        let typical_us = if is_known { context.typical_us } else { median_service_us };
        let objective_us = if context.objective_us == 0 { typical_us } else { context.objective_us };
        let context = RoutingContext { objective_us: objective_us.max(1), typical_us, ..context };
        Self { context, median_service_us }
    }

    /// Returns the score of sending the call to the candidate, in thousandths of an answer in time.
    fn score(&self, candidate: &Candidate) -> i64 {
        let cross_zone_cost = if candidate.same_zone { 0 } else { self.context.cross_zone_cost_permille };
        let latency_us = self.call_latency_us(candidate);
        let latency_cost = latency_us.saturating_mul(LATENCY_COST_PERMILLE) / self.context.objective_us;
        self.chance_permille(latency_us) - signed(latency_cost.min(PERMILLE)) - signed(cross_zone_cost)
    }

    /// Returns the expected latency of this call at the candidate.
    ///
    /// It is the typical service time of the call, scaled by the candidate's slowness, load and failures, after
    /// the time until its rate limit lets a call start.
    fn call_latency_us(&self, candidate: &Candidate) -> u64 {
        let slowness_permille = match candidate.load.slowness_permille {
            0 => service_time_us(candidate).saturating_mul(PERMILLE) / self.median_service_us,
            reported => reported,
        };
        let execution_us = self.context.typical_us.saturating_mul(slowness_permille) / PERMILLE;
        let latency_us =
            execution_us + execution_us.saturating_mul(calls_ahead(candidate)) / slots(candidate);
        let load_adjusted_us = if is_near_capacity(candidate) {
            latency_us * NEAR_CAPACITY_SLOWDOWN_PERCENT / PERCENT
        } else {
            latency_us
        };
        let executed_us =
            load_adjusted_us << candidate.load.consecutive_failures.min(FAILURE_PENALTY_SHIFT_MAX);
        executed_us.saturating_add(candidate.load.start_delay_us)
    }

    /// Returns the chance of an answer in time, in thousandths.
    ///
    /// It falls linearly between the latency of a certain success and that of a certain miss.
    fn chance_permille(&self, latency_us: u64) -> i64 {
        let share = latency_us.saturating_mul(PERMILLE) / self.context.objective_us;
        let excess = share
            .saturating_sub(CERTAIN_SUCCESS_PERMILLE)
            .min(CERTAIN_MISS_PERMILLE - CERTAIN_SUCCESS_PERMILLE);
        signed(PERMILLE - excess * PERMILLE / (CERTAIN_MISS_PERMILLE - CERTAIN_SUCCESS_PERMILLE))
    }

    /// Returns the latency at which the candidate has the given score; `None` if a late answer scores more.
    ///
    /// The small deduction for latency among certain answers is left out.
    fn latency_at_score_us(&self, score: i64, candidate: &Candidate) -> Option<u64> {
        let cross_zone_cost =
            if candidate.same_zone { 0 } else { signed(self.context.cross_zone_cost_permille) };
        let chance = u64::try_from(score + cross_zone_cost).ok().filter(|chance| *chance > 0)?;
        let excess =
            (CERTAIN_MISS_PERMILLE - CERTAIN_SUCCESS_PERMILLE) * PERMILLE.saturating_sub(chance) / PERMILLE;
        Some(self.context.objective_us.saturating_mul(CERTAIN_SUCCESS_PERMILLE + excess) / PERMILLE)
    }
}

/// Converts to a signed value, saturating.
fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

/// Returns up to [`SAMPLE_SIZE`] random candidates in random order.
fn sample<R>(mut candidates: Vec<usize>, rng: &mut R) -> Vec<usize>
where
    R: Rng,
{
    let count = candidates.len().min(SAMPLE_SIZE);
    for index in 0..count {
        let other = rng.random_range(index..candidates.len());
        candidates.swap(index, other);
    }
    candidates.truncate(count);
    candidates
}

/// Returns the service time known for the candidate, or a default, in microseconds.
fn service_time_us(candidate: &Candidate) -> u64 {
    match candidate.load.service_time_us {
        0 => DEFAULT_SERVICE_TIME_US,
        known => known,
    }
}

/// Returns the slots that the gate reports, or those declared while it has reported none.
fn slots(candidate: &Candidate) -> u64 {
    let reported = candidate.load.reported_slots;
    u64::from(if reported == 0 { candidate.slots } else { reported }.max(1))
}

/// Returns the calls at the candidate: those of this ingress and the reported ones of others.
fn calls_present(candidate: &Candidate) -> u64 {
    u64::from(candidate.load.in_flight) + u64::from(aged_report(&candidate.load))
}

/// Returns how many calls must finish before a call sent now gets a slot; 0 while a slot is free.
fn calls_ahead(candidate: &Candidate) -> u64 {
    (calls_present(candidate) + 1).saturating_sub(slots(candidate))
}

/// Returns whether another call fills the candidate past the share of slots at which upstreams slow down.
fn is_near_capacity(candidate: &Candidate) -> bool {
    (calls_present(candidate) + 1) * PERCENT > slots(candidate) * u64::from(NEAR_CAPACITY_PERCENT)
}

/// Chooses the better of two random candidates by expected latency, among those that are not ejected.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwoChoices;

impl PowerOfTwoChoices {
    /// Returns the eligible candidates, and two of them at random.
    fn shortlist<R>(candidates: &[Candidate], context: RoutingContext, rng: &mut R) -> Shortlist
    where
        R: Rng,
    {
        let eligible = eligible(candidates, context, rng);
        let compared = match eligible.len() {
            0 | 1 => eligible.clone(),
            count => {
                let first = rng.random_range(0..count);
                let second = (first + rng.random_range(1..count)) % count;
                vec![eligible[first], eligible[second]]
            }
        };
        Shortlist { eligible, compared }
    }

    /// Returns the compared candidate with the smallest expected latency; the first one of several.
    fn best(candidates: &[Candidate], compared: &[usize]) -> Option<usize> {
        compared.iter().copied().min_by_key(|index| expected_latency_us(&candidates[*index]))
    }
}

impl RoutingPolicy for PowerOfTwoChoices {
    fn choose<R>(&self, candidates: &[Candidate], context: RoutingContext, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        Self::best(candidates, &Self::shortlist(candidates, context, rng).compared)
    }

    fn explain_choice<R>(
        &self,
        candidates: &[Candidate],
        context: RoutingContext,
        rng: &mut R,
    ) -> Option<ExplainedChoice>
    where
        R: Rng,
    {
        let shortlist = Self::shortlist(candidates, context, rng);
        let chosen = Self::best(candidates, &shortlist.compared);
        let latencies_us = candidates.iter().map(expected_latency_us);
        Some(ExplainedChoice { chosen, shortlist, expected_latencies_us: latencies_us.collect() })
    }

    fn max_gate_latency(
        &self,
        candidates: &[Candidate],
        _chosen: &Candidate,
        _context: RoutingContext,
    ) -> Option<Duration> {
        let median_us = median_service_time_us(candidates);
        (candidates.len() > 1 && median_us > 0)
            .then(|| Duration::from_micros(median_us * MAX_GATE_LATENCY_PERCENT / PERCENT))
    }
}

/// Returns the candidates that are not ejected; one that ramps up is included with a matching probability.
fn eligible<R>(candidates: &[Candidate], context: RoutingContext, rng: &mut R) -> Vec<usize>
where
    R: Rng,
{
    let is_ejected = ejection_flags(candidates, context.max_ejected_percent);
    let remaining: Vec<usize> = (0..candidates.len()).filter(|index| !is_ejected[*index]).collect();
    let max_ramp = remaining.iter().map(|index| candidates[*index].ramp_up_permille).max().unwrap_or(0);
    let is_sampled = |index: &usize| {
        let ramp = candidates[*index].ramp_up_permille.max(MIN_RAMP_UP_PERMILLE);
        ramp >= max_ramp || rng.random_range(0..max_ramp) < ramp
    };
    remaining.into_iter().filter(is_sampled).collect()
}

/// Returns the expected latency of a call sent to the candidate now, in microseconds.
#[must_use]
pub fn expected_latency_us(candidate: &Candidate) -> u64 {
    let load = &candidate.load;
    let service_time_us = service_time_us(candidate);
    let slots = u64::from(candidate.slots.max(1));
    let latency_us = service_time_us + service_time_us * calls_present(candidate) / slots;
    let hop_us = if candidate.same_zone { 0 } else { REMOTE_ZONE_COST_US };
    (latency_us << load.consecutive_failures.min(FAILURE_PENALTY_SHIFT_MAX)) + load.start_delay_us + hop_us
}

/// Returns the reported calls of other ingresses, halved for each half-life of the report's age.
fn aged_report(load: &UpstreamLoad) -> u32 {
    let halvings = u32::try_from(load.report_age_us / REPORT_HALF_LIFE_US).unwrap_or(u32::MAX);
    let others = load.reported_calls.saturating_sub(load.in_flight);
    others.checked_shr(halvings).unwrap_or(0)
}
