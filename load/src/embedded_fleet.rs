//! A fleet in one process: nodes, upstreams and a platform that communicate over loopback sockets.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::Instant;
use yuccatray::coordination::manifest::load_manifests;
use yuccatray::node::Node;
use yuccatray::node::NodeError;
use yuccatray::protocol::checked_json::JsonError;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::published::ServiceStatus;
use yuccatray::protocol::settings::DialectName;
use yuccatray::protocol::settings::GossipSettings;
use yuccatray::protocol::settings::LimitSettings;
use yuccatray::protocol::settings::ListenSettings;
use yuccatray::protocol::settings::LogSettings;
use yuccatray::protocol::settings::NodeSettings;
use yuccatray::protocol::settings::OverloadSettings;
use yuccatray::protocol::settings::PlatformSettings;
use yuccatray::protocol::settings::ProcessSettings;
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform::PlatformError;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;
use yuccatray_standin::upstream::RunningUpstream;
use yuccatray_standin::upstream::UpstreamStandin;

use crate::baselines::FleetPolicy;
use crate::baselines::GateRegistry;
use crate::deployment::Deployment;
use crate::deployment::ServiceLoad;
use crate::policy_variant::AdmissionVariant;
use crate::policy_variant::PolicyVariant;

/// Result of running a fleet.
pub type Result<T, E = FleetError> = std::result::Result<T, E>;

/// Timeout of a request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time until the platform reports a service as ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between reads of a service's status.
const READY_POLL: Duration = Duration::from_millis(50);

/// Reason why a fleet did not start, or why a result is missing.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum FleetError {
    /// A stand-in or relay can't listen on its address.
    #[snafu(display("a stand-in or relay cannot listen"))]
    Listen {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// A node did not start.
    #[snafu(display("a node did not start: {source}"), context(false))]
    StartNode {
        /// Error of the node.
        source: NodeError,
    },
    /// The file of a deployment, an experiment or objects is invalid.
    #[snafu(display("invalid file: {source}"), context(false))]
    Objects {
        /// Error in the file.
        source: JsonError,
    },
    /// The platform stand-in did not serve a request.
    #[snafu(display("request to the platform failed: {source}"), context(false))]
    ObjectApi {
        /// Error of the platform.
        source: PlatformError,
    },
    /// The results can't be written.
    #[snafu(display("cannot write the results"))]
    WriteResults {
        /// Error from the operating system.
        source: std::io::Error,
    },
    /// The burn report could not be collected or written.
    #[snafu(display("no burn report: {reason}"))]
    Burn {
        /// Text of the error.
        reason: String,
    },
    /// The fleet did not become ready in time.
    #[snafu(display("not ready in time: {service}"))]
    NotReady {
        /// Name of the service, and details.
        service: String,
    },
}

/// A node and its upstream.
#[derive(Debug)]
pub struct FleetMember {
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Node beside the upstream.
    pub node: Node<FleetPolicy>,
    /// Availability zone of the node and the upstream.
    pub zone: Arc<str>,
    /// Stand-in of the upstream.
    pub upstream: RunningUpstream,
}

/// A running fleet.
#[derive(Debug)]
pub struct EmbeddedFleet {
    /// Stand-in of the platform.
    pub platform: RunningPlatform,
    /// Nodes with their upstreams, grouped by service.
    pub members: Vec<FleetMember>,
    /// Gates of all nodes, from which baselines read load.
    pub gates: GateRegistry,
}

impl EmbeddedFleet {
    /// Starts the fleet of a deployment and waits until it is ready.
    ///
    /// # Errors
    ///
    /// When a node or stand-in does not start, the objects are invalid, or a service is not ready in time.
    pub async fn start(deployment: &Deployment, directory: &Path) -> Result<Self> {
        Self::start_with(deployment, directory, &PolicyVariant::default()).await
    }

    /// Starts the fleet of a deployment with a policy variant and waits until it is ready.
    ///
    /// # Errors
    ///
    /// When a node or stand-in does not start, the objects are invalid, or a service is not ready in time.
    pub async fn start_with(
        deployment: &Deployment,
        directory: &Path,
        variant: &PolicyVariant,
    ) -> Result<Self> {
        let platform = PlatformStandin::start(any_port()).await.context(ListenSnafu)?;
        apply_objects(&platform, &directory.join(deployment.objects.as_ref()), variant.admission).await?;
        let gates = GateRegistry::default();
        let mut fleet = Self { platform, members: Vec::new(), gates };
        for service in &deployment.services {
            for index in 0..service.upstreams {
                fleet.add(deployment, service, index, variant).await?;
            }
        }
        for service in &deployment.services {
            fleet.wait_ready(service).await?;
        }
        Ok(fleet)
    }

