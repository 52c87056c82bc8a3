//! Measures the control-plane overhead of a fleet of node processes, and how fast it converges.

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
use yuccatray_load::process_fleet::NodeUsage;
use yuccatray_load::process_fleet::ProcessFleet;
use yuccatray_load::process_fleet::Result;
use yuccatray_load::process_fleet::SystemSnafu;
use yuccatray_load::process_fleet::TimeoutSnafu;
use yuccatray_standin::platform::PlatformRequestCounts;
use yuccatray_standin::platform::PlatformStandin;
use yuccatray_standin::platform::RunningPlatform;

/// Maximum time until every node knows of a change.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(1);
/// Timeout of a request to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between reads of a service's status.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of measured configuration changes.
const CONFIG_CHANGES: u64 = 5;

/// Measures the control-plane overhead of a fleet of node processes, and how fast it converges.
#[derive(Debug, Args)]
pub struct ScaleArgs {
    /// Number of node processes.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u16).range(4..=300))]
    nodes: u16,
    /// Number of declared services.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u16).range(1..=170))]
    services: u16,
    /// Duration of the measurement of the idle fleet, in milliseconds.
    #[arg(long, default_value_t = 20_000)]
    rest_ms: u64,
    /// Time between the start of the fleet and the first measurement, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    settle_ms: u64,
    /// Binary of the node; by default `yuccatrayd` in the directory of this program.
    #[arg(long)]
    binary: Option<PathBuf>,
}

/// Runs `yuccatray-load scale`.
pub async fn cmd_scale(args: &ScaleArgs) -> Result<()> {
    let platform = PlatformStandin::start(any_port())
        .await
        .context(SystemSnafu { operation: "starting the platform" })?;
    let api = HttpPlatform::new(platform.addr, PLATFORM_TIMEOUT);
    let nodes = usize::from(args.nodes);
    let mut fleet = ProcessFleet::new(&binary(args)?, nodes, platform.addr)?;
    println!("nodes {nodes}, services {}", args.services);
    create_objects(&api, args.services).await;
    let started = Instant::now();
    fleet.start_all()?;
    wait_joined(&fleet, "start of all nodes", started, nodes).await?;
    wait_applied(&api, "configuration applied and reported", started, args).await?;
    tokio::time::sleep(Duration::from_millis(args.settle_ms)).await;
    measure_idle(&fleet, &platform, args).await;
    measure_changes(&fleet, &platform, &api, args).await?;
    measure_departures(&mut fleet, nodes).await?;
    measure_restart(&mut fleet, &platform, nodes).await
}

/// Measures the resource usage and platform calls of the idle fleet.
async fn measure_idle(fleet: &ProcessFleet, platform: &RunningPlatform, args: &ScaleArgs) {
    let (before, counts) = (fleet.usage().await, platform.standin.counts());
    let started = Instant::now();
    tokio::time::sleep(Duration::from_millis(args.rest_ms)).await;
    let (after, counts_after) = (fleet.usage().await, platform.standin.counts());
    let seconds = started.elapsed().as_secs_f64();
    let rate = |get: fn(&NodeUsage) -> f64| mean_and_max_rate(&before, &after, |usage| get(usage) / seconds);
    println!("idle, per node: mean, maximum");
    print_mean_and_max("  messages/s", rate(|usage| usage.messages));
    print_mean_and_max("  bytes sent/s", rate(|usage| usage.sent_bytes));
    print_mean_and_max("  bytes received/s", rate(|usage| usage.received_bytes));
    print_mean_and_max("  CPU, % of a core", rate(|usage| usage.cpu_seconds * 100.0));
    let resident_mib = after.iter().map(|usage| to_mib(usage.resident_bytes));
    print_mean_and_max("  resident MiB", mean_and_max(resident_mib.collect()));
    print_platform("  platform calls/s", counts, counts_after, seconds);
}

