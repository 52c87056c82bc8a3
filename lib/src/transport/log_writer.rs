//! Writer for log lines that does not block on a slow output, except for a bounded time on a flush.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Maximum number of lines queued while the reader of the output is stalled.
const MAX_WAITING_LINES: usize = 1_024;
/// Maximum time for which a flush waits for the output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Interval at which a flush looks for room in a full queue.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(1);
/// Initial capacity of a line buffer.
const INITIAL_LINE_BYTES: usize = 256;

/// An item of the queue to the thread that writes.
#[derive(Debug)]
enum Item {
    Line(Vec<u8>),
    /// Asks for a message once everything queued before has been written.
    Flush(SyncSender<()>),
}

/// Collects whole lines and queues them for a thread that writes them.
///
/// While the queue is full, lines are dropped. The next line written is followed by a line with the number of
/// dropped lines.
#[derive(Debug)]
pub struct NonBlockingLogWriter {
    line: Vec<u8>,
    items: SyncSender<Item>,
    dropped: Arc<AtomicU64>,
}

impl NonBlockingLogWriter {
    /// Creates a writer to `output` and starts its thread.
    ///
    /// # Errors
    ///
    /// Fails if the thread can't be started.
    pub fn new<W>(output: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (sender, receiver) = sync_channel(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || drain(&receiver, output, &dropped_lines))?;
        Ok(Self { line: Vec::with_capacity(INITIAL_LINE_BYTES), items: sender, dropped })
    }

    fn send(&mut self) {
        let line = std::mem::replace(&mut self.line, Vec::with_capacity(INITIAL_LINE_BYTES));
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) =
            self.items.try_send(Item::Line(line))
        {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Queues a request to flush; returns false if the queue stays full until `give_up_at` or its thread has ended.
    fn request_flush(&self, flushed: SyncSender<()>, give_up_at: Instant) -> bool {
        let mut item = Item::Flush(flushed);
        loop {
            match self.items.try_send(item) {
                Ok(()) => return true,
                Err(TrySendError::Full(unsent)) if Instant::now() < give_up_at => item = unsent,
                Err(_) => return false,
            }
            thread::sleep(FLUSH_RETRY_INTERVAL);
        }
    }
}

impl Write for NonBlockingLogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        for part in bytes.split_inclusive(|byte| *byte == b'\n') {
            self.line.extend_from_slice(part);
            if part.ends_with(b"\n") {
                self.send();
            }
        }
        Ok(bytes.len())
    }

    /// Waits until the lines queued so far have been written, for at most 200 ms.
    fn flush(&mut self) -> io::Result<()> {
        let give_up_at = Instant::now() + FLUSH_TIMEOUT;
        let (flushed, is_flushed) = sync_channel(1);
        let in_time = self.request_flush(flushed, give_up_at)
            && is_flushed.recv_timeout(give_up_at.saturating_duration_since(Instant::now())).is_ok();
        if in_time { Ok(()) } else { Err(io::ErrorKind::TimedOut.into()) }
    }
}

/// Writes queued lines until all senders are dropped or the output fails.
///
/// A failure of the output is not reported, since log lines have no other destination.
fn drain<W>(items: &Receiver<Item>, mut output: W, dropped: &AtomicU64)
where
    W: Write,
{
    while let Ok(item) = items.recv() {
        let line = match item {
            Item::Line(line) => line,
            Item::Flush(flushed) => {
                // A flush that is no longer waited for needs no message.
                let _ended = flushed.try_send(());
                continue;
            }
        };
        let written = output.write_all(&line).and_then(|()| match dropped.swap(0, Ordering::Relaxed) {
            0 => Ok(()),
            count => writeln!(output, "[WARN] log lines dropped; lines={count}"),
        });
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
