//! Processor time and memory of a process.

use std::{fs, time::Duration};

/// Clock ticks per second in `/proc`; Linux reports 100 on all platforms it is
/// built for here.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time and memory of a process so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time in user and kernel mode.
    pub processor: Duration,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
}

impl ProcessUsage {
    /// Reads `/proc`; `None` if the process has ended.
    pub fn read(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The program's name may contain spaces; fields are counted after it.
        let (_, fields) = stat.rsplit_once(") ")?;
        let fields: Vec<&str> = fields.split(' ').collect();
        let user: f64 = fields.get(11)?.parse().ok()?;
        let kernel: f64 = fields.get(12)?.parse().ok()?;
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident = resident.trim().trim_end_matches(" kB");
        Some(Self {
            processor: Duration::from_secs_f64((user + kernel) / TICKS_PER_SECOND),
            resident_kb: resident.parse().ok()?,
        })
    }
}
