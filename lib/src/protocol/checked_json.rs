//! Reads JSON with comments and validates it against the schema of the expected type.
//!
//! All problems of a text are reported together, each with the path of its field.

use std::any::TypeId;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use indexmap::IndexSet;
use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonschema::ValidationError;
use jsonschema::Validator;
use jsonschema::error::TypeKind;
use jsonschema::error::ValidationErrorKind;
use parking_lot::Mutex;
use schemars::JsonSchema;
use schemars::Schema;
use schemars::json_schema;
use schemars::schema_for;
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;

use crate::protocol::published::FieldProblem;

/// Result of reading and validating JSON.
pub type Result<T, E = JsonError> = std::result::Result<T, E>;

/// Name of the schema format for an IP address with a port.
const ADDR_FORMAT: &str = "ip-and-port";

/// Reason why a text was rejected.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// The file could not be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Read {
        /// Path of the file.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[snafu(display("not JSON with comments: {source}"))]
    Syntax {
        /// Error of the parser, with its position.
        source: jsonc_parser::errors::ParseError,
    },
    /// The text contains no value.
    #[snafu(display("the file holds no value"))]
    Empty,
    /// Fields are invalid.
    #[snafu(display("{} problem(s)", problems.len()))]
    Problems {
        /// Every problem that was found.
        problems: Vec<FieldProblem>,
    },
}

impl JsonError {
    /// Returns the problems by field; empty for every other variant.
    #[must_use]
    pub fn problems(&self) -> &[FieldProblem] {
        match self {
            Self::Problems { problems } => problems,
            _ => &[],
        }
    }
}

/// Reads a file as text.
///
/// # Errors
///
/// When the file can't be read.
pub fn read_file(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).context(ReadSnafu { path: path.display().to_string() })
}

/// Parses JSON with comments into a value.
///
/// # Errors
///
/// When the text is not JSON with comments, contains no value, or an object in it has a duplicate key.
pub fn parse_jsonc(text: &str) -> Result<Value> {
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    };
    let tree = jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &options).context(SyntaxSnafu)?;
    let mut problems = Vec::new();
    if let Some(value) = &tree.value {
        find_duplicate_keys(value, "", &mut problems);
    }
    if !problems.is_empty() {
        return reject(problems);
    }
    jsonc_parser::parse_to_serde_value::<Option<Value>>(text, &options)
        .context(SyntaxSnafu)?
        .context(EmptySnafu)
}

/// Records a problem for each key that an object contains more than once, at any depth.
fn find_duplicate_keys(value: &ast::Value<'_>, path: &str, problems: &mut Vec<FieldProblem>) {
    match value {
        ast::Value::Object(object) => {
            let mut names = IndexSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                let path = format!("{path}/{name}");
                if !names.insert(name) {
                    problems.push(FieldProblem {
                        field: path.clone(),
                        problem: "stands twice; allowed is one value".to_owned(),
                    });
                }
                find_duplicate_keys(&property.value, &path, problems);
            }
        }
        ast::Value::Array(array) => {
            for (index, element) in array.elements.iter().enumerate() {
                find_duplicate_keys(element, &format!("{path}/{index}"), problems);
            }
        }
        _ => {}
    }
}

/// Deserializes a value after validating it against the schema of the type.
///
/// # Errors
///
/// When fields are unknown, missing or out of range; the error lists all of them.
pub fn checked_from_value<T>(value: &Value) -> Result<T>
where
    T: DeserializeOwned + JsonSchema + 'static,
{
    let problems = cached_checker::<T>()?.problems(value);
    if !problems.is_empty() {
        return reject(problems);
    }
    serde_json::from_value(value.clone())
        .or_else(|error| reject(vec![FieldProblem { field: "/".to_owned(), problem: error.to_string() }]))
}

/// Returns an error with the given problems.
///
/// # Errors
///
/// Always.
pub const fn reject<T>(problems: Vec<FieldProblem>) -> Result<T> {
    Err(JsonError::Problems { problems })
}

/// Returns the schema of an IP address with a port.
pub fn addr_schema(_generator: &mut schemars::SchemaGenerator) -> Schema {
    json_schema!({ "type": "string", "format": ADDR_FORMAT })
}

/// Returns the schema of a list of IP addresses with ports.
pub fn addr_list_schema(generator: &mut schemars::SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": addr_schema(generator) })
}

/// Schema of a type with its compiled validator.
#[derive(Debug)]
struct Checker {
    schema: Schema,
    validator: Validator,
}

impl Checker {
    fn new(schema: Schema) -> Result<Self> {
        let options = jsonschema::options()
            .should_validate_formats(true)
            .with_format(ADDR_FORMAT, |text: &str| text.parse::<SocketAddr>().is_ok());
        match options.build(schema.as_value()) {
            Ok(validator) => Ok(Self { schema, validator }),
            Err(error) => reject(vec![FieldProblem { field: "/".to_owned(), problem: error.to_string() }]),
        }
    }

