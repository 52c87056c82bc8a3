//! Share roster: the store object that divides the right to spend each limit among the nodes.

use std::sync::Arc;

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::coordination::quota::ALL_PARTS;
use crate::coordination::quota::BootTime;

/// Name of the roster's object.
pub const ROSTER_NAME: &str = "shares";

/// Value of the roster's object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRoster {
    /// Store epoch in which the roster was written; in another epoch it confirms nothing.
    pub epoch: u64,
    /// Number that increases with every change.
    pub revision: u64,
    /// Name and incarnation of the node that wrote the roster.
    pub writer: Arc<str>,
    /// Parts by node.
    pub shares: IndexMap<Arc<str>, u32>,
    /// Parts that their former holders may still spend.
    pub withdrawn: Vec<WithdrawnShare>,
}

/// Share that was withdrawn from a node and not granted to another one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WithdrawnShare {
    /// Former holder.
    pub node: Arc<str>,
    /// Parts.
    pub parts: u32,
    /// Revision of the roster that withdrew the share.
    pub revision: u64,
}

/// A roster that was the latest one at a time.
#[derive(Clone, Debug)]
pub struct ConfirmedRoster {
    /// The roster.
    pub roster: ShareRoster,
    /// When the read that returned it began.
    pub read_at: BootTime,
}

/// What a read of the store returned.
#[derive(Clone, Debug)]
pub struct RosterRead {
    /// Epoch of the store.
    pub epoch: u64,
    /// The stored roster; `None` if there is none or it is unreadable.
    pub stored: Option<ShareRoster>,
    /// When the read began.
    pub read_at: BootTime,
}

impl ShareRoster {
    /// Reads a roster; `None` if the value has another form or its parts exceed the whole.
    #[must_use]
    pub fn parse(value: &Value) -> Option<Self> {
        let roster = Self::deserialize(value).ok()?;
        (roster.all_parts() <= u64::from(ALL_PARTS)).then_some(roster)
    }

    /// Returns the share of a node.
    #[must_use]
    pub fn share_of(&self, node: &str) -> u32 {
        self.shares.get(node).copied().unwrap_or(0)
    }

    /// Returns the sum of all shares, including withdrawn ones.
    #[must_use]
    pub fn all_parts(&self) -> u64 {
        let held = self.shares.values().map(|parts| u64::from(*parts)).sum::<u64>();
        held + self.withdrawn.iter().map(|share| u64::from(share.parts)).sum::<u64>()
    }
}

impl RosterRead {
    /// Returns the roster if it was written in the current epoch of the store.
    #[must_use]
    pub fn confirmed(&self) -> Option<ConfirmedRoster> {
        let roster = self.stored.as_ref().filter(|roster| roster.epoch == self.epoch)?;
        Some(ConfirmedRoster { roster: roster.clone(), read_at: self.read_at })
    }
}
