//! Runs a TCP relay that copies bytes, as a baseline for nodes.

use std::net::SocketAddr;

use clap::Args;
use snafu::ResultExt;
use tokio::net::TcpListener;
use yuccatray_load::embedded_fleet::ListenSnafu;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::relay::run_relay;

/// Runs a TCP relay that copies bytes, as a baseline for nodes.
#[derive(Debug, Args)]
pub struct RelayArgs {
    /// Address on which to listen.
    #[arg(long)]
    listen: SocketAddr,
    /// Address to which connections are forwarded.
    #[arg(long)]
    to: SocketAddr,
}

/// Runs `yuccatray-load relay`.
pub async fn cmd_relay(args: &RelayArgs) -> Result<()> {
    let listener = TcpListener::bind(args.listen).await.context(ListenSnafu)?;
    run_relay(listener, args.to).await.context(ListenSnafu)
}
