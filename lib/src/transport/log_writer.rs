//! Writer for log lines that never blocks on a slow output.

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

/// Maximum number of lines queued while the reader of the output is stalled.
const MAX_WAITING_LINES: usize = 1_024;
/// Initial capacity of a line buffer.
const INITIAL_LINE_BYTES: usize = 256;

/// Collects whole lines and queues them for a thread that writes them.
///
/// While the queue is full, lines are dropped. The next line written is followed by a line with the number of
/// dropped lines.
#[derive(Debug)]
pub struct NonBlockingLogWriter {
    line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
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
        Ok(Self { line: Vec::with_capacity(INITIAL_LINE_BYTES), lines: sender, dropped })
    }

    fn send(&mut self) {
        let line = std::mem::replace(&mut self.line, Vec::with_capacity(INITIAL_LINE_BYTES));
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
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

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines until all senders are dropped or the output fails.
///
/// A failure of the output is not reported, since log lines have no other destination.
fn drain<W>(lines: &Receiver<Vec<u8>>, mut output: W, dropped: &AtomicU64)
where
    W: Write,
{
    while let Ok(line) = lines.recv() {
        let written = output.write_all(&line).and_then(|()| match dropped.swap(0, Ordering::Relaxed) {
            0 => Ok(()),
            count => writeln!(output, "[WARN] log lines dropped; lines={count}"),
        });
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
