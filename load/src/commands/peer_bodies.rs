//! Compares transports for request and response bodies between nodes.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use yuccatray::transport::http_server::Handler;
use yuccatray::transport::http_server::ServerLimits;
use yuccatray::transport::http_server::serve;
use yuccatray_load::body_transport::PlainEcho;
use yuccatray_load::body_transport::PlainHttp1;
use yuccatray_load::body_transport::PlainHttp2;
use yuccatray_load::body_transport::TonicEcho;
use yuccatray_load::body_transport::TonicStream;
use yuccatray_load::embedded_fleet::ListenSnafu;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::load_run::Exchange;
use yuccatray_load::load_run::LoadModel;
use yuccatray_load::load_run::LoadResult;
use yuccatray_load::load_run::run_load;
use yuccatray_load::process_usage::ProcessUsage;

/// Seed of the inter-arrival times of open-loop runs.
const SEED: u64 = 1;
/// Names of the transports, in the order in which they run.
const TRANSPORTS: [&str; 3] = ["tonic stream", "plain HTTP/2", "plain HTTP/1.1"];

/// Compares transports that send a body to another node and back, alternating in one run.
#[derive(Debug, Args)]
pub struct PeerBodiesArgs {
    /// Body sizes, in bytes.
    #[arg(long, value_delimiter = ',', default_value = "0,1024,1048576")]
    body_bytes: Vec<usize>,
    /// Numbers of concurrent exchanges of the closed-loop runs.
    #[arg(long, value_delimiter = ',', default_value = "1,16")]
    in_flight: Vec<u32>,
    /// Rates of the open-loop runs, in exchanges per second, for the first body size only.
    #[arg(long, value_delimiter = ',', default_value = "100")]
    rates: Vec<f64>,
    /// Duration of each run, in milliseconds.
    #[arg(long, default_value_t = 800)]
    leg_ms: u64,
    /// Runs of each transport under each load, with the transports alternating.
    #[arg(long, default_value_t = 3)]
    turns: u32,
}

/// Merged results of one transport under one load.
#[derive(Default)]
struct TransportResults {
    merged: Option<LoadResult>,
    cpu_time: Duration,
}

/// Runs `yuccatray-load peer-bodies`.
pub async fn cmd_peer_bodies(args: &PeerBodiesArgs) -> Result<()> {
    let stop = CancellationToken::new();
    let plain_addr = start(PlainEcho, &stop).await?;
    let tonic_addr = start(TonicEcho, &stop).await?;
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(["BODY BYTES", "PACE", "CARRIER", "PER S", "FAILED", "P50 MS", "P99 MS", "CPU US"]);
    for (index, size) in args.body_bytes.iter().enumerate() {
        let body = Bytes::from(vec![7; *size]);
        let tonic_stream = Arc::new(TonicStream::new(tonic_addr, body.clone()));
        let http2 = Arc::new(PlainHttp2::new(plain_addr, body.clone()));
        let http1 = Arc::new(PlainHttp1::new(plain_addr, body));
        let rates = if index == 0 { args.rates.as_slice() } else { &[] };
        for load_model in load_models(rates, &args.in_flight) {
            let mut results: [TransportResults; TRANSPORTS.len()] = Default::default();
            for _ in 0..args.turns {
                results[0].run(&tonic_stream, load_model, args.leg_ms).await;
                results[1].run(&http2, load_model, args.leg_ms).await;
                results[2].run(&http1, load_model, args.leg_ms).await;
            }
            for (name, results) in TRANSPORTS.iter().zip(&results) {
                let mut row = vec![size.to_string(), load_name(load_model), (*name).to_owned()];
                row.extend(results.columns());
                table.add_row(row);
            }
        }
    }
    println!("{}", table.trim_fmt());
    stop.cancel();
    Ok(())
}

/// Returns the open-loop and then the closed-loop models.
fn load_models(rates: &[f64], in_flight: &[u32]) -> Vec<LoadModel> {
    let open = rates.iter().map(|rate| LoadModel::OpenLoop { calls_per_second: *rate, seed: SEED });
    let closed = in_flight.iter().map(|callers| LoadModel::ClosedLoop { callers: *callers });
    open.chain(closed).collect()
}

fn load_name(load_model: LoadModel) -> String {
    match load_model {
        LoadModel::OpenLoop { calls_per_second, .. } => format!("{calls_per_second}/s"),
        LoadModel::ClosedLoop { callers } => format!("{callers} at once"),
    }
}

/// Serves `handler` on a free loopback port and returns its address.
async fn start<H>(handler: H, stop: &CancellationToken) -> Result<SocketAddr>
where
    H: Handler,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context(ListenSnafu)?;
    let addr = listener.local_addr().context(ListenSnafu)?;
    let limits = ServerLimits { shutdown_timeout: Duration::ZERO, ..ServerLimits::default() };
    tokio::spawn(serve(listener, limits, handler, stop.clone()));
    Ok(addr)
}

impl TransportResults {
    /// Runs one transport and adds its results.
    async fn run<E>(&mut self, exchange: &Arc<E>, load_model: LoadModel, run_ms: u64)
    where
        E: Exchange,
    {
        let before = process_cpu_time();
        let result = run_load(Arc::clone(exchange), load_model, Duration::from_millis(run_ms)).await;
        self.cpu_time += process_cpu_time().saturating_sub(before);
        match &mut self.merged {
            Some(merged) => merged.add(&result),
            None => self.merged = Some(result),
        }
    }

    /// Returns the last columns of a table row.
    #[expect(clippy::cast_precision_loss, reason = "counts of one run are far below 2^52")]
    fn columns(&self) -> Vec<String> {
        let Some(merged) = &self.merged else {
            return Vec::new();
        };
        let exchanges = (merged.answered() + merged.failed).max(1) as f64;
        vec![
            format!("{:.0}", merged.answered() as f64 / merged.elapsed.as_secs_f64()),
            merged.failed.to_string(),
            format!("{:.3}", merged.quantile_ms(0.5)),
            format!("{:.3}", merged.quantile_ms(0.99)),
            format!("{:.0}", self.cpu_time.as_secs_f64() * 1e6 / exchanges),
        ]
    }
}

/// Returns the CPU time of this process.
fn process_cpu_time() -> Duration {
    ProcessUsage::measure(&[std::process::id()]).unwrap_or_default().cpu_time
}
