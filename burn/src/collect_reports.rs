//! Collects the burn reports of every member that a given node knows.

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

/// Options for collecting burn reports.
#[derive(Clone, Debug)]
pub struct CollectOptions {
    /// Admin address of any node of the fleet.
    pub node: SocketAddr,
    /// Service to report on, or `None` for all services.
    pub service: Option<String>,
    /// Timeout for each request to a node.
    pub timeout: Duration,
}

/// Node whose counts are missing from the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MissingNode {
    /// Name of the node.
    pub node: Arc<str>,
    /// Availability zone of the node.
    pub zone: Arc<str>,
    /// Why its counts are missing.
    pub reason: String,
}

/// Reports of the nodes that answered, and the nodes without a usable report.
#[derive(Clone, Debug, Default)]
pub struct CollectedReports {
    /// One report per incarnation of a node.
    pub reports: Vec<BurnReport>,
    /// Nodes without a usable report.
    pub missing: Vec<MissingNode>,
}

/// Collects the reports of every member that the node at `options.node` knows.
///
/// # Errors
///
/// When the list of members can't be read from that node.
pub async fn collect_reports(options: &CollectOptions) -> Result<CollectedReports> {
    let node_report: NodeReport = read_report(options.node, "/v1/node", options.timeout).await?;
    let target =
        options.service.as_ref().map_or("/v1/burn".to_owned(), |name| format!("/v1/burn?service={name}"));
    let answers = read_from_members(node_report.members, &target, options.timeout).await;
    Ok(partition_answers(answers))
}

fn partition_answers(answers: Vec<MemberReadResult<BurnReport>>) -> CollectedReports {
    let mut reports = IndexMap::<(Arc<str>, u64), BurnReport>::new();
    let mut missing = Vec::new();
    for (member, report) in answers {
        match report {
            Ok(report) if report.node == member.name => {
                reports.insert((Arc::clone(&report.node), report.incarnation), report);
            }
            Ok(report) => {
                missing.push(missing_node(&member, format!("node {} answered at this address", report.node)));
            }
            Err(reason) => missing.push(missing_node(&member, reason)),
        }
    }
    CollectedReports { reports: reports.into_values().collect(), missing }
}

fn missing_node(member: &MemberReport, reason: String) -> MissingNode {
    MissingNode { node: Arc::clone(&member.name), zone: Arc::clone(&member.zone), reason }
}
