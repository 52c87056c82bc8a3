//! Explains the choice of an upstream: what became of each candidate, and why a member is none.

use crate::coordination::evacuation::may_send_to;
use crate::coordination::outlier_ejection::ejection_flags;
use crate::coordination::routing::Candidate;
use crate::coordination::routing::ExplainedChoice;
use crate::protocol::evacuation::EvacuationSet;
use crate::protocol::explain::Verdict;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Returns why no call may be sent to the upstream of a member; `None` if it is a candidate.
#[must_use]
pub fn exclusion(member: &Member, evacuations: Option<&EvacuationSet>) -> Option<Verdict> {
    match (member.state, &member.upstream) {
        (MemberState::Dead, _) => Some(Verdict::Dead),
        (MemberState::Leaving, _) => Some(Verdict::Leaving),
        (MemberState::Alive | MemberState::Suspect, None) => Some(Verdict::NotAnnounced),
        (_, Some(upstream)) if upstream.draining => Some(Verdict::Draining),
        _ => (!may_send_to(&member.zone, evacuations)).then_some(Verdict::EvacuatedZone),
    }
}

/// Returns what became of each candidate in a choice; the same share of outliers has to be ejected as in the choice.
#[must_use]
pub fn verdicts(
    candidates: &[Candidate],
    choice: &ExplainedChoice,
    max_ejected_percent: u32,
) -> Vec<Verdict> {
    let is_ejected = ejection_flags(candidates, max_ejected_percent);
    let verdict = |index: usize| {
        if choice.chosen == Some(index) {
            Verdict::Chosen
        } else if choice.shortlist.compared.contains(&index) {
            Verdict::Outranked
        } else if choice.shortlist.eligible.contains(&index) {
            Verdict::NotSampled
        } else if is_ejected[index] {
            Verdict::Ejected
        } else {
            Verdict::RampingUp
        }
    };
    (0..candidates.len()).map(verdict).collect()
}
