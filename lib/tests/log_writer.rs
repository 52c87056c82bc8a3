//! Writing of log lines when the reader of the output keeps up and when it stalls.

use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use yuccatray::transport::log_writer::NonBlockingLogWriter;

const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Output that blocks all writes until it is unblocked.
struct BlockedOutput {
    unblock: Receiver<()>,
    unblocked: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.unblocked {
            self.unblocked = self.unblock.recv().is_ok();
        }
        self.written.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn blocked_pipe() -> (NonBlockingLogWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (unblocker, unblock) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput { unblock, unblocked: false, written: Arc::clone(&written) };
    (NonBlockingLogWriter::new(output).expect("the writer thread starts"), unblocker, written)
}

fn wait_for_output(written: &Mutex<Vec<u8>>, text: &str) -> String {
    let deadline = Instant::now() + WRITE_TIMEOUT;
    loop {
        let output = String::from_utf8_lossy(&written.lock()).into_owned();
        if output.contains(text) {
            return output;
        }
        assert!(Instant::now() < deadline, "{text:?} was not written within {WRITE_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn lines_written_whole_and_in_order() {
    let (mut pipe, unblocker, written) = blocked_pipe();
    unblocker.send(()).expect("the output keeps the receiver");
    write!(pipe, "one; key=").expect("the pipe accepts every line");
    write!(pipe, "1\ntwo\nth").expect("the pipe accepts every line");
    writeln!(pipe, "ree").expect("the pipe accepts every line");
    assert_eq!(wait_for_output(&written, "three\n"), "one; key=1\ntwo\nthree\n");
}

#[test]
fn stalled_reader_never_blocks_writer_and_drops_are_logged() {
    let (mut pipe, unblocker, written) = blocked_pipe();
    let started = Instant::now();
    for index in 0..10_000 {
        writeln!(pipe, "line {index}").expect("the pipe accepts every line");
    }
    assert!(started.elapsed() < Duration::from_secs(2), "the writer does not wait for the stalled reader");
    unblocker.send(()).expect("the output keeps the receiver");
    let text = wait_for_output(&written, "log lines dropped; lines=");
    assert!(text.starts_with("line 0\n"), "lines written before the stall come first");
}

#[test]
fn flush_waits_until_lines_are_written() {
    let (mut pipe, unblocker, written) = blocked_pipe();
    writeln!(pipe, "last").expect("the pipe accepts every line");
    unblocker.send(()).expect("the output keeps the receiver");
    pipe.flush().expect("the output accepts the line in time");
    assert_eq!(String::from_utf8_lossy(&written.lock()), "last\n");
}

#[test]
fn flush_of_stalled_output_ends() {
    let (mut pipe, _unblocker, _written) = blocked_pipe();
    writeln!(pipe, "last").expect("the pipe accepts every line");
    assert!(pipe.flush().is_err());
}
