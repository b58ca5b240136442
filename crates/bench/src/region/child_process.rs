//! Child process that is killed when dropped.

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

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Takes ownership of a started process.
    pub fn new(child: Child) -> Self {
        Self { child }
    }

    /// Starts a program and reads the `count` socket addresses that it prints as its first
    /// lines of output.
    pub fn start_and_read_addresses(
        program: &Path,
        arguments: &[String],
        count: usize,
    ) -> Result<(Self, Vec<SocketAddr>), BenchError> {
        let mut command = Command::new(program);
        command.args(arguments).stdout(Stdio::piped());
        let spawned = command.stdin(Stdio::null()).spawn();
        let mut child = spawned.or_else(|error| start_failure(program, error.to_string()))?;
        let Some(output) = child.stdout.take() else {
            return start_failure(program, "its standard output cannot be read".into());
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
                None => return start_failure(program, format!("printed no address: {line:?}")),
            }
        }
        // Reads the remaining output, since the process would block on a full pipe.
        thread::spawn(move || output.read_to_end(&mut Vec::new()));
        Ok((process, addresses))
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Reads the processor time and memory used so far; zero if the process has ended.
    pub fn usage(&self) -> ProcessUsage {
        ProcessUsage::read(self.id()).unwrap_or_default()
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process with SIGKILL, as if its machine had failed, and waits for its end.
    pub fn kill(&mut self) {
        // Fails only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns a [`BenchError::NotStarted`].
pub(super) fn start_failure<T>(program: &Path, reason: String) -> Result<T, BenchError> {
    let program = program.display().to_string();
    NotStartedSnafu { program, reason }.fail()
}
