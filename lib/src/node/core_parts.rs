//! State and parts of a node that its servers and background tasks share.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::coordination::fleet_view::FleetView;
use crate::coordination::routing::RoutingPolicy;
use crate::log_event;
use crate::node::Result;
use crate::protocol::call_id::CallIdGenerator;
use crate::protocol::member::Member;
use crate::protocol::member::MemberId;
use crate::protocol::member::MemberState;
use crate::protocol::settings::DialectName;
use crate::protocol::settings::LimitSettings;
use crate::protocol::settings::Settings;
use crate::state::burn_counts::BurnCounts;
use crate::state::config_table::ConfigTable;
use crate::state::decision_log::DecisionLog;
use crate::state::directory::Directory;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::admin_server::AdminHandler;
use crate::transport::announce_server::UpstreamRegistration;
use crate::transport::boot_clock::SystemBootClock;
use crate::transport::cold_probe::ColdProbe;
use crate::transport::gate::Gate;
use crate::transport::gossip::Gossip;
use crate::transport::gossip::GossipDependencies;
use crate::transport::ingress::Ingress;
use crate::transport::ingress::IngressDependencies;
use crate::transport::ingress::SHUTDOWN_ANSWER_MARGIN;
use crate::transport::listeners::Listeners;
use crate::transport::listeners::NodeAddrs;
use crate::transport::load_probe::LoadProbe;
use crate::transport::peer_channel::CallChannels;
use crate::transport::peer_channel::ControlChannels;
use crate::transport::peer_security::PeerSecurity;
use crate::transport::peer_server::PeerHandler;
use crate::transport::quota_link::QuotaLink;
use crate::transport::quota_link::QuotaLinkDependencies;
use crate::transport::routes_watcher::max_confirmation_age;
use crate::transport::slowdown_probe::SlowdownProbe;
use crate::transport::zone_evacuator::ZoneEvacuator;

/// State and services shared by the servers and tasks of one node.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) local_member: Member,
    pub(super) addrs: NodeAddrs,
    pub(super) stopping: Arc<AtomicBool>,
    pub(super) shared: SharedParts,
    pub(super) burn: Arc<BurnCounts>,
    pub(super) decisions: Arc<DecisionLog>,
    pub(super) gate: Arc<Gate>,
    pub(super) gossip: Arc<Gossip>,
    pub(super) quotas: Arc<QuotaLink>,
    pub(super) registration: Arc<UpstreamRegistration>,
}

impl Core {
    pub(super) fn new<G>(
        settings: &Settings,
        listeners: &Listeners,
        security: Arc<PeerSecurity>,
        new_gate: G,
    ) -> Result<Self>
    where
        G: FnOnce(SharedMetrics) -> Gate,
    {
        let addrs = listeners.addrs()?;
        let socket = Arc::clone(&listeners.gossip);
        let local_member = new_local_member(settings, addrs);
        let shared = SharedParts {
            config: Arc::new(ConfigTable::new()),
            directory: Arc::new(Directory::default()),
            metrics: SharedMetrics::new(Metrics::default()),
            security,
        };
        let gate = new_gate(Arc::clone(&shared.metrics)).with_shedding(settings.overload.shedding);
        let gate = Arc::new(gate);
        let quotas = Arc::new(new_quota_link(&local_member, Arc::clone(&socket), &shared));
        let gossip = Arc::new(new_gossip(settings, &local_member, socket, &shared, Arc::clone(&quotas)));
        let registration =
            UpstreamRegistration::new(Arc::clone(&gate), Arc::clone(&gossip), Arc::clone(&shared.config));
        Ok(Self {
            local_member,
            addrs,
            stopping: Arc::default(),
            shared,
            burn: Arc::new(BurnCounts::new(Instant::now())),
            decisions: Arc::new(DecisionLog::new(Instant::now())),
            gate,
            gossip,
            quotas,
            registration: Arc::new(registration),
        })
    }

    pub(super) fn ingress<P>(&self, settings: &Settings, policy: P) -> Ingress<P>
    where
        P: RoutingPolicy + Send + Sync + 'static,
    {
        let dependencies = IngressDependencies {
            local_member: Arc::new(self.local_member.clone()),
            ids: CallIdGenerator::new(
                Arc::clone(&self.local_member.id.name),
                self.local_member.id.incarnation,
            ),
            directory: Arc::clone(&self.shared.directory),
            config: Arc::clone(&self.shared.config),
            gate: Arc::clone(&self.gate),
            channels: Arc::new(CallChannels::new(Arc::clone(&self.shared.security))),
            metrics: Arc::clone(&self.shared.metrics),
            quotas: Arc::clone(&self.quotas),
            burn: Arc::clone(&self.burn),
            decisions: Arc::clone(&self.decisions),
            policy,
            max_replay_bytes: settings.limits.max_replay_bytes,
            max_header_bytes: settings.limits.max_header_bytes,
        };
        Ingress::new(dependencies, max_slot_wait(&settings.limits))
    }

    pub(super) fn peer_handler(&self) -> PeerHandler {
        PeerHandler::new(
            Arc::clone(&self.gate),
            Arc::clone(&self.shared.config),
            Arc::clone(&self.gossip),
            Arc::clone(&self.decisions),
        )
    }

