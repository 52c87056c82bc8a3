//! `yuccactl apply` on the example objects of both deployments.

use std::net::SocketAddr;
use std::process::Command;

use yuccatray_standin::platform::PlatformStandin;
use yuccatray_testutils::workspace::workspace_root;

/// Runs `yuccactl apply` on an example file and returns the printed lines.
async fn apply(platform: SocketAddr, name: &str, dry_run: bool) -> Vec<String> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccactl"));
    command.arg("--platform").arg(platform.to_string()).arg("apply").arg("--file");
    command.arg(workspace_root().join("examples/objects").join(name));
    if dry_run {
        command.arg("--dry-run");
    }
    let task = tokio::task::spawn_blocking(move || command.output()).await;
    let output = task.expect("the task does not panic").expect("the binary runs");
    assert!(output.status.success(), "{name}: {}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_examples_dry_run_then_write() {
    for name in ["dakar.jsonc", "mekong.jsonc"] {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformStandin::start(any_port).await.expect("the platform stand-in starts");
        let dry_run_lines = apply(platform.addr, name, true).await;
        assert_eq!(dry_run_lines.len(), 6, "{dry_run_lines:?}");
        assert!(dry_run_lines.iter().all(|line| line.ends_with(" created")), "{dry_run_lines:?}");
        assert_eq!(platform.standin.counts().writes, 0, "a dry run writes nothing");
        let first_lines = apply(platform.addr, name, false).await;
        assert_eq!(first_lines, dry_run_lines);
        let second_lines = apply(platform.addr, name, false).await;
        assert!(second_lines.iter().all(|line| line.ends_with(" unchanged")), "{second_lines:?}");
    }
}
