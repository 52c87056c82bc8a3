//! Compares ways to carry bodies between nodes.

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
use yuccatray_load::body_carrier::PlainEcho;
use yuccatray_load::body_carrier::PlainHttp1;
use yuccatray_load::body_carrier::PlainHttp2;
use yuccatray_load::body_carrier::TonicEcho;
use yuccatray_load::body_carrier::TonicStream;
use yuccatray_load::embedded_fleet::Result;
use yuccatray_load::embedded_fleet::StandinSnafu;
use yuccatray_load::leg::Exchange;
use yuccatray_load::leg::LegResult;
use yuccatray_load::leg::Pace;
use yuccatray_load::leg::run_leg;
use yuccatray_load::process_usage::ProcessUsage;

const SEED: u64 = 1;
const CARRIERS: [&str; 3] = ["tonic stream", "plain HTTP/2", "plain HTTP/1.1"];

/// Compares ways to carry a body to another node and back, in turn in one run.
#[derive(Debug, Args)]
pub struct PeerBodiesArgs {
    /// Sizes of the bodies, in bytes.
    #[arg(long, value_delimiter = ',', default_value = "0,1024,1048576")]
    body_bytes: Vec<usize>,
    /// Exchanges under way at once.
    #[arg(long, value_delimiter = ',', default_value = "1,16")]
    in_flight: Vec<u32>,
    /// Rates of exchanges, in exchanges per second, for the smallest body only.
    #[arg(long, value_delimiter = ',', default_value = "100")]
    rates: Vec<f64>,
    /// Length of each leg, in milliseconds.
    #[arg(long, default_value_t = 800)]
    leg_ms: u64,
    /// Times that the carriers alternate.
    #[arg(long, default_value_t = 3)]
    turns: u32,
}

/// One carrier's legs of one kind.
#[derive(Default)]
struct Legs {
    all: Option<LegResult>,
    processor: Duration,
}

/// Runs `yuccatray-load peer-bodies`.
pub async fn cmd_peer_bodies(args: &PeerBodiesArgs) -> Result<()> {
    let stop = CancellationToken::new();
    let plain = start(PlainEcho, &stop).await?;
    let tonic = start(TonicEcho, &stop).await?;
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(["BODY BYTES", "PACE", "CARRIER", "PER S", "FAILED", "P50 MS", "P99 MS", "CPU US"]);
    for (position, size) in args.body_bytes.iter().enumerate() {
        let body = Bytes::from(vec![7; *size]);
        let by_tonic = Arc::new(TonicStream::new(tonic, body.clone()));
        let by_http2 = Arc::new(PlainHttp2::new(plain, body.clone()));
        let by_http1 = Arc::new(PlainHttp1::new(plain, body));
        let rates = if position == 0 { args.rates.as_slice() } else { &[] };
        for pace in paces(rates, &args.in_flight) {
            let mut legs: [Legs; CARRIERS.len()] = Default::default();
            for _ in 0..args.turns {
                legs[0].run(&by_tonic, pace, args.leg_ms).await;
                legs[1].run(&by_http2, pace, args.leg_ms).await;
                legs[2].run(&by_http1, pace, args.leg_ms).await;
            }
            for (name, legs) in CARRIERS.iter().zip(&legs) {
                let mut row = vec![size.to_string(), pace_name(pace), (*name).to_owned()];
                row.extend(legs.figures());
                table.add_row(row);
            }
        }
    }
    println!("{}", table.trim_fmt());
    stop.cancel();
    Ok(())
}

fn paces(rates: &[f64], in_flight: &[u32]) -> Vec<Pace> {
    let open = rates.iter().map(|rate| Pace::OpenLoop { calls_per_second: *rate, seed: SEED });
    let closed = in_flight.iter().map(|callers| Pace::ClosedLoop { callers: *callers });
    open.chain(closed).collect()
}

fn pace_name(pace: Pace) -> String {
    match pace {
        Pace::OpenLoop { calls_per_second, .. } => format!("{calls_per_second}/s"),
        Pace::ClosedLoop { callers } => format!("{callers} at once"),
    }
}

async fn start<H>(handler: H, stop: &CancellationToken) -> Result<SocketAddr>
where
    H: Handler,
{
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.context(StandinSnafu)?;
    let addr = listener.local_addr().context(StandinSnafu)?;
    let limits = ServerLimits { shutdown_timeout: Duration::ZERO, ..ServerLimits::default() };
    tokio::spawn(serve(listener, limits, handler, stop.clone()));
    Ok(addr)
}

impl Legs {
    async fn run<E>(&mut self, exchange: &Arc<E>, pace: Pace, leg_ms: u64)
    where
        E: Exchange,
    {
        let before = usage();
        let result = run_leg(Arc::clone(exchange), pace, Duration::from_millis(leg_ms)).await;
        self.processor += usage().saturating_sub(before);
        match &mut self.all {
            Some(all) => all.add(&result),
            None => self.all = Some(result),
        }
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of one run are far below 2^52")]
    fn figures(&self) -> Vec<String> {
        let Some(all) = &self.all else {
            return Vec::new();
        };
        let exchanges = (all.answered() + all.failed).max(1) as f64;
        vec![
            format!("{:.0}", all.answered() as f64 / all.elapsed.as_secs_f64()),
            all.failed.to_string(),
            format!("{:.3}", all.quantile_ms(0.5)),
            format!("{:.3}", all.quantile_ms(0.99)),
            format!("{:.0}", self.processor.as_secs_f64() * 1e6 / exchanges),
        ]
    }
}

fn usage() -> Duration {
    ProcessUsage::of(&[std::process::id()]).unwrap_or_default().processor
}
