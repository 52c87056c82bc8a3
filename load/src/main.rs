//! Callers and experiments for yuccatray.

mod commands;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use crate::commands::compare;
use crate::commands::experiment;
use crate::commands::fleet;
use crate::commands::peer_bodies;
use crate::commands::relay;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Callers and experiments for yuccatray.
#[derive(Debug, Parser)]
#[command(name = "yuccatray-load", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    Fleet(fleet::FleetArgs),
    Compare(compare::CompareArgs),
    PeerBodies(peer_bodies::PeerBodiesArgs),
    Relay(relay::RelayArgs),
    Experiment(experiment::ExperimentArgs),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Fleet(args) => fleet::cmd_fleet(&args).await,
        Command::Compare(args) => compare::cmd_compare(&args).await,
        Command::PeerBodies(args) => peer_bodies::cmd_peer_bodies(&args).await,
        Command::Relay(args) => relay::cmd_relay(&args).await,
        Command::Experiment(args) => experiment::cmd_experiment(&args).await,
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
