//! Checks of code style and layering that neither the formatter nor clippy covers.

use std::path::Path;
use std::path::PathBuf;

use yuccatray_testutils::workspace::workspace_root;

const CRATES: [&str; 9] =
    ["burn", "cli", "daemon", "lib", "lib/testutils", "load", "platform", "platform/testutils", "standin"];
/// Layers of the library, the topmost first.
const LAYERS: [&str; 4] = ["transport", "coordination", "state", "protocol"];

fn rust_files(directory: &Path, files: &mut Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(directory) else {
        return;
    };
    for entry in entries {
        let path = entry.expect("the directory entry can be read").path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn sources() -> Vec<PathBuf> {
    let mut files = Vec::new();
    for name in CRATES {
        rust_files(&workspace_root().join(name).join("src"), &mut files);
        rust_files(&workspace_root().join(name).join("tests"), &mut files);
    }
    assert!(files.len() > 30, "the source files are found");
    files
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).expect("a source file is UTF-8")
}

#[test]
fn imports_one_per_line() {
    let mut violations = Vec::new();
    for path in sources() {
        for (index, line) in read(&path).lines().enumerate() {
            let import = line.trim_start().trim_start_matches("pub ");
            let glob = import.ends_with("::*;");
            if import.starts_with("use ") && (import.contains('{') || glob) {
                violations.push(format!("{}:{}", path.display(), index + 1));
            }
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

/// Returns the group of an import: 0 for the standard library, 1 for other crates, 2 for this crate.
fn import_group(line: &str) -> Option<u8> {
    let path = line.strip_prefix("use ")?;
    let root_segment = path.split([':', ';']).next()?;
    match root_segment {
        "std" | "core" | "alloc" => Some(0),
        "crate" | "super" | "self" => Some(2),
        _ => Some(1),
    }
}

#[test]
fn imports_in_three_groups() {
    let mut violations = Vec::new();
    for path in sources() {
        let mut previous: Option<(u8, usize)> = None;
        for (index, line) in read(&path).lines().enumerate() {
            let Some(group) = import_group(line) else {
                continue;
            };
            if let Some((previous_group, previous_index)) = previous {
                let blank_line_between = index - previous_index > 1;
                let in_order = if group == previous_group {
                    !blank_line_between
                } else {
                    group > previous_group && blank_line_between
                };
                if !in_order && index - previous_index < 3 {
                    violations.push(format!("{}:{}", path.display(), index + 1));
                }
            }
            previous = Some((group, index));
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn layers_depend_only_on_lower_layers() {
    let mut violations = Vec::new();
    for (layer_index, layer) in LAYERS.iter().enumerate() {
        let mut files = Vec::new();
        rust_files(&workspace_root().join("lib/src").join(layer), &mut files);
        for path in files {
            for upper_layer in &LAYERS[..layer_index] {
                if read(&path).contains(&format!("crate::{upper_layer}::")) {
                    violations.push(format!("{} uses {upper_layer}", path.display()));
                }
            }
        }
    }
    assert_eq!(violations, Vec::<String>::new());
}

#[test]
fn lint_exceptions_use_expect() {
    let allow_attribute = ["#[", "allow("].concat();
    let violations: Vec<PathBuf> =
        sources().into_iter().filter(|path| read(path).contains(&allow_attribute)).collect();
    assert_eq!(violations, Vec::<PathBuf>::new());
}

/// Wire names of the external dialect, each split in two so that this file does not contain the whole names.
const EXTERNAL_WIRE_NAMES: [(&str, &str); 12] = [
    ("Request", "-Id"),
    ("Deadline", "-Ms"),
    ("Caller", "-Service"),
    ("Expect", "-Instance"),
    ("Server", "-Stamp"),
    ("Server", "-Load"),
    ("Not", "-Run"),
    ("Heartbeat", "Addr"),
    ("instances", ".heartbeat"),
    ("Route", "Rules"),
    ("Weighted", "Services"),
    ("TargetLatency", "S\""),
];

#[test]
fn external_wire_names_only_in_platform_crate() {
    let mut violations = Vec::new();
    let mut occurrences = 0;
    for path in sources() {
        let text = read(&path).to_ascii_lowercase();
        for (prefix, suffix) in EXTERNAL_WIRE_NAMES {
            let name = format!("\"{prefix}{suffix}").to_ascii_lowercase();
            if !text.contains(&name) {
                continue;
            }
            if path.starts_with(workspace_root().join("platform")) {
                occurrences += 1;
            } else {
                violations.push(format!("{}: {prefix}{suffix}", path.display()));
            }
        }
    }
    assert_eq!(violations, Vec::<String>::new());
    assert!(occurrences > 5, "the platform crate contains the names");
}
