//! Where the programs of a region are.

use std::path::PathBuf;

/// Where the programs of a region are.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct ProgramOptions {
    /// Folder with the daemon and the stand-ins; the folder of this program if absent.
    #[arg(long)]
    pub programs: Option<PathBuf>,
    /// The daemon, if it is elsewhere, for example an earlier version.
    #[arg(long)]
    pub daemon: Option<PathBuf>,
}

impl ProgramOptions {
    /// Path of a program.
    pub fn path(&self, program: &str) -> PathBuf {
        if let (Some(daemon), "camphorcoved") = (&self.daemon, program) {
            return daemon.clone();
        }
        let own = std::env::current_exe().ok();
        let own_folder = own.and_then(|path| Some(path.parent()?.to_owned()));
        let folder = self.programs.clone().or(own_folder).unwrap_or_default();
        folder.join(program)
    }
}
