//! Maintenance of the share roster by the leading node of the fleet.
//!
//! A share is withdrawn from a node that was not seen for long, and granted to another one only when no process can
//! spend it any more.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use indexmap::IndexSet;

use crate::coordination::quota::ALL_PARTS;
use crate::coordination::quota::BootTime;
use crate::coordination::quota::SHARE_VALIDITY;
use crate::coordination::quota::WITHDRAWAL_WAIT;
use crate::coordination::quota::roster::ConfirmedRoster;
use crate::coordination::quota::roster::RosterRead;
use crate::coordination::quota::roster::ShareRoster;
use crate::coordination::quota::roster::WithdrawnShare;

/// Time for which a node is not seen until its share is withdrawn.
const ABSENCE_BEFORE_WITHDRAWAL: Duration = Duration::from_mins(10);

/// Observed time without a change of the known nodes before the first roster is written.
///
/// Within it, the queries for the own share show whether another node knows a roster.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Maximum time between two observations that counts towards settling.
const MAX_SETTLING_GAP: Duration = Duration::from_secs(1);

/// Maximum time between two observations that counts as absence, since a paused node sees nobody.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(30);

/// What a node knows besides the store when it maintains the roster.
#[derive(Clone, Copy, Debug)]
pub struct RosterKnowledge<'a> {
    /// Nodes that are alive.
    pub live: &'a [Arc<str>],
    /// Whether this node knows of a share that is in use.
    pub shares_in_use: bool,
}

/// Decides on changes of the roster.
#[derive(Clone, Debug)]
pub struct RosterKeeper {
    writer: Arc<str>,
    observed_at: BootTime,
    live: IndexSet<Arc<str>>,
    /// Observed time since the known nodes last changed.
    settled_for: Duration,
    /// Time for which nodes have not been seen.
    absences: IndexMap<Arc<str>, Duration>,
    /// When this process first read each withdrawn share.
    withdrawals: IndexMap<WithdrawnShare, BootTime>,
    /// Epoch of a store without a usable roster, and when this process first read it.
    unusable_since: Option<(u64, BootTime)>,
    known: Option<ConfirmedRoster>,
}

impl RosterKeeper {
    /// Creates the state of a process that has just started; `writer` names it in rosters.
    #[must_use]
    pub fn new(writer: Arc<str>, now: BootTime) -> Self {
        Self {
            writer,
            observed_at: now,
            live: IndexSet::new(),
            settled_for: Duration::ZERO,
            absences: IndexMap::new(),
            withdrawals: IndexMap::new(),
            unusable_since: None,
            known: None,
        }
    }

    /// Records which nodes are alive.
    pub fn observe(&mut self, live: &[Arc<str>], now: BootTime) {
        let gap = now.saturating_sub(self.observed_at);
        let elapsed = gap.min(MAX_OBSERVATION_GAP);
        self.settled_for += gap.min(MAX_SETTLING_GAP);
        self.observed_at = now;
        for absence in self.absences.values_mut() {
            *absence += elapsed;
        }
        for node in live {
            self.absences.insert(Arc::clone(node), Duration::ZERO);
        }
        let live: IndexSet<Arc<str>> = live.iter().map(Arc::clone).collect();
        if live != self.live {
            self.live = live;
            self.settled_for = Duration::ZERO;
        }
    }

    /// Records a read of the store, and returns the roster if it is usable.
    pub fn record_read(&mut self, read: &RosterRead) -> Option<ConfirmedRoster> {
        let confirmed = read.confirmed();
        if let Some(confirmed) = &confirmed {
            self.known = Some(confirmed.clone());
            self.unusable_since = None;
            self.record_withdrawals(confirmed);
            self.track_holders(confirmed);
        } else if self.unusable_since.is_none_or(|(epoch, _)| epoch != read.epoch) {
            self.unusable_since = Some((read.epoch, read.read_at));
        }
        confirmed
    }

    /// Returns the roster to write after a read, if it has to change.
    #[must_use]
    pub fn decide(
        &self,
        read: &RosterRead,
        knowledge: RosterKnowledge<'_>,
        now: BootTime,
    ) -> Option<ShareRoster> {
        let changed = match read.confirmed() {
            Some(confirmed) => {
                let changed = self.maintained(&confirmed.roster, knowledge.live, now);
                (changed != confirmed.roster).then_some(changed)?
            }
            None => self.replacement(read, knowledge, now)?,
        };
        let revision = changed.revision + 1;
        let withdrawn = changed.withdrawn.into_iter().map(|share| {
            // A share without a revision was withdrawn by this change.
            let share_revision = if share.revision == 0 { revision } else { share.revision };
            WithdrawnShare { revision: share_revision, ..share }
        });
        let withdrawn = withdrawn.collect();
        let writer = Arc::clone(&self.writer);
        Some(ShareRoster { epoch: read.epoch, revision, writer, shares: changed.shares, withdrawn })
    }

