//! Runs `yuccatrayd --check` on the example settings and on a file that holds no settings.

use std::path::Path;
use std::process::Command;
use std::process::Output;

use yuccatray_testutils::workspace::workspace_root;

/// Runs `yuccatrayd --check` on a settings file.
fn check(path: &Path) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_yuccatrayd"));
    command.arg("--check").arg("--settings").arg(path).output().expect("the binary runs")
}

#[test]
fn check_examples_are_valid() {
    for name in ["nodes/dakar.jsonc", "nodes/mekong.jsonc", "settings.jsonc"] {
        let path = workspace_root().join("examples").join(name);
        let output = check(&path);
        assert!(output.status.success(), "{name}: {}", String::from_utf8_lossy(&output.stderr));
        let stdout_text =
            String::from_utf8_lossy(&output.stdout).replace(&path.display().to_string(), "PATH");
        assert_eq!(stdout_text, "PATH: settings are valid\n");
    }
}

#[test]
fn check_objects_file_rejected() {
    let output = check(&workspace_root().join("examples/objects/dakar.jsonc"));
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty());
}
