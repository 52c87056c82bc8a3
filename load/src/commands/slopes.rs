//! Measures memory, message size and run time of parts of a node, each per member, service, key or call.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant as WallInstant;

use clap::Args;
use http::StatusCode;
use prost::Message;
use tokio::time::Instant;
use yuccatray::coordination::call_measurement::BodyEnd;
use yuccatray::coordination::call_measurement::CallMeasurement;
use yuccatray::protocol::call_id::CallIdGenerator;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::member_from_wire;
use yuccatray::protocol::published::Published;
use yuccatray::protocol::trace::TraceStep;
use yuccatray::state::burn_counts::BurnCounts;
use yuccatray::state::burn_counts::BurnKey;
use yuccatray::state::config_table::ConfigTable;
use yuccatray::state::decision_log::DecisionLog;
use yuccatray::state::directory::Directory;
use yuccatray_load::process_usage::ProcessUsage;
use yuccatray_proto::peer_v1 as wire;

/// Copies of a small state over which its memory is averaged.
const COPIES: usize = 20;
/// Copies of a large state over which its memory is averaged.
const LARGE_COPIES: usize = 4;
/// Latency objective of the counted calls.
const OBJECTIVE: Duration = Duration::from_millis(100);
/// Iterations of operations that take less than a few microseconds.
const FAST_ITERATIONS: u32 = 1_000_000;
/// Threads that count calls concurrently.
const THREADS: u32 = 4;
/// Iterations of slower operations.
const SLOW_ITERATIONS: u32 = 200;
/// Length of a time slot of the burn counts.
const BURN_SLOT: Duration = Duration::from_mins(5);
/// Time slots of the longest burn window.
const SLOTS_IN_SIX_HOURS: u32 = 72;

/// Measures memory, message size and run time of parts of a node, each per member, service, key or call.
#[derive(Debug, Args)]
pub struct SlopesArgs {
    /// Number of members of the fleet.
    #[arg(long, default_value_t = 1_300)]
    members: u32,
    /// Number of services of the fleet.
    #[arg(long, default_value_t = 170)]
    services: u32,
    /// Number of priorities of each service.
    #[arg(long, default_value_t = 4)]
    priorities: u32,
}

/// Runs `yuccatray-load slopes`.
pub fn cmd_slopes(args: &SlopesArgs) {
    measure_memory(args);
    measure_directory(args);
    measure_config_table(args);
    measure_burn_counts(args);
}

fn print(label: &str, value: f64, unit: &str) {
    println!("{label}: {value:.2} {unit}");
}

/// Measures the resident memory of each kind of state; all states are kept, so that none reuses freed memory.
fn measure_memory(args: &SlopesArgs) {
    let (directories, bytes_per_copy) = build_copies(COPIES, || filled_directory(args));
    print("member in the directory", bytes_per(bytes_per_copy, args.members), "bytes");
    let (tables, bytes_per_copy) = build_copies(COPIES, || filled_table(args));
    print("service in the configuration table", bytes_per(bytes_per_copy, args.services), "bytes");
    let keys = burn_keys(args);
    let (sparse, bytes_per_copy) = build_copies(LARGE_COPIES, || filled_counts(&keys, 1));
    print(
        "service x priority in one shard of the burn counts, first slots",
        bytes_per(bytes_per_copy, key_count(args)),
        "bytes",
    );
    let (full, bytes_per_copy) = build_copies(LARGE_COPIES, || filled_counts(&keys, SLOTS_IN_SIX_HOURS));
    print(
        "service x priority in one shard of the burn counts, six hours",
        bytes_per(bytes_per_copy, key_count(args)),
        "bytes",
    );
    drop((directories, tables, sparse, full));
}

/// Builds `count` copies of a state after a first one, and returns all with the resident bytes of a copy.
fn build_copies<T, F>(count: usize, make: F) -> (Vec<T>, usize)
where
    F: Fn() -> T,
{
    let mut copies = Vec::with_capacity(count + 1);
    copies.push(make());
    let before = resident_bytes();
    for _ in 0..count {
        copies.push(make());
    }
    let bytes_per_copy = resident_bytes().saturating_sub(before) / count;
    (copies, bytes_per_copy)
}

