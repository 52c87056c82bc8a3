//! Exchanges in which two nodes compare digests and pass on only what differs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::fleet_view::Action;
use crate::coordination::fleet_view::FleetView;
use crate::coordination::membership::bucket;
use crate::protocol::member::MemberState;
use crate::protocol::published::Published;

/// Time that differing digests get to agree by news alone.
const MISMATCH_PATIENCE: Duration = Duration::from_secs(2);

/// The same for a peer in another zone, while members of the own zone may settle it for less.
const ACROSS_MISMATCH_PATIENCE: Duration = Duration::from_secs(6);

/// Time between two exchanges for differing digests.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// What a node holds, in short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Digests {
    members: u64,
    config: u64,
}

/// A peer that holds something else, and when to exchange with it.
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
    /// The first request of an exchange.
    #[must_use]
    pub fn begin_exchange(&self, compare: bool, wanted: &[Arc<str>]) -> wire::ExchangeRequest {
        wire::ExchangeRequest {
            members: vec![wire::Member::from(self.membership.me().as_ref())],
            published: Vec::new(),
            member_buckets: if compare { self.membership.buckets().to_vec() } else { Vec::new() },
            config_digest: compare.then(|| self.config.digest()),
            wanted_services: wanted.iter().map(ToString::to_string).collect(),
        }
    }

    /// Answers a request and takes in what it brought.
    pub fn answer_exchange(
        &mut self,
        request: &wire::ExchangeRequest,
        now: Instant,
    ) -> (wire::ExchangeReply, Vec<Action>) {
        let mut actions = Vec::new();
        let differing = self.differing_buckets(&request.member_buckets);
        self.take_members(&request.members, now, &mut actions);
        self.take_published(&request.published);
        let compared = request.config_digest.filter(|digest| *digest != self.config.digest());
        let reply = wire::ExchangeReply {
            members: self.members_in(&differing),
            published: self.published_of(&request.wanted_services),
            revisions: compared.map(|_| self.revisions()).unwrap_or_default(),
            differing_buckets: differing,
        };
        (reply, actions)
    }

    /// Takes in a reply; the second request when the peer lacks something or has more.
    pub fn finish_exchange(
        &mut self,
        reply: &wire::ExchangeReply,
        now: Instant,
    ) -> (Option<wire::ExchangeRequest>, Vec<Action>) {
        let mut actions = Vec::new();
        self.take_members(&reply.members, now, &mut actions);
        let better = self.members_better_than(reply);
        self.take_published(&reply.published);
        let newer: Vec<wire::Revision> = reply
            .revisions
            .iter()
            .filter(|said| said.revision > self.revision(&said.service))
            .cloned()
            .collect();
        let push = if reply.revisions.is_empty() { Vec::new() } else { self.newer_than(&reply.revisions) };
        if better.is_empty() && newer.is_empty() && push.is_empty() {
            return (None, actions);
        }
        let mut request = self.begin_exchange(false, &[]);
        request.members.extend(better);
        request.published = push;
        request.wanted_services = newer.into_iter().map(|said| said.service).collect();
        (Some(request), actions)
    }

    /// Notes a peer that holds something else, or that no longer does.
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
            self.news.note_agreement(self.membership.live_count());
            if pending.is_some_and(|pending| pending.peer == from) {
                self.timers.mismatch = None;
            }
            return;
        }
        let sender = self.membership.get(&datagram.name);
        let stranger = sender.is_none();
        let patience = match sender {
            Some(sender)
                if self.shares_zone_with_others() && !sender.shares_zone_with(self.membership.me()) =>
            {
                ACROSS_MISMATCH_PATIENCE
            }
            _ => MISMATCH_PATIENCE,
        };
        if pending.is_none() || stranger {
            let due = if stranger { now } else { now + patience };
            self.timers.mismatch = Some(Mismatch { peer: from, theirs, due });
        }
        self.settle_mismatch(now, actions);
    }

    /// Whether a live member of the own zone is known besides this node.
    fn shares_zone_with_others(&self) -> bool {
        let me = self.membership.me();
        let mut others = self.membership.others().values().map(|known| &known.member);
        others.any(|member| member.state != MemberState::Dead && member.shares_zone_with(me))
    }

    /// Exchanges with a peer whose digests differed, unless news has made them agree meanwhile.
    pub(super) fn settle_mismatch(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mine = self.digests();
        let timers = &mut self.timers;
        let Some(mismatch) =
            timers.mismatch.take_if(|mismatch| mismatch.due <= now && timers.exchange <= now)
        else {
            return;
        };
        if mismatch.theirs == mine {
            return;
        }
        self.timers.exchange = now + self.jittered(EXCHANGE_INTERVAL);
        actions.push(Action::Exchange { with: mismatch.peer, compare: true, wanted: Vec::new() });
    }

    fn digests(&self) -> Digests {
        Digests { members: self.membership.digest(), config: self.config.digest() }
    }

    /// Every revision held, in the form that travels.
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

    fn members_in(&self, buckets: &[u32]) -> Vec<wire::Member> {
        let members = self.membership.members();
        let wanted = members.filter(|member| is_in(buckets, &member.id.name));
        wanted.map(|member| wire::Member::from(member.as_ref())).collect()
    }

    /// Members of the differing buckets that the peer, once its reply is taken in, knows less well.
    fn members_better_than(&self, reply: &wire::ExchangeReply) -> Vec<wire::Member> {
        let shown = self.members_in(&reply.differing_buckets);
        let lacks = |mine: &wire::Member| !reply.members.iter().any(|theirs| theirs == mine);
        shown.into_iter().filter(lacks).collect()
    }

    fn published_of(&self, services: &[String]) -> Vec<wire::Published> {
        let held = services.iter().filter_map(|service| self.config.get(service));
        held.map(|published| to_wire(&published)).collect()
    }

    fn newer_than(&self, theirs: &[wire::Revision]) -> Vec<wire::Published> {
        let revision_of = |service: &str| {
            let said = theirs.iter().find(|said| said.service == service);
            said.map_or(0, |said| said.revision)
        };
        let snapshot = self.config.snapshot();
        let newer = snapshot.values().filter(|held| held.revision > revision_of(&held.service));
        newer.map(|published| to_wire(published)).collect()
    }

    fn take_published(&mut self, published: &[wire::Published]) {
        for publication in published {
            if publication.revision <= self.revision(&publication.service) {
                continue;
            }
            match serde_json::from_slice::<Published>(&publication.value) {
                Ok(read) => {
                    self.apply(read);
                }
                Err(error) => {
                    log::warn!("unreadable publication; service={} error={error}", publication.service);
                }
            }
        }
    }
}

fn is_in(buckets: &[u32], name: &str) -> bool {
    u32::try_from(bucket(name)).is_ok_and(|bucket| buckets.binary_search(&bucket).is_ok())
}

fn to_wire(published: &Published) -> wire::Published {
    wire::Published {
        service: published.service.to_string(),
        revision: published.revision,
        value: serde_json::to_vec(published).unwrap_or_default(),
    }
}
