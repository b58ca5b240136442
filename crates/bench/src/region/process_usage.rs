//! Processor time and memory of a process, read from `/proc`.

use std::{fs, time::Duration};

/// Clock ticks per second in `/proc`; 100 on every Linux architecture that this program is
/// built for.
const TICKS_PER_SECOND: f64 = 100.0;

/// Processor time that a process has used so far, and its current memory.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time in user and kernel mode.
    pub cpu_time: Duration,
    /// Resident memory in kilobytes.
    pub resident_kb: u64,
}

impl ProcessUsage {
    /// Reads the usage of process `pid`; `None` if it has ended.
    pub fn read(pid: u32) -> Option<Self> {
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The second field, the program's name in parentheses, may contain spaces. The other
        // fields are therefore counted from its end: `utime` is at 11 and `stime` at 12.
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
            cpu_time: Duration::from_secs_f64((user + kernel) / TICKS_PER_SECOND),
            resident_kb: resident.parse().ok()?,
        })
    }
}
