//! Command-line tool for load tests, measurements and experiments with yuccatray.

mod commands;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

use crate::commands::compare;
use crate::commands::experiment;
use crate::commands::fleet;
use crate::commands::peer_bodies;
use crate::commands::relay;
use crate::commands::scale;
use crate::commands::slopes;
use crate::commands::vm_loss;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Load tests, measurements and experiments with yuccatray.
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
    Slopes(slopes::SlopesArgs),
    VmLoss(vm_loss::VmLossArgs),
    Experiment(experiment::ExperimentArgs),
    Scale(scale::ScaleArgs),
}

#[tokio::main]
async fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Fleet(args) => fleet::cmd_fleet(&args).await,
        Command::Compare(args) => compare::cmd_compare(&args).await,
        Command::PeerBodies(args) => peer_bodies::cmd_peer_bodies(&args).await,
        Command::Relay(args) => relay::cmd_relay(&args).await,
        Command::Slopes(args) => {
            slopes::cmd_slopes(&args);
            Ok(())
        }
        Command::VmLoss(args) => vm_loss::cmd_vm_loss(&args).await,
        Command::Experiment(args) => experiment::cmd_experiment(&args).await,
        Command::Scale(args) => return finish(scale::cmd_scale(&args).await),
    };
    finish(result)
}

/// Prints an error and returns the exit code of the process.
fn finish<T, E>(result: Result<T, E>) -> ExitCode
where
    E: std::fmt::Display,
{
    match result {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
