//! One module a command, each with its arguments and one function.

pub mod apply;
pub mod completions;
pub mod delete;
pub mod describe;
pub mod drain;
pub mod get;
pub mod list;
pub mod nodes;
pub mod top;
pub mod trace;
pub mod version;
pub mod wait;
pub mod watch;

use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::transport::platform::Platform;

use crate::CommandContext;
use crate::cli_error::CliError;
use crate::cli_error::Result;

/// Reads an object that has to exist.
pub async fn existing(context: &CommandContext, kind: ObjectKind, name: &str) -> Result<Object> {
    let object = context.platform.get(kind, name).await?;
    object.ok_or_else(|| CliError::NotFound { kind: kind.to_string(), name: name.to_owned() })
}

/// Reads the name of a kind as an operator writes it.
pub fn parse_kind(name: &str) -> Result<ObjectKind> {
    ObjectKind::from_name(name).ok_or_else(|| {
        let known: Vec<&str> = ObjectKind::ALL.iter().map(|kind| kind.name()).collect();
        CliError::Usage {
            message: format!("no kind named {name:?}"),
            hint: format!("the kinds are {}", known.join(", ")),
        }
    })
}
