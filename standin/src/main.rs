//! The `yuccatray-standin` command: runs a stand-in as a process, for manual trials.

use std::net::SocketAddr;

use clap::Parser;
use clap::Subcommand;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::upstream::UpstreamBehaviour;
use yuccatray_standin::upstream::UpstreamStandin;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Stand-ins for the platform and for upstreams.
#[derive(Debug, Parser)]
#[command(name = "yuccatray-standin", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Serve the platform's object API from memory.
    Platform {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:7800")]
        listen: SocketAddr,
    },
    /// Serve as an upstream and announce it to its node.
    Upstream {
        /// Address to listen on.
        #[arg(long, default_value = "127.0.0.1:0")]
        listen: SocketAddr,
        /// Announce address of the upstream's node; without it the upstream isn't announced.
        #[arg(long)]
        node: Option<SocketAddr>,
        /// Name of the service that the upstream serves.
        #[arg(long, default_value = "catalogue")]
        service: String,
        /// Maximum number of calls that run at once.
        #[arg(long, default_value_t = 10)]
        slots: u32,
        /// Mean service time, in microseconds.
        #[arg(long, default_value_t = 2_000)]
        mean_service_us: u64,
        /// Seed of the random service times.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    match Args::parse().command {
        Command::Platform { listen } => {
            let platform = PlatformStandin::start(listen).await?;
            println!("platform listens on {}", platform.addr);
            tokio::signal::ctrl_c().await
        }
        Command::Upstream { listen, node, service, slots, mean_service_us, seed } => {
            let behaviour = UpstreamBehaviour { mean_service_us, ..UpstreamBehaviour::default() };
            let upstream = UpstreamStandin::new(slots, behaviour, seed).start(listen).await?;
            println!("upstream listens on {}", upstream.addr);
            if let Some(node) = node {
                upstream.announce(node, &service, slots);
            }
            tokio::signal::ctrl_c().await
        }
    }
}