/// Measures how fast configuration changes reach every node, and the platform calls meanwhile.
async fn measure_changes(
    fleet: &ProcessFleet,
    platform: &RunningPlatform,
    api: &HttpPlatform,
    args: &ScaleArgs,
) -> Result<()> {
    let counts = platform.standin.counts();
    let started = Instant::now();
    for change in 1..=CONFIG_CHANGES {
        let changed_at = Instant::now();
        let revision = change_service(api, change).await;
        let elapsed = fleet.wait_all("a change on every node", changed_at, CONVERGENCE_TIMEOUT, |report| {
            report.revisions.get("service-0").is_some_and(|applied| *applied >= revision)
        });
        println!("change {change}: on every node after {:.2} s", elapsed.await?.as_secs_f64());
        wait_applied(api, "  and reported", changed_at, args).await?;
    }
    print_platform(
        "platform calls/s during the changes, polls of this tool included",
        counts,
        platform.standin.counts(),
        started.elapsed().as_secs_f64(),
    );
    Ok(())
}

/// Measures how fast every node learns of a node that leaves and of one that crashes, then restarts both.
async fn measure_departures(fleet: &mut ProcessFleet, nodes: usize) -> Result<()> {
    let leaving = nodes - 1;
    let left_at = Instant::now();
    fleet.terminate(leaving);
    let removed = wait_removed(fleet, leaving, left_at).await?;
    println!("leave: known to every node after {:.2} s", removed.as_secs_f64());
    let crashing = nodes - 2;
    let crashed_at = Instant::now();
    fleet.crash(crashing);
    let removed = wait_removed(fleet, crashing, crashed_at).await?;
    println!("crash: declared dead on every node after {:.2} s", removed.as_secs_f64());
    fleet.kill_stopping();
    for index in [crashing, leaving] {
        fleet.start(index)?;
        fleet.wait_started(index)?;
    }
    wait_joined(fleet, "two nodes rejoined", Instant::now(), nodes).await
}

/// Waits until no running node lists the node as alive or suspect.
async fn wait_removed(fleet: &ProcessFleet, index: usize, since: Instant) -> Result<Duration> {
    let name = ProcessFleet::node_name(index);
    let removed = |report: &NodeReport| {
        let is_live = |state: &str| matches!(state, "alive" | "suspect");
        !report.members.iter().any(|member| *member.name == *name && is_live(&member.state))
    };
    fleet.wait_all("a leave or crash known to every node", since, CONVERGENCE_TIMEOUT, removed).await
}

/// Measures a restart of the whole fleet at once, with the platform calls that it causes.
async fn measure_restart(fleet: &mut ProcessFleet, platform: &RunningPlatform, nodes: usize) -> Result<()> {
    for index in 0..nodes {
        fleet.crash(index);
    }
    let counts = platform.standin.counts();
    let standin = platform.standin.clone();
    let peak_rate = tokio::spawn(async move {
        let mut max_calls = 0;
        let mut previous = total_calls(standin.counts());
        for _second in 0..15 {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let now = total_calls(standin.counts());
            max_calls = max_calls.max(now - previous);
            previous = now;
        }
        max_calls
    });
    let started = Instant::now();
    fleet.start_all()?;
    wait_joined(fleet, "mass restart", started, nodes).await?;
    let max_calls = peak_rate.await.unwrap_or(0);
    print_platform(
        "platform calls/s in the mass restart",
        counts,
        platform.standin.counts(),
        started.elapsed().as_secs_f64(),
    );
    println!("platform calls in the busiest second of the mass restart: {max_calls}");
    Ok(())
}

/// Waits until every node sees all nodes as alive.
async fn wait_joined(fleet: &ProcessFleet, label: &'static str, since: Instant, nodes: usize) -> Result<()> {
    let elapsed = fleet.wait_all(label, since, CONVERGENCE_TIMEOUT, |report| {
        report.members.iter().filter(|member| &*member.state == "alive").count() == nodes
    });
    println!("{label}: every node knows every other after {:.2} s", elapsed.await?.as_secs_f64());
    Ok(())
}

/// Waits until the status of the first service reports its current version as applied on every node.
async fn wait_applied(
    api: &HttpPlatform,
    label: &'static str,
    since: Instant,
    args: &ScaleArgs,
) -> Result<()> {
    while since.elapsed() < CONVERGENCE_TIMEOUT {
        let object = api.get(ObjectKind::Service, "service-0").await.ok().flatten();
        let status = api.get(ObjectKind::ServiceStatus, "service-0").await.ok().flatten();
        let status = status.and_then(|status| serde_json::from_value::<ServiceStatus>(status.value).ok());
        let applied = status.is_some_and(|status| {
            let current = object.is_some_and(|object| object.version == status.observed_version);
            current && status.applied && status.applied_nodes == u32::from(args.nodes)
        });
        if applied {
            println!("{label}: after {:.2} s", since.elapsed().as_secs_f64());
            return Ok(());
        }
        tokio::time::sleep(STATUS_POLL_INTERVAL).await;
    }
    TimeoutSnafu { condition: label, waited: CONVERGENCE_TIMEOUT }.fail()
}

