//! Generates the operators' reference page from the code and its doc comments, which no name may lack.
//!
//! `SNAPSHOTS=overwrite cargo test -p yuccatray --test operators_reference` writes the page.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::PathBuf;

use schemars::JsonSchema;
use schemars::schema_for;
use serde_json::Value;
use snapbox::assert_data_eq;
use snapbox::file;
use yuccatray::protocol::error_kind::ErrorKind;
use yuccatray::protocol::published::ServiceStatus;
use yuccatray::protocol::service_spec::PrioritySetSpec;
use yuccatray::protocol::service_spec::ServiceSpec;
use yuccatray::protocol::service_spec::UpstreamRuleSpec;
use yuccatray::protocol::settings::Settings;
use yuccatray::transport::announce_server::Announcement;
use yuccatray_testutils::workspace::read_workspace_file;
use yuccatray_testutils::workspace::workspace_root;

const INTRO: &str = "# Reference

Made from the code; do not edit by hand. To make it again:

    SNAPSHOTS=overwrite cargo test -p yuccatray --test operators_reference

Fields are written as paths: `a/b` is field `b` of field `a`, `*` stands for any name
or for each element of a list. A field without a default has to be given.
";
const REQUIRED: &str = "required";

/// Name of an item in a source file, with the item's doc comment.
#[derive(Debug)]
struct DocumentedItem {
    name: String,
    text: String,
}

/// Appends a table of the fields of `T` to the page; returns the number of rows.
fn schema_table<T>(page: &mut String, title: &str) -> usize
where
    T: JsonSchema,
{
    let schema = schema_for!(T);
    let mut rows = Vec::new();
    collect_fields(schema.as_value(), schema.as_value(), "", &mut rows);
    let _written =
        write!(page, "\n## {title}\n\n| field | values | default | meaning |\n|---|---|---|---|\n");
    for row in &rows {
        page.push_str(row);
    }
    rows.len()
}

