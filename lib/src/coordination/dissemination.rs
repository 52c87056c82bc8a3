//! Dissemination of updates of a [`FleetView`]: the targets of gossip, its size and its traffic between zones.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::seq::IteratorRandom;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::fleet_view::Action;
use crate::coordination::fleet_view::FleetView;
use crate::coordination::fleet_view::send;
use crate::coordination::gossip_queue::CONFIG_REVISION_BASE_BYTES;
use crate::coordination::gossip_queue::GossipScope;
use crate::coordination::gossip_queue::GossipSpace;
use crate::coordination::platform_role::role_of;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Nodes to which gossip is sent in one round.
const GOSSIP_FANOUT: usize = 3;

/// One in this many gossip targets of a relay, on average, is in another zone.
const CROSS_ZONE_GOSSIP_ONE_IN: u32 = 4;

/// The same for any node while an update must reach every node soon.
const FAST_CROSS_ZONE_GOSSIP_ONE_IN: u32 = 2;

/// Maximum size of gossip in one datagram, in bytes; header and authentication tag fit in the rest of 1,400.
pub(super) const MAX_GOSSIP_BYTES: usize = 1_100;

/// Maximum unused gossip allowance that accumulates, in seconds at the permitted rate.
pub(super) const GOSSIP_BURST_SECONDS: f64 = 30.0;

impl<R> FleetView<R>
where
    R: Rng,
{
    pub(super) fn send_gossip(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.timers.next_gossip || self.gossip_queue.is_empty() {
            return;
        }
        self.timers.next_gossip = now + Duration::from_millis(self.settings.interval_ms);
        for member in self.gossip_targets() {
            let mut gossip = self.datagram(wire::DatagramKind::Gossip, 0);
            self.add_gossip(&mut gossip, Some(&member));
            if gossip.members.is_empty() && gossip.revisions.is_empty() {
                continue;
            }
            actions.push(send(member.peer_addr, gossip));
        }
    }

    /// Selects gossip targets: any live nodes for urgent updates, otherwise mostly nodes in the own zone.
    ///
    /// Traffic between zones is expensive, and each record is sent many times. Ordinary updates therefore leave a
    /// zone only through its relays.
    fn gossip_targets(&mut self) -> Vec<Arc<Member>> {
        let one_cross_zone_in = match (self.gossip_queue.needs_fast_spread(), self.is_relay()) {
            (true, _) => Some(FAST_CROSS_ZONE_GOSSIP_ONE_IN),
            (false, true) => Some(CROSS_ZONE_GOSSIP_ONE_IN),
            (false, false) => None,
        };
        let local_member = Arc::clone(self.membership.local_member());
        let mut targets = Vec::with_capacity(GOSSIP_FANOUT);
        for _ in 0..GOSSIP_FANOUT {
            let cross_zone = one_cross_zone_in.is_some_and(|one_in| self.rng.random_range(0..one_in) == 0);
            let live = self.membership.other_members().values().map(|known| &known.member);
            let candidates = live.filter(|member| {
                member.state != MemberState::Dead
                    && member.shares_zone_with(&local_member) != cross_zone
                    && !targets.contains(*member)
            });
            targets.extend(candidates.sample(&mut self.rng, 1).into_iter().map(Arc::clone));
        }
        if targets.is_empty() { self.random_live(GOSSIP_FANOUT, None) } else { targets }
    }

    /// Returns whether this node passes ordinary updates on to other zones.
    ///
    /// The nodes of a zone that watch the platform do so.
    pub(super) fn is_relay(&self) -> bool {
        role_of(self.membership.local_member(), self.membership.members()).watches_platform
    }

    /// Returns the updates that this node may send to a node with the given record, if it is known.
    fn gossip_scope(&self, receiver: Option<&Arc<Member>>) -> GossipScope {
        let is_in_zone =
            receiver.is_some_and(|receiver| receiver.shares_zone_with(self.membership.local_member()));
        if is_in_zone || self.is_relay() { GossipScope::All } else { GossipScope::FastSpreading }
    }

    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "sizes of datagrams are small and not negative"
    )]
    pub(super) fn add_gossip(&mut self, datagram: &mut wire::Datagram, receiver: Option<&Arc<Member>>) {
        let space = GossipSpace {
            total_bytes: MAX_GOSSIP_BYTES - revisions_bytes(&datagram.revisions).min(MAX_GOSSIP_BYTES),
            ordinary_bytes: self.gossip_allowance_bytes.max(0.0) as usize,
        };
        let scope = self.gossip_scope(receiver);
        let batch = self.gossip_queue.take(scope, space, self.membership.live_count());
        self.gossip_allowance_bytes -= batch.ordinary_bytes as f64;
        datagram.members.extend(batch.members.iter().map(|member| wire::Member::from(member.as_ref())));
        let revisions = batch.revisions.iter();
        datagram.revisions.extend(
            revisions.map(|(service, revision)| wire::Revision {
                service: service.to_string(),
                revision: *revision,
            }),
        );
    }

    pub(super) fn refill_allowance(&mut self, elapsed: Duration) {
        let rate = f64::from(self.settings.max_news_bytes_per_second);
        let max_allowance_bytes = rate * GOSSIP_BURST_SECONDS;
        self.gossip_allowance_bytes =
            elapsed.as_secs_f64().mul_add(rate, self.gossip_allowance_bytes).min(max_allowance_bytes);
    }
}

/// Returns the approximate size of revisions on the wire, in bytes.
pub(super) fn revisions_bytes(revisions: &[wire::Revision]) -> usize {
    revisions.iter().map(|revision| revision.service.len() + CONFIG_REVISION_BASE_BYTES).sum()
}
