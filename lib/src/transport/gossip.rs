//! Spreading members and configuration from node to node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::RngExt;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use yuccatray_proto::peer_v1 as wire;
use yuccatray_proto::peer_v1::peer_client::PeerClient;

use crate::coordination::membership::Membership;
use crate::protocol::member::Member;
use crate::protocol::member::MemberState;
use crate::protocol::member::UpstreamInfo;
use crate::protocol::member::member_from_wire;
use crate::state::config_table::ConfigTable;
use crate::state::directory::Directory;
use crate::transport::peer_channel::ControlChannels;
use crate::transport::peer_channel::ControlClient;

/// Spreads what one node knows and takes in what the others know.
#[derive(Debug)]
pub struct Gossip {
    membership: Mutex<Membership>,
    config: Arc<ConfigTable>,
    directory: Arc<Directory>,
    channels: Arc<ControlChannels>,
    seeds: Vec<SocketAddr>,
    interval: Duration,
}

impl Gossip {
    /// Gossip over the given state; nothing runs yet.
    #[must_use]
    pub fn new(
        membership: Membership,
        config: Arc<ConfigTable>,
        directory: Arc<Directory>,
        seeds: Vec<SocketAddr>,
        interval: Duration,
    ) -> Self {
        let gossip = Self {
            membership: Mutex::new(membership),
            config,
            directory,
            channels: Arc::new(ControlChannels::default()),
            seeds,
            interval,
        };
        gossip.publish_directory();
        gossip
    }

    /// The node's own description.
    #[must_use]
    pub fn me(&self) -> Arc<Member> {
        self.membership.lock().me()
    }

    /// Channels for control messages.
    #[must_use]
    pub const fn channels(&self) -> &Arc<ControlChannels> {
        &self.channels
    }

    /// The node's upstream announced itself, changed or went.
    pub fn set_upstream(&self, upstream: Option<UpstreamInfo>) {
        let changed = self.membership.lock().set_upstream(upstream);
        if changed {
            self.publish_directory();
        }
    }

    /// Tells every known peer that this node stops.
    pub async fn leave(self: &Arc<Self>) {
        self.membership.lock().leave();
        self.publish_directory();
        let told = self.peers().into_iter().map(|peer| self.exchange(peer));
        let _results = futures_util::future::join_all(told).await;
    }

    /// Runs rounds until told to stop.
    pub async fn run(self: Arc<Self>, stop: CancellationToken) {
        let mut ticks = tokio::time::interval(self.interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = ticks.tick() => self.round().await,
            }
        }
    }

    async fn round(&self) {
        let changed = {
            let mut membership = self.membership.lock();
            let changed = membership.beat(self.config.digest());
            membership.tick(Instant::now()) | changed
        };
        if changed {
            self.publish_directory();
        }
        let peers = self.peers();
        if !peers.is_empty() {
            let index = rand::rng().random_range(0..peers.len());
            self.exchange(peers[index]).await;
        }
    }

    async fn exchange(&self, peer: SocketAddr) {
        let mut client = PeerClient::new(ControlClient::new(self.channels.get(peer)));
        let request =
            wire::ExchangeRequest { members: self.wire_members(), published: self.wire_published() };
        match tokio::time::timeout(self.interval * 5, client.exchange(request)).await {
            Ok(Ok(reply)) => {
                let reply = reply.into_inner();
                self.take_in(&reply.members, &reply.published);
            }
            Ok(Err(status)) => log::debug!("exchange failed; peer={peer} error={}", status.message()),
            Err(_) => log::debug!("exchange timed out; peer={peer}"),
        }
    }

    /// Takes in what a peer said.
    pub fn take_in(&self, members: &[wire::Member], published: &[wire::Published]) {
        let now = Instant::now();
        let changed = {
            let mut membership = self.membership.lock();
            let merged =
                members.iter().filter_map(member_from_wire).map(|member| membership.merge(member, now));
            merged.fold(false, |any, changed| any | changed)
        };
        if changed {
            self.publish_directory();
        }
        for publication in published {
            self.take_publication(publication);
        }
    }

    fn take_publication(&self, publication: &wire::Published) {
        let held = self.config.get(&publication.service);
        if held.is_some_and(|held| held.revision >= publication.revision) {
            return;
        }
        match serde_json::from_slice(&publication.value) {
            Ok(read) => {
                self.config.apply(read);
            }
            Err(error) => log::warn!("unreadable publication; service={} error={error}", publication.service),
        }
    }

    /// The members in the form that travels.
    #[must_use]
    pub fn wire_members(&self) -> Vec<wire::Member> {
        let members = self.membership.lock().members();
        members.iter().map(|member| wire::Member::from(member.as_ref())).collect()
    }

    /// The configuration in the form that travels.
    #[must_use]
    pub fn wire_published(&self) -> Vec<wire::Published> {
        let snapshot = self.config.snapshot();
        let publications = snapshot.values().map(|published| wire::Published {
            service: published.service.to_string(),
            revision: published.revision,
            value: serde_json::to_vec(published.as_ref()).unwrap_or_default(),
        });
        publications.collect()
    }

    fn peers(&self) -> Vec<SocketAddr> {
        let membership = self.membership.lock();
        let me = membership.me();
        let known = membership.members();
        let alive = known
            .iter()
            .filter(|member| member.id != me.id && member.state != MemberState::Dead)
            .map(|member| member.peer_addr);
        let mut peers: Vec<SocketAddr> = alive.collect();
        let unknown_seeds = self.seeds.iter().filter(|seed| **seed != me.peer_addr && !peers.contains(seed));
        let unknown_seeds: Vec<SocketAddr> = unknown_seeds.copied().collect();
        peers.extend(unknown_seeds);
        peers
    }

    fn publish_directory(&self) {
        let members = self.membership.lock().members();
        self.directory.replace(members, Instant::now());
    }
}