    fn record_withdrawals(&mut self, confirmed: &ConfirmedRoster) {
        self.withdrawals.retain(|share, _| confirmed.roster.withdrawn.contains(share));
        for share in &confirmed.roster.withdrawn {
            self.withdrawals.entry(share.clone()).or_insert(confirmed.read_at);
        }
    }

    /// Starts counting the absence of holders that were never seen, and forgets nodes that hold nothing.
    fn track_holders(&mut self, confirmed: &ConfirmedRoster) {
        let shares = &confirmed.roster.shares;
        self.absences.retain(|node, _| shares.contains_key(node));
        for node in shares.keys() {
            self.absences.entry(Arc::clone(node)).or_default();
        }
    }

    fn maintained(&self, roster: &ShareRoster, live: &[Arc<str>], now: BootTime) -> ShareRoster {
        let mut changed = roster.clone();
        return_to_holders(&mut changed, live);
        self.grant(&mut changed, live, now);
        self.withdraw(&mut changed, live);
        changed
    }

    /// Grants the shares that nobody can spend any more to the live nodes with the smallest shares.
    fn grant(&self, roster: &mut ShareRoster, live: &[Arc<str>], now: BootTime) {
        let is_free = |share: &WithdrawnShare| {
            self.withdrawals.get(share).is_some_and(|read_at| *read_at + WITHDRAWAL_WAIT <= now)
        };
        let (free, kept) = std::mem::take(&mut roster.withdrawn).into_iter().partition(is_free);
        roster.withdrawn = kept;
        let free: Vec<WithdrawnShare> = free;
        for share in free {
            match live.iter().min_by_key(|node| roster.share_of(node)) {
                Some(node) => *roster.shares.entry(Arc::clone(node)).or_insert(0) += share.parts,
                None => roster.withdrawn.push(share),
            }
        }
    }

    /// Withdraws the shares of nodes that were not seen for long, unless that is half of all or more.
    fn withdraw(&self, roster: &mut ShareRoster, live: &[Arc<str>]) {
        let is_absent = |node: &Arc<str>| {
            let absence = self.absences.get(node).copied().unwrap_or_default();
            absence >= ABSENCE_BEFORE_WITHDRAWAL && !live.contains(node)
        };
        let absent: Vec<Arc<str>> =
            roster.shares.keys().filter(|node| is_absent(node)).map(Arc::clone).collect();
        let absent_parts: u32 = absent.iter().map(|node| roster.share_of(node)).sum();
        if absent_parts >= ALL_PARTS / 2 {
            return;
        }
        for node in absent {
            let parts = roster.shares.swap_remove(&node).unwrap_or(0);
            roster.withdrawn.push(WithdrawnShare { node, parts, revision: 0 });
        }
    }

    /// Returns the roster for a store that has none of its current epoch.
    fn replacement(
        &self,
        read: &RosterRead,
        knowledge: RosterKnowledge<'_>,
        now: BootTime,
    ) -> Option<ShareRoster> {
        let known = self.known.as_ref().filter(|known| known.read_at + SHARE_VALIDITY > now);
        if let Some(known) = known {
            return Some(as_of_new_epoch(&known.roster));
        }
        let has_waited = self.unusable_since.is_some_and(|(_, since)| since + WITHDRAWAL_WAIT <= now);
        match &read.stored {
            Some(stored) => has_waited.then(|| as_of_new_epoch(stored)),
            None if knowledge.shares_in_use && !has_waited => None,
            None => self.first_roster(knowledge.live),
        }
    }

    /// Returns equal shares for the live nodes, once they are known.
    fn first_roster(&self, live: &[Arc<str>]) -> Option<ShareRoster> {
        if self.settled_for < SETTLING_TIME {
            return None;
        }
        let count = u32::try_from(live.len()).ok()?;
        let parts = ALL_PARTS.checked_div(count)?;
        let remainder = ALL_PARTS % count;
        let share =
            |(index, node): (u32, &Arc<str>)| (Arc::clone(node), parts + u32::from(index < remainder));
        let shares = (0..).zip(live).map(share).collect();
        Some(ShareRoster { shares, ..ShareRoster::default() })
    }
}

/// Gives withdrawn shares back to former holders that are alive; nobody else has them.
fn return_to_holders(roster: &mut ShareRoster, live: &[Arc<str>]) {
    let (returned, kept) = std::mem::take(&mut roster.withdrawn)
        .into_iter()
        .partition(|share: &WithdrawnShare| live.contains(&share.node));
    roster.withdrawn = kept;
    let returned: Vec<WithdrawnShare> = returned;
    for share in returned {
        *roster.shares.entry(share.node).or_insert(0) += share.parts;
    }
}

/// Returns the same shares, and the withdrawn ones as if they were withdrawn now.
///
/// The history that the store lost may have granted them to other nodes, so they don't return to their former holders.
fn as_of_new_epoch(roster: &ShareRoster) -> ShareRoster {
    let mut renewed = roster.clone();
    for share in &mut renewed.withdrawn {
        share.node = Arc::default();
        share.revision = 0;
    }
    renewed
}
