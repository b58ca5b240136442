//! Store versions that this host and other hosts have seen.
//!
//! A watch on a dead connection looks like a store without changes. Hosts therefore tell
//! each other the newest version that they have seen of each kind of object. A host that is
//! behind reads the kind again.

use {
    bincode::{
        Decode, Encode,
        de::Decoder,
        enc::Encoder,
        error::{DecodeError, EncodeError},
    },
    camphorcove_core::ids::StoreVersion,
};

/// Kinds of store objects that a host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreKind {
    /// The operator's configuration.
    Config,
    /// Server entries.
    Fleet,
    /// Assignment of keys to servers.
    Owners,
    /// Zones that are evacuated. Other hosts learn their version from the list itself.
    Evacuations,
}

/// Range of versions that one answer of the store covers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionSpan {
    /// Version after which the range starts.
    pub from: StoreVersion,
    /// Last version of the range: all changes up to it are known.
    pub through: StoreVersion,
    /// Version of the newest change in the range; 0 if there is none.
    pub newest: StoreVersion,
}

/// One version for each kind of object. Messages contain those of the first three kinds, which all
/// builds know.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SeenVersions {
    config: StoreVersion,
    fleet: StoreVersion,
    owners: StoreVersion,
    evacuations: StoreVersion,
}

impl SeenVersions {
    /// Version of a kind; 0 if none was seen.
    pub fn get(&self, kind: StoreKind) -> StoreVersion {
        match kind {
            StoreKind::Config => self.config,
            StoreKind::Fleet => self.fleet,
            StoreKind::Owners => self.owners,
            StoreKind::Evacuations => self.evacuations,
        }
    }

    /// Raises the version of a kind; an older one is ignored.
    pub fn advance(&mut self, kind: StoreKind, version: StoreVersion) {
        let current = match kind {
            StoreKind::Config => &mut self.config,
            StoreKind::Fleet => &mut self.fleet,
            StoreKind::Owners => &mut self.owners,
            StoreKind::Evacuations => &mut self.evacuations,
        };
        *current = version.max(*current);
    }

    /// Raises each version to that of `other` where that is newer.
    pub fn merge(&mut self, other: &Self) {
        for kind in [StoreKind::Config, StoreKind::Fleet, StoreKind::Owners] {
            self.advance(kind, other.get(kind));
        }
    }
}

impl Encode for SeenVersions {
    fn encode<E: Encoder>(&self, encoder: &mut E) -> Result<(), EncodeError> {
        self.config.encode(encoder)?;
        self.fleet.encode(encoder)?;
        self.owners.encode(encoder)
    }
}

impl<C> Decode<C> for SeenVersions {
    fn decode<D: Decoder<Context = C>>(decoder: &mut D) -> Result<Self, DecodeError> {
        Ok(Self {
            config: StoreVersion::decode(decoder)?,
            fleet: StoreVersion::decode(decoder)?,
            owners: StoreVersion::decode(decoder)?,
            evacuations: StoreVersion::default(),
        })
    }
}

bincode::impl_borrow_decode!(SeenVersions);
