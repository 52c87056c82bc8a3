//! Measures what acting together costs a fleet of node processes, and how fast it agrees.

use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use serde_json::Value;
use serde_json::json;
use snafu::ResultExt;
use tokio::time::Instant;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::protocol::object::Precondition;
use yuccatray::protocol::published::ServiceStatus;
use yuccatray::transport::admin_server::NodeReport;
use yuccatray::transport::platform::Platform;
use yuccatray::transport::platform_http::HttpPlatform;
use yuccatray_load::embedded_fleet::any_port;
use yuccatray_load::process_fleet::ProcessFleet;
use yuccatray_load::process_fleet::Result;
use yuccatray_load::process_fleet::SystemSnafu;
use yuccatray_load::process_fleet::TooLongSnafu;
use yuccatray_load::process_fleet::Usage;
use yuccatray_standin::platform::PlatformCounts;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;

const PATIENCE: Duration = Duration::from_mins(1);
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
const STATUS_POLL: Duration = Duration::from_millis(50);
const CHANGES: u64 = 5;

/// Measures what acting together costs a fleet of node processes, and how fast it agrees.
#[derive(Debug, Args)]
pub struct ScaleArgs {
    /// Node processes.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(4..=300))]
    nodes: u16,
    /// Services declared.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=170))]
    services: u16,
    /// Time measured at rest, in milliseconds.
    #[arg(long, default_value_t = 20_000)]
    rest_ms: u64,
    /// Time between the joining and the measurement, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    settle_ms: u64,
    /// The node's binary; the one beside this program if none is named.
    #[arg(long)]
    binary: Option<PathBuf>,
}

/// Runs `yuccatray-load scale`.
pub async fn cmd_scale(args: &ScaleArgs) -> Result<()> {
    let platform =
        PlatformStandin::start(any_port()).await.context(SystemSnafu { what: "starting the platform" })?;
    let api = HttpPlatform::new(platform.addr, PLATFORM_TIMEOUT);
    let nodes = usize::from(args.nodes);
    let mut fleet = ProcessFleet::new(&binary(args)?, nodes, platform.addr)?;
    println!("nodes {nodes}, services {}", args.services);
    declare(&api, args.services).await;
    let started = Instant::now();
    fleet.start_all()?;
    wait_known(&fleet, "start of all together", started, nodes).await?;
    wait_applied(&api, "configuration applied and said so", started, args).await?;
    tokio::time::sleep(Duration::from_millis(args.settle_ms)).await;
    measure_rest(&fleet, &platform, args).await;
    measure_changes(&fleet, &platform, &api, args).await?;
    measure_departures(&mut fleet, nodes).await?;
    measure_restart(&mut fleet, &platform, nodes).await
}

async fn measure_rest(fleet: &ProcessFleet, platform: &RunningPlatform, args: &ScaleArgs) {
    let (before, counts) = (fleet.usage().await, platform.standin.counts());
    let measured = Instant::now();
    tokio::time::sleep(Duration::from_millis(args.rest_ms)).await;
    let (after, later) = (fleet.usage().await, platform.standin.counts());
    let seconds = measured.elapsed().as_secs_f64();
    let rate = |pick: fn(&Usage) -> f64| spread(&before, &after, |usage| pick(usage) / seconds);
    println!("at rest, per node: mean, largest");
    print_pair("  messages/s", rate(|usage| usage.messages));
    print_pair("  bytes sent/s", rate(|usage| usage.sent_bytes));
    print_pair("  bytes received/s", rate(|usage| usage.received_bytes));
    print_pair("  processor, % of a core", rate(|usage| usage.processor_seconds * 100.0));
    let resident = after.iter().map(|usage| mebibytes(usage.resident_bytes));
    print_pair("  resident MiB", mean_and_largest(resident.collect()));
    print_platform("  platform calls/s", counts, later, seconds);
}

