//! Fencing tokens and their text form `EPOCH.SEQUENCE`.

use {
    super::Epoch,
    snafu::{OptionExt, ResultExt, Snafu},
    std::{fmt, num::ParseIntError, str::FromStr},
};

/// Fencing token of a shard's grant; it rises with each change of owner, so that a server can refuse
/// requests under an older one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    bincode::Encode,
    bincode::Decode,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct FencingToken {
    /// Term of the controller that issued the token.
    pub epoch: Epoch,
    /// Sequence number within the term.
    pub sequence: u64,
}

/// Why a text is not a fencing token.
#[derive(Debug, Snafu)]
pub enum TokenError {
    /// The dot is missing.
    #[snafu(display("fencing token {text:?} is not EPOCH.SEQUENCE"))]
    MissingDot {
        /// Rejected text.
        text: String,
    },
    /// A part is not a number.
    #[snafu(display("fencing token {text:?} has a part that is not a number"))]
    NotNumber {
        /// Rejected text.
        text: String,
        /// Parser's reason.
        source: ParseIntError,
    },
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.epoch, self.sequence)
    }
}

impl FromStr for FencingToken {
    type Err = TokenError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (epoch, sequence) = text.split_once('.').context(MissingDotSnafu { text })?;
        let epoch = epoch.parse().context(NotNumberSnafu { text })?;
        let sequence = sequence.parse().context(NotNumberSnafu { text })?;
        Ok(Self { epoch, sequence })
    }
}
