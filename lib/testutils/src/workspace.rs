//! Where things stand in the repository.

use std::path::Path;
use std::path::PathBuf;

/// The root of the repository.
///
/// # Panics
///
/// When this crate was moved away from `lib/testutils`.
#[must_use]
pub fn root() -> PathBuf {
    let here = Path::new(env!("CARGO_MANIFEST_DIR"));
    here.ancestors().nth(2).expect("lib/testutils stands two levels below the root").to_path_buf()
}

/// A file of the repository as text.
///
/// # Panics
///
/// When it can't be read.
#[must_use]
pub fn read(path: &str) -> String {
    let path = root().join(path);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("cannot read {}: {error}", path.display()))
}
