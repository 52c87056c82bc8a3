//! Prints the objects of a kind and then each change to them.

use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use indexmap::IndexMap;
use tokio::time::Instant;
use yuccatray::protocol::object::Object;
use yuccatray::protocol::object::ObjectKind;
use yuccatray::transport::platform::Platform;

use crate::CommandContext;
use crate::cli_error::Result;
use crate::commands::parse_kind;
use crate::output::OutputFormat;

const PAUSE: Duration = Duration::from_millis(500);

/// Prints the objects of a kind and then each change to them, a line each.
#[derive(Debug, Args)]
pub struct WatchArgs {
    /// Kind of the objects.
    kind: String,
    /// Only the object of this name.
    #[arg(long)]
    name: Option<String>,
    /// Stop after so many lines.
    #[arg(long)]
    count: Option<usize>,
    /// Stop after so long, in milliseconds.
    #[arg(long)]
    timeout_ms: Option<u64>,
}

/// What was printed last, so that a broken watch repeats nothing.
struct Printed<'a> {
    context: &'a CommandContext,
    args: &'a WatchArgs,
    versions: IndexMap<Arc<str>, u64>,
    lines: usize,
}

/// Runs `yuccactl watch`.
pub async fn cmd_watch(context: &CommandContext, args: &WatchArgs) -> Result<()> {
    let kind = parse_kind(&args.kind)?;
    let watching = watch(context, args, kind);
    match args.timeout_ms {
        // Running out of the time that was asked for is no fault.
        Some(millis) => {
            let until = Instant::now() + Duration::from_millis(millis);
            tokio::time::timeout_at(until, watching).await.unwrap_or(Ok(()))
        }
        None => watching.await,
    }
}

async fn watch(context: &CommandContext, args: &WatchArgs, kind: ObjectKind) -> Result<()> {
    let mut printed = Printed { context, args, versions: IndexMap::new(), lines: 0 };
    let listing = context.platform.list(kind).await?;
    let mut after = listing.version;
    printed.compare(&listing.objects);
    while !printed.is_done() {
        match context.platform.watch(kind, after).await {
            Ok(changes) if changes.expired => {
                let listing = context.platform.list(kind).await?;
                after = listing.version;
                printed.compare(&listing.objects);
            }
            Ok(changes) => {
                after = changes.version;
                for change in &changes.changes {
                    printed.take(&change.object, change.deleted);
                }
            }
            Err(_) => tokio::time::sleep(PAUSE).await,
        }
    }
    Ok(())
}

impl Printed<'_> {
    fn is_done(&self) -> bool {
        self.args.count.is_some_and(|count| self.lines >= count)
    }

    /// Prints how a whole listing differs from what was printed.
    fn compare(&mut self, objects: &[Object]) {
        let gone = |name: &&Arc<str>| !objects.iter().any(|object| object.name == **name);
        let gone: Vec<Arc<str>> = self.versions.keys().filter(gone).map(Arc::clone).collect();
        for name in gone {
            self.versions.shift_remove(&name);
            self.print("deleted", &name, None);
        }
        for object in objects {
            self.take(object, false);
        }
    }

    fn take(&mut self, object: &Object, deleted: bool) {
        if self.args.name.as_deref().is_some_and(|name| name != object.name.as_ref()) {
            return;
        }
        if deleted {
            self.versions.shift_remove(&object.name);
            self.print("deleted", &object.name, Some(object));
            return;
        }
        let held = self.versions.insert(Arc::clone(&object.name), object.version);
        match held {
            Some(version) if version >= object.version => {}
            Some(_) => self.print("changed", &object.name, Some(object)),
            None => self.print("present", &object.name, Some(object)),
        }
    }

    fn print(&mut self, event: &str, name: &str, object: Option<&Object>) {
        if self.is_done() {
            return;
        }
        self.lines += 1;
        if self.context.output == OutputFormat::Json {
            println!("{}", serde_json::json!({ "event": event, "name": name, "object": object }));
            return;
        }
        let version = object.map_or_else(|| "-".to_owned(), |object| object.version.to_string());
        println!("{event} {name} version {version}");
    }
}
