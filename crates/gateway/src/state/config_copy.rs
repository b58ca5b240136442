//! Copy of the operator's configuration, which the leader sends to hosts that lack it.
//!
//! It is compressed, as it has to fit into a datagram: hosts that start after the store has lost
//! writes find the newest configuration nowhere else.

use {
    bincode::{Decode, Encode},
    camphorcove_core::ids::{ConfigVersion, StoreVersion},
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    std::io::{self, Read, Write},
};

/// Longest text that is unpacked, in bytes: several times the largest object of the store. A
/// malformed copy could otherwise take any amount of memory.
const MAX_TEXT_BYTES: u64 = 8 << 20;

/// The newest configuration as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigCopy {
    /// Version of its object in the store.
    pub version: StoreVersion,
    /// Version that the operator has given it, which rises even if the store loses writes.
    pub config_version: ConfigVersion,
    /// Content of the object, as deflated JSON.
    packed: Vec<u8>,
}

impl ConfigCopy {
    /// Compresses the content of the object, which is JSON.
    pub fn pack(version: StoreVersion, config_version: ConfigVersion, text: &str) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let packed = encoder
            .write_all(text.as_bytes())
            .and_then(|()| encoder.finish())
            .unwrap_or_else(|error| unreachable!("writing to memory does not fail: {error}"));
        Self {
            version,
            config_version,
            packed,
        }
    }

    /// Content of the object, as JSON; fails if it is damaged or too long.
    pub fn unpack(&self) -> io::Result<String> {
        let mut text = String::new();
        let decoder = DeflateDecoder::new(self.packed.as_slice());
        let length = decoder.take(MAX_TEXT_BYTES).read_to_string(&mut text)?;
        match length as u64 == MAX_TEXT_BYTES {
            true => Err(io::ErrorKind::FileTooLarge.into()),
            false => Ok(text),
        }
    }
}