    pub(super) fn admin_handler(&self) -> AdminHandler {
        AdminHandler {
            local_member: self.local_member.clone(),
            directory: Arc::clone(&self.shared.directory),
            config: Arc::clone(&self.shared.config),
            gate: Arc::clone(&self.gate),
            registration: Arc::clone(&self.registration),
            stopping: Arc::clone(&self.stopping),
            metrics: Arc::clone(&self.shared.metrics),
            burn: Arc::clone(&self.burn),
            decisions: Arc::clone(&self.decisions),
        }
    }

    pub(super) fn load_probe(&self) -> LoadProbe {
        LoadProbe {
            local_member: Arc::new(self.local_member.clone()),
            gate: Arc::clone(&self.gate),
            directory: Arc::clone(&self.shared.directory),
            config: Arc::clone(&self.shared.config),
            metrics: Arc::clone(&self.shared.metrics),
        }
    }

    pub(super) fn slowdown_probe(&self) -> SlowdownProbe {
        SlowdownProbe {
            gate: Arc::clone(&self.gate),
            config: Arc::clone(&self.shared.config),
            metrics: Arc::clone(&self.shared.metrics),
        }
    }

    pub(super) fn cold_probe(&self) -> ColdProbe {
        ColdProbe {
            gate: Arc::clone(&self.gate),
            config: Arc::clone(&self.shared.config),
            metrics: Arc::clone(&self.shared.metrics),
        }
    }

    fn zone_evacuator(&self) -> ZoneEvacuator {
        ZoneEvacuator {
            zone: Arc::clone(&self.local_member.zone),
            gate: Arc::clone(&self.gate),
            config: Arc::clone(&self.shared.config),
            directory: Arc::clone(&self.shared.directory),
        }
    }

    pub(super) fn spawn_tasks(&self, stop: &CancellationToken) -> Vec<JoinHandle<()>> {
        vec![
            tokio::spawn(Arc::clone(&self.gossip).run(stop.clone())),
            tokio::spawn(Arc::clone(&self.quotas).run(stop.clone())),
            tokio::spawn(Arc::clone(&self.registration).run(stop.clone())),
            tokio::spawn(self.zone_evacuator().run(stop.clone())),
            tokio::spawn(Arc::clone(&self.shared.security).run(stop.clone())),
        ]
    }
}

/// Returns how long a call may wait for a slot, so that it is answered also if the node begins to stop meanwhile.
pub(super) fn max_slot_wait(limits: &LimitSettings) -> Duration {
    Duration::from_millis(limits.shutdown_timeout_ms).saturating_sub(SHUTDOWN_ANSWER_MARGIN)
}

pub(super) fn log_started(local_member: &Member, addrs: NodeAddrs) {
    log_event!(
        Info,
        "node started",
        node = &local_member.id.name,
        incarnation = format_args!("{:x}", local_member.id.incarnation),
        ingress = addrs.ingress,
        peer = addrs.peer,
        announce = addrs.announce,
        admin = addrs.admin,
    );
}

/// Returns the initial member record of this node.
fn new_local_member(settings: &Settings, addrs: NodeAddrs) -> Member {
    Member {
        id: MemberId { name: Arc::clone(&settings.node.name), incarnation: new_incarnation() },
        version: 1,
        state: MemberState::Alive,
        region: Arc::clone(&settings.node.region),
        zone: Arc::clone(&settings.node.zone),
        peer_addr: settings.listen.advertised_peer_addr.unwrap_or(addrs.peer),
        ingress_addr: addrs.ingress,
        admin_addr: addrs.admin,
        upstream: None,
    }
}

/// Returns the Unix time in microseconds, so that a later process of a node has a larger incarnation.
fn new_incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX)
}

/// Components that the gossip shares with the rest of the node.
#[derive(Debug)]
pub(super) struct SharedParts {
    pub(super) config: Arc<ConfigTable>,
    pub(super) directory: Arc<Directory>,
    pub(super) metrics: SharedMetrics,
    pub(super) security: Arc<PeerSecurity>,
}

fn new_gossip(
    settings: &Settings,
    local_member: &Member,
    socket: Arc<UdpSocket>,
    shared: &SharedParts,
    quotas: Arc<QuotaLink>,
) -> Gossip {
    let now = Instant::now();
    let view = FleetView::new(
        local_member.clone(),
        settings.gossip.clone(),
        settings.seeds.clone(),
        Arc::clone(&shared.config),
        Pcg64Mcg::from_rng(&mut rand::rng()),
        now,
    );
    let view = match settings.dialect {
        DialectName::Own => view,
        DialectName::Platform => view.with_confirmations(max_confirmation_age(&settings.platform), now),
    };
    Gossip::new(GossipDependencies {
        view,
        config: Arc::clone(&shared.config),
        directory: Arc::clone(&shared.directory),
        socket,
        channels: Arc::new(ControlChannels::new(Arc::clone(&shared.security))),
        security: Arc::clone(&shared.security),
        metrics: Arc::clone(&shared.metrics),
        quotas,
    })
}

fn new_quota_link(local_member: &Member, socket: Arc<UdpSocket>, shared: &SharedParts) -> QuotaLink {
    QuotaLink::new(QuotaLinkDependencies {
        local_id: local_member.id.clone(),
        clock: SystemBootClock,
        config: Arc::clone(&shared.config),
        directory: Arc::clone(&shared.directory),
        socket,
        security: Arc::clone(&shared.security),
        metrics: Arc::clone(&shared.metrics),
    })
}
