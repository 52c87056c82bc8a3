//! Failure detection of a [`FleetView`]: direct and indirect probes, their answers, and suspicion.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;
use yuccatray_proto::peer_v1 as wire;

use crate::coordination::fleet_view::Action;
use crate::coordination::fleet_view::FleetView;
use crate::coordination::fleet_view::send;
use crate::log_event_limited;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;

/// Nodes requested to probe a member that did not answer a direct probe.
const INDIRECT_PROBE_COUNT: usize = 3;

impl<R> FleetView<R>
where
    R: Rng,
{
    pub(super) fn answer_ping(
        &mut self,
        from: SocketAddr,
        ping: &wire::Datagram,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut ack = self.datagram(wire::DatagramKind::Ack, ping.sequence);
        self.add_confirmation(&mut ack, ping, now);
        if let Some(sender) = self.membership.get(&ping.name).filter(|sender| needs_own_record(sender, ping))
        {
            ack.members.push(wire::Member::from(sender.as_ref()));
        }
        let receiver = self.membership.get(&ping.name).map(Arc::clone);
        self.add_gossip(&mut ack, receiver.as_ref());
        actions.push(send(from, ack));
    }

    pub(super) fn handle_ack(&mut self, ack: &wire::Datagram, actions: &mut Vec<Action>) {
        if let Some(relay) = self.probes.take_relayed_probe(ack.sequence) {
            let answer = self.datagram(wire::DatagramKind::Ack, relay.sequence);
            actions.push(send(relay.requester, answer));
        }
        let answered = self.probes.current().is_some_and(|probe| {
            let is_stale = *ack.name == *probe.target.name && ack.incarnation < probe.target.incarnation;
            probe.sequence == ack.sequence && !is_stale
        });
        if answered {
            self.probes.finish();
        }
        self.handle_confirmation(ack);
    }

    pub(super) fn relay_probe(
        &mut self,
        from: SocketAddr,
        request: &wire::Datagram,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Ok(addr) = request.target_addr.parse() else {
            return;
        };
        let sequence = self.probes.record_relayed_probe(from, request.sequence, now);
        let mut ping = self.datagram(wire::DatagramKind::Ping, sequence);
        ping.target.clone_from(&request.target);
        actions.push(send(addr, ping));
    }

    pub(super) fn drive_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.request_indirect_probes(now, actions);
        if now < self.timers.next_probe {
            return;
        }
        self.timers.next_probe = now + Duration::from_millis(self.settings.probe_interval_ms);
        if let Some(failed) = self.probes.expire()
            && let Some(suspect) = self.membership.suspect(&failed.target.name, now)
        {
            log_event_limited!(Info, "member suspected", member = &suspect.id.name);
            self.gossip_queue.push_member_update(suspect);
            actions.push(Action::MembersChanged);
        }
        let Some(target) = self.probes.begin(&self.membership, &mut self.rng, now) else {
            return;
        };
        let sequence = self.probes.current().map_or(0, |probe| probe.sequence);
        let ping = self.ping(&target, sequence);
        actions.push(send(target.peer_addr, ping));
    }

    fn request_indirect_probes(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let timeout = Duration::from_millis(self.settings.probe_timeout_ms);
        let Some(probe) = self.probes.current_mut() else {
            return;
        };
        if probe.indirect || now - probe.started < timeout {
            return;
        }
        probe.indirect = true;
        let name = Arc::clone(&probe.target.name);
        let sequence = probe.sequence;
        let Some(target) = self.membership.get(&name).map(Arc::clone) else {
            return;
        };
        for helper in self.random_live(INDIRECT_PROBE_COUNT, Some(&name)) {
            let mut request = self.datagram(wire::DatagramKind::PingRequest, sequence);
            request.target = name.to_string();
            request.target_addr = target.peer_addr.to_string();
            actions.push(send(helper.peer_addr, request));
        }
    }

    /// Returns a ping; unless the target counts as alive, it carries the target's record for it to refute.
    pub(super) fn ping(&mut self, target: &Member, sequence: u32) -> wire::Datagram {
        let mut ping = self.datagram(wire::DatagramKind::Ping, sequence);
        ping.target = target.id.name.to_string();
        if target.state != MemberState::Alive {
            ping.members.push(wire::Member::from(target));
        }
        let receiver = self.membership.get(&target.id.name).map(Arc::clone);
        self.add_gossip(&mut ping, receiver.as_ref());
        ping
    }
}

/// Returns whether the sender of a ping should receive the record held of it, which it may have to refute.
fn needs_own_record(held: &Member, ping: &wire::Datagram) -> bool {
    let has_later_incarnation = held.id.incarnation > ping.incarnation;
    let is_not_alive = held.state != MemberState::Alive && held.id.incarnation == ping.incarnation;
    has_later_incarnation || is_not_alive
}
