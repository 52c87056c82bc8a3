//! `yuccactl trace`: shows the decisions of the nodes about a call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use serde::Serialize;
use yuccatray::protocol::call_id::CallId;
use yuccatray::protocol::trace::Decision;
use yuccatray::protocol::trace::TraceReport;
use yuccatray::transport::admin_client::read_from_members;
use yuccatray::transport::admin_client::read_report;
use yuccatray::transport::admin_server::NodeReport;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::output::OutputFormat;
use crate::output::print_json;
use crate::output::print_table;

const MICROS_PER_MILLI: u64 = 1_000;

/// Shows the decisions of the nodes about a call, in order of time.
#[derive(Debug, Args)]
pub struct TraceArgs {
    /// Identity of the call, from the header field yuccatray-call of its response.
    call: CallId,
    /// Admin address of any node.
    #[arg(long, env = "YUCCATRAY_NODE", default_value = "127.0.0.1:7301")]
    node: SocketAddr,
    /// Timeout of a request to one node, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    node_timeout_ms: u64,
}

/// A decision and the node that made it.
#[derive(Debug, Serialize)]
struct TraceLine {
    node: Arc<str>,
    #[serde(flatten)]
    decision: Decision,
}

/// A node that returned no trace, with the reason.
#[derive(Debug, Serialize)]
struct UnreachableNode {
    node: Arc<str>,
    reason: String,
}

/// The decisions of all reachable nodes about a call.
#[derive(Debug, Serialize)]
struct Trace {
    call: String,
    decisions: Vec<TraceLine>,
    silent: Vec<UnreachableNode>,
}

/// Runs `yuccactl trace`.
pub async fn cmd_trace(context: &CommandContext, args: &TraceArgs) -> Result<()> {
    let trace = collect_trace(args).await?;
    if context.output == OutputFormat::Json {
        print_json(&trace);
    } else {
        print(&trace);
    }
    if trace.decisions.is_empty() {
        return Err(CliError::TraceNotFound { call: trace.call });
    }
    Ok(())
}

/// Collects the decisions from all members that the node knows, in order of time.
async fn collect_trace(args: &TraceArgs) -> Result<Trace> {
    let timeout = Duration::from_millis(args.node_timeout_ms);
    let node_report = read_report::<NodeReport>(args.node, "/v1/node", timeout).await;
    let node_report = node_report.map_err(|error| CliError::Node {
        message: format!("cannot read the list of members from the node at {}: {error}", args.node),
    })?;
    let target = format!("/v1/trace?call={}", args.call);
    let mut trace = Trace { call: args.call.to_string(), decisions: Vec::new(), silent: Vec::new() };
    for (member, response) in read_from_members::<TraceReport>(node_report.members, &target, timeout).await {
        match response {
            Ok(report) => trace.add(report),
            Err(reason) => trace.silent.push(UnreachableNode { node: member.name, reason }),
        }
    }
    trace.decisions.sort_by_key(|line| line.decision.at_unix_us);
    Ok(trace)
}

impl Trace {
    /// Adds the decisions of one node.
    fn add(&mut self, report: TraceReport) {
        let node = report.node;
        let lines = report.decisions.into_iter();
        self.decisions.extend(lines.map(|decision| TraceLine { node: Arc::clone(&node), decision }));
    }
}

/// Prints the decisions with the time since the first one, then the unreachable nodes.
fn print(trace: &Trace) {
    let first_unix_us = trace.decisions.first().map_or(0, |line| line.decision.at_unix_us);
    let rows = trace.decisions.iter().map(|line| {
        let since_us = line.decision.at_unix_us - first_unix_us;
        let whole_millis = since_us / MICROS_PER_MILLI;
        let remaining_micros = since_us % MICROS_PER_MILLI;
        vec![
            format!("{whole_millis}.{remaining_micros:03}"),
            line.node.to_string(),
            line.decision.step.to_string(),
        ]
    });
    print_table(&["MS", "NODE", "DECISION"], rows.collect());
    for node in &trace.silent {
        println!("no trace from {}: {}", node.node, node.reason);
    }
}
