//! List of all settings. A test compares docs/settings.md with it.

/// Description of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingSpec {
    /// Key in the settings file.
    pub key: &'static str,
    /// Unit or kind of the value.
    pub unit: &'static str,
    /// Default as written in the file; empty if the setting is required.
    pub default: &'static str,
    /// Allowed values, as shown in the documentation and in error messages.
    pub allowed: &'static str,
    /// Meaning, as shown in the documentation.
    pub meaning: &'static str,
}

const NAME: &str = "1 to 63 of a-z, 0-9, -, ., _, : starting with a letter or digit";
const ADDRESS: &str = "IP:PORT";
const ADDRESS_KNOWN: &str = "IP:PORT with a specific IP";
const FILE: &str = "path of a readable file";

/// All settings, in the order of docs/settings.md.
pub const SETTINGS: &[SettingSpec] = &[
    SettingSpec {
        key: "host",
        unit: "name",
        default: "",
        allowed: NAME,
        meaning: "This host's id, unique in the region.",
    },
    SettingSpec {
        key: "region",
        unit: "name",
        default: "",
        allowed: NAME,
        meaning: "Region; a configuration of another region is not adopted.",
    },
    SettingSpec {
        key: "zone",
        unit: "name",
        default: "",
        allowed: NAME,
        meaning: "Availability zone of this host.",
    },
    SettingSpec {
        key: "callers",
        unit: "address",
        default: "",
        allowed: ADDRESS,
        meaning: "Where callers connect. Port 0 takes a free port, which the log names.",
    },
    SettingSpec {
        key: "peers",
        unit: "address",
        default: "",
        allowed: ADDRESS_KNOWN,
        meaning: "Where the listener for other hosts listens.",
    },
    SettingSpec {
        key: "peers_announced",
        unit: "address",
        default: "\"\"",
        allowed: "IP:PORT with a specific IP, or empty",
        meaning: "Where other hosts connect, if it is not the address of the listener.",
    },
    SettingSpec {
        key: "operators",
        unit: "address",
        default: "",
        allowed: ADDRESS,
        meaning: "Where operators and metrics collectors connect.",
    },
    SettingSpec {
        key: "platform",
        unit: "address",
        default: "",
        allowed: ADDRESS,
        meaning: "Address of the platform's object API.",
    },
    SettingSpec {
        key: "peer_key_file",
        unit: "path",
        default: "",
        allowed: FILE,
        meaning: "File with the key shared by the region's hosts: at least 64 hexadecimal digits.",
    },
    SettingSpec {
        key: "operator_keys_file",
        unit: "path",
        default: "\"\"",
        allowed: "path of a readable file, or empty",
        meaning: "File with the operators' keys; without it the operator listener accepts no changes.",
    },
    SettingSpec {
        key: "seeds",
        unit: "hosts",
        default: "[]",
        allowed: "up to 64 of HOST@IP:PORT",
        meaning: "Hosts to ask first, used besides the platform's list.",
    },
    SettingSpec {
        key: "log_level",
        unit: "level",
        default: "\"info\"",
        allowed: "off, error, warn, info, debug or trace",
        meaning: "Least severe level that is logged; can be changed while running.",
    },
    SettingSpec {
        key: "shutdown_limit",
        unit: "time",
        default: "\"30s\"",
        allowed: "1s to 10m",
        meaning: "Longest time that a planned stop waits for requests in flight.",
    },
];
