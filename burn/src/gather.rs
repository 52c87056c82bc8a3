//! Reading the reports of every node that the fleet knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use yuccatray::protocol::burn::BurnReport;
use yuccatray::transport::admin_client::Result;
use yuccatray::transport::admin_client::read_report;
use yuccatray::transport::admin_server::MemberReport;
use yuccatray::transport::admin_server::NodeReport;

const NODES_AT_ONCE: usize = 32;
const DEAD: &str = "dead";

/// What to read and how long to wait for it.
#[derive(Clone, Debug)]
pub struct GatherPlan {
    /// Admin address of any node of the fleet.
    pub node: SocketAddr,
    /// The only service to read, or every one.
    pub service: Option<String>,
    /// Time that one node may take.
    pub timeout: Duration,
}

/// A node whose counts are not in the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MissingNode {
    /// Name of the node.
    pub node: Arc<str>,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Why its counts are missing.
    pub reason: String,
}

/// The reports of the nodes that answered, and the nodes that did not.
#[derive(Clone, Debug, Default)]
pub struct Gathered {
    /// One report a node.
    pub reports: Vec<BurnReport>,
    /// Nodes that gave none.
    pub missing: Vec<MissingNode>,
}

/// Reads the reports of every member that the node at `plan.node` knows.
///
/// # Errors
///
/// When that node itself gives no list of members.
pub async fn gather(plan: &GatherPlan) -> Result<Gathered> {
    let known: NodeReport = read_report(plan.node, "/v1/node", plan.timeout).await?;
    let target =
        plan.service.as_ref().map_or("/v1/burn".to_owned(), |name| format!("/v1/burn?service={name}"));
    let target = Arc::<str>::from(target);
    let permits = Arc::new(Semaphore::new(NODES_AT_ONCE));
    let mut reads = JoinSet::new();
    for member in known.members {
        reads.spawn(read_member(member, Arc::clone(&target), plan.timeout, Arc::clone(&permits)));
    }
    let mut read = reads.join_all().await;
    read.sort_by(|(left, _), (right, _)| left.name.cmp(&right.name));
    Ok(sorted_out(read))
}

async fn read_member(
    member: MemberReport,
    target: Arc<str>,
    timeout: Duration,
    permits: Arc<Semaphore>,
) -> (MemberReport, std::result::Result<BurnReport, String>) {
    if &*member.state == DEAD {
        return (member, Err("it is dead, and its counts with it".to_owned()));
    }
    // The semaphore is never closed; without a permit the read goes on all the same.
    let _permit = permits.acquire().await;
    let report = read_report::<BurnReport>(member.admin_addr, &target, timeout).await;
    let report = report.map_err(|error| error.to_string());
    (member, report)
}

fn sorted_out(read: Vec<(MemberReport, std::result::Result<BurnReport, String>)>) -> Gathered {
    let mut reports = IndexMap::<(Arc<str>, u64), BurnReport>::new();
    let mut missing = Vec::new();
    for (member, report) in read {
        match report {
            Ok(report) if report.node == member.name => {
                reports.insert((Arc::clone(&report.node), report.incarnation), report);
            }
            Ok(report) => {
                missing.push(missing_node(&member, format!("{} answers at its address", report.node)));
            }
            Err(reason) => missing.push(missing_node(&member, reason)),
        }
    }
    Gathered { reports: reports.into_values().collect(), missing }
}

fn missing_node(member: &MemberReport, reason: String) -> MissingNode {
    MissingNode { node: Arc::clone(&member.name), zone: Arc::clone(&member.zone), reason }
}
