//! A node's own share: how long it may be spent, and to whom it is lent.

use std::sync::Arc;
use std::time::Duration;

use yuccatray_proto::peer_v1 as wire;

use crate::coordination::quota::ALL_PARTS;
use crate::coordination::quota::BootTime;
use crate::coordination::quota::SHARE_LEASE;
use crate::coordination::quota::SHARE_VALIDITY;
use crate::coordination::quota::promises::Borrower;
use crate::coordination::quota::promises::LoanBook;
use crate::coordination::quota::sent_requests::SentRequests;
use crate::coordination::quota::to_millis;

/// Age of a confirmation from which a node asks other zones, since its own zone can't confirm its share.
const LATE_CONFIRMATION: Duration = Duration::from_mins(3);

/// Interval between two queries to leading nodes of other zones.
const QUERY_INTERVAL: Duration = Duration::from_secs(5);

/// The same for a process that was never told its share.
const FIRST_QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Share of this node as of a read of the roster.
#[derive(Clone, Copy, Debug)]
struct ConfirmedShare {
    parts: u32,
    /// Time at or before which the roster was read.
    read_at: BootTime,
}

/// The share of this node.
#[derive(Clone, Debug)]
pub struct ShareHolder {
    share: Option<ConfirmedShare>,
    /// Time before which an earlier process of this node may have lent the share.
    lends_from: BootTime,
    loans: LoanBook,
    sent: SentRequests,
    /// When the node that this one regards as the leading one of its zone last asked.
    leader_asked_at: Option<BootTime>,
    /// Node that last asked for the share, and the time until which it may use what was lent to it.
    last_asker: Option<(Arc<str>, BootTime)>,
    next_query_at: BootTime,
    query_count: usize,
}

impl ShareHolder {
    /// Creates the state of a process that has just started.
    #[must_use]
    pub fn new(first_sequence: u64, now: BootTime) -> Self {
        Self {
            share: None,
            lends_from: LoanBook::end_of_loan(now, SHARE_LEASE),
            loans: LoanBook::default(),
            sent: SentRequests::new(first_sequence),
            leader_asked_at: None,
            last_asker: None,
            next_query_at: now + FIRST_QUERY_INTERVAL,
            query_count: 0,
        }
    }

    /// Returns the parts that this node may spend or lend at `now`.
    #[must_use]
    pub fn usable_parts(&self, now: BootTime) -> u32 {
        let valid = self.share.filter(|share| share.read_at + SHARE_VALIDITY > now);
        valid.map_or(0, |share| share.parts)
    }

    /// Returns whether this node was told its share, also if that is none, and may still rely on it.
    #[must_use]
    pub fn is_told(&self, now: BootTime) -> bool {
        self.share.is_some_and(|share| share.read_at + SHARE_VALIDITY > now)
    }

    /// Returns the parts that are lent at `now`.
    #[must_use]
    pub fn lent_parts(&self, now: BootTime) -> u32 {
        self.loans.owed(now)
    }

    /// Returns the parts that this node may spend by itself at `now`: all or none.
    ///
    /// It may not if any node asked for its share within the last lease time, also if that node was lent nothing.
    #[must_use]
    pub fn unlent_parts(&self, now: BootTime) -> u32 {
        let is_free = now >= self.lends_from && self.borrower(now).is_none();
        if is_free { self.usable_parts(now) } else { 0 }
    }

    /// Returns the node that last asked for the share, if that was within the last lease time.
    #[must_use]
    pub fn borrower(&self, now: BootTime) -> Option<&Arc<str>> {
        self.last_asker.as_ref().filter(|(_, until)| *until > now).map(|(node, _)| node)
    }

    /// Applies what `from` read of this node's share.
    pub fn confirm(&mut self, from: &str, statement: wire::ShareStatement) {
        let Some(sent_at) = self.sent.take(statement.echo, from) else {
            return;
        };
        let read_age = Duration::from_millis(statement.read_age_ms.into());
        let read_at = sent_at.saturating_sub(read_age);
        if self.share.is_some_and(|share| share.read_at > read_at) {
            return;
        }
        self.share = Some(ConfirmedShare { parts: statement.parts.min(ALL_PARTS), read_at });
    }

    /// Lends the share to `borrower`; `is_leader` says whether this node regards it as the leading node of the zone.
    pub fn lend(
        &mut self,
        borrower: &Borrower,
        is_leader: bool,
        echo: u64,
        now: BootTime,
    ) -> wire::ShareLoan {
        if is_leader {
            self.leader_asked_at = Some(now);
        }
        self.last_asker = Some((Arc::clone(&borrower.node), LoanBook::end_of_loan(now, SHARE_LEASE)));
        let parts = self.parts_for(borrower, is_leader, now);
        self.loans.lend(borrower, parts, now, SHARE_LEASE);
        wire::ShareLoan {
            echo,
            parts,
            duration_ms: to_millis(SHARE_LEASE),
            sequence: self.sent.record(&borrower.node, now),
            confirmed: self.share.is_some_and(|share| share.read_at + LATE_CONFIRMATION > now),
        }
    }

    /// Returns the node to query and the query, if one is due.
    pub fn due_query<'a, I>(&mut self, leaders: I, now: BootTime) -> Option<(Arc<str>, wire::ShareQuery)>
    where
        I: Iterator<Item = &'a Arc<str>>,
    {
        self.sent.expire(now);
        let is_confirmed = self.share.is_some_and(|share| share.read_at + LATE_CONFIRMATION > now);
        if is_confirmed || now < self.next_query_at {
            return None;
        }
        self.next_query_at = now + if self.share.is_some() { QUERY_INTERVAL } else { FIRST_QUERY_INTERVAL };
        self.query_count = self.query_count.wrapping_add(1);
        let leaders: Vec<&Arc<str>> = leaders.collect();
        let leader = leaders.get(self.query_count.checked_rem(leaders.len())?)?;
        let query = wire::ShareQuery { sequence: self.sent.record(leader, now) };
        Some((Arc::clone(leader), query))
    }

    fn parts_for(&self, borrower: &Borrower, is_leader: bool, now: BootTime) -> u32 {
        let leader_asks = self.leader_asked_at.is_some_and(|asked_at| asked_at + SHARE_LEASE > now);
        if now < self.lends_from || (leader_asks && !is_leader) {
            return 0;
        }
        self.usable_parts(now).saturating_sub(self.loans.owed_to_others(borrower, now))
    }
}
