//! Paths of the programs that a region runs.

use std::path::PathBuf;

/// Options for the paths of the programs that a region runs.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct ProgramOptions {
    /// Directory of the daemon, the simulated servers and the simulated platform; defaults to
    /// the directory of this program.
    #[arg(long)]
    pub programs: Option<PathBuf>,
    /// Path of the daemon, if it is not in that directory, for example of an earlier version.
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

impl ProgramOptions {
    /// Returns the path of a program.
    pub fn path(&self, program: &str) -> PathBuf {
        if let (Some(daemon), "camphorcoved") = (&self.daemon, program) {
            return daemon.clone();
        }
        let own = std::env::current_exe().ok();
        let own_dir = own.and_then(|path| Some(path.parent()?.to_owned()));
        let dir = self.programs.clone().or(own_dir).unwrap_or_default();
        dir.join(program)
    }
}
