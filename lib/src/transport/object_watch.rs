//! Lists and watches all objects of one kind in the platform's store.

use std::time::Duration;

use crate::coordination::backoff::Backoff;
use crate::log_event;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::platform::Change;
use crate::transport::platform::Platform;

/// Upper bound of the pause after the first failed request to the platform.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Upper bound of the pause after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Event about the objects of one kind.
#[derive(Clone, Debug, PartialEq)]
pub enum ObjectEvent {
    /// All existing objects, which replace everything reported before.
    Listed(Vec<Object>),
    /// Changes since the previous event.
    Changed(Vec<Change>),
}

/// Returns the backoff between failed requests to the platform.
#[must_use]
pub const fn platform_backoff() -> Backoff {
    Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF)
}

/// Lists a kind, then watches it until the future is dropped.
///
/// A watch that ends without changes is repeated from the same version, so that a change that the platform
/// failed to report is reported by the next watch. After a failure or an expired version the kind is listed
/// again.
pub async fn watch_objects<P, F>(platform: P, kind: ObjectKind, metrics: SharedMetrics, mut on_event: F)
where
    P: Platform,
    F: FnMut(ObjectEvent) + Send,
{
    let mut backoff = platform_backoff();
    let mut last_version: Option<u64> = None;
    let mut epoch: Option<u64> = None;
    let mut reachable = true;
    loop {
        let result = match last_version {
            None => {
                Metrics::count(&metrics.platform_calls, "list");
                platform.list(kind).await.map(|listing| {
                    record_epoch(&mut epoch, listing.epoch, kind, listing.version);
                    on_event(ObjectEvent::Listed(listing.objects));
                    Some(listing.version)
                })
            }
            Some(after) => {
                Metrics::count(&metrics.platform_calls, "watch");
                platform.watch(kind, after).await.map(|changes| {
                    record_epoch(&mut epoch, changes.epoch, kind, after);
                    if changes.expired {
                        return None;
                    }
                    if changes.changes.is_empty() {
                        return Some(after);
                    }
                    on_event(ObjectEvent::Changed(changes.changes));
                    Some(changes.version)
                })
            }
        };
        match result {
            Ok(next) => {
                if !reachable {
                    log_event!(
                        Info,
                        "platform followed again",
                        kind = kind,
                        watched = last_version.unwrap_or(0)
                    );
                }
                reachable = true;
                last_version = next;
                backoff.reset();
            }
            Err(error) => {
                Metrics::count(&metrics.platform_calls, "failed");
                if reachable {
                    log_event!(Warn, "platform not followed", kind = kind, error = &error);
                }
                reachable = false;
                last_version = None;
                let pause = backoff.next_delay(&mut rand::rng());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Records the epoch that the store names, and logs a change of it; `version` is the position of the watch.
fn record_epoch(epoch: &mut Option<u64>, named: u64, kind: ObjectKind, version: u64) {
    let previous = epoch.replace(named);
    if previous.is_some_and(|previous| previous != named) {
        log_event!(
            Warn,
            "platform store was restored",
            kind = kind,
            epoch = named,
            previous = previous.unwrap_or(0),
            version = version,
        );
    }
}
