//! Measures what single parts of a node cost, one slope a line.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant as WallInstant;

use clap::Args;
use http::StatusCode;
use prost::Message;
use tokio::time::Instant;
use yuccatray::coordination::call_measurement::BodyEnd;
use yuccatray::coordination::call_measurement::CallMeasurement;
use yuccatray::protocol::call_id::CallIdSource;
use yuccatray::protocol::member::Member;
use yuccatray::protocol::member::member_from_wire;
use yuccatray::protocol::published::Published;
use yuccatray::protocol::trace::Step;
use yuccatray::state::burn_counts::BurnCounts;
use yuccatray::state::burn_counts::BurnKey;
use yuccatray::state::config_table::ConfigTable;
use yuccatray::state::decision_log::DecisionLog;
use yuccatray::state::directory::Directory;
use yuccatray_load::process_usage::ProcessUsage;
use yuccatray_proto::peer_v1 as wire;

const COPIES: usize = 20;
const LARGE_COPIES: usize = 4;
const OBJECTIVE: Duration = Duration::from_millis(100);
const RECORDS: u32 = 1_000_000;
const RECORD_THREADS: u32 = 4;
const REPEATS: u32 = 200;
const LONG_SLOT: Duration = Duration::from_mins(5);
const FULL_SLOTS: u32 = 72;

/// Measures what single parts of a node cost.
#[derive(Debug, Args)]
pub struct SlopesArgs {
    /// Members of the fleet.
    #[arg(long, default_value_t = 1_300)]
    members: u32,
    /// Services of the fleet.
    #[arg(long, default_value_t = 170)]
    services: u32,
    /// Priorities of a service.
    #[arg(long, default_value_t = 4)]
    priorities: u32,
}

/// Runs `yuccatray-load slopes`.
pub fn cmd_slopes(args: &SlopesArgs) {
    memory(args);
    directory(args);
    config_table(args);
    burn_counts(args);
}

fn print(slope: &str, value: f64, unit: &str) {
    println!("{slope}: {value:.2} {unit}");
}

/// Resident memory of each kind of state; what was made is kept, so that none is taken from freed memory.
fn memory(args: &SlopesArgs) {
    let (directories, grown) = grown_by(COPIES, || filled_directory(args));
    print("member in the directory", per(grown, args.members), "bytes");
    let (tables, grown) = grown_by(COPIES, || filled_table(args));
    print("service in the configuration table", per(grown, args.services), "bytes");
    let keys = burn_keys(args);
    let (few, grown) = grown_by(LARGE_COPIES, || filled_counts(&keys, 1));
    print(
        "service x priority in one shard of the burn counts, first slots",
        per(grown, pairs(args)),
        "bytes",
    );
    let (full, grown) = grown_by(LARGE_COPIES, || filled_counts(&keys, FULL_SLOTS));
    print("service x priority in one shard of the burn counts, six hours", per(grown, pairs(args)), "bytes");
    drop((directories, tables, few, full));
}

/// Copies of a state, and the resident bytes of one.
fn grown_by<T, F>(count: usize, make: F) -> (Vec<T>, usize)
where
    F: Fn() -> T,
{
    let mut copies = Vec::with_capacity(count + 1);
    copies.push(make());
    let before = resident_bytes();
    for _ in 0..count {
        copies.push(make());
    }
    let grown = resident_bytes().saturating_sub(before) / count;
    (copies, grown)
}

fn directory(args: &SlopesArgs) {
    let members = members(args);
    let encoded: usize = members.iter().map(|member| wire::Member::from(&**member).encoded_len()).sum();
    print("member on the wire", per(encoded, args.members), "bytes");
    let directory = Directory::default();
    let took = timed(REPEATS, || directory.replace(members.iter().map(Arc::clone), Instant::now()));
    print("directory replaced as a whole", took, "us");
    let took = timed(RECORDS, || {
        std::hint::black_box(directory.snapshot().upstreams_of("service-7").len());
    });
    print("upstreams of a service looked up", took, "us");
}

fn filled_directory(args: &SlopesArgs) -> Directory {
    let directory = Directory::default();
    directory.replace(members(args), Instant::now());
    directory
}

