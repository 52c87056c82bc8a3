//! JSON with comments, checked whole against the schema of the type that it should hold.

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

/// Result of reading a text.
pub type Result<T, E = JsonError> = std::result::Result<T, E>;

/// Format of an address with its port, as schemas name it.
const ADDR_FORMAT: &str = "ip-and-port";

/// Why a text was refused.
#[derive(Debug, Snafu)]
pub enum JsonError {
    /// The file could not be read.
    #[snafu(display("cannot read {path}: {source}"))]
    Read {
        /// The file.
        path: String,
        /// What the system said.
        source: std::io::Error,
    },
    /// The text is not JSON with comments.
    #[snafu(display("not JSON with comments: {source}"))]
    Syntax {
        /// Where and what.
        source: jsonc_parser::errors::ParseError,
    },
    /// The file holds nothing.
    #[snafu(display("the file holds no value"))]
    Empty,
    /// Fields are wrong; every one of them is listed.
    #[snafu(display("{} problem(s)", problems.len()))]
    Problems {
        /// The faults, in the order of the fields.
        problems: Vec<FieldProblem>,
    },
}

impl JsonError {
    /// The faults by field, when that is what is wrong.
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
pub fn read_text(path: &Path) -> Result<String> {
    std::fs::read_to_string(path).context(ReadSnafu { path: path.display().to_string() })
}

/// Reads JSON with comments into a value.
///
/// # Errors
///
/// When the text is not JSON with comments, holds no value, or an object in it
/// has the same key twice.
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
        find_duplicates(value, "", &mut problems);
    }
    if !problems.is_empty() {
        return refuse(problems);
    }
    jsonc_parser::parse_to_serde_value::<Option<Value>>(text, &options)
        .context(SyntaxSnafu)?
        .context(EmptySnafu)
}

fn find_duplicates(value: &ast::Value<'_>, path: &str, problems: &mut Vec<FieldProblem>) {
    match value {
        ast::Value::Object(object) => {
            let mut seen = IndexSet::new();
            for property in &object.properties {
                let name = property.name.as_str();
                let path = format!("{path}/{name}");
                if !seen.insert(name) {
                    problems.push(FieldProblem {
                        field: path.clone(),
                        problem: "stands twice; allowed is one value".to_owned(),
                    });
                }
                find_duplicates(&property.value, &path, problems);
            }
        }
        ast::Value::Array(array) => {
            for (index, element) in array.elements.iter().enumerate() {
                find_duplicates(element, &format!("{path}/{index}"), problems);
            }
        }
        _ => {}
    }
}

/// Reads a value as a type after checking it against the type's schema.
///
/// # Errors
///
/// When fields are unknown, missing or out of range; all of them are listed.
pub fn checked_from_value<T>(value: &Value) -> Result<T>
where
    T: DeserializeOwned + JsonSchema + 'static,
{
    let problems = checker::<T>()?.problems(value);
    if !problems.is_empty() {
        return refuse(problems);
    }
    serde_json::from_value(value.clone())
        .or_else(|error| refuse(vec![FieldProblem { field: "/".to_owned(), problem: error.to_string() }]))
}

/// Refuses a text for the given faults.
///
/// # Errors
///
/// Always.
pub const fn refuse<T>(problems: Vec<FieldProblem>) -> Result<T> {
    Err(JsonError::Problems { problems })
}

/// Schema of an address: an IP number and a port.
pub fn addr_schema(_generator: &mut schemars::SchemaGenerator) -> Schema {
    json_schema!({ "type": "string", "format": ADDR_FORMAT })
}

/// Schema of a list of addresses.
pub fn addr_list_schema(generator: &mut schemars::SchemaGenerator) -> Schema {
    json_schema!({ "type": "array", "items": addr_schema(generator) })
}

/// A schema with what checks values against it.
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
            Err(error) => refuse(vec![FieldProblem { field: "/".to_owned(), problem: error.to_string() }]),
        }
    }

    fn problems(&self, value: &Value) -> Vec<FieldProblem> {
        let errors = self.validator.iter_errors(value);
        errors.flat_map(|error| explain(&error, self.schema.as_value())).collect()
    }
}