/// Creates the objects of the services.
async fn create_objects(api: &HttpPlatform, services: u16) {
    let set =
        json!({ "priorities": { "urgent": { "objective_ms": 100 }, "bulk": { "objective_ms": 1000 } } });
    put(api, ObjectKind::PrioritySet, "two", &set).await;
    put(api, ObjectKind::UpstreamRule, "workers", &json!({})).await;
    for index in 0..services {
        put(api, ObjectKind::Service, &format!("service-{index}"), &service(1_000)).await;
    }
}

/// Returns the value of a service object.
fn service(timeout_ms: u64) -> Value {
    json!({
        "priority_set": "two", "upstream_rule": "workers", "default_priority": "bulk",
        "default_timeout_ms": timeout_ms,
    })
}

async fn put(api: &HttpPlatform, kind: ObjectKind, name: &str, value: &Value) {
    if let Err(error) = api.put(kind, name, value, Precondition::Absent).await {
        eprintln!("cannot write {kind} {name}: {error}");
    }
}

/// Changes the first service and returns the revision that its publication will have.
async fn change_service(api: &HttpPlatform, change: u64) -> u64 {
    let current_object = api.get(ObjectKind::Service, "service-0").await.ok().flatten();
    let published = api.get(ObjectKind::Published, "service-0").await.ok().flatten();
    let revision = published.and_then(|object| object.value["revision"].as_u64()).unwrap_or(0);
    if let Some(current_object) = current_object {
        let value = service(1_000 + change);
        if let Err(error) = api
            .put(ObjectKind::Service, "service-0", &value, Precondition::Version(current_object.version))
            .await
        {
            eprintln!("cannot write change {change}: {error}");
        }
    }
    revision + 1
}

/// Returns the path of the node's binary.
fn binary(args: &ScaleArgs) -> Result<PathBuf> {
    if let Some(binary) = &args.binary {
        return Ok(binary.clone());
    }
    let own_path = std::env::current_exe().context(SystemSnafu { operation: "finding this program" })?;
    Ok(own_path.with_file_name("yuccatrayd"))
}

fn total_calls(counts: PlatformRequestCounts) -> u64 {
    counts.gets + counts.lists + counts.watches + counts.writes
}

#[expect(clippy::cast_precision_loss, reason = "counts of one run are far below 2^52")]
fn print_platform(label: &str, before: PlatformRequestCounts, after: PlatformRequestCounts, seconds: f64) {
    let rate = |get: fn(PlatformRequestCounts) -> u64| (get(after) - get(before)) as f64 / seconds;
    println!(
        "{label}: reads {:.2}, watches {:.2}, writes {:.2}",
        rate(|counts| counts.gets + counts.lists),
        rate(|counts| counts.watches),
        rate(|counts| counts.writes)
    );
}

/// Returns mean and maximum over the nodes of the difference between two measurements.
fn mean_and_max_rate<F>(before: &[NodeUsage], after: &[NodeUsage], rate: F) -> (f64, f64)
where
    F: Fn(&NodeUsage) -> f64,
{
    mean_and_max(before.iter().zip(after).map(|(before, after)| rate(after) - rate(before)).collect())
}

#[expect(clippy::cast_precision_loss, reason = "there are a few hundred nodes")]
fn mean_and_max(values: Vec<f64>) -> (f64, f64) {
    let count = values.len().max(1) as f64;
    let max = values.iter().copied().fold(0.0, f64::max);
    (values.into_iter().sum::<f64>() / count, max)
}

#[expect(clippy::cast_precision_loss, reason = "the memory of one process is far below 2^52")]
fn to_mib(bytes: u64) -> f64 {
    bytes as f64 / 1_048_576.0
}

fn print_mean_and_max(label: &str, (mean, max): (f64, f64)) {
    println!("{label}: {mean:.2}, {max:.2}");
}