fn members(args: &SlopesArgs) -> Vec<Arc<Member>> {
    let named = |index: u32| wire::Member {
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
    (0..args.members).filter_map(|index| member_from_wire(&named(index))).map(Arc::new).collect()
}

fn config_table(args: &SlopesArgs) {
    let text = published(args, 0, 1).to_string();
    print("publication of a service as JSON", per(text.len(), 1), "bytes");
    let table = filled_table(args);
    let mut revision = 1;
    let took = timed(REPEATS, || {
        revision += 1;
        let published = serde_json::from_value::<Published>(published(args, 0, revision));
        assert!(published.is_ok_and(|published| table.apply(published)), "a later revision is applied");
    });
    print("publication read and applied", took, "us");
    let took = timed(REPEATS, || {
        std::hint::black_box(table.digest());
    });
    print("digest of the configuration", took, "us");
}

fn filled_table(args: &SlopesArgs) -> ConfigTable {
    let table = ConfigTable::new();
    for index in 0..args.services {
        let published = serde_json::from_value::<Published>(published(args, index, 1));
        assert!(published.is_ok_and(|published| table.apply(published)), "a first revision is applied");
    }
    table
}

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

fn burn_counts(args: &SlopesArgs) {
    let keys = burn_keys(args);
    let counts = filled_counts(&keys, 1);
    let rows = counts.rows(None, &ConfigTable::new().snapshot(), Instant::now());
    let text = serde_json::to_string(&rows).unwrap_or_default();
    print("row of a node's burn report", per(text.len(), pairs(args)), "bytes");
    let mut key = 0;
    let took = timed(RECORDS, || {
        key = (key + 1) % keys.len();
        measure(&counts, &keys[key]);
    });
    print("call counted, one thread", took, "us");
    let log = DecisionLog::new(Instant::now());
    let ids = CallIdSource::new(Arc::from("vm-00007"), 1);
    let took = timed(RECORDS, || log.record(&ids.next(), Step::Arrived, Instant::now()));
    print("decision logged for traces", took, "us");
    let took = timed(1, || count_on_threads(&counts, &keys)) / f64::from(RECORDS);
    print("call counted, four threads at once, by the wall clock", took, "us");
}

/// Counts of every key over a number of slots of five minutes.
fn filled_counts(keys: &[BurnKey], slots: u32) -> Arc<BurnCounts> {
    let started = Instant::now();
    let counts = Arc::new(BurnCounts::new(started));
    for slot in 0..slots {
        for (index, key) in keys.iter().enumerate() {
            count_latencies(&counts, key, index, started + LONG_SLOT * slot);
        }
    }
    counts
}

fn burn_keys(args: &SlopesArgs) -> Vec<BurnKey> {
    let pair = |index: u32| BurnKey {
        service: Arc::from(format!("service-{}", index / args.priorities)),
        priority: Arc::from(format!("priority-{}", index % args.priorities)),
    };
    (0..pairs(args)).map(pair).collect()
}

const fn pairs(args: &SlopesArgs) -> u32 {
    args.services * args.priorities
}

/// Latencies from 0.2 ms to 1.2 s, as a busy service has them.
fn count_latencies(counts: &Arc<BurnCounts>, key: &BurnKey, index: usize, started: Instant) {
    for step in (0..200_u64).step_by(10) {
        let latency = Duration::from_micros(200 + step * step * 30 + index as u64);
        let measurement = CallMeasurement::new(Arc::clone(counts), key.clone(), OBJECTIVE, started);
        measurement.record_response_head(StatusCode::OK, Duration::ZERO);
        measurement.record_body_end(BodyEnd::Complete, started + latency);
    }
}

fn measure(counts: &Arc<BurnCounts>, key: &BurnKey) {
    let now = Instant::now();
    let measurement = CallMeasurement::new(Arc::clone(counts), key.clone(), OBJECTIVE, now);
    measurement.record_response_head(StatusCode::OK, Duration::ZERO);
    measurement.record_body_end(BodyEnd::Complete, now);
}

fn count_on_threads(counts: &Arc<BurnCounts>, keys: &[BurnKey]) {
    std::thread::scope(|scope| {
        for _ in 0..RECORD_THREADS {
            scope.spawn(|| {
                for step in 0..RECORDS / RECORD_THREADS {
                    measure(counts, &keys[step as usize % keys.len()]);
                }
            });
        }
    });
}

/// Memory that this process has resident, in bytes.
fn resident_bytes() -> usize {
    let usage = ProcessUsage::of(&[std::process::id()]).unwrap_or_default();
    usize::try_from(usage.resident_bytes).unwrap_or(usize::MAX)
}

/// Mean time of one run, in microseconds.
fn timed<F>(runs: u32, mut run: F) -> f64
where
    F: FnMut(),
{
    let started = WallInstant::now();
    for _ in 0..runs {
        run();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(runs)
}

fn per(bytes: usize, count: u32) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / f64::from(count)
}
