//! A short soak of real processes with fixed seeds; those that once failed stay.

use std::path::Path;
use std::time::Duration;

use yuccatray_soak::play::Plan;
use yuccatray_soak::play::play;

const NODES: usize = 3;
const LASTS: Duration = Duration::from_secs(4);

async fn no_findings(seed: u64) {
    let logs = tempfile::tempdir().expect("a temporary folder can be made");
    let plan = Plan {
        binary: Path::new(env!("CARGO_BIN_EXE_yuccatrayd")).to_path_buf(),
        seed,
        nodes: NODES,
        lasts: LASTS,
        logs: logs.path().to_path_buf(),
    };
    let report = play(&plan).await;
    let findings: Vec<String> = report.findings.iter().map(ToString::to_string).collect();
    assert_eq!(findings, Vec::<String>::new(), "{:#?}", report.series);
    assert!(report.answered > 0, "the callers were served");
}

#[tokio::test(flavor = "multi_thread")]
async fn soak_short_seed_11() {
    no_findings(11).await;
}

/// Nodes reached at another address than their datagrams come from never got the configuration.
#[tokio::test(flavor = "multi_thread")]
async fn soak_short_seed_1_advertised_address() {
    no_findings(1).await;
}