/// Measures the member directory and the size of a member on the wire.
fn measure_directory(args: &SlopesArgs) {
    let members = members(args);
    let encoded: usize = members.iter().map(|member| wire::Member::from(&**member).encoded_len()).sum();
    print("member on the wire", bytes_per(encoded, args.members), "bytes");
    let directory = Directory::default();
    let mean_us =
        mean_us_of(SLOW_ITERATIONS, || directory.replace(members.iter().map(Arc::clone), Instant::now()));
    print("directory replaced as a whole", mean_us, "us");
    let mean_us = mean_us_of(FAST_ITERATIONS, || {
        std::hint::black_box(directory.snapshot().members_serving("service-7").len());
    });
    print("upstreams of a service looked up", mean_us, "us");
}

fn filled_directory(args: &SlopesArgs) -> Directory {
    let directory = Directory::default();
    directory.replace(members(args), Instant::now());
    directory
}

fn members(args: &SlopesArgs) -> Vec<Arc<Member>> {
    let wire_member = |index: u32| wire::Member {
        name: format!("vm-{index:05}"),
        incarnation: 1_700_000_000_000_000 + u64::from(index),
        version: u64::from(index),
        state: wire::MemberState::Alive.into(),
        region: format!("region-{}", index % 3),
        zone: format!("zone-{}", index % 7),
        peer_addr: format!("10.20.{}.{}:7101", index / 250, index % 250),
        ingress_addr: format!("10.20.{}.{}:7001", index / 250, index % 250),
        admin_addr: format!("10.20.{}.{}:7301", index / 250, index % 250),
        upstream: Some(wire::Upstream {
            service: format!("service-{}", index % args.services),
            slots: 10,
            draining: false,
        }),
    };
    (0..args.members).filter_map(|index| member_from_wire(&wire_member(index))).map(Arc::new).collect()
}

/// Measures the configuration table and the size of a publication.
fn measure_config_table(args: &SlopesArgs) {
    let text = published(args, 0, 1).to_string();
    print("publication of a service as JSON", bytes_per(text.len(), 1), "bytes");
    let table = filled_table(args);
    let mut revision = 1;
    let mean_us = mean_us_of(SLOW_ITERATIONS, || {
        revision += 1;
        let published = serde_json::from_value::<Published>(published(args, 0, revision));
        assert!(published.is_ok_and(|published| table.apply(published)), "a newer revision must be applied");
    });
    print("publication read and applied", mean_us, "us");
    let mean_us = mean_us_of(SLOW_ITERATIONS, || {
        std::hint::black_box(table.digest());
    });
    print("digest of the configuration", mean_us, "us");
}

fn filled_table(args: &SlopesArgs) -> ConfigTable {
    let table = ConfigTable::new();
    for index in 0..args.services {
        let published = serde_json::from_value::<Published>(published(args, index, 1));
        assert!(published.is_ok_and(|published| table.apply(published)), "a first revision must be applied");
    }
    table
}

/// Returns a publication of a service as JSON.
fn published(args: &SlopesArgs, index: u32, revision: u64) -> serde_json::Value {
    let priorities: serde_json::Map<_, _> = (0..args.priorities)
        .map(|rank| {
            let spec = serde_json::json!({ "objective_ms": 100, "target_percent": 99.9, "weight": 10 });
            (format!("priority-{rank}"), spec)
        })
        .collect();
    serde_json::json!({
        "service": format!("service-{index}"), "revision": revision, "epoch": 1,
        "config": {
            "sources": {
                "service_uid": "3f1c9a2e77d0", "service_version": 1,
                "priority_set_version": 1, "upstream_rule_version": 1
            },
            "service": {
                "priority_set": "all", "upstream_rule": "workers", "default_priority": "priority-0"
            },
            "priorities": { "priorities": priorities },
            "upstream_rule": {}
        }
    })
}

