//! Times at which a process sent the messages whose sequence numbers are echoed to it.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

use crate::coordination::quota::BootTime;

/// Time for which a message is kept for its echo. It exceeds every lease; a share statement that comes later is
/// ignored.
const MAX_ECHO_AGE: Duration = Duration::from_secs(3);

/// Sequence numbers that may still be echoed, with the recipient and the time of sending.
///
/// The numbers start at a random one, so that an echo of an earlier process is ignored.
#[derive(Clone, Debug)]
pub struct SentRequests {
    next_sequence: u64,
    sent: IndexMap<u64, SentRequest>,
}

#[derive(Clone, Debug)]
struct SentRequest {
    recipient: Arc<str>,
    sent_at: BootTime,
}

impl SentRequests {
    /// Creates an empty record whose first sequence number is `first_sequence`.
    #[must_use]
    pub fn new(first_sequence: u64) -> Self {
        Self { next_sequence: first_sequence, sent: IndexMap::new() }
    }

    /// Records a message to `recipient` that is about to be sent, and returns its sequence number.
    pub fn record(&mut self, recipient: &Arc<str>, now: BootTime) -> u64 {
        let sequence = self.next_sequence;
        self.next_sequence = self.next_sequence.wrapping_add(1);
        self.sent.insert(sequence, SentRequest { recipient: Arc::clone(recipient), sent_at: now });
        sequence
    }

    /// Returns when the message that `from` echoes was sent; `None` if there is none or it has expired.
    pub fn take(&mut self, sequence: u64, from: &str) -> Option<BootTime> {
        let is_recipient = *self.sent.get(&sequence)?.recipient == *from;
        if !is_recipient {
            return None;
        }
        self.sent.swap_remove(&sequence).map(|request| request.sent_at)
    }

    /// Removes the messages whose echo would come too late.
    pub fn expire(&mut self, now: BootTime) {
        self.sent.retain(|_, request| request.sent_at + MAX_ECHO_AGE > now);
    }
}