/// Checkers by type, made once, since announcements and objects are checked again and again.
static CHECKERS: Mutex<BTreeMap<TypeId, Arc<Checker>>> = Mutex::new(BTreeMap::new());

fn checker<T>() -> Result<Arc<Checker>>
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

/// What is wrong and what is allowed, in the words of a person.
fn explain(error: &ValidationError<'_>, schema: &Value) -> Vec<FieldProblem> {
    let path = error.instance_path().to_string();
    let one = |problem: String| {
        let field = if path.is_empty() { "/".to_owned() } else { path.clone() };
        vec![FieldProblem { field, problem }]
    };
    let seen = error.instance();
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            let known = known_fields(error, schema).join(", ");
            let unknown = |name: &String| FieldProblem {
                field: format!("{path}/{name}"),
                problem: format!("is no known field; allowed here: {known}"),
            };
            unexpected.iter().map(unknown).collect()
        }
        ValidationErrorKind::Required { property } => vec![FieldProblem {
            field: format!("{path}/{}", property.as_str().unwrap_or_default()),
            problem: "is missing".to_owned(),
        }],
        ValidationErrorKind::Minimum { limit } => one(format!("is {seen}; allowed is {limit} or more")),
        ValidationErrorKind::Maximum { limit } => one(format!("is {seen}; allowed is {limit} or less")),
        ValidationErrorKind::MinLength { limit } => {
            one(format!("is {seen}; allowed are {limit} characters or more"))
        }
        ValidationErrorKind::MaxLength { limit } => {
            one(format!("is {seen}; allowed are {limit} characters or fewer"))
        }
        ValidationErrorKind::Pattern { pattern } => {
            one(format!("is {seen}; allowed is what matches {pattern}"))
        }
        ValidationErrorKind::Format { format } if format == ADDR_FORMAT => {
            one(format!("is {seen}; allowed is an IP number with a port, as in \"127.0.0.1:7001\""))
        }
        ValidationErrorKind::Enum { options } => one(format!("is {seen}; allowed is one of {options}")),
        ValidationErrorKind::Type { kind: TypeKind::Single(kind) } => {
            one(format!("is {seen}; allowed is {kind}"))
        }
        ValidationErrorKind::OneOfNotValid { .. } => {
            let known = known_values(error, schema).join(", ");
            one(format!("is {seen}; allowed is one of {known}"))
        }
        _ => one(error.to_string()),
    }
}

fn known_values(error: &ValidationError<'_>, schema: &Value) -> Vec<String> {
    let choices = resolved(&error.schema_path().to_string(), schema).and_then(Value::as_array);
    let values = choices.into_iter().flatten().filter_map(|choice| choice.get("const"));
    values.map(Value::to_string).collect()
}

fn known_fields(error: &ValidationError<'_>, schema: &Value) -> Vec<String> {
    let place = error.schema_path().to_string();
    let parent = place.rsplit_once('/').map_or("", |(parent, _)| parent);
    let object = schema.pointer(parent).or_else(|| resolved(parent, schema));
    let properties = object.and_then(|object| object.get("properties")).and_then(Value::as_object);
    properties.map(|properties| properties.keys().cloned().collect()).unwrap_or_default()
}

/// Follows the references on a path through a schema.
fn resolved<'a>(path: &str, schema: &'a Value) -> Option<&'a Value> {
    let mut at = schema;
    for step in path.split('/').skip(1).filter(|step| *step != "$ref") {
        at = follow(at, schema)?.get(step)?;
    }
    follow(at, schema)
}

fn follow<'a>(at: &'a Value, schema: &'a Value) -> Option<&'a Value> {
    match at.get("$ref").and_then(Value::as_str) {
        Some(reference) => schema.pointer(reference.trim_start_matches('#')),
        None => Some(at),
    }
}
