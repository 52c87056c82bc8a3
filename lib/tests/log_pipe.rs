//! Log lines when the reader of the output keeps up, and when it stalls.

use std::io::Write;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use yuccatray::transport::log_writer::NonBlockingLogWriter;

const PATIENCE: Duration = Duration::from_secs(10);

/// An output that takes nothing until it is opened.
struct Gated {
    opened: Receiver<()>,
    open: bool,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Gated {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.open {
            self.open = self.opened.recv().is_ok();
        }
        self.written.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn gated() -> (NonBlockingLogWriter, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (opener, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = Gated { opened: gate, open: false, written: Arc::clone(&written) };
    (NonBlockingLogWriter::new(output).expect("a thread starts"), opener, written)
}

fn until_written(written: &Mutex<Vec<u8>>, text: &str) -> String {
    let until = Instant::now() + PATIENCE;
    loop {
        let so_far = String::from_utf8_lossy(&written.lock()).into_owned();
        if so_far.contains(text) {
            return so_far;
        }
        assert!(Instant::now() < until, "never written: {text:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn lines_written_whole_and_in_order() {
    let (mut pipe, opener, written) = gated();
    opener.send(()).expect("the output waits");
    write!(pipe, "one; key=").expect("a pipe takes all");
    write!(pipe, "1\ntwo\nth").expect("a pipe takes all");
    writeln!(pipe, "ree").expect("a pipe takes all");
    assert_eq!(until_written(&written, "three\n"), "one; key=1\ntwo\nthree\n");
}

#[test]
fn reader_stalled_writer_never_waits_and_losses_are_told() {
    let (mut pipe, opener, written) = gated();
    let started = Instant::now();
    for index in 0..10_000 {
        writeln!(pipe, "line {index}").expect("a pipe takes all");
    }
    assert!(started.elapsed() < Duration::from_secs(2), "nobody read, and nobody waited");
    opener.send(()).expect("the output waits");
    let text = until_written(&written, "log lines dropped; lines=");
    assert!(text.starts_with("line 0\n"), "what waited comes first");
}
