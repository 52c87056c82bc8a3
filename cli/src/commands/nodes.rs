//! `yuccactl nodes`: lists the members of the fleet that a node knows.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use clap::Args;
use http::Method;
use yuccatray::transport::admin_server::EvacuationReport;

use crate::CommandContext;
use crate::cli_error::Result;
use crate::node_client::request_report;
use crate::output::OutputFormat;
use crate::output::print_json;
use crate::output::print_table;

/// Lists the members of the fleet that a node knows.
#[derive(Debug, Args)]
pub struct NodesArgs {
    /// Admin address of any node.
    #[arg(long, env = "YUCCATRAY_NODE", default_value = "127.0.0.1:7301")]
    node: SocketAddr,
}

/// Runs `yuccactl nodes`.
pub async fn cmd_nodes(context: &CommandContext, args: &NodesArgs) -> Result<()> {
    let report = request_report(args.node, Method::GET, "/v1/node", context.request_timeout).await?;
    if context.output == OutputFormat::Json {
        print_json(&report);
        return Ok(());
    }
    let rows = report.members.iter().map(|member| {
        vec![
            member.name.to_string(),
            member.state.to_string(),
            member.zone.to_string(),
            member.service.as_deref().unwrap_or("-").to_owned(),
            member.slots.to_string(),
            if member.draining { "yes" } else { "no" }.to_owned(),
            member.ingress_addr.to_string(),
        ]
    });
    print_table(&["NAME", "STATE", "ZONE", "SERVICE", "SLOTS", "DRAINING", "INGRESS"], rows.collect());
    for evacuation in &report.evacuations {
        println!("{}", evacuation_line(evacuation));
    }
    Ok(())
}

/// Returns a line on an evacuated zone.
fn evacuation_line(evacuation: &EvacuationReport) -> String {
    let EvacuationReport { zone, since_unix_ms, running_calls } = evacuation;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let evacuated_for_s = now.saturating_sub(Duration::from_millis(*since_unix_ms)).as_secs();
    format!(
        "zone {zone} is evacuated for {evacuated_for_s} s; {running_calls} calls of this node still run there"
    )
}
