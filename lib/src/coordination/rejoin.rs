//! Finds the fleet at the start of a node, and reconnects the parts of a partitioned fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::fleet_view::Action;
use crate::coordination::fleet_view::FleetView;
use crate::coordination::fleet_view::send;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Initial time between join attempts of a node that knows no other live node.
pub(super) const INITIAL_JOIN_DELAY: Duration = Duration::from_millis(250);

impl<R> FleetView<R>
where
    R: Rng,
{
    /// Returns whether the address of another node to join through is known.
    pub fn has_contacts(&self) -> bool {
        let local_addr = self.membership.local_member().peer_addr;
        self.contacts.iter().any(|contact| *contact != local_addr)
    }

    /// Adds addresses to join through, as found in the platform, and tries new ones at the next tick.
    pub fn add_contacts<I>(&mut self, addrs: I)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        let known = self.contacts.len();
        for addr in addrs {
            if !self.contacts.contains(&addr) {
                self.contacts.push(addr);
            }
        }
        if self.contacts.len() > known {
            self.timers.join_delay = INITIAL_JOIN_DELAY;
            self.timers.next_rejoin = self.timers.last_tick;
        }
    }

    /// Replaces the contacts in the own zone, as found in the platform.
    pub fn set_zone_contacts(&mut self, addrs: Vec<SocketAddr>) {
        self.add_contacts(addrs.iter().copied());
        self.zone_contacts = addrs;
    }

    /// Contacts seed addresses and dead members, so that the parts of a partitioned fleet reconnect.
    ///
    /// A node without live peers tries seeds with exponential backoff up to the regular interval, those
    /// of its own zone first.
    pub(super) fn contact_lost_members(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.timers.next_rejoin {
            return;
        }
        let local_addr = self.membership.local_member().peer_addr;
        let alone = self.membership.live_count() == 1;
        if alone {
            self.timers.next_rejoin = now + self.jittered(self.timers.join_delay);
            let max_delay = Duration::from_millis(self.settings.rejoin_interval_ms);
            self.timers.join_delay = (self.timers.join_delay * 2).min(max_delay);
            self.zone_contacts.retain(|contact| *contact != local_addr);
            let anywhere = self.contacts.iter().filter(|contact| **contact != local_addr);
            let contact = self.zone_contacts.pop().or_else(|| anywhere.choose(&mut self.rng).copied());
            if let Some(peer) = contact {
                actions.push(Action::Exchange { peer, compare: true, wanted_services: Vec::new() });
            }
        } else {
            self.timers.join_delay = INITIAL_JOIN_DELAY;
            self.timers.next_rejoin =
                now + self.jittered(Duration::from_millis(self.settings.rejoin_interval_ms));
        }
        let sequence = self.probes.next_sequence();
        if let Some(dead) = self.random_dead_member() {
            let ping = self.ping(&dead, sequence);
            actions.push(send(dead.peer_addr, ping));
        }
        if let Some(contact) = self.random_unknown_contact().filter(|_| !alone) {
            let ping = self.datagram(wire::DatagramKind::Ping, sequence);
            actions.push(send(contact, ping));
        }
    }

    /// Returns a random dead member.
    fn random_dead_member(&mut self) -> Option<Arc<Member>> {
        let others = self.membership.other_members().values().map(|known| &known.member);
        others.filter(|member| member.state == MemberState::Dead).choose(&mut self.rng).map(Arc::clone)
    }

    /// Returns a random seed address at which no live member is known.
    fn random_unknown_contact(&mut self) -> Option<SocketAddr> {
        let membership = &self.membership;
        let is_live = |addr: &SocketAddr| {
            membership.members().any(|member| member.peer_addr == *addr && member.state != MemberState::Dead)
        };
        self.contacts.iter().filter(|contact| !is_live(contact)).choose(&mut self.rng).copied()
    }
}
