//! Lists the nodes of the fleet as one of them knows it.

use std::net::SocketAddr;

use bytes::Bytes;
use clap::Args;
use http::Request;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use yuccatray::transport::admin_server::NodeReport;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;
use crate::output::OutputFormat;
use crate::output::print_json;
use crate::output::print_table;

/// Lists the nodes of the fleet as one of them knows it.
#[derive(Debug, Args)]
pub struct NodesArgs {
    /// Admin address of any node.
    #[arg(long, env = "YUCCATRAY_NODE", default_value = "127.0.0.1:7301")]
    node: SocketAddr,
}

/// Runs `yuccactl nodes`.
pub async fn cmd_nodes(context: &CommandContext, args: &NodesArgs) -> Result<()> {
    let report = read_report(args.node).await.map_err(|reason| CliError::Node {
        message: format!("node at {} gave no report: {reason}", args.node),
    })?;
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
            member.ingress_addr.to_string(),
        ]
    });
    print_table(&["NAME", "STATE", "ZONE", "SERVICE", "SLOTS", "INGRESS"], rows.collect());
    Ok(())
}

async fn read_report(node: SocketAddr) -> std::result::Result<NodeReport, String> {
    let request = Request::get("/v1/node").header(HOST, node.to_string()).body(Empty::<Bytes>::new());
    let request = request.map_err(|error| error.to_string())?;
    let stream = TcpStream::connect(node).await.map_err(|error| error.to_string())?;
    let (mut sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(|error| error.to_string())?;
    let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
    serde_json::from_slice(&body.to_bytes()).map_err(|error| error.to_string())
}
