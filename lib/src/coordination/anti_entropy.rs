//! Anti-entropy: two nodes compare digests and exchange only the records that differ.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::fleet_view::Action;
use crate::coordination::fleet_view::FleetView;
use crate::coordination::membership::bucket_index;
use crate::protocol::member::MemberState;
use crate::protocol::published::Published;

/// Time in which gossip may resolve a digest mismatch before an exchange starts.
const MISMATCH_GRACE: Duration = Duration::from_secs(2);

/// The same for a peer in another zone, if a relay of this zone may resolve the mismatch at a lower cost.
const CROSS_ZONE_MISMATCH_GRACE: Duration = Duration::from_secs(20);

/// Mean time between two exchanges that a digest mismatch starts; jitter applies.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// Digests of a node's members and configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Digests {
    members: u64,
    config: u64,
}

/// Peer with different digests, and the time at which an exchange with it is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct Mismatch {
    peer: SocketAddr,
    theirs: Digests,
    due: Instant,
}

impl<R> FleetView<R>
where
    R: Rng,
{
    /// Returns the first request of an exchange; with `compare`, it carries this node's digests.
    #[must_use]
    pub fn begin_exchange(&self, compare: bool, services: &[Arc<str>]) -> wire::ExchangeRequest {
        wire::ExchangeRequest {
            members: vec![wire::Member::from(self.membership.local_member().as_ref())],
            published: Vec::new(),
            member_buckets: if compare { self.membership.buckets().to_vec() } else { Vec::new() },
            config_digest: compare.then(|| self.config.digest()),
            wanted_services: services.iter().map(ToString::to_string).collect(),
        }
    }

    /// Merges the records in a request, and returns the reply and the resulting actions.
    pub fn answer_exchange(
        &mut self,
        request: &wire::ExchangeRequest,
        now: Instant,
    ) -> (wire::ExchangeReply, Vec<Action>) {
        let mut actions = Vec::new();
        let differing = self.differing_buckets(&request.member_buckets);
        self.merge_members(&request.members, now, &mut actions);
        self.apply_published(&request.published);
        let compared = request.config_digest.filter(|digest| *digest != self.config.digest());
        let reply = wire::ExchangeReply {
            members: self.members_in_buckets(&differing),
            published: self.publications_of(&request.wanted_services),
            revisions: compared.map(|_| self.revisions()).unwrap_or_default(),
            differing_buckets: differing,
        };
        (reply, actions)
    }

    /// Merges a reply, and returns a second request if the peer lacks records or has newer ones.
    pub fn finish_exchange(
        &mut self,
        reply: &wire::ExchangeReply,
        now: Instant,
    ) -> (Option<wire::ExchangeRequest>, Vec<Action>) {
        let mut actions = Vec::new();
        self.merge_members(&reply.members, now, &mut actions);
        let missing_members = self.members_missing_from(reply);
        self.apply_published(&reply.published);
        let newer_at_peer: Vec<wire::Revision> = reply
            .revisions
            .iter()
            .filter(|theirs| theirs.revision > self.revision(&theirs.service))
            .cloned()
            .collect();
        let publications = if reply.revisions.is_empty() {
            Vec::new()
        } else {
            self.publications_newer_than(&reply.revisions)
        };
        if missing_members.is_empty() && newer_at_peer.is_empty() && publications.is_empty() {
            return (None, actions);
        }
        let mut request = self.begin_exchange(false, &[]);
        request.members.extend(missing_members);
        request.published = publications;
        request.wanted_services = newer_at_peer.into_iter().map(|revision| revision.service).collect();
        (Some(request), actions)
    }

    /// Compares a peer's digests with this node's, and records a mismatch or clears the one of this peer.
    pub(super) fn compare_digests(
        &mut self,
        from: SocketAddr,
        datagram: &wire::Datagram,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let theirs = Digests { members: datagram.member_digest, config: datagram.config_digest };
        let mine = self.digests();
        let pending = self.timers.mismatch.as_ref();
        if theirs == mine {
            self.gossip_queue.record_digest_match(self.membership.live_count());
            if pending.is_some_and(|pending| pending.peer == from) {
                self.timers.mismatch = None;
            }
            return;
        }
        let sender = self.membership.get(&datagram.name);
        let is_unknown_sender = sender.is_none();
        let grace = match sender {
            Some(sender)
                if !self.is_relay()
                    && self.has_live_member_in_zone()
                    && !sender.shares_zone_with(self.membership.local_member()) =>
            {
                CROSS_ZONE_MISMATCH_GRACE
            }
            _ => MISMATCH_GRACE,
        };
        if pending.is_none() || is_unknown_sender {
            let due = if is_unknown_sender { now } else { now + grace };
            self.timers.mismatch = Some(Mismatch { peer: from, theirs, due });
        }
        self.resolve_mismatch(now, actions);
    }

    /// Returns whether this node's zone has another live member.
    fn has_live_member_in_zone(&self) -> bool {
        let local_member = self.membership.local_member();
        let mut others = self.membership.other_members().values().map(|known| &known.member);
        others.any(|member| member.state != MemberState::Dead && member.shares_zone_with(local_member))
    }

    /// Starts the exchange for a recorded mismatch when it is due, unless gossip has resolved it.
    pub(super) fn resolve_mismatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mine = self.digests();
        let timers = &mut self.timers;
        let Some(mismatch) =
            timers.mismatch.take_if(|mismatch| mismatch.due <= now && timers.next_exchange <= now)
        else {
            return;
        };
        if mismatch.theirs == mine {
            return;
        }
        self.timers.next_exchange = now + self.jittered(EXCHANGE_INTERVAL);
        actions.push(Action::Exchange { peer: mismatch.peer, compare: true, wanted_services: Vec::new() });
    }

    fn digests(&self) -> Digests {
        Digests { members: self.membership.digest(), config: self.config.digest() }
    }

    /// Returns the applied revision of every service, in wire format.
    #[must_use]
    pub fn revisions(&self) -> Vec<wire::Revision> {
        let snapshot = self.config.snapshot();
        let revisions = snapshot.values().map(|published| wire::Revision {
            service: published.service.to_string(),
            revision: published.revision,
        });
        revisions.collect()
    }

    fn revision(&self, service: &str) -> u64 {
        self.config.get(service).map_or(0, |held| held.revision)
    }

    fn differing_buckets(&self, theirs: &[u64]) -> Vec<u32> {
        let pairs = self.membership.buckets().iter().zip(theirs);
        let differing = (0..).zip(pairs).filter(|(_, (mine, theirs))| mine != theirs);
        differing.map(|(index, _)| index).collect()
    }

    fn members_in_buckets(&self, buckets: &[u32]) -> Vec<wire::Member> {
        let members = self.membership.members();
        let selected = members.filter(|member| is_in_buckets(buckets, &member.id.name));
        selected.map(|member| wire::Member::from(member.as_ref())).collect()
    }

    /// Returns the members of the differing buckets that the reply lacks or holds in an older form.
    fn members_missing_from(&self, reply: &wire::ExchangeReply) -> Vec<wire::Member> {
        let candidates = self.members_in_buckets(&reply.differing_buckets);
        let lacks = |mine: &wire::Member| !reply.members.iter().any(|theirs| theirs == mine);
        candidates.into_iter().filter(lacks).collect()
    }

    fn publications_of(&self, services: &[String]) -> Vec<wire::Published> {
        let publications = services.iter().filter_map(|service| self.config.get(service));
        publications.map(|published| to_wire(&published)).collect()
    }

    fn publications_newer_than(&self, theirs: &[wire::Revision]) -> Vec<wire::Published> {
        let revision_of = |service: &str| {
            let revision = theirs.iter().find(|revision| revision.service == service);
            revision.map_or(0, |revision| revision.revision)
        };
        let snapshot = self.config.snapshot();
        let newer = snapshot.values().filter(|held| held.revision > revision_of(&held.service));
        newer.map(|published| to_wire(published)).collect()
    }

    fn apply_published(&mut self, published: &[wire::Published]) {
        for publication in published {
            if publication.revision <= self.revision(&publication.service) {
                continue;
            }
            match serde_json::from_slice::<Published>(&publication.value) {
                Ok(received) => {
                    self.apply(received);
                }
                Err(error) => {
                    // The text of the error may quote a value of the publication, which may be an API key.
                    log::warn!(
                        "unreadable publication; service={} error={:?} column={}",
                        publication.service,
                        error.classify(),
                        error.column()
                    );
                }
            }
        }
    }
}

fn is_in_buckets(buckets: &[u32], name: &str) -> bool {
    u32::try_from(bucket_index(name)).is_ok_and(|bucket| buckets.binary_search(&bucket).is_ok())
}

fn to_wire(published: &Published) -> wire::Published {
    wire::Published {
        service: published.service.to_string(),
        revision: published.revision,
        value: serde_json::to_vec(published).unwrap_or_default(),
    }
}
