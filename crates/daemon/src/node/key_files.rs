//! Reads the key files named in the settings.

use {
    crate::error::DaemonError,
    camphorcove_net::{operator::KeyRing, peer::PeerKey},
    std::path::Path,
};

/// Reads the secret key that the region's hosts share.
pub fn read_peer_key(path: &Path) -> Result<PeerKey, DaemonError> {
    let text = read(path)?;
    PeerKey::from_hex(&text).ok_or_else(|| DaemonError::KeyFile {
        file: path.display().to_string(),
        line: 1,
        what: "found other text; allowed: at least 64 hexadecimal digits".into(),
    })
}

/// Reads the operators' keys; returns an empty key ring if no file is configured.
pub fn read_operator_keys(path: Option<&Path>) -> Result<KeyRing, DaemonError> {
    let Some(path) = path else {
        return Ok(KeyRing::default());
    };
    KeyRing::parse(&read(path)?).map_err(|error| DaemonError::KeyFile {
        file: path.display().to_string(),
        line: 1,
        what: error.to_string(),
    })
}

fn read(path: &Path) -> Result<String, DaemonError> {
    std::fs::read_to_string(path).map_err(|error| DaemonError::KeyFile {
        file: path.display().to_string(),
        line: 1,
        what: format!("cannot be read: {error}"),
    })
}
