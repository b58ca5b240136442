//! Result codes of the operator API.

/// Declares the result codes, each with its number, HTTP status and meaning.
macro_rules! api_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $meaning:literal;)+) => {
        /// Result code of a refused or failed operator request, listed in
        /// docs/exit-codes.md.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ApiCode {
            $(#[doc = $meaning] $name,)+
        }

        impl ApiCode {
            /// All codes in the order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Number in the `code` field of an error response.
            pub fn number(self) -> u16 {
                match self { $(Self::$name => $number,)+ }
            }

            /// HTTP status of the error response.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status,)+ }
            }

            /// Human-readable meaning.
            pub fn meaning(self) -> &'static str {
                match self { $(Self::$name => $meaning,)+ }
            }

            /// Returns the code with this number, if there is one.
            pub fn of_number(number: u16) -> Option<Self> {
                match number { $($number => Some(Self::$name),)+ _ => None }
            }
        }
    };
}

api_codes! {
    Malformed = 1001, 400, "the request is malformed";
    BodyTooLarge = 1002, 413, "the body is too large";
    NoSuchPath = 1003, 404, "there is no such path";
    WrongMethod = 1004, 405, "the path does not have this method";
    Unsigned = 1101, 401, "the signature is missing or malformed";
    UnknownKey = 1102, 401, "the key id is not known";
    WrongSignature = 1103, 401, "the signature does not match";
    StaleTime = 1104, 401, "the time is too far from the host's";
    ReplayedNonce = 1105, 401, "the nonce was used before";
    TooMany = 1106, 429, "too many requests within the time window";
    WrongBody = 1107, 401, "the body does not have the signed hash";
    InvalidFile = 1201, 422, "the file has faults; nothing changed";
    ForbiddenChange = 1202, 422, "the change breaks a rule between versions; nothing changed";
    VersionMismatch = 1203, 409, "another version is in force; nothing changed";
    Contended = 1204, 409, "other changes came first; nothing changed";
    ValueTooLarge = 1205, 413, "the file or the list of orders is too large; nothing changed";
    NotFound = 1206, 404, "the service, server, key, version or stream is not known";
    PinClash = 1207, 409, "another key of the shard is pinned to another server; nothing changed";
    PlatformUnavailable = 1301, 503, "the platform is not available; nothing changed";
    OutcomeUnknown = 1302, 504, "the change may have taken effect; repeating it is safe";
    Damaged = 1303, 500, "a stored object is damaged";
    WrongHost = 1401, 409, "the request names another host";
    LossRefused = 1402, 409, "the confirmation was not accepted";
    NoConfiguration = 1403, 404, "this host has no configuration yet";
}
