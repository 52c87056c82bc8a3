//! Manifests: files in which operators write objects to apply.

use std::path::Path;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::coordination::publication::object_problems;
use crate::protocol::checked_json::JsonError;
use crate::protocol::checked_json::Result;
use crate::protocol::checked_json::checked_from_value;
use crate::protocol::checked_json::parse_jsonc;
use crate::protocol::checked_json::read_file;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::protocol::published::FieldProblem;

/// One object as an operator writes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// `Service`, `PrioritySet` or `UpstreamRule`.
    pub kind: Arc<str>,
    /// Name of the object.
    #[schemars(regex(pattern = r"^[a-z0-9-]{1,63}$"))]
    pub name: Arc<str>,
    /// The object itself.
    pub spec: Value,
}

impl Manifest {
    /// Returns the kind, or `None` if it is not a writable one, which [`load_manifests`] reports.
    #[must_use]
    pub fn writable_kind(&self) -> Option<ObjectKind> {
        ObjectKind::from_name(&self.kind).filter(|kind| ObjectKind::WRITABLE.contains(kind))
    }
}

/// Reads one object or a list of objects from a file of JSON with comments, and checks each.
///
/// # Errors
///
/// If the file can't be read or an object is invalid; every problem is listed.
pub fn load_manifests(path: &Path) -> Result<Vec<Manifest>> {
    parse_manifests(&read_file(path)?)
}

/// Reads one object or a list of objects from JSON text with comments, and checks each.
///
/// # Errors
///
/// If the text is not valid JSON or an object is invalid; every problem is listed.
pub fn parse_manifests(text: &str) -> Result<Vec<Manifest>> {
    let values = match parse_jsonc(text)? {
        Value::Array(values) => values,
        value => vec![value],
    };
    let mut manifests = Vec::new();
    let mut problems = Vec::new();
    for (index, value) in values.iter().enumerate() {
        match checked_from_value::<Manifest>(value) {
            Ok(manifest) => {
                problems.extend(spec_problems(index, &manifest));
                manifests.push(manifest);
            }
            Err(error) => problems.extend(error.problems().iter().map(|fault| prefixed(index, "", fault))),
        }
    }
    if problems.is_empty() { Ok(manifests) } else { Err(JsonError::Problems { problems }) }
}

fn spec_problems(index: usize, manifest: &Manifest) -> Vec<FieldProblem> {
    let Some(kind) = manifest.writable_kind() else {
        let names: Vec<&str> = ObjectKind::WRITABLE.iter().map(|kind| kind.name()).collect();
        let problem = format!("{:?} is not one of {}", manifest.kind, names.join(", "));
        return vec![FieldProblem { field: format!("/{index}/kind"), problem }];
    };
    let object = Object {
        kind,
        name: Arc::clone(&manifest.name),
        uid: Arc::default(),
        version: 0,
        value: manifest.spec.clone(),
    };
    object_problems(&object).iter().map(|problem| prefixed(index, "/spec", problem)).collect()
}

/// Returns the problem with the manifest's index and `prefix` in front of its field.
fn prefixed(index: usize, prefix: &str, problem: &FieldProblem) -> FieldProblem {
    FieldProblem { field: format!("/{index}{prefix}{}", problem.field), problem: problem.problem.clone() }
}
