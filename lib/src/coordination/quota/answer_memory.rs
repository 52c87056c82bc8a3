//! Answers of a quota server, so that a repeated ask takes no further tokens.

use std::collections::VecDeque;
use std::time::Duration;

use indexmap::IndexMap;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::quota::BootTime;

/// Time for which an answer is kept; no client repeats an ask later.
const ANSWER_RETENTION: Duration = Duration::from_secs(1);

/// An ask, by the process that sent it and its sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AskId {
    /// Random number of the asking process.
    pub process: u64,
    /// Sequence number of the ask.
    pub sequence: u64,
}

/// Recent answers in the order in which they were given.
#[derive(Clone, Debug, Default)]
pub struct AnswerMemory {
    answers: IndexMap<AskId, wire::TokenAnswer>,
    given: VecDeque<(BootTime, AskId)>,
}

impl AnswerMemory {
    /// Returns the answer that was given to an ask.
    #[must_use]
    pub fn get(&self, ask: AskId) -> Option<wire::TokenAnswer> {
        self.answers.get(&ask).copied()
    }

    /// Keeps an answer, and removes those that are too old.
    pub fn insert(&mut self, ask: AskId, answer: wire::TokenAnswer, now: BootTime) {
        while let Some((_, oldest)) = self.given.pop_front_if(|(at, _)| *at + ANSWER_RETENTION <= now) {
            self.answers.swap_remove(&oldest);
        }
        self.given.push_back((now, ask));
        self.answers.insert(ask, answer);
    }
}
