//! `yuccactl describe`: shows an object with its status and the services that refer to it.

use clap::Args;
use serde_json::Value;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::transport::platform::Platform;

use crate::CommandContext;
use crate::cli_error::Result;
use crate::commands::get_existing;
use crate::commands::parse_kind;
use crate::output::OutputFormat;
use crate::output::print_json;

/// Shows an object with its status and the services that refer to it.
#[derive(Debug, Args)]
pub struct DescribeArgs {
    /// Kind of the object.
    kind: String,
    /// Name of the object.
    name: String,
}

/// Runs `yuccactl describe`.
pub async fn cmd_describe(context: &CommandContext, args: &DescribeArgs) -> Result<()> {
    let kind = parse_kind(&args.kind)?;
    let object = get_existing(context, kind, &args.name).await?;
    let status = if kind == ObjectKind::Service {
        context.platform.get(ObjectKind::ServiceStatus, &args.name).await?
    } else {
        None
    };
    let status = status.map_or(Value::Null, |status| status.value);
    let used_by = referring_services(context, kind, &args.name).await?;
    if context.output == OutputFormat::Json {
        print_json(&serde_json::json!({ "object": object, "status": status, "used_by": used_by }));
        return Ok(());
    }
    println!("{kind}/{}", object.name);
    println!("  version {}", object.version);
    print_section("spec", &object.value);
    if status != Value::Null {
        print_section("status", &status);
    }
    if !used_by.is_empty() {
        println!("  used by\n    {}", used_by.join("\n    "));
    }
    Ok(())
}

/// Returns the services that refer to an object, as `Service/NAME`.
async fn referring_services(context: &CommandContext, kind: ObjectKind, name: &str) -> Result<Vec<String>> {
    let field = match kind {
        ObjectKind::PrioritySet => "priority_set",
        ObjectKind::UpstreamRule => "upstream_rule",
        _ => return Ok(Vec::new()),
    };
    let services = context.platform.list(ObjectKind::Service).await?.objects;
    let is_referring = |service: &&Object| service.value.get(field).and_then(Value::as_str) == Some(name);
    Ok(services.iter().filter(is_referring).map(|service| format!("Service/{}", service.name)).collect())
}

/// Prints a title and the fields of a value under it.
fn print_section(title: &str, value: &Value) {
    println!("  {title}");
    print_fields(value, "");
}

/// Prints each leaf of a JSON value on a line, with its path.
fn print_fields(value: &Value, path: &str) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, value) in fields {
                let path = if path.is_empty() { name.clone() } else { format!("{path}/{name}") };
                print_fields(value, &path);
            }
        }
        Value::Array(elements) if !elements.is_empty() => {
            for (index, value) in elements.iter().enumerate() {
                print_fields(value, &format!("{path}/{index}"));
            }
        }
        value => println!("    {path} = {value}"),
    }
}
