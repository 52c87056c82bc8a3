//! Confirmations: how a node that relies on others knows that its configuration is the platform's latest.
//!
//! A node that reads current data from the platform confirms its own configuration. The other nodes of its zone ping
//! it regularly, and an acknowledgement with an equal configuration digest states the age of the confirmation. The age
//! is added to the time since the ping was sent, so that no delay on the way makes a confirmation look younger.
//!
//! A confirmation stays valid when a node applies a newer configuration.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::Rng;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::dissemination::MAX_GOSSIP_BYTES;
use crate::coordination::dissemination::revisions_bytes;
use crate::coordination::fleet_view::Action;
use crate::coordination::fleet_view::FleetView;
use crate::coordination::fleet_view::send;
use crate::coordination::platform_role::confirmation_sources;
use crate::protocol::member::Member;

/// Interval between two rounds in which a node asks for a confirmation.
const ROUND_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which an unanswered request of a round is repeated at the next source; none after a silent one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Maximum size of the revisions that an acknowledgement lists for a node with other configurations, in bytes.
const MAX_REPAIR_BYTES: usize = MAX_GOSSIP_BYTES / 2;

/// Confirmations of one node's configuration, and its requests for them.
#[derive(Debug)]
pub struct ConfigConfirmation {
    /// Age at which a confirmation by another node no longer counts.
    max_age: Duration,
    /// Latest time at which this node's own reads showed that its configuration was the latest.
    read_at: Option<Instant>,
    /// The same as told by another node.
    told_at: Option<Instant>,
    round: Round,
    /// Number of nodes that this node may ask: none if it confirms itself, one if it stands in for that one.
    source_count: usize,
    /// Name of the node that is asked first.
    first_source: Option<Arc<str>>,
    /// Whether the first source left a request unanswered and has not answered since.
    first_source_silent: bool,
    /// Requests that may still be answered, by sequence number, with the time at which each was sent.
    sent: IndexMap<u32, Instant>,
}

/// A series of requests to one source after the other, until one confirms the configuration.
#[derive(Debug)]
struct Round {
    /// Start of the next round.
    next_start: Instant,
    /// Time of the last request.
    asked_at: Instant,
    /// Index of the source last asked.
    source: usize,
    confirmed: bool,
}

impl ConfigConfirmation {
    /// Creates the state of a node whose configuration is not confirmed yet.
    #[must_use]
    pub fn new(max_age: Duration, now: Instant) -> Self {
        let round = Round { next_start: now, asked_at: now, source: 0, confirmed: false };
        Self {
            max_age,
            read_at: None,
            told_at: None,
            round,
            source_count: usize::MAX,
            first_source: None,
            first_source_silent: false,
            sent: IndexMap::new(),
        }
    }

    /// Records that this node has read the latest configuration, which was current at `current_at`.
    pub fn record_read(&mut self, current_at: Instant) {
        self.read_at = self.read_at.max(Some(current_at));
    }

    /// Returns the age of the latest confirmation in milliseconds, rounded up.
    #[must_use]
    pub fn age_ms(&self, now: Instant) -> Option<u32> {
        let confirmed_at = self.read_at.max(self.told_at)?;
        let age_us = now.saturating_duration_since(confirmed_at).as_micros();
        Some(u32::try_from(age_us.div_ceil(1_000)).unwrap_or(u32::MAX))
    }

    /// Returns whether the node relies on others and may lack a recent confirmation by one.
    ///
    /// A node that stands in for its only source does so as soon as that one leaves a request unanswered.
    #[must_use]
    pub fn is_missing(&self, now: Instant) -> bool {
        match self.source_count {
            0 => false,
            1 => self.first_source_silent || self.is_overdue(now),
            _ => self.is_overdue(now),
        }
    }

    fn is_overdue(&self, now: Instant) -> bool {
        self.told_at.is_none_or(|told_at| now.saturating_duration_since(told_at) >= self.max_age)
    }

    /// Returns whether a request is due; [`Self::source`] selects whom to ask.
    pub fn begin_request(&mut self, now: Instant) -> bool {
        let round = &mut self.round;
        if now >= round.next_start {
            *round = Round { next_start: now + ROUND_INTERVAL, asked_at: now, source: 0, confirmed: false };
            return true;
        }
        let timeout = if self.first_source_silent { Duration::ZERO } else { ANSWER_TIMEOUT };
        if round.confirmed || now < round.asked_at + timeout {
            return false;
        }
        if round.source == 0 {
            self.first_source_silent = true;
        }
        round.source += 1;
        round.asked_at = now;
        true
    }