/// Measures counting calls, recording decisions, and the size of a burn report.
fn measure_burn_counts(args: &SlopesArgs) {
    let keys = burn_keys(args);
    let counts = filled_counts(&keys, 1);
    let rows = counts.rows(None, &ConfigTable::new().snapshot(), Instant::now());
    let text = serde_json::to_string(&rows).unwrap_or_default();
    print("row of a node's burn report", bytes_per(text.len(), key_count(args)), "bytes");
    let mut key = 0;
    let mean_us = mean_us_of(FAST_ITERATIONS, || {
        key = (key + 1) % keys.len();
        count_call(&counts, &keys[key]);
    });
    print("call counted, one thread", mean_us, "us");
    let log = DecisionLog::new(Instant::now());
    let ids = CallIdGenerator::new(Arc::from("vm-00007"), 1);
    let mean_us = mean_us_of(FAST_ITERATIONS, || log.record(&ids.next(), TraceStep::Arrived, Instant::now()));
    print("decision logged for traces", mean_us, "us");
    let mean_us = mean_us_of(1, || count_on_threads(&counts, &keys)) / f64::from(FAST_ITERATIONS);
    print("call counted, four threads at once, by the wall clock", mean_us, "us");
}

/// Returns burn counts with calls of every key in each of `slots` time slots.
fn filled_counts(keys: &[BurnKey], slots: u32) -> Arc<BurnCounts> {
    let started = Instant::now();
    let counts = Arc::new(BurnCounts::new(started));
    for slot in 0..slots {
        for (index, key) in keys.iter().enumerate() {
            count_latencies(&counts, key, index, started + BURN_SLOT * slot);
        }
    }
    counts
}

fn burn_keys(args: &SlopesArgs) -> Vec<BurnKey> {
    let pair = |index: u32| BurnKey {
        service: Arc::from(format!("service-{}", index / args.priorities)),
        priority: Arc::from(format!("priority-{}", index % args.priorities)),
    };
    (0..key_count(args)).map(pair).collect()
}

/// Returns the number of keys: combinations of service and priority.
const fn key_count(args: &SlopesArgs) -> u32 {
    args.services * args.priorities
}

/// Counts calls with latencies from 0.2 ms to 1.2 s, the range of a busy service.
fn count_latencies(counts: &Arc<BurnCounts>, key: &BurnKey, index: usize, started: Instant) {
    for step in (0..200_u64).step_by(10) {
        let latency = Duration::from_micros(200 + step * step * 30 + index as u64);
        let measurement = CallMeasurement::new(Arc::clone(counts), key.clone(), OBJECTIVE, started);
        measurement.record_response_head(StatusCode::OK, Duration::ZERO);
        measurement.record_body_end(BodyEnd::Complete, started + latency);
    }
}

/// Counts one call that is answered at once.
fn count_call(counts: &Arc<BurnCounts>, key: &BurnKey) {
    let now = Instant::now();
    let measurement = CallMeasurement::new(Arc::clone(counts), key.clone(), OBJECTIVE, now);
    measurement.record_response_head(StatusCode::OK, Duration::ZERO);
    measurement.record_body_end(BodyEnd::Complete, now);
}

/// Counts [`FAST_ITERATIONS`] calls on [`THREADS`] threads.
fn count_on_threads(counts: &Arc<BurnCounts>, keys: &[BurnKey]) {
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                for step in 0..FAST_ITERATIONS / THREADS {
                    count_call(counts, &keys[step as usize % keys.len()]);
                }
            });
        }
    });
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let usage = ProcessUsage::measure(&[std::process::id()]).unwrap_or_default();
    usize::try_from(usage.resident_bytes).unwrap_or(usize::MAX)
}

/// Returns the mean time of an operation, in microseconds.
fn mean_us_of<F>(iterations: u32, mut operation: F) -> f64
where
    F: FnMut(),
{
    let started = WallInstant::now();
    for _ in 0..iterations {
        operation();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(iterations)
}

/// Returns the bytes of one of `count` items.
fn bytes_per(bytes: usize, count: u32) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / f64::from(count)
}
