//! Runs a relay that copies bytes, to compare nodes with.

use std::net::SocketAddr;

use clap::Args;
use snafu::ResultExt;
use tokio::net::TcpListener;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::embedded_fleet::StandinSnafu;
use yuccatray_load::relay::relay;

/// Runs a relay that copies bytes, to compare nodes with.
#[derive(Debug, Args)]
pub struct RelayArgs {
    /// Where to listen.
    #[arg(long)]
    listen: SocketAddr,
    /// Where to connect to.
    #[arg(long)]
    to: SocketAddr,
}

/// Runs `yuccatray-load relay`.
pub async fn cmd_relay(args: &RelayArgs) -> Result<()> {
    let listener = TcpListener::bind(args.listen).await.context(StandinSnafu)?;
    relay(listener, args.to).await.context(StandinSnafu)
}
