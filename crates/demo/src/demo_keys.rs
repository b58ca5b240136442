//! Key files of one run, removed at its end.

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

/// Key files in a folder that only this user can read.
#[derive(Debug)]
pub struct DemoKeys {
    folder: PathBuf,
}

impl DemoKeys {
    /// Writes random keys to a new folder for temporary files.
    pub fn create() -> Result<Self, DemoError> {
        let folder = env::temp_dir().join(format!("camphorcove-demo-{}", process::id()));
        write_all(&folder).context(KeysSnafu {
            folder: folder.display().to_string(),
        })?;
        Ok(Self { folder })
    }

    /// File with the peer key.
    pub fn peer_file(&self) -> PathBuf {
        self.folder.join("peer.key")
    }

    /// File with the operators' keys, for the daemon.
    pub fn operators_file(&self) -> PathBuf {
        self.folder.join("operators.keys")
    }

    /// File with the secret of the operator `demo`, for the client.
    pub fn secret_file(&self) -> PathBuf {
        self.folder.join("demo.secret")
    }
}

impl Drop for DemoKeys {
    fn drop(&mut self) {
        if let Err(error) = fs::remove_dir_all(&self.folder) {
            log::warn!("cannot remove {}: {error}", self.folder.display());
        }
    }
}

fn write_all(folder: &Path) -> io::Result<()> {
    fs::DirBuilder::new().mode(0o700).create(folder)?;
    let secret = random_secret();
    write(&folder.join("peer.key"), &random_secret())?;
    write(&folder.join("demo.secret"), &secret)?;
    write(&folder.join("operators.keys"), &format!("demo {secret}\n"))
}

fn write(path: &Path, text: &str) -> io::Result<()> {
    let mut options = fs::OpenOptions::new();
    let mut file = options
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)?;
    io::Write::write_all(&mut file, text.as_bytes())
}

/// 256 random bits in hexadecimal.
fn random_secret() -> String {
    (0..4).map(|_| format!("{:016x}", random_nonce())).collect()
}
