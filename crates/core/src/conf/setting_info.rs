//! List of all settings of a configuration file with their types, ranges and defaults.
//!
//! The reader checks values against this list, and a test compares docs/configuration.md with it.

use super::{DedupMode, FencingMode, PlacementGoal, RequestClass, RoutingMode};

/// TOML table that a setting belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingTable {
    /// Top level.
    Region,
    /// `[[services]]`.
    Service,
    /// `[services.key]`.
    Key,
    /// `[services.limits]`.
    Limits,
    /// `[[services.servers]]`.
    Server,
}

/// Type and allowed values of a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingKind {
    /// A name, such as that of a service, server or zone.
    Name,
    /// A list of names.
    Names,
    /// One of the listed values.
    Choice(&'static [&'static str]),
    /// A whole number in `min..=max` with a unit.
    Count {
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
        /// Unit that the number counts.
        unit: &'static str,
    },
    /// A time span in `min..=max` milliseconds.
    Span {
        /// Minimum value in milliseconds.
        min: u64,
        /// Maximum value in milliseconds.
        max: u64,
    },
    /// `IP:port`.
    Address,
    /// Text that follows the rule described here.
    Text(&'static str),
    /// A list of HTTP methods.
    Methods,
    /// A table.
    Table,
    /// A list of tables, at most `max`.
    Tables {
        /// Maximum number of entries.
        max: usize,
    },
}

/// A setting of a configuration file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingInfo {
    /// Table that the setting belongs to.
    pub table: SettingTable,
    /// Key of the setting in its table.
    pub name: &'static str,
    /// Type and allowed values.
    pub kind: SettingKind,
    /// Default value as written in a file; `None` if the setting is required.
    pub default: Option<&'static str>,
}

/// HTTP methods that a file may name; the router refuses `TRACE` and `CONNECT`.
pub const METHODS: &[&str] = &["GET", "HEAD", "OPTIONS", "PUT", "DELETE", "POST", "PATCH"];

/// Maximum number of shards of a service. The stored scope has an entry for each shard; with
/// 8,192 entries of typical size it stays well below the platform's value limit of 1 MB.
const MAX_SHARDS: u64 = 8_192;

/// Maximum number of servers of a service. A routing map refers to servers by a 16-bit index.
const MAX_SERVERS: usize = 4_096;

const HOST_RULE: &str = "lower-case host name without port, at most 253 characters";
const PREFIX_RULE: &str = "path starting with '/', without query, at most 1024 characters";
const HEADER_RULE: &str = "lower-case header name";
const QUERY_RULE: &str = "query parameter name of letters, digits, '-', '_' and '.'";

const fn setting(
    table: SettingTable,
    name: &'static str,
    kind: SettingKind,
    default: Option<&'static str>,
) -> SettingInfo {
    SettingInfo {
        table,
        name,
        kind,
        default,
    }
}

const fn count(min: u64, max: u64, unit: &'static str) -> SettingKind {
    SettingKind::Count { min, max, unit }
}

