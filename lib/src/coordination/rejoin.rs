//! Finds the fleet at the start of a node, and reconnects the parts of a partitioned fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IteratorRandom;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::fleet_view::Action;
use crate::coordination::fleet_view::FIRST_JOIN_PAUSE;
use crate::coordination::fleet_view::FleetView;
use crate::coordination::fleet_view::send;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

impl<R> FleetView<R>
where
    R: Rng,
{
    /// Contacts seed addresses and dead members, so that the parts of a partitioned fleet reconnect.
    ///
    /// A node without live peers tries seeds with exponential backoff up to the regular interval.
    pub(super) fn rejoin(&mut self, now: Instant, actions: &mut Vec<Action>) {
        if now < self.timers.rejoin {
            return;
        }
        let me = self.membership.me().peer_addr;
        let alone = self.membership.live_count() == 1;
        if alone {
            self.timers.rejoin = now + self.jittered(self.timers.join_pause);
            let max_pause = Duration::from_millis(self.settings.rejoin_interval_ms);
            self.timers.join_pause = (self.timers.join_pause * 2).min(max_pause);
            let contact = self.contacts.iter().filter(|contact| **contact != me).choose(&mut self.rng);
            if let Some(contact) = contact {
                actions.push(Action::Exchange { with: *contact, compare: true, wanted: Vec::new() });
            }
        } else {
            self.timers.join_pause = FIRST_JOIN_PAUSE;
            self.timers.rejoin = now + self.jittered(Duration::from_millis(self.settings.rejoin_interval_ms));
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
        let others = self.membership.others().values().map(|known| &known.member);
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
