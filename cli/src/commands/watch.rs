//! `yuccactl watch`: prints the objects of a kind and then each change to them.

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

/// Pause before a failed watch request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Prints the objects of a kind and then each change to them, one per line.
#[derive(Debug, Args)]
pub struct WatchArgs {
    /// Kind of the objects.
    kind: String,
    /// Print only the object with this name.
    #[arg(long)]
    name: Option<String>,
    /// Exit after this number of lines.
    #[arg(long)]
    count: Option<usize>,
    /// Exit after this time, in milliseconds.
    #[arg(long)]
    timeout_ms: Option<u64>,
}

/// Prints changes and keeps the printed versions, so that an interrupted watch repeats no line.
struct ChangePrinter<'a> {
    context: &'a CommandContext,
    args: &'a WatchArgs,
    /// Version last printed for each object that exists, by name.
    versions: IndexMap<Arc<str>, u64>,
    /// Number of lines printed so far.
    lines: usize,
}

/// Runs `yuccactl watch`.
pub async fn cmd_watch(context: &CommandContext, args: &WatchArgs) -> Result<()> {
    let kind = parse_kind(&args.kind)?;
    let watch = watch(context, args, kind);
    match args.timeout_ms {
        // Reaching the time limit that the operator set is not an error.
        Some(millis) => {
            let deadline = Instant::now() + Duration::from_millis(millis);
            tokio::time::timeout_at(deadline, watch).await.unwrap_or(Ok(()))
        }
        None => watch.await,
    }
}

/// Prints changes until the requested number of lines is reached; failed watch requests are repeated.
async fn watch(context: &CommandContext, args: &WatchArgs, kind: ObjectKind) -> Result<()> {
    let mut printer = ChangePrinter { context, args, versions: IndexMap::new(), lines: 0 };
    let listing = context.platform.list(kind).await?;
    let (mut last_version, mut epoch) = (listing.version, listing.epoch);
    printer.print_differences(&listing.objects);
    while !printer.is_done() {
        match context.platform.watch(kind, last_version).await {
            Ok(changes) if changes.expired || changes.epoch != epoch => {
                let listing = context.platform.list(kind).await?;
                (last_version, epoch) = (listing.version, listing.epoch);
                printer.print_differences(&listing.objects);
            }
            Ok(changes) => {
                last_version = changes.version;
                for change in &changes.changes {
                    printer.print_change(&change.object, change.deleted);
                }
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
    Ok(())
}

impl ChangePrinter<'_> {
    /// Returns whether the requested number of lines has been printed.
    fn is_done(&self) -> bool {
        self.args.count.is_some_and(|count| self.lines >= count)
    }

    /// Prints the differences between a complete listing and the objects printed so far.
    fn print_differences(&mut self, objects: &[Object]) {
        let is_missing = |name: &&Arc<str>| !objects.iter().any(|object| object.name == **name);
        let deleted_names: Vec<Arc<str>> = self.versions.keys().filter(is_missing).map(Arc::clone).collect();
        for name in deleted_names {
            self.versions.shift_remove(&name);
            self.print_line("deleted", &name, None);
        }
        for object in objects {
            self.print_change(object, false);
        }
    }

    /// Prints one change, unless its version has been printed already.
    fn print_change(&mut self, object: &Object, deleted: bool) {
        if self.args.name.as_deref().is_some_and(|name| name != object.name.as_ref()) {
            return;
        }
        if deleted {
            self.versions.shift_remove(&object.name);
            self.print_line("deleted", &object.name, Some(object));
            return;
        }
        let printed_version = self.versions.insert(Arc::clone(&object.name), object.version);
        match printed_version {
            Some(version) if version >= object.version => {}
            Some(_) => self.print_line("changed", &object.name, Some(object)),
            None => self.print_line("present", &object.name, Some(object)),
        }
    }

    /// Prints one line for an event.
    fn print_line(&mut self, event: &str, name: &str, object: Option<&Object>) {
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
