//! Log lines on their way out, which never make the writer wait.

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

/// Lines that may wait for a reader that stalled.
const MAX_WAITING_LINES: usize = 1_024;
const LINE_BYTES: usize = 256;

/// Takes whole lines and hands them to a thread that writes them.
///
/// When the reader of the output stalls, lines are dropped, and the next one that gets
/// through is followed by one that says how many were.
#[derive(Debug)]
pub struct LogPipe {
    line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogPipe {
    /// A pipe to an output.
    ///
    /// # Errors
    ///
    /// When no thread can be started.
    pub fn to<W>(output: W) -> io::Result<Self>
    where
        W: Write + Send + 'static,
    {
        let (sender, receiver) = sync_channel(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let told = Arc::clone(&dropped);
        thread::Builder::new().name("log".to_owned()).spawn(move || drain(&receiver, output, &told))?;
        Ok(Self { line: Vec::with_capacity(LINE_BYTES), lines: sender, dropped })
    }

    fn send(&mut self) {
        let line = std::mem::replace(&mut self.line, Vec::with_capacity(LINE_BYTES));
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = self.lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for LogPipe {
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

/// Writes lines until no pipe is left; a closed output has nobody to tell.
fn drain<W>(lines: &Receiver<Vec<u8>>, mut output: W, dropped: &AtomicU64)
where
    W: Write,
{
    while let Ok(line) = lines.recv() {
        let written = output.write_all(&line).and_then(|()| match dropped.swap(0, Ordering::Relaxed) {
            0 => Ok(()),
            lost => writeln!(output, "[WARN] log lines dropped; lines={lost}"),
        });
        if written.and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}
