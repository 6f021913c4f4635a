//! Processor time and memory of a process, as counted by the kernel.

use std::path::PathBuf;
use std::time::Instant;

/// Size of a memory page, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// Resources that a process has used up to one moment.
#[derive(Clone, Copy, Debug)]
pub struct MeterReading {
    /// When it was read.
    pub at: Instant,
    /// Processor time since the process's start, in seconds.
    pub cpu_s: f64,
    /// Resident memory, in mebibytes.
    pub rss_mib: f64,
}

impl MeterReading {
    /// Processor time used between two readings, in seconds.
    pub fn cpu_since(&self, earlier: &Self) -> f64 {
        (self.cpu_s - earlier.cpu_s).max(0.0)
    }

    /// Share of one core used between two readings, in percent.
    pub fn core_percent_since(&self, earlier: &Self) -> f64 {
        let span = (self.at - earlier.at).as_secs_f64();
        100.0 * self.cpu_since(earlier) / span.max(1e-9)
    }
}

/// Reads the resources of one process.
#[derive(Clone, Debug)]
pub struct ProcessMeter {
    folder: PathBuf,
}

impl ProcessMeter {
    /// Creates a meter of the process `id`.
    pub fn open(id: u32) -> Self {
        Self { folder: PathBuf::from(format!("/proc/{id}")) }
    }

    /// Reads the process; returns zeros once it has ended.
    pub fn read(&self) -> MeterReading {
        let tasks = std::fs::read_dir(self.folder.join("task")).into_iter().flatten().flatten();
        let cpu_ns: f64 = tasks
            .filter_map(|task| std::fs::read_to_string(task.path().join("schedstat")).ok())
            .filter_map(|text| text.split_whitespace().next()?.parse::<f64>().ok())
            .sum();
        let memory = std::fs::read_to_string(self.folder.join("statm")).unwrap_or_default();
        let pages = memory.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
        MeterReading {
            at: Instant::now(),
            cpu_s: cpu_ns / 1e9,
            rss_mib: pages.unwrap_or_default() * PAGE_BYTES / f64::from(1 << 20),
        }
    }
}
