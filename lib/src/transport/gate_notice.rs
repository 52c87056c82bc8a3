//! Follows what the upstream of a gate announces about itself with its answers.

use crate::log_event;
use crate::log_event_limited;
use crate::protocol::external_fields::UpstreamNotice;
use crate::protocol::rate_limit;
use crate::transport::gate::Gate;
use crate::transport::upstream_pool::UpstreamPool;

/// Request whose answer carried a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoticeSource {
    /// A call that the gate forwarded.
    Call,
    /// A probe that the gate made itself.
    Probe,
}

impl NoticeSource {
    const fn name(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Probe => "probe",
        }
    }
}

impl Gate {
    /// Records what the upstream behind `pool` announced, and logs a change.
    ///
    /// An unreadable notice leaves the previous one in effect.
    pub(super) fn observe_notice(
        &self,
        pool: &UpstreamPool,
        notice: rate_limit::Result<UpstreamNotice>,
        source: NoticeSource,
    ) {
        let notice = match notice {
            Ok(notice) => notice,
            Err(error) => {
                log_event_limited!(Warn, "upstream notice ignored", error = error, source = source.name());
                return;
            }
        };
        let previous = pool.record_notice(notice);
        if previous == notice {
            return;
        }
        let load = self.load();
        let rate_text =
            |notice: UpstreamNotice| notice.rate_limit.map_or("none".to_owned(), |limit| limit.to_string());
        log_event!(
            Info,
            "upstream notice changed",
            service = pool.service(),
            instance = pool.instance().map_or("none", AsRef::as_ref),
            rate_limit_per_s = rate_text(notice),
            previous_limit_per_s = rate_text(previous),
            draining = notice.draining,
            source = source.name(),
            sent_requests = pool.sent_requests(),
            running = load.running,
            queued = load.queued,
        );
    }
}
