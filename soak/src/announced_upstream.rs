//! An upstream that records its executions and is announced to its node again and again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use yuccatray::transport::announce_server::Announcement;
use yuccatray_standin::upstream::send_announcement;
use yuccatray_testutils::fleet::SERVICE;
use yuccatray_testutils::logging_upstream::ExecutionLog;
use yuccatray_testutils::logging_upstream::LoggingUpstream;
use yuccatray_testutils::logging_upstream::LogicalClock;

use crate::soak_node::NodeStatus;
use crate::soak_node::SoakNode;
use crate::soak_node::SoakNodeConfig;

/// Number of slots of each upstream.
const SLOTS: u32 = 8;
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// A running upstream, which is announced until dropped.
#[derive(Debug)]
pub struct AnnouncedUpstream {
    _upstream: LoggingUpstream,
    announce_task: JoinHandle<()>,
}

impl Drop for AnnouncedUpstream {
    fn drop(&mut self) {
        self.announce_task.abort();
    }
}

/// Starts a node and its upstream, and announces the upstream to the node.
pub async fn start_with_upstream(
    config: SoakNodeConfig,
    log: &ExecutionLog,
    ticker: &LogicalClock,
) -> (SoakNode, AnnouncedUpstream) {
    let upstream = LoggingUpstream::start(log.clone(), ticker.clone()).await;
    let node = SoakNode::start(config, upstream.addr).await;
    let announce_task = tokio::spawn(announce(Arc::clone(&node.status), node.upstream_addr()));
    (node, AnnouncedUpstream { _upstream: upstream, announce_task })
}

/// Announces the upstream to the node's current process, again and again.
async fn announce(status: Arc<NodeStatus>, upstream: SocketAddr) {
    let announcement =
        Announcement { service: Arc::from(SERVICE), addr: upstream, slots: SLOTS, draining: false };
    loop {
        // Errors are ignored: a node that is down receives the next announcement.
        let _result =
            tokio::time::timeout(ANNOUNCE_INTERVAL * 2, send_announcement(status.announce(), &announcement))
                .await;
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}