    /// Returns which of `sources` to ask, and records whom this node relies on.
    pub fn source(&mut self, sources: &[&Arc<Member>]) -> Option<Arc<Member>> {
        self.source_count = sources.len();
        let first_source = sources.first().map(|source| Arc::clone(&source.id.name));
        if first_source != self.first_source {
            self.first_source = first_source;
            self.first_source_silent = false;
        }
        sources.get(self.round.source).map(|source| Arc::clone(source))
    }

    /// Records that a request with this sequence number was sent.
    pub fn record_request(&mut self, sequence: u32, now: Instant) {
        let max_age = self.max_age;
        self.sent.retain(|_, sent_at| now.saturating_duration_since(*sent_at) < max_age);
        self.sent.insert(sequence, now);
    }

    /// Records the answer to the request with this sequence number.
    ///
    /// `age` is that of the confirmation when the answer was sent, or `None` if the source has none or holds
    /// another configuration. Answers to other requests are ignored.
    pub fn record_answer(&mut self, sequence: u32, age: Option<Duration>) {
        let Some(sent_at) = self.sent.swap_remove(&sequence) else {
            return;
        };
        self.first_source_silent = false;
        let Some(age) = age else {
            return;
        };
        self.told_at = self.told_at.max(sent_at.checked_sub(age));
        self.round.confirmed = age + ROUND_INTERVAL < self.max_age;
    }
}

impl<R> FleetView<R>
where
    R: Rng,
{
    /// Makes the node ask others to confirm its configuration, and do without those older than `max_age`.
    #[must_use]
    pub fn with_confirmations(mut self, max_age: Duration, now: Instant) -> Self {
        self.confirmation = Some(ConfigConfirmation::new(max_age, now));
        self
    }

    /// Returns whether this node has to read configurations from the platform itself.
    ///
    /// Other nodes normally tell it of new ones. They may not do so while it is alone, if none has confirmed its
    /// configuration recently, or if a revision that it has heard of did not arrive in time.
    pub fn may_miss_configurations(&self, now: Instant) -> bool {
        let is_overdue = |(service, (revision, until)): (&Arc<str>, &(u64, Instant))| {
            *until <= now && self.config.get(service).is_none_or(|held| held.revision < *revision)
        };
        self.membership.live_count() == 1
            || self.confirmation.as_ref().is_some_and(|confirmation| confirmation.is_missing(now))
            || self.pending_requests.iter().any(is_overdue)
    }

    /// Records that this node has read the latest configurations from the platform, as of `current_at`.
    pub fn confirm_configurations(&mut self, current_at: Instant) {
        if let Some(confirmation) = &mut self.confirmation {
            confirmation.record_read(current_at);
        }
    }

    /// Returns the age of the latest confirmation of this node's configuration in milliseconds, if there is one.
    pub fn config_age_ms(&self, now: Instant) -> Option<u32> {
        self.confirmation.as_ref().and_then(|confirmation| confirmation.age_ms(now))
    }

    /// Asks a node that reads the platform whether the configuration held here is the latest, if that is due.
    pub(super) fn request_confirmation(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let Some(confirmation) = &mut self.confirmation else {
            return;
        };
        if !confirmation.begin_request(now) {
            return;
        }
        let sources = confirmation_sources(self.membership.local_member(), self.membership.members());
        let Some(source) = confirmation.source(&sources) else {
            return;
        };
        let sequence = self.probes.next_sequence();
        confirmation.record_request(sequence, now);
        let mut ping = self.datagram(wire::DatagramKind::Ping, sequence);
        ping.target = source.id.name.to_string();
        actions.push(send(source.peer_addr, ping));
    }

    /// Records what an acknowledgement says of the configuration, which counts only if this node holds the same.
    pub(super) fn handle_confirmation(&mut self, ack: &wire::Datagram) {
        let is_equal = ack.config_digest == self.config.digest();
        let age_ms = ack.config_age_ms.filter(|_| is_equal);
        if let Some(confirmation) = &mut self.confirmation {
            confirmation
                .record_answer(ack.sequence, age_ms.map(|age_ms| Duration::from_millis(age_ms.into())));
        }
    }

    /// Adds to an acknowledgement how recently this node's configuration was confirmed, and what the peer may lack.
    pub(super) fn add_confirmation(&self, ack: &mut wire::Datagram, ping: &wire::Datagram, now: Instant) {
        ack.config_age_ms = self.config_age_ms(now);
        if ping.config_digest != ack.config_digest {
            ack.revisions = self.revisions_if_small();
        }
    }

    /// Returns all applied revisions if they fit in a datagram, or else none; an exchange has to repair the rest.
    fn revisions_if_small(&self) -> Vec<wire::Revision> {
        let revisions = self.revisions();
        if revisions_bytes(&revisions) <= MAX_REPAIR_BYTES { revisions } else { Vec::new() }
    }
}