    fn problems(&self, value: &Value) -> Vec<FieldProblem> {
        let errors = self.validator.iter_errors(value);
        errors.flat_map(|error| field_problems(&error, self.schema.as_value())).collect()
    }
}

/// Cache of checkers by type; without it each announcement and object would compile its schema again.
static CHECKERS: Mutex<BTreeMap<TypeId, Arc<Checker>>> = Mutex::new(BTreeMap::new());

/// Returns the checker of a type, compiling its schema on first use.
fn cached_checker<T>() -> Result<Arc<Checker>>
where
    T: JsonSchema + 'static,
{
    let mut checkers = CHECKERS.lock();
    if let Some(checker) = checkers.get(&TypeId::of::<T>()) {
        return Ok(Arc::clone(checker));
    }
    let checker = Arc::new(Checker::new(schema_for!(T))?);
    checkers.insert(TypeId::of::<T>(), Arc::clone(&checker));
    Ok(checker)
}

/// Converts a validation error to readable problems that name the offending and the allowed values.
fn field_problems(error: &ValidationError<'_>, schema: &Value) -> Vec<FieldProblem> {
    let path = error.instance_path().to_string();
    let single = |problem: String| {
        let field = if path.is_empty() { "/".to_owned() } else { path.clone() };
        vec![FieldProblem { field, problem }]
    };
    let value = error.instance();
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let allowed = allowed_fields(error, schema).join(", ");
            let unknown = |name: &String| FieldProblem {
                field: format!("{path}/{name}"),
                problem: format!("is no known field; allowed here: {allowed}"),
            };
            unexpected.iter().map(unknown).collect()
        }
        ValidationErrorKind::Required { property } => vec![FieldProblem {
            field: format!("{path}/{}", property.as_str().unwrap_or_default()),
            problem: "is missing".to_owned(),
        }],
        ValidationErrorKind::Minimum { limit } => single(format!("is {value}; allowed is {limit} or more")),
        ValidationErrorKind::Maximum { limit } => single(format!("is {value}; allowed is {limit} or less")),
        ValidationErrorKind::MinLength { limit } => {
            single(format!("is {value}; allowed are {limit} characters or more"))
        }
        ValidationErrorKind::MaxLength { limit } => {
            single(format!("is {value}; allowed are {limit} characters or fewer"))
        }
        ValidationErrorKind::Pattern { pattern } => {
            single(format!("is {value}; allowed is what matches {pattern}"))
        }
        ValidationErrorKind::Format { format } if format == ADDR_FORMAT => {
            single(format!("is {value}; allowed is an IP number with a port, as in \"127.0.0.1:7001\""))
        }
        ValidationErrorKind::Enum { options } => single(format!("is {value}; allowed is one of {options}")),
        ValidationErrorKind::Type { kind: TypeKind::Single(kind) } => {
            single(format!("is {value}; allowed is {kind}"))
        }
        ValidationErrorKind::OneOfNotValid { .. } => {
            let allowed = allowed_values(error, schema).join(", ");
            single(format!("is {value}; allowed is one of {allowed}"))
        }
        _ => single(error.to_string()),
    }
}

/// Returns the constants of the `oneOf` alternatives that a value failed to match.
fn allowed_values(error: &ValidationError<'_>, schema: &Value) -> Vec<String> {
    let choices = resolve_path(&error.schema_path().to_string(), schema).and_then(Value::as_array);
    let values = choices.into_iter().flatten().filter_map(|choice| choice.get("const"));
    values.map(Value::to_string).collect()
}

/// Returns the names of the fields that the object with an unknown field may have.
fn allowed_fields(error: &ValidationError<'_>, schema: &Value) -> Vec<String> {
    let schema_path = error.schema_path().to_string();
    let parent = schema_path.rsplit_once('/').map_or("", |(parent, _)| parent);
    let object = schema.pointer(parent).or_else(|| resolve_path(parent, schema));
    let properties = object.and_then(|object| object.get("properties")).and_then(Value::as_object);
    properties.map(|properties| properties.keys().cloned().collect()).unwrap_or_default()
}

/// Returns the node at a path through a schema, with the references on the path resolved.
fn resolve_path<'a>(path: &str, schema: &'a Value) -> Option<&'a Value> {
    let mut node = schema;
    for segment in path.split('/').skip(1).filter(|segment| *segment != "$ref") {
        node = resolve_reference(node, schema)?.get(segment)?;
    }
    resolve_reference(node, schema)
}

/// Returns the target of a node that is a reference, or else the node itself.
fn resolve_reference<'a>(node: &'a Value, schema: &'a Value) -> Option<&'a Value> {
    match node.get("$ref").and_then(Value::as_str) {
        Some(reference) => schema.pointer(reference.trim_start_matches('#')),
        None => Some(node),
    }
}
