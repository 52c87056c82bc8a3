//! The parts of the house style that the formatter cannot enforce.

use std::path::Path;
use std::path::PathBuf;

use yuccatray_testutils::workspace::root;

const CRATES: [&str; 8] = ["burn", "cli", "daemon", "lib", "lib/testutils", "load", "platform", "standin"];
const LAYERS: [&str; 4] = ["transport", "coordination", "state", "protocol"];

fn rust_files(directory: &Path, found: &mut Vec<PathBuf>) {
    let Ok(entries) = std::fs::read_dir(directory) else {
        return;
    };
    for entry in entries {
        let path = entry.expect("the entry can be read").path();
        if path.is_dir() {
            rust_files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

fn sources() -> Vec<PathBuf> {
    let mut found = Vec::new();
    for name in CRATES {
        rust_files(&root().join(name).join("src"), &mut found);
        rust_files(&root().join(name).join("tests"), &mut found);
    }
    assert!(found.len() > 30, "the sources are where the test looks");
    found
}

fn read(path: &Path) -> String {
    std::fs::read_to_string(path).expect("a source file is text")
}

#[test]
fn imports_one_a_line() {
    let mut wrong = Vec::new();
    for path in sources() {
        for (index, line) in read(&path).lines().enumerate() {
            let import = line.trim_start().trim_start_matches("pub ");
            let glob = import.ends_with("::*;");
            if import.starts_with("use ") && (import.contains('{') || glob) {
                wrong.push(format!("{}:{}", path.display(), index + 1));
            }
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
}

/// The group that an import belongs to: 0 the standard library, 1 other crates, 2 this workspace.
fn import_group(line: &str) -> Option<u8> {
    let path = line.strip_prefix("use ")?;
    let first = path.split([':', ';']).next()?;
    match first {
        "std" | "core" | "alloc" => Some(0),
        "crate" | "super" | "self" => Some(2),
        _ => Some(1),
    }
}

#[test]
fn imports_three_groups() {
    let mut wrong = Vec::new();
    for path in sources() {
        let mut last: Option<(u8, usize)> = None;
        for (index, line) in read(&path).lines().enumerate() {
            let Some(group) = import_group(line) else {
                continue;
            };
            if let Some((last_group, last_index)) = last {
                let gap = index - last_index > 1;
                let in_order = if group == last_group { !gap } else { group > last_group && gap };
                if !in_order && index - last_index < 3 {
                    wrong.push(format!("{}:{}", path.display(), index + 1));
                }
            }
            last = Some((group, index));
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
}

#[test]
fn layers_one_way() {
    let mut wrong = Vec::new();
    for (position, layer) in LAYERS.iter().enumerate() {
        let mut files = Vec::new();
        rust_files(&root().join("lib/src").join(layer), &mut files);
        for path in files {
            for above in &LAYERS[..position] {
                if read(&path).contains(&format!("crate::{above}::")) {
                    wrong.push(format!("{} uses {above}", path.display()));
                }
            }
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
}

#[test]
fn lint_exceptions_are_expectations() {
    let forbidden = ["#[", "allow("].concat();
    let wrong: Vec<PathBuf> = sources().into_iter().filter(|path| read(path).contains(&forbidden)).collect();
    assert_eq!(wrong, Vec::<PathBuf>::new());
}

/// Names of the users' platform, each cut in two so that this list is not one of its places.
const WIRE_NAMES: [(&str, &str); 12] = [
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
fn wire_names_of_the_platform_only_in_its_folder() {
    let mut wrong = Vec::new();
    let mut used = 0;
    for path in sources() {
        let text = read(&path).to_ascii_lowercase();
        for (front, back) in WIRE_NAMES {
            let name = format!("\"{front}{back}").to_ascii_lowercase();
            if !text.contains(&name) {
                continue;
            }
            if path.starts_with(root().join("platform")) {
                used += 1;
            } else {
                wrong.push(format!("{}: {front}{back}", path.display()));
            }
        }
    }
    assert_eq!(wrong, Vec::<String>::new());
    assert!(used > 5, "the names are where the test looks");
}
