//! `yuccactl drain`: drains the upstream beside a node.

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use http::Method;
use tokio::time::Instant;
use yuccatray::transport::admin_server::DRAINING_PATH;
use yuccatray::transport::admin_server::NodeReport;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::node_client::request_report;
use crate::output::OutputFormat;
use crate::output::print_json;

/// Interval between two reads of the number of running calls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Drains the upstream beside a node and waits until no call is running there.
#[derive(Debug, Args)]
pub struct DrainArgs {
    /// Admin address of the node.
    #[arg(long, env = "YUCCATRAY_NODE", default_value = "127.0.0.1:7301")]
    node: SocketAddr,
    /// End the draining, so that the upstream accepts calls again.
    #[arg(long)]
    undo: bool,
    /// Maximum time to wait for running calls, in milliseconds; 0 does not wait.
    #[arg(long, default_value_t = 30_000)]
    timeout_ms: u64,
}

/// Runs `yuccactl drain`.
pub async fn cmd_drain(context: &CommandContext, args: &DrainArgs) -> Result<()> {
    let method = if args.undo { Method::DELETE } else { Method::PUT };
    let mut report = request_report(args.node, method, DRAINING_PATH, context.request_timeout).await?;
    let deadline = Instant::now() + Duration::from_millis(args.timeout_ms);
    while !args.undo && args.timeout_ms > 0 && report.running > 0 {
        if Instant::now() >= deadline {
            let message = format!("{} is still running {} calls", report.name, report.running);
            return Err(CliError::Timeout { message });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        report = request_report(args.node, Method::GET, "/v1/node", context.request_timeout).await?;
    }
    print(context, &report);
    Ok(())
}

/// Prints the draining state and the number of running calls of the node.
fn print(context: &CommandContext, report: &NodeReport) {
    if context.output == OutputFormat::Json {
        print_json(&serde_json::json!({
            "node": report.name, "draining": report.draining, "running": report.running,
        }));
        return;
    }
    let state = if report.draining { "draining" } else { "accepting calls" };
    println!("{} {state}, running {}", report.name, report.running);
}
