//! Paths and files of the repository, for tests that read its contents.

use std::path::Path;
use std::path::PathBuf;

/// Returns the root of the repository.
///
/// # Panics
///
/// When this crate is not two directory levels below the root.
#[must_use]
pub fn workspace_root() -> PathBuf {
    let crate_root = Path::new(env!("CARGO_MANIFEST_DIR"));
    crate_root.ancestors().nth(2).expect("lib/testutils is two levels below the root").to_path_buf()
}

/// Returns the text of the file at `path`, relative to the root of the repository.
///
/// # Panics
///
/// When the file can't be read.
#[must_use]
pub fn read_workspace_file(path: &str) -> String {
    let path = workspace_root().join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}
