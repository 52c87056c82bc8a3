//! Reading the reports of every node that the fleet knows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use serde::Serialize;
use yuccatray::protocol::burn::BurnReport;
use yuccatray::transport::admin_client::MemberReadResult;
use yuccatray::transport::admin_client::Result;
use yuccatray::transport::admin_client::read_from_members;
use yuccatray::transport::admin_client::read_report;
use yuccatray::transport::admin_server::MemberReport;
use yuccatray::transport::admin_server::NodeReport;

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
    let answers = read_from_members(known.members, &target, plan.timeout).await;
    Ok(sorted_out(answers))
}

fn sorted_out(read: Vec<MemberReadResult<BurnReport>>) -> Gathered {
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