async fn measure_changes(
    fleet: &ProcessFleet,
    platform: &RunningPlatform,
    api: &HttpPlatform,
    args: &ScaleArgs,
) -> Result<()> {
    let counts = platform.standin.counts();
    let began = Instant::now();
    for change in 1..=CHANGES {
        let changed = Instant::now();
        let revision = change_service(api, change).await;
        let everywhere = fleet.wait_all("a change on every node", changed, PATIENCE, |report| {
            report.revisions.get("service-0").is_some_and(|held| *held >= revision)
        });
        println!("change {change}: on every node after {:.2} s", everywhere.await?.as_secs_f64());
        wait_applied(api, "  and said so", changed, args).await?;
    }
    print_platform(
        "platform calls/s while changing, this tool's own polling included",
        counts,
        platform.standin.counts(),
        began.elapsed().as_secs_f64(),
    );
    Ok(())
}

async fn measure_departures(fleet: &mut ProcessFleet, nodes: usize) -> Result<()> {
    let leaver = nodes - 1;
    let left = Instant::now();
    fleet.terminate(leaver);
    let gone = wait_gone(fleet, leaver, left).await?;
    println!("leave announced: known everywhere after {:.2} s", gone.as_secs_f64());
    let victim = nodes - 2;
    let crashed = Instant::now();
    fleet.crash(victim);
    let gone = wait_gone(fleet, victim, crashed).await?;
    println!("crash: declared dead everywhere after {:.2} s", gone.as_secs_f64());
    fleet.end_stopping();
    for place in [victim, leaver] {
        fleet.start(place)?;
        fleet.wait_started(place)?;
    }
    wait_known(fleet, "two nodes joined again", Instant::now(), nodes).await
}

async fn wait_gone(fleet: &ProcessFleet, place: usize, since: Instant) -> Result<Duration> {
    let name = ProcessFleet::name(place);
    let gone = |report: &NodeReport| {
        let in_use = |state: &str| matches!(state, "alive" | "suspect");
        !report.members.iter().any(|member| *member.name == *name && in_use(&member.state))
    };
    fleet.wait_all("a departure known", since, PATIENCE, gone).await
}

async fn measure_restart(fleet: &mut ProcessFleet, platform: &RunningPlatform, nodes: usize) -> Result<()> {
    for place in 0..nodes {
        fleet.crash(place);
    }
    let counts = platform.standin.counts();
    let standin = platform.standin.clone();
    let busiest = tokio::spawn(async move {
        let mut most = 0;
        let mut last = total(standin.counts());
        for _second in 0..15 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let now = total(standin.counts());
            most = most.max(now - last);
            last = now;
        }
        most
    });
    let started = Instant::now();
    fleet.start_all()?;
    wait_known(fleet, "mass restart", started, nodes).await?;
    let most = busiest.await.unwrap_or(0);
    print_platform(
        "platform calls/s in the mass restart",
        counts,
        platform.standin.counts(),
        started.elapsed().as_secs_f64(),
    );
    println!("platform calls in the busiest second of the mass restart: {most}");
    Ok(())
}

async fn wait_known(fleet: &ProcessFleet, what: &'static str, since: Instant, nodes: usize) -> Result<()> {
    let took = fleet.wait_all(what, since, PATIENCE, |report| {
        report.members.iter().filter(|member| &*member.state == "alive").count() == nodes
    });
    println!("{what}: every node knows every other after {:.2} s", took.await?.as_secs_f64());
    Ok(())
}

