//! Key files of one run, removed at the end of the run.

use {
    crate::demo_error::{DemoError, KeysSnafu},
    camphorcove_net::peer::random_nonce,
    snafu::ResultExt,
    std::{
        env, fs, io,
        os::unix::fs::{DirBuilderExt, OpenOptionsExt},
        path::{Path, PathBuf},
        process,
    },
};

/// Key files in a directory that only the current user can read; dropping it removes
/// them.
#[derive(Debug)]
pub struct DemoKeys {
    directory: PathBuf,
}

impl DemoKeys {
    /// Writes random keys to a new directory under the system's temporary directory.
    pub fn create() -> Result<Self, DemoError> {
        let directory = env::temp_dir().join(format!("camphorcove-demo-{}", process::id()));
        write_all(&directory).context(KeysSnafu {
            directory: directory.display().to_string(),
        })?;
        Ok(Self { directory })
    }

    /// File with the key that authenticates hosts to each other.
    pub fn peer_file(&self) -> PathBuf {
        self.directory.join("peer.key")
    }

    /// File with the keys of all operators, read by the daemon.
    pub fn operators_file(&self) -> PathBuf {
        self.directory.join("operators.keys")
    }

    /// File with the secret of the operator `demo`, read by the client.
    pub fn secret_file(&self) -> PathBuf {
        self.directory.join("demo.secret")
    }
}

impl Drop for DemoKeys {
    fn drop(&mut self) {
        if let Err(error) = fs::remove_dir_all(&self.directory) {
            log::warn!("cannot remove {}: {error}", self.directory.display());
        }
    }
}

/// Creates the directory and writes all key files.
fn write_all(directory: &Path) -> io::Result<()> {
    fs::DirBuilder::new().mode(0o700).create(directory)?;
    let secret = random_secret();
    write(&directory.join("peer.key"), &random_secret())?;
    write(&directory.join("demo.secret"), &secret)?;
    write(
        &directory.join("operators.keys"),
        &format!("demo {secret}\n"),
    )
}

/// Creates a file that only the current user can read.
fn write(path: &Path, text: &str) -> io::Result<()> {
    let mut options = fs::OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)?;
    io::Write::write_all(&mut file, text.as_bytes())
}

/// Returns 256 random bits in hexadecimal.
fn random_secret() -> String {
    (0..4).map(|_| format!("{:016x}", random_nonce())).collect()
}
