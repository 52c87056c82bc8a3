//! The signals that the daemon handles, from before it reads its settings until the process has ended.

use std::fmt;
use std::fmt::Display;
use std::io;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use yuccatray::log_event_limited;

/// Number of SIGINTs, counted from the start of the process, after which a stop is cut short.
const INTERRUPTS_TO_CUT_SHORT: u32 = 2;

/// A signal that the process received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceivedSignal {
    /// SIGTERM, by which a platform asks for a stop.
    Terminate,
    /// SIGINT, by which an operator at a terminal asks for a stop.
    Interrupt,
    /// SIGHUP, which says that the settings file has changed.
    Hangup,
}

impl Display for ReceivedSignal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::Hangup => "SIGHUP",
        })
    }
}

/// Handlers of the signals, which replace the signals' default actions until the process has ended.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    /// SIGINTs received so far.
    interrupts: u32,
}

impl Signals {
    /// Installs the handlers; signals that arrive from now on wait for [`Self::recv`].
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a handler.
    ///
    /// # Panics
    ///
    /// When called outside a runtime.
    pub fn listen() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
            interrupts: 0,
        })
    }

    /// Waits for a signal. Signals of one kind that arrive before this is called may count as one.
    pub async fn recv(&mut self) -> ReceivedSignal {
        let received = tokio::select! {
            _ = self.terminate.recv() => ReceivedSignal::Terminate,
            _ = self.interrupt.recv() => ReceivedSignal::Interrupt,
            _ = self.hangup.recv() => ReceivedSignal::Hangup,
        };
        if received == ReceivedSignal::Interrupt {
            self.interrupts = self.interrupts.saturating_add(1);
        }
        received
    }

    /// Waits, while the node stops, until a second SIGINT asks to cut the stop short.
    ///
    /// Other signals change nothing and are logged.
    pub async fn second_interrupt(&mut self) {
        while self.interrupts < INTERRUPTS_TO_CUT_SHORT {
            let received = self.recv().await;
            if self.interrupts < INTERRUPTS_TO_CUT_SHORT {
                log_event_limited!(Info, "signal ignored, since the node is stopping", signal = received);
            }
        }
    }
}
