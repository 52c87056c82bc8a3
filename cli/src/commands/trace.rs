//! Shows what the nodes decided about one call.

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

/// Shows what the nodes decided about one call, by the identity that its answer carried.
#[derive(Debug, Args)]
pub struct TraceArgs {
    /// Identity of the call: the field yuccatray-call of its answer.
    call: CallId,
    /// Admin address of any node.
    #[arg(long, env = "YUCCATRAY_NODE", default_value = "127.0.0.1:7301")]
    node: SocketAddr,
    /// Time that one node may take to answer, in milliseconds.
    #[arg(long, default_value_t = 3_000)]
    node_timeout_ms: u64,
}

/// One decision and the node that took it.
#[derive(Debug, Serialize)]
struct TraceLine {
    node: Arc<str>,
    #[serde(flatten)]
    decision: Decision,
}

/// A node that could not be asked.
#[derive(Debug, Serialize)]
struct SilentNode {
    node: Arc<str>,
    reason: String,
}

#[derive(Debug, Serialize)]
struct Trace {
    call: String,
    decisions: Vec<TraceLine>,
    silent: Vec<SilentNode>,
}

/// Runs `yuccactl trace`.
pub async fn cmd_trace(context: &CommandContext, args: &TraceArgs) -> Result<()> {
    let trace = gather(args).await?;
    if context.output == OutputFormat::Json {
        print_json(&trace);
    } else {
        print(&trace);
    }
    if trace.decisions.is_empty() {
        return Err(CliError::NotFound { kind: "remembered call".to_owned(), name: trace.call });
    }
    Ok(())
}

async fn gather(args: &TraceArgs) -> Result<Trace> {
    let timeout = Duration::from_millis(args.node_timeout_ms);
    let known = read_report::<NodeReport>(args.node, "/v1/node", timeout).await;
    let known = known.map_err(|error| CliError::Node {
        message: format!("node at {} gave no list of members: {error}", args.node),
    })?;
    let target = format!("/v1/trace?call={}", args.call);
    let mut trace = Trace { call: args.call.to_string(), decisions: Vec::new(), silent: Vec::new() };
    for (member, answer) in read_from_members::<TraceReport>(known.members, &target, timeout).await {
        match answer {
            Ok(report) => trace.add(report),
            Err(reason) => trace.silent.push(SilentNode { node: member.name, reason }),
        }
    }
    trace.decisions.sort_by_key(|line| line.decision.at_unix_us);
    Ok(trace)
}

impl Trace {
    fn add(&mut self, report: TraceReport) {
        let node = report.node;
        let lines = report.decisions.into_iter();
        self.decisions.extend(lines.map(|decision| TraceLine { node: Arc::clone(&node), decision }));
    }
}

fn print(trace: &Trace) {
    let first = trace.decisions.first().map_or(0, |line| line.decision.at_unix_us);
    let rows = trace.decisions.iter().map(|line| {
        let since_us = line.decision.at_unix_us - first;
        let millis = since_us / MICROS_PER_MILLI;
        let micros = since_us % MICROS_PER_MILLI;
        vec![format!("{millis}.{micros:03}"), line.node.to_string(), line.decision.step.to_string()]
    });
    print_table(&["MS", "NODE", "DECISION"], rows.collect());
    for silent in &trace.silent {
        println!("not asked: {}: {}", silent.node, silent.reason);
    }
}