    /// Returns the ingress address of a node; an `index` beyond the last node wraps around.
    #[must_use]
    pub fn ingress_addr(&self, index: usize) -> SocketAddr {
        self.members[index % self.members.len()].node.addrs().ingress
    }

    /// Stops the nodes one after the other, and returns whether all calls finished.
    pub async fn stop(self) -> bool {
        let mut all_calls_finished = true;
        for member in self.members {
            let shutdown = member.node.stop().await;
            all_calls_finished &= shutdown.callers_finished && shutdown.peers_finished;
        }
        all_calls_finished
    }

    /// Starts a node and its upstream.
    async fn add(
        &mut self,
        deployment: &Deployment,
        service: &ServiceLoad,
        index: u32,
        variant: &PolicyVariant,
    ) -> Result<()> {
        let zone = &deployment.zones[index as usize % deployment.zones.len()];
        let settings = node_settings(deployment, service, index, zone, self);
        let policy = FleetPolicy::new(variant.routing, &self.gates);
        let node = Node::start_with_policy(&settings, policy).await?;
        self.gates.add(node.addrs().peer, node.gate());
        let behaviour = service.behaviour();
        let seed = deployment.seed.wrapping_add(self.members.len() as u64);
        let standin = UpstreamStandin::new(service.slots, behaviour, seed);
        let upstream = standin.start(any_port()).await.context(ListenSnafu)?;
        upstream.announce(
            node.addrs().announce,
            &service.name,
            variant.admission.announced_slots(service.slots),
        );
        self.members.push(FleetMember {
            service: Arc::clone(&service.name),
            node,
            zone: Arc::clone(zone),
            upstream,
        });
        Ok(())
    }

    /// Waits until every node has applied the service and all its upstreams are ready.
    async fn wait_ready(&self, service: &ServiceLoad) -> Result<()> {
        let api = HttpPlatform::new(self.platform.addr, PLATFORM_TIMEOUT);
        let deadline = Instant::now() + READY_TIMEOUT;
        let nodes = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let mut last_status = None;
        while Instant::now() < deadline {
            let status = api.get(ObjectKind::ServiceStatus, &service.name).await?;
            let status = status.and_then(|status| serde_json::from_value::<ServiceStatus>(status.value).ok());
            let ready = status.as_ref().is_some_and(|status| {
                status.applied && status.applied_nodes == nodes && status.ready_upstreams == service.upstreams
            });
            if ready {
                return Ok(());
            }
            last_status = status;
            tokio::time::sleep(READY_POLL).await;
        }
        NotReadySnafu { service: format!("{}, status {last_status:?}", service.name) }.fail()
    }
}

/// Creates the objects of a file, adjusted to the admission policy.
async fn apply_objects(platform: &RunningPlatform, path: &Path, admission: AdmissionVariant) -> Result<()> {
    let api = HttpPlatform::new(platform.addr, PLATFORM_TIMEOUT);
    for manifest in load_manifests(path)? {
        if let Some(kind) = manifest.writable_kind() {
            let mut spec = manifest.spec;
            admission.adjust(kind, &mut spec);
            api.put(kind, &manifest.name, &spec, Precondition::Absent).await?;
        }
    }
    Ok(())
}

fn node_settings(
    deployment: &Deployment,
    service: &ServiceLoad,
    index: u32,
    zone: &Arc<str>,
    fleet: &EmbeddedFleet,
) -> Settings {
    Settings {
        node: NodeSettings {
            name: Arc::from(format!("{}-{index}", service.name)),
            region: Arc::clone(&deployment.region),
            zone: Arc::clone(zone),
        },
        listen: ListenSettings {
            ingress_addr: any_port(),
            peer_addr: any_port(),
            advertised_peer_addr: None,
            announce_addr: any_port(),
            admin_addr: any_port(),
        },
        seeds: fleet.members.first().map(|member| member.node.addrs().peer).into_iter().collect(),
        platform: PlatformSettings {
            addr: fleet.platform.addr,
            timeout_ms: 2_000,
            watch_wait_ms: 20_000,
            bounds: Arc::default(),
            evacuation_wait_ms: None,
        },
        dialect: DialectName::Own,
        upstream: None,
        limits: LimitSettings::default(),
        gossip: GossipSettings::default(),
        peer_security: None,
        process: ProcessSettings::default(),
        overload: OverloadSettings::default(),
        log: LogSettings::default(),
    }
}

/// Returns the loopback address with port 0, which binds to any free port.
#[must_use]
pub fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}
