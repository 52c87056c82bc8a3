//! Processor time and memory of processes, as the kernel accounts them.

use std::fs;
use std::io;
use std::time::Duration;

const PAGE_BYTES: u64 = 4_096;

/// What processes have used up to one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Processor time of every thread that still runs.
    pub processor: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// The sum over several processes.
    ///
    /// # Errors
    ///
    /// When one of them is gone or the kernel keeps no such account.
    pub fn of(pids: &[u32]) -> io::Result<Self> {
        let mut sum = Self::default();
        for pid in pids {
            sum.processor += processor_time(*pid)?;
            sum.resident_bytes += resident_bytes(*pid)?;
        }
        Ok(sum)
    }
}

fn processor_time(pid: u32) -> io::Result<Duration> {
    let mut nanos = 0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        nanos += number_at(&fs::read_to_string(task?.path().join("schedstat"))?, 0)?;
    }
    Ok(Duration::from_nanos(nanos))
}

fn resident_bytes(pid: u32) -> io::Result<u64> {
    let pages = number_at(&fs::read_to_string(format!("/proc/{pid}/statm"))?, 1)?;
    Ok(pages * PAGE_BYTES)
}

fn number_at(text: &str, position: usize) -> io::Result<u64> {
    let word = text.split_whitespace().nth(position);
    let number = word.and_then(|word| word.parse().ok());
    number.ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "not a number where one belongs"))
}