/// All settings, in the same order as in docs/configuration.md.
pub const SETTINGS: &[SettingInfo] = {
    use {SettingKind as Kind, SettingTable as Table};
    &[
        setting(Table::Region, "region", Kind::Name, None),
        setting(Table::Region, "zones", Kind::Names, None),
        setting(
            Table::Region,
            "services",
            Kind::Tables { max: 256 },
            Some("[]"),
        ),
        setting(Table::Service, "name", Kind::Name, None),
        setting(Table::Service, "host", Kind::Text(HOST_RULE), Some("any")),
        setting(
            Table::Service,
            "path_prefix",
            Kind::Text(PREFIX_RULE),
            Some("/"),
        ),
        setting(
            Table::Service,
            "routing",
            Kind::Choice(RoutingMode::ALLOWED),
            Some("keyed"),
        ),
        setting(Table::Service, "key", Kind::Table, Some("none")),
        setting(
            Table::Service,
            "shards",
            count(1, MAX_SHARDS, "shards"),
            Some("4096"),
        ),
        setting(
            Table::Service,
            "placement",
            Kind::Choice(PlacementGoal::ALLOWED),
            Some("availability"),
        ),
        setting(
            Table::Service,
            "fencing",
            Kind::Choice(FencingMode::ALLOWED),
            Some("checked"),
        ),
        setting(
            Table::Service,
            "class",
            Kind::Choice(RequestClass::ALLOWED),
            Some("interactive"),
        ),
        setting(
            Table::Service,
            "dedup",
            Kind::Choice(DedupMode::ALLOWED),
            Some("none"),
        ),
        setting(
            Table::Service,
            "idempotent_methods",
            Kind::Methods,
            Some("[]"),
        ),
        setting(
            Table::Service,
            "max_moves",
            count(1, MAX_SHARDS, "shards"),
            Some("256"),
        ),
        setting(Table::Service, "limits", Kind::Table, Some("defaults")),
        setting(
            Table::Service,
            "servers",
            Kind::Tables { max: MAX_SERVERS },
            Some("[]"),
        ),
        setting(
            Table::Key,
            "from",
            Kind::Choice(&["path", "header", "query"]),
            None,
        ),
        setting(Table::Key, "segment", count(0, 31, "index"), None),
        setting(Table::Key, "name", Kind::Text(HEADER_RULE), None),
        setting(
            Table::Limits,
            "timeout",
            Kind::Span {
                min: 10,
                max: 3_600_000,
            },
            Some("2s"),
        ),
        setting(
            Table::Limits,
            "max_timeout",
            Kind::Span {
                min: 10,
                max: 3_600_000,
            },
            Some("30s"),
        ),
        setting(
            Table::Limits,
            "queue",
            count(0, 100_000, "requests"),
            Some("64"),
        ),
        setting(
            Table::Limits,
            "max_body",
            count(0, 1 << 30, "bytes"),
            Some("8388608"),
        ),
        setting(
            Table::Limits,
            "max_header",
            count(1_024, 1 << 20, "bytes"),
            Some("16384"),
        ),
        setting(Table::Server, "id", Kind::Name, None),
        setting(Table::Server, "address", Kind::Address, None),
        setting(Table::Server, "zone", Kind::Name, None),
        setting(
            Table::Server,
            "weight",
            count(1, 10_000, "percent of ordinary speed"),
            Some("100"),
        ),
        setting(Table::Server, "slots", count(1, 10_000, "requests"), None),
        setting(
            Table::Server,
            "connections",
            count(1, 100_000, "connections"),
            None,
        ),
    ]
};

impl SettingInfo {
    /// Returns the setting of `table` named `name`.
    pub fn find(table: SettingTable, name: &str) -> Option<&'static Self> {
        Self::of_table(table).find(|info| info.name == name)
    }

    /// Returns all settings of a table.
    pub fn of_table(table: SettingTable) -> impl Iterator<Item = &'static Self> {
        SETTINGS.iter().filter(move |info| info.table == table)
    }

    /// Unit of a number, or the type of any other setting, as docs/configuration.md shows it.
    pub fn unit(&self) -> &'static str {
        match self.kind {
            SettingKind::Name => "name",
            SettingKind::Names => "names",
            SettingKind::Choice(_) => "choice",
            SettingKind::Count { unit, .. } => unit,
            SettingKind::Span { .. } => "time span",
            SettingKind::Address => "IP:port",
            SettingKind::Text(_) => "text",
            SettingKind::Methods => "HTTP methods",
            SettingKind::Table => "table",
            SettingKind::Tables { .. } => "tables",
        }
    }

    /// Allowed values with their unit, as fault messages show them.
    pub fn allowed(&self) -> String {
        match self.kind {
            SettingKind::Count { unit, .. } => format!("{} {unit}", self.range()),
            _ => self.range(),
        }
    }

    /// Allowed values without a unit, as docs/configuration.md shows them.
    pub fn range(&self) -> String {
        match self.kind {
            SettingKind::Name => NAME_RULE.into(),
            SettingKind::Names => format!("1 to {MAX_ZONES} names"),
            SettingKind::Choice(allowed) => allowed.join(", "),
            SettingKind::Count { min, max, .. } => format!("{min} to {max}"),
            SettingKind::Span { min, max } => {
                let (min, max) = (super::TimeSpan(min), super::TimeSpan(max));
                format!("{min} to {max}, as a whole number with unit ms, s, m or h")
            }
            SettingKind::Address => "IP address with port, for example 127.0.0.1:8101".into(),
            SettingKind::Text(_) if self.table == SettingTable::Key => {
                format!("{HEADER_RULE}, or {QUERY_RULE}")
            }
            SettingKind::Text(rule) => rule.into(),
            SettingKind::Methods => METHODS.join(", "),
            SettingKind::Table => "table".into(),
            SettingKind::Tables { max } => format!("at most {max} tables"),
        }
    }
}

/// Maximum number of availability zones of a region.
pub(super) const MAX_ZONES: usize = 16;

const NAME_RULE: &str =
    "1 to 63 characters of a-z, 0-9, '-', '.', '_', ':' starting with a letter or digit";
