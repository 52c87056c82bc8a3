//! Following every object of one kind in the platform.

use std::time::Duration;

use crate::coordination::backoff::Backoff;
use crate::log_event;
use crate::protocol::object::Object;
use crate::protocol::object::ObjectKind;
use crate::state::metrics::Metrics;
use crate::state::metrics::SharedMetrics;
use crate::transport::platform::Change;
use crate::transport::platform::Platform;

const FIRST_PAUSE: Duration = Duration::from_millis(200);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// What became known of a kind.
#[derive(Clone, Debug, PartialEq)]
pub enum KindEvent {
    /// Every object that there is.
    Listed(Vec<Object>),
    /// What changed since.
    Changed(Vec<Change>),
}

/// A growing pause between calls of the platform that fail.
#[must_use]
pub const fn platform_backoff() -> Backoff {
    Backoff::new(FIRST_PAUSE, LONGEST_PAUSE)
}

/// Lists a kind and then watches it for as long as the caller lets it.
///
/// A watch that ends with nothing is asked again from where it began, so that a change that
/// the platform failed to tell is told by the next one. After a failure the kind is listed.
pub async fn follow_kind<P, F>(platform: P, kind: ObjectKind, metrics: SharedMetrics, mut on_event: F)
where
    P: Platform,
    F: FnMut(KindEvent) + Send,
{
    let mut backoff = platform_backoff();
    let mut watched: Option<u64> = None;
    let mut in_touch = true;
    loop {
        let result = match watched {
            None => {
                Metrics::count(&metrics.platform_calls, "list");
                platform.list(kind).await.map(|listing| {
                    on_event(KindEvent::Listed(listing.objects));
                    Some(listing.version)
                })
            }
            Some(after) => {
                Metrics::count(&metrics.platform_calls, "watch");
                platform.watch(kind, after).await.map(|changes| {
                    if changes.expired {
                        return None;
                    }
                    if changes.changes.is_empty() {
                        return Some(after);
                    }
                    on_event(KindEvent::Changed(changes.changes));
                    Some(changes.version)
                })
            }
        };
        match result {
            Ok(next) => {
                if !in_touch {
                    log_event!(Info, "platform followed again", kind = kind, watched = watched.unwrap_or(0));
                }
                in_touch = true;
                watched = next;
                backoff.reset();
            }
            Err(error) => {
                Metrics::count(&metrics.platform_calls, "failed");
                if in_touch {
                    log_event!(Warn, "platform not followed", kind = kind, error = &error);
                }
                in_touch = false;
                watched = None;
                let pause = backoff.next(&mut rand::rng());
                tokio::time::sleep(pause).await;
            }
        }
    }
}