fn collect_fields(root: &Value, schema: &Value, path: &str, rows: &mut Vec<String>) {
    let schema = follow_reference(root, schema);
    let required: BTreeSet<&str> =
        schema["required"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    for (name, field) in schema["properties"].as_object().into_iter().flatten() {
        let path = if path.is_empty() { name.clone() } else { format!("{path}/{name}") };
        let target = follow_reference(root, field);
        let meaning = field["description"].as_str().or(target["description"].as_str()).unwrap_or_default();
        assert!(!meaning.is_empty(), "{path} has no doc comment");
        if target["properties"].is_object() {
            collect_fields(root, target, &path, rows);
            continue;
        }
        let default = if required.contains(name.as_str()) {
            REQUIRED.to_owned()
        } else {
            default(root, field, schema, name)
        };
        rows.push(format!(
            "| `{path}` | {} | {default} | {} |\n",
            value_range(root, target),
            table_text(meaning)
        ));
        for element in [&target["additionalProperties"], &target["items"]] {
            if element.is_object() {
                collect_fields(root, element, &format!("{path}/*"), rows);
            }
        }
    }
}

/// Returns the schema that `schema` refers to, or `schema` itself if it is no reference.
fn follow_reference<'a>(root: &'a Value, schema: &'a Value) -> &'a Value {
    let alternatives = schema["anyOf"].as_array().into_iter().flatten();
    let schema = alternatives.into_iter().find(|schema| schema["$ref"].is_string()).unwrap_or(schema);
    match schema["$ref"].as_str().and_then(|target| target.strip_prefix('#')) {
        Some(pointer) => root.pointer(pointer).expect("the target of the reference exists"),
        None => schema,
    }
}

fn default(root: &Value, field: &Value, parent: &Value, name: &str) -> String {
    let schema_default = field.get("default").or_else(|| root["properties"][name].get("default"));
    let schema_default = schema_default.or_else(|| parent["default"].get(name));
    schema_default.map_or_else(|| "none".to_owned(), |value| format!("`{value}`"))
}

fn value_range(root: &Value, schema: &Value) -> String {
    if let Some(variants) = schema["oneOf"].as_array() {
        let names: Vec<String> = variants.iter().map(|one| format!("`{}`", text(&one["const"]))).collect();
        return names.join(", ");
    }
    if let Some(names) = schema["enum"].as_array() {
        return names.iter().map(|name| format!("`{}`", text(name))).collect::<Vec<_>>().join(", ");
    }
    let kind = schema["type"].as_array().map_or_else(
        || text(&schema["type"]),
        |kinds| kinds.iter().map(text).collect::<Vec<_>>().join(" or "),
    );
    if kind == "array" {
        return format!("list of {}", value_range(root, follow_reference(root, &schema["items"])));
    }
    match (schema["minimum"].as_f64(), schema["maximum"].as_f64(), schema["pattern"].as_str()) {
        (Some(minimum), Some(maximum), _) => format!("{kind}, {minimum} to {maximum}"),
        (Some(minimum), None, _) => format!("{kind}, from {minimum}"),
        (_, _, Some(pattern)) => format!("{kind}, `{}`", pattern.replace('|', "\\|")),
        _ => kind,
    }
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("value").to_owned()
}

fn table_text(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ").replace('|', "\\|")
}

/// Returns the items of a source file whose lines `item_name` maps to a name, each with its doc comment.
fn documented_items<F>(path: &str, item_name: F) -> Vec<DocumentedItem>
where
    F: Fn(&str) -> Option<String>,
{
    let mut items = Vec::new();
    let mut comment = Vec::new();
    for line in read_workspace_file(path).lines().map(str::trim) {
        if let Some(text) = line.strip_prefix("///") {
            comment.push(text.trim().to_owned());
        } else if !line.starts_with("#[") {
            if let Some(name) = item_name(line) {
                assert!(!comment.is_empty(), "{name} of {path} has no doc comment");
                items.push(DocumentedItem { name, text: table_text(&comment.join(" ")) });
            }
            comment.clear();
        }
    }
    items
}

fn first_literal(text: &str) -> Option<String> {
    text.split('"').nth(1).map(str::to_owned)
}

fn headers_table(page: &mut String) -> usize {
    let items = documented_items("lib/src/protocol/headers.rs", |line| {
        line.strip_prefix("pub const ").filter(|line| line.contains(": HeaderName")).and_then(first_literal)
    });
    page.push_str("\n## Header fields\n\n| field | meaning |\n|---|---|\n");
    for field in &items {
        let _written = writeln!(page, "| `{}` | {} |", field.name, field.text);
    }
    items.len()
}

fn error_kinds_table(page: &mut String) -> usize {
    let variants = documented_items("lib/src/protocol/error_kind.rs", |line| {
        let name = line.strip_suffix(',')?;
        name.chars().all(char::is_alphanumeric).then(|| name.to_owned())
    });
    page.push_str(
        "\n## Error kinds\n\nThe name stands in the field `yuccatray-error` and in the body's field `error`.\n\n\
         | kind | status | execution | may succeed later | meaning |\n|---|---|---|---|---|\n",
    );
    for kind in ErrorKind::ALL {
        let properties = kind.properties();
        let variant = variants.iter().find(|variant| variant.name == format!("{kind:?}"));
        let meaning = &variant.unwrap_or_else(|| panic!("{kind:?} has no doc comment")).text;
        let retryable = if properties.retryable { "yes" } else { "no" };
        let execution = properties.execution.name();
        let _written = writeln!(
            page,
            "| `{}` | {} | `{execution}` | {retryable} | {meaning} |",
            properties.name,
            properties.status.as_u16()
        );
    }
    ErrorKind::ALL.len()
}

/// Returns the concatenated source of the modules of the state layer that register metrics.
fn metric_sources() -> String {
    let directory = workspace_root().join("lib/src/state");
    let entries = std::fs::read_dir(directory).expect("the directory of the state layer exists");
    let mut paths: Vec<PathBuf> =
        entries.map(|entry| entry.expect("the directory entry can be read").path()).collect();
    paths.sort();
    let metric_paths = paths.iter().filter(|path| path.to_string_lossy().ends_with("metrics.rs"));
    metric_paths.map(|path| std::fs::read_to_string(path).expect("a source file is UTF-8")).collect()
}

/// Appends the metrics, read from the calls that register them, to the page; returns their number.
fn metrics_table(page: &mut String) -> usize {
    let source = metric_sources();
    page.push_str("\n## Metrics\n\n`GET /metrics` of the admin port, in the OpenMetrics text format, where a count ends in `_total`\nand a histogram in `_bucket`, `_sum` and `_count`.\n\n| metric | meaning |\n|---|---|\n");
    let mut count = 0;
    for call in source.split(".register").skip(1) {
        let arguments = call.split(";\n").next().unwrap_or_default();
        if !arguments.contains('"') {
            continue;
        }
        let mut literals = arguments.split('"').skip(1).step_by(2);
        let (Some(name), Some(help)) = (literals.next(), literals.next()) else {
            panic!("a metric registration lacks a name or a help text: {arguments}");
        };
        let unit = if arguments.contains("Unit::Seconds") { "_seconds" } else { "" };
        let _written = writeln!(page, "| `yuccatray_{name}{unit}` | {help} |");
        count += 1;
    }
    count
}

fn exit_codes_table(page: &mut String) -> usize {
    page.push_str("\n## Exit codes\n\n0 is success everywhere, and 2 also stands for wrong words on the command line.\n\n| program | code | meaning |\n|---|---|---|\n");
    let mut count = 0;
    for (program, path) in [("yuccatrayd", "daemon/src/main.rs"), ("yuccatray-burn", "burn/src/main.rs")] {
        for code in documented_items(path, |line| {
            let (_, value) = line.strip_prefix("const EXIT_")?.split_once("u8 = ")?;
            Some(value.trim_end_matches(';').to_owned())
        }) {
            let _written = writeln!(page, "| `{program}` | {} | {} |", code.name, code.text);
            count += 1;
        }
    }
    count + cli_exit_codes_rows(page)
}

fn cli_exit_codes_rows(page: &mut String) -> usize {
    let path = "cli/src/cli_error.rs";
    let variants = documented_items(path, |line| {
        let name = line.strip_suffix('{').map(str::trim)?;
        (!name.contains(' ')).then(|| name.to_owned())
    });
    let mut count = 0;
    let source = read_workspace_file(path);
    for line in source.lines().filter(|line| line.contains("=> ") && line.trim_start().starts_with("Self::"))
    {
        let Some((patterns, code)) = line.split_once("=> ") else {
            continue;
        };
        let Ok(code) = code.trim_end_matches(',').parse::<u8>() else {
            continue;
        };
        for pattern in patterns.split('|') {
            let name = pattern.trim().trim_start_matches("Self::").split(' ').next().unwrap_or_default();
            let variant = variants.iter().find(|variant| variant.name == name);
            let meaning = &variant.unwrap_or_else(|| panic!("{name} has no doc comment")).text;
            let _written = writeln!(page, "| `yuccactl` | {code} | {meaning} |");
            count += 1;
        }
    }
    count
}

#[test]
fn reference_page_matches_code() {
    let mut page = INTRO.to_owned();
    let settings = schema_table::<Settings>(&mut page, "Settings of `yuccatrayd`");
    let service = schema_table::<ServiceSpec>(&mut page, "Object `Service`");
    let priorities = schema_table::<PrioritySetSpec>(&mut page, "Object `PrioritySet`");
    let rules = schema_table::<UpstreamRuleSpec>(&mut page, "Object `UpstreamRule`");
    let status = schema_table::<ServiceStatus>(&mut page, "Object `ServiceStatus`, written by the fleet");
    let announcement = schema_table::<Announcement>(&mut page, "Announcement of an upstream");
    let header_fields = headers_table(&mut page);
    let error_kind_rows = error_kinds_table(&mut page);
    let metric_rows = metrics_table(&mut page);
    let exit_codes = exit_codes_table(&mut page);
    // Guards against a page that matches because the code was not found.
    assert!(
        settings >= 15 && service >= 10 && priorities >= 6 && rules >= 5,
        "the page lacks fields of settings or objects"
    );
    assert!(
        status >= 8 && announcement >= 4 && header_fields >= 10 && error_kind_rows >= 16,
        "the page lacks rows"
    );
    assert!(metric_rows >= 5 && exit_codes >= 10, "the page lacks rows");
    assert_data_eq!(page, file!["../../docs/operators/reference.md"].raw());
}
