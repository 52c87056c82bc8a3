//! Clock that continues while the VM is suspended, unlike the runtime's clock.

use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

use crate::coordination::quota::BootTime;
use crate::coordination::quota::SHARE_VALIDITY;
use crate::log_event_limited;

/// Clock by which quotas are lent and spent.
pub trait BootClock: Send + Sync + 'static {
    /// Returns the time since an origin at least [`SHARE_VALIDITY`] before the start of the VM.
    fn now(&self) -> BootTime;
}

/// The system's `CLOCK_BOOTTIME`.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemBootClock;

impl BootClock for SystemBootClock {
    fn now(&self) -> BootTime {
        let since_start = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
        // Without a clock no period may seem to go on, and the largest reading ends all of them.
        since_start.map_or_else(
            |error| {
                log_event_limited!(Error, "the clock can't be read", error = error);
                Duration::from_secs(u64::from(u32::MAX))
            },
            |since_start| since_start + SHARE_VALIDITY,
        )
    }
}
