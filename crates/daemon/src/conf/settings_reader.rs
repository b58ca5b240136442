//! Parses and validates the settings file.

use {
    super::{DaemonSettings, SETTINGS, SettingSpec},
    crate::error::{SettingsError, WrongValueSnafu},
    camphorcove_core::{conf::TimeSpan, ids::HostId},
    log::LevelFilter,
    std::{
        net::SocketAddr,
        ops::RangeInclusive,
        path::{Path, PathBuf},
        str::FromStr,
    },
    toml::de::{DeTable, DeValue},
};

const MAX_SEEDS: usize = 64;
const SHUTDOWN_LIMIT_RANGE: RangeInclusive<TimeSpan> = TimeSpan(1_000)..=TimeSpan(600_000);

/// Reads and validates the settings file.
pub fn read(path: &Path) -> Result<DaemonSettings, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        file: file.clone(),
        reason: error.to_string(),
    })?;
    parse(&file, &text)
}

/// Parses and validates the text of a settings file; error messages name it as `file`.
pub fn parse(file: &str, text: &str) -> Result<DaemonSettings, SettingsError> {
    let parsed = DeTable::parse(text).map_err(|error| SettingsError::NotToml {
        file: file.to_owned(),
        line: error.span().map_or(1, |span| line_at(text, span.start)),
        reason: error.message().replace('\n', " "),
    })?;
    let reader = SettingsReader {
        file,
        text,
        table: parsed.get_ref(),
    };
    reader.check_keys()?;
    reader.settings()
}

fn line_at(text: &str, offset: usize) -> usize {
    1 + text
        .bytes()
        .take(offset)
        .filter(|byte| *byte == b'\n')
        .count()
}

struct SettingsReader<'a> {
    file: &'a str,
    text: &'a str,
    table: &'a DeTable<'a>,
}

impl SettingsReader<'_> {
    fn settings(&self) -> Result<DaemonSettings, SettingsError> {
        let operator_keys: String = self.parse_value("operator_keys_file")?;
        Ok(DaemonSettings {
            host: self.parse_value("host")?,
            region: self.parse_value("region")?,
            zone: self.parse_value("zone")?,
            callers: self.parse_value("callers")?,
            peers: self
                .parse_allowed("peers", |peers: &SocketAddr| !peers.ip().is_unspecified())?,
            peers_announced: self.parse_peers_announced()?,
            operators: self.parse_value("operators")?,
            platform: self.parse_value("platform")?,
            peer_key_file: self.parse_allowed("peer_key_file", |path: &PathBuf| path.is_file())?,
            operator_keys_file: match operator_keys.as_str() {
                "" => None,
                _ => {
                    Some(self.parse_allowed("operator_keys_file", |path: &PathBuf| path.is_file())?)
                }
            },
            seeds: self.seeds()?,
            log_level: self.parse_value::<LevelFilter>("log_level")?,
            shutdown_limit: self
                .parse_allowed("shutdown_limit", |span| SHUTDOWN_LIMIT_RANGE.contains(span))?,
        })
    }

    fn parse_peers_announced(&self) -> Result<Option<SocketAddr>, SettingsError> {
        let key = "peers_announced";
        let text: String = self.parse_value(key)?;
        if text.is_empty() {
            return Ok(None);
        }
        let address =
            self.parse_allowed(key, |address: &SocketAddr| !address.ip().is_unspecified());
        address.map(Some)
    }

    fn check_keys(&self) -> Result<(), SettingsError> {
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if SETTINGS.iter().any(|spec| spec.key == name) {
                continue;
            }
            let allowed: Vec<&str> = SETTINGS.iter().map(|spec| spec.key).collect();
            return Err(SettingsError::UnknownKey {
                file: self.file.to_owned(),
                line: line_at(self.text, key.span().start),
                key: name.to_owned(),
                allowed: allowed.join(", "),
            });
        }
        Ok(())
    }

    fn parse_value<T: FromStr>(&self, key: &'static str) -> Result<T, SettingsError> {
        self.parse_allowed(key, |_| true)
    }

    fn parse_allowed<T: FromStr>(
        &self,
        key: &'static str,
        allowed: impl Fn(&T) -> bool,
    ) -> Result<T, SettingsError> {
        let spec = find_spec(key);
        let Some(value) = self.table.get(key) else {
            return match spec.default {
                "" => Err(SettingsError::Missing {
                    file: self.file.to_owned(),
                    key,
                    allowed: spec.allowed,
                }),
                text => Ok(default_value(key, text)),
            };
        };
        let found = value.get_ref();
        let text = found.as_str().map(str::to_owned);
        let parsed = text.and_then(|text| text.parse().ok());
        match parsed.filter(&allowed) {
            Some(parsed) => Ok(parsed),
            None => self.wrong_value(spec, value.span().start, found),
        }
    }

    fn seeds(&self) -> Result<Vec<(HostId, SocketAddr)>, SettingsError> {
        let spec = find_spec("seeds");
        let Some(value) = self.table.get(spec.key) else {
            return Ok(Vec::new());
        };
        let found = value.get_ref();
        let Some(array) = found.as_array().filter(|array| array.len() <= MAX_SEEDS) else {
            return self.wrong_value(spec, value.span().start, found);
        };
        let mut seeds = Vec::with_capacity(array.len());
        for item in array.iter() {
            match item.get_ref().as_str().and_then(parse_seed) {
                Some(seed) => seeds.push(seed),
                None => return self.wrong_value(spec, item.span().start, item.get_ref()),
            }
        }
        Ok(seeds)
    }

    fn wrong_value<T>(
        &self,
        spec: &SettingSpec,
        offset: usize,
        found: &DeValue<'_>,
    ) -> Result<T, SettingsError> {
        let found = match (found.as_str(), found.as_integer()) {
            (Some(text), _) => format!("{text:?}"),
            (_, Some(number)) => number.as_str().to_owned(),
            _ => format!("{} value", found.type_str()),
        };
        WrongValueSnafu {
            file: self.file,
            line: line_at(self.text, offset),
            key: spec.key,
            found,
            allowed: spec.allowed,
        }
        .fail()
    }
}

fn parse_seed(text: &str) -> Option<(HostId, SocketAddr)> {
    let (host, address) = text.split_once('@')?;
    Some((host.parse().ok()?, address.parse().ok()?))
}

fn find_spec(key: &str) -> &'static SettingSpec {
    let spec = SETTINGS.iter().find(|spec| spec.key == key);
    spec.unwrap_or_else(|| unreachable!("setting {key} is not in the list"))
}

fn default_value<T: FromStr>(key: &str, text: &str) -> T {
    let parsed = text.trim_matches('"').parse();
    parsed.unwrap_or_else(|_| unreachable!("default of {key} is not valid"))
}
