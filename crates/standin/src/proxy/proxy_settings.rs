//! Faults that the proxy injects.

/// Faults of one direction of every connection.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectionFaults {
    /// Bytes are held back until this is switched off, as during a network partition,
    /// after which TCP delivers them, unless their sender has reset the connection.
    pub blackhole: bool,
    /// Delay of all bytes, in milliseconds.
    pub delay_ms: u64,
    /// Maximum bytes per second; 0 means no limit.
    pub bandwidth: u64,
    /// The connection is closed gracefully after this many bytes.
    pub truncate_after: Option<u64>,
    /// The connection is reset after this many bytes.
    pub reset_after: Option<u64>,
}

/// Faults of a proxy; the default is none.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxySettings {
    /// New connections are refused; open ones are kept.
    pub refuse: bool,
    /// Open connections and new ones are reset.
    pub cut: bool,
    /// Attempts to connect get no answer; open connections are kept.
    pub ignore: bool,
    /// Direction from the connecting side to the target.
    pub up: DirectionFaults,
    /// Direction from the target to the connecting side.
    pub down: DirectionFaults,
}
