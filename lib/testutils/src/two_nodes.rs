//! Two nodes in this process, one of them beside an upstream.

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
use yuccatray_standin::upstream::put_announcement;

use crate::daemon_process::loopback_settings;
use crate::http_call::exchange;

/// The service that the upstream serves.
pub const SERVICE: &str = "orders";

const SLOTS: u32 = 4;
const POLL: Duration = Duration::from_millis(20);
const RENEW: Duration = Duration::from_millis(200);

/// An ingress and a gate that it reaches over the network.
#[derive(Debug)]
pub struct TwoNodes {
    /// The platform's stand-in.
    pub platform: RunningPlatform,
    /// The node without an upstream.
    pub far: Node,
    /// The node beside the upstream.
    pub beside: Node,
    renewing: AbortHandle,
}

impl Drop for TwoNodes {
    fn drop(&mut self) {
        self.renewing.abort();
    }
}

impl TwoNodes {
    /// Starts the nodes for an upstream and waits until both would send it calls.
    ///
    /// # Panics
    ///
    /// When a part does not start.
    pub async fn start(upstream: SocketAddr, max_body_bytes: u64) -> Self {
        let platform = PlatformStandin::start(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let platform = platform.expect("the platform listens");
        declare(platform.addr, max_body_bytes).await;
        let beside = start_node("vm-1", platform.addr, &[]).await;
        let far = start_node("vm-2", platform.addr, &[beside.addrs().peer]).await;
        let desk = beside.addrs().announce;
        let announcement =
            Announcement { service: SERVICE.into(), addr: upstream, slots: SLOTS, draining: false };
        let renewing = tokio::spawn(async move {
            loop {
                // The node may be stopping.
                let _announced = put_announcement(desk, &announcement).await;
                tokio::time::sleep(RENEW).await;
            }
        });
        for node in [&beside, &far] {
            while !knows_upstream(node.addrs().admin).await {
                tokio::time::sleep(POLL).await;
            }
        }
        Self { platform, far, beside, renewing: renewing.abort_handle() }
    }

    /// Where callers reach the upstream through both nodes.
    #[must_use]
    pub const fn ingress(&self) -> SocketAddr {
        self.far.addrs().ingress
    }
}

async fn start_node(name: &str, platform: SocketAddr, seeds: &[SocketAddr]) -> Node {
    let settings = loopback_settings(name, "a", platform, seeds);
    let settings = Settings::parse(&settings.to_string()).expect("the settings are good");
    Node::start(&settings).await.expect("the node starts")
}

async fn declare(platform: SocketAddr, max_body_bytes: u64) {
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
        api.put(kind, name, &value, Precondition::Absent).await.expect("the object is new");
    }
}

async fn knows_upstream(admin: SocketAddr) -> bool {
    let request = Request::get("/v1/node").body(Bytes::new()).expect("the request is valid");
    let report = exchange(admin, request).await;
    let report: Value = serde_json::from_slice(report.body()).expect("the report is JSON");
    let served = report["members"].as_array().is_some_and(|members| {
        members.iter().any(|member| member["service"] == SERVICE && member["state"] == "alive")
    });
    served && report["revisions"][SERVICE].is_number()
}
