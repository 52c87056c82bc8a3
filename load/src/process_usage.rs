//! CPU time and memory of processes, from `/proc`.

use std::fs;
use std::io;
use std::time::Duration;

/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// CPU time and memory of processes at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// CPU time of all threads that are still running.
    pub cpu_time: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
}

impl ProcessUsage {
    /// Measures several processes and returns the sums.
    ///
    /// # Errors
    ///
    /// When a process has exited or the kernel doesn't provide these figures.
    pub fn measure(pids: &[u32]) -> io::Result<Self> {
        let mut sum = Self::default();
        for pid in pids {
            sum.cpu_time += cpu_time_of(*pid)?;
            sum.resident_bytes += resident_bytes(*pid)?;
        }
        Ok(sum)
    }
}

/// Returns the CPU time of the running threads of a process.
fn cpu_time_of(pid: u32) -> io::Result<Duration> {
    let mut nanos = 0;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        nanos += parse_field(&fs::read_to_string(task?.path().join("schedstat"))?, 0)?;
    }
    Ok(Duration::from_nanos(nanos))
}

fn resident_bytes(pid: u32) -> io::Result<u64> {
    let pages = parse_field(&fs::read_to_string(format!("/proc/{pid}/statm"))?, 1)?;
    Ok(pages * PAGE_BYTES)
}

/// Parses the whitespace-separated field at `index`.
fn parse_field(text: &str, index: usize) -> io::Result<u64> {
    let field = text.split_whitespace().nth(index);
    let number = field.and_then(|field| field.parse().ok());
    number
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, "a field of a /proc file is not a number"))
}
