//! Short soak runs of node processes with fixed seeds; a seed that exposed a fault stays as a regression test.

use std::path::Path;
use std::time::Duration;

use tokio::sync::Mutex;
use yuccatray_soak::run_soak::SoakOptions;
use yuccatray_soak::run_soak::run_soak;
use yuccatray_soak::tenant_soak::run_tenant_soak;

const NODE_COUNT: usize = 3;
const DURATION: Duration = Duration::from_secs(4);
/// Held by the soak that runs, since nodes of two soaks may take over each other's ports and names.
static RUNNING: Mutex<()> = Mutex::const_new(());

/// Kind of a soak.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SoakKind {
    Plain,
    RepeatSignals,
    Tenants,
}

/// Runs a soak with the seed and asserts that it reports no findings.
async fn assert_no_findings(seed: u64, kind: SoakKind) {
    let _running = RUNNING.lock().await;
    let logs = tempfile::tempdir().expect("a temporary directory can be created");
    let options = SoakOptions {
        binary: Path::new(env!("CARGO_BIN_EXE_yuccatrayd")).to_path_buf(),
        seed,
        nodes: NODE_COUNT,
        duration: DURATION,
        logs: logs.path().to_path_buf(),
        repeat_signals: kind == SoakKind::RepeatSignals,
    };
    let report = match kind {
        SoakKind::Plain | SoakKind::RepeatSignals => run_soak(&options).await,
        SoakKind::Tenants => run_tenant_soak(&options).await,
    };
    let findings: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    assert_eq!(findings, Vec::<String>::new(), "{:#?}", report.disturbances);
    assert!(report.answered > 0, "at least one call was answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_short_seed_11() {
    assert_no_findings(11, SoakKind::Plain).await;
}

/// Guards against a fault in which some nodes never got the configuration.
///
/// It affected nodes whose advertised peer address differs from the source address of their datagrams.
#[tokio::test(flavor = "multi_thread")]
async fn soak_short_seed_1_advertised_address() {
    assert_no_findings(1, SoakKind::Plain).await;
}

/// Guards against calls that are cut when a node that stops gets further signals.
#[tokio::test(flavor = "multi_thread")]
async fn soak_short_seed_1002_repeated_signals() {
    assert_no_findings(1002, SoakKind::RepeatSignals).await;
}

/// Guards against broken promises on keys, quotas, evacuations and cold upstreams that need several faults at once.
#[tokio::test(flavor = "multi_thread")]
async fn soak_short_seed_2_tenants() {
    assert_no_findings(2, SoakKind::Tenants).await;
}

/// Guards against the same under another series, in which the other zone is evacuated.
#[tokio::test(flavor = "multi_thread")]
async fn soak_short_seed_3_tenants() {
    assert_no_findings(3, SoakKind::Tenants).await;
}
