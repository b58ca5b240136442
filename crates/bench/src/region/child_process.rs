//! A process of the region.

use {
    super::ProcessUsage,
    crate::error::{BenchError, NotStartedSnafu},
    std::{
        io::{BufRead, BufReader, Read},
        net::SocketAddr,
        path::Path,
        process::{Child, Command, Stdio},
        thread,
    },
};

/// A process that is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Takes over a started process.
    pub fn new(child: Child) -> Self {
        Self { child }
    }

    /// Starts a program that prints `count` addresses as its first lines.
    pub fn start_printing(
        program: &Path,
        arguments: &[String],
        count: usize,
    ) -> Result<(Self, Vec<SocketAddr>), BenchError> {
        let mut command = Command::new(program);
        command.args(arguments).stdout(Stdio::piped());
        let spawned = command.stdin(Stdio::null()).spawn();
        let mut child = spawned.or_else(|error| not_started(program, error.to_string()))?;
        let Some(output) = child.stdout.take() else {
            return not_started(program, "no output".into());
        };
        let process = Self { child };
        let mut output = BufReader::new(output);
        let mut addresses = Vec::new();
        for _ in 0..count {
            let mut line = String::new();
            let read = output.read_line(&mut line);
            let address = read.ok().and_then(|_| line.trim().parse().ok());
            match address {
                Some(address) => addresses.push(address),
                None => return not_started(program, format!("printed {line:?}, not an address")),
            }
        }
        // Keeps the pipe from filling up.
        thread::spawn(move || output.read_to_end(&mut Vec::new()));
        Ok((process, addresses))
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time and memory so far.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::read(self.id()).unwrap_or_default()
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process without warning, as a loss of its machine would.
    pub fn kill(&mut self) {
        // Fails only if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

pub(super) fn not_started<T>(program: &Path, reason: String) -> Result<T, BenchError> {
    let program = program.display().to_string();
    NotStartedSnafu { program, reason }.fail()
}