async fn wait_applied(
    api: &HttpPlatform,
    what: &'static str,
    since: Instant,
    args: &ScaleArgs,
) -> Result<()> {
    while since.elapsed() < PATIENCE {
        let object = api.get(ObjectKind::Service, "service-0").await.ok().flatten();
        let status = api.get(ObjectKind::ServiceStatus, "service-0").await.ok().flatten();
        let status = status.and_then(|status| serde_json::from_value::<ServiceStatus>(status.value).ok());
        let applied = status.is_some_and(|status| {
            let current = object.is_some_and(|object| object.version == status.observed_version);
            current && status.applied && status.applied_nodes == u32::from(args.nodes)
        });
        if applied {
            println!("{what}: after {:.2} s", since.elapsed().as_secs_f64());
            return Ok(());
        }
        tokio::time::sleep(STATUS_POLL).await;
    }
    TooLongSnafu { what, waited: PATIENCE }.fail()
}

async fn declare(api: &HttpPlatform, services: u16) {
    let set =
        json!({ "priorities": { "urgent": { "objective_ms": 100 }, "bulk": { "objective_ms": 1000 } } });
    put(api, ObjectKind::PrioritySet, "two", &set).await;
    put(api, ObjectKind::UpstreamRule, "workers", &json!({})).await;
    for index in 0..services {
        put(api, ObjectKind::Service, &format!("service-{index}"), &service(1_000)).await;
    }
}

fn service(timeout_ms: u64) -> Value {
    json!({
        "priority_set": "two", "upstream_rule": "workers", "default_priority": "bulk",
        "default_timeout_ms": timeout_ms,
    })
}

async fn put(api: &HttpPlatform, kind: ObjectKind, name: &str, value: &Value) {
    if let Err(error) = api.put(kind, name, value, Precondition::Absent).await {
        eprintln!("{kind} {name} not written: {error}");
    }
}

/// Changes the first service; the revision that its change gets.
async fn change_service(api: &HttpPlatform, change: u64) -> u64 {
    let held = api.get(ObjectKind::Service, "service-0").await.ok().flatten();
    let published = api.get(ObjectKind::Published, "service-0").await.ok().flatten();
    let revision = published.and_then(|object| object.value["revision"].as_u64()).unwrap_or(0);
    if let Some(held) = held {
        let value = service(1_000 + change);
        if let Err(error) =
            api.put(ObjectKind::Service, "service-0", &value, Precondition::Version(held.version)).await
        {
            eprintln!("change {change} not written: {error}");
        }
    }
    revision + 1
}

fn binary(args: &ScaleArgs) -> Result<PathBuf> {
    if let Some(binary) = &args.binary {
        return Ok(binary.clone());
    }
    let here = std::env::current_exe().context(SystemSnafu { what: "finding this program" })?;
    Ok(here.with_file_name("yuccatrayd"))
}

fn total(counts: PlatformCounts) -> u64 {
    counts.gets + counts.lists + counts.watches + counts.writes
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run are far below 2^52")]
fn print_platform(what: &str, before: PlatformCounts, after: PlatformCounts, seconds: f64) {
    let rate = |pick: fn(PlatformCounts) -> u64| (pick(after) - pick(before)) as f64 / seconds;
    println!(
        "{what}: reads {:.2}, watches {:.2}, writes {:.2}",
        rate(|counts| counts.gets + counts.lists),
        rate(|counts| counts.watches),
        rate(|counts| counts.writes)
    );
}

fn spread<F>(before: &[Usage], after: &[Usage], rate: F) -> (f64, f64)
where
    F: Fn(&Usage) -> f64,
{
    mean_and_largest(before.iter().zip(after).map(|(before, after)| rate(after) - rate(before)).collect())
}

#[expect(clippy::cast_precision_loss, reason = "there are a few hundred nodes")]
fn mean_and_largest(values: Vec<f64>) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let largest = values.iter().copied().fold(0.0, f64::max);
    (values.into_iter().sum::<f64>() / count, largest)
}

#[expect(clippy::cast_precision_loss, reason = "the memory of one process is far below 2^52")]
fn mebibytes(bytes: u64) -> f64 {
    bytes as f64 / 1_048_576.0
}

fn print_pair(what: &str, (mean, largest): (f64, f64)) {
    println!("{what}: {mean:.2}, {largest:.2}");
}
