//! Two nodes in the test process, one of them beside an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use serde_json::Value;
use serde_json::json;
use tokio::task::AbortHandle;
use yuccatray::node::Node;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::announce_server::Announcement;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;
use yuccatray_standin::upstream::send_announcement;

use crate::daemon_process::loopback_settings;
use crate::http_client::send_request;

/// Name of the service that the upstream serves.
pub const SERVICE: &str = "orders";

/// Slots that the upstream announces.
const SLOTS: u32 = 4;
/// Interval at which the reports of the nodes are read while waiting.
const POLL: Duration = Duration::from_millis(20);
/// Interval at which the announcement of the upstream is repeated.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// An ingress node and a gate node that it reaches over the network.
#[derive(Debug)]
pub struct TwoNodes {
    /// The platform stand-in.
    pub platform: RunningPlatform,
    /// Ingress node, which has no upstream.
    pub ingress_node: Node,
    /// Gate node, which runs beside the upstream.
    pub gate_node: Node,
    announce_task: AbortHandle,
}

impl Drop for TwoNodes {
    fn drop(&mut self) {
        self.announce_task.abort();
    }
}

impl TwoNodes {
    /// Starts both nodes and waits until each has the configuration and lists the upstream as alive.
    ///
    /// # Panics
    ///
    /// When the platform or a node does not start.
    pub async fn start(upstream: SocketAddr, max_body_bytes: u64) -> Self {
        let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let platform = platform.expect("the platform listens");
        create_objects(platform.addr, max_body_bytes).await;
        let gate_node = start_node("vm-1", platform.addr, &[]).await;
        let ingress_node = start_node("vm-2", platform.addr, &[gate_node.addrs().peer]).await;
        let announce_addr = gate_node.addrs().announce;
        let announcement =
            Announcement { service: SERVICE.into(), addr: upstream, slots: SLOTS, draining: false };
        let announce_task = tokio::spawn(async move {
            loop {
                // The announcement fails while the node is stopping.
                let _announced = send_announcement(announce_addr, &announcement).await;
                tokio::time::sleep(ANNOUNCE_INTERVAL).await;
            }
        });
        for node in [&gate_node, &ingress_node] {
            while !knows_upstream(node.addrs().admin).await {
                tokio::time::sleep(POLL).await;
            }
        }
        Self { platform, ingress_node, gate_node, announce_task: announce_task.abort_handle() }
    }

    /// Returns the ingress address of the node without an upstream, whose calls go through both nodes.
    #[must_use]
    pub const fn ingress(&self) -> SocketAddr {
        self.ingress_node.addrs().ingress
    }
}

async fn start_node(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Node {
    let settings = loopback_settings(name, "a", platform, seeds);
    let settings = Settings::parse(&settings.to_string()).expect("the settings are valid");
    Node::start(&settings).await.expect("the node starts")
}

async fn create_objects(platform: SocketAddr, max_body_bytes: u64) {
    let api = HttpPlatform::new(platform, Duration::from_secs(5));
    let priorities = json!({ "priorities": { "urgent": { "objective_ms": 1000 } } });
    let service = json!({
        "priority_set": "one",
        "upstream_rule": "workers",
        "default_priority": "urgent",
        "max_body_bytes": max_body_bytes,
    });
    let objects = [
        (ObjectKind::PrioritySet, "one", priorities),
        (ObjectKind::UpstreamRule, "workers", json!({})),
        (ObjectKind::Service, SERVICE, service),
    ];
    for (kind, name, value) in objects {
        api.put(kind, name, &value, Precondition::Absent).await.expect("the object can be created");
    }
}

async fn knows_upstream(admin: SocketAddr) -> bool {
    let request = Request::get("/v1/node").body(Bytes::new()).expect("the request is valid");
    let report = send_request(admin, request).await;
    let report: Value = serde_json::from_slice(report.body()).expect("the report is JSON");
    let upstream_alive = report["members"].as_array().is_some_and(|members| {
        members.iter().any(|member| member["service"] == SERVICE && member["state"] == "alive")
    });
    upstream_alive && report["revisions"][SERVICE].is_number()
}
