//! Identifiers, names, fencing tokens and version numbers.

mod fencing_token;
mod names;
mod numbers;
mod store_version;

pub use {
    fencing_token::{FencingToken, TokenError},
    names::{
        HostId, NameError, RegionName, RequestId, ServerId, ServiceName, ZoneName, check_name,
    },
    numbers::{ConfigVersion, Epoch, ObjectVersion, ShardId},
    store_version::StoreVersion,
};
