//! Drains the upstream beside a node.

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
use crate::node_client::node_report;
use crate::output::OutputFormat;
use crate::output::print_json;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Drains the upstream beside a node and waits until nothing runs there.
#[derive(Debug, Args)]
pub struct DrainArgs {
    /// Admin address of the node.
    #[arg(long, env = "YUCCATRAY_NODE", default_value = "127.0.0.1:7301")]
    node: SocketAddr,
    /// Let the upstream take work again.
    #[arg(long)]
    undo: bool,
    /// How long to wait for what runs, in milliseconds; 0 does not wait.
    #[arg(long, default_value_t = 30_000)]
    timeout_ms: u64,
}

/// Runs `yuccactl drain`.
pub async fn cmd_drain(context: &CommandContext, args: &DrainArgs) -> Result<()> {
    let method = if args.undo { Method::DELETE } else { Method::PUT };
    let mut report = node_report(args.node, method, DRAINING_PATH, context.timeout).await?;
    let until = Instant::now() + Duration::from_millis(args.timeout_ms);
    while !args.undo && args.timeout_ms > 0 && report.running > 0 {
        if Instant::now() >= until {
            let message = format!("{} still runs {} calls", report.name, report.running);
            return Err(CliError::Timeout { message });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        report = node_report(args.node, Method::GET, "/v1/node", context.timeout).await?;
    }
    print(context, &report);
    Ok(())
}

fn print(context: &CommandContext, report: &NodeReport) {
    if context.output == OutputFormat::Json {
        print_json(&serde_json::json!({
            "node": report.name, "draining": report.draining, "running": report.running,
        }));
        return;
    }
    let state = if report.draining { "draining" } else { "takes work" };
    println!("{} {state}, running {}", report.name, report.running);
}
