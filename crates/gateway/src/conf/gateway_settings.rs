//! The settings file: TOML, filled in from the template `deploy/settings.toml` at each start.

use {
    crate::error::{GatewayError, SettingsSnafu},
    camphorcove_core::ids::{HostId, ZoneName},
    serde::Deserialize,
    std::{fs, net::SocketAddr, path::Path, time::Duration},
    toml::{Spanned, Table},
};

/// Settings of one host; a change takes effect at the next start.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// Id of this host.
    pub host: HostId,
    /// Availability zone of this host.
    pub zone: ZoneName,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Address at which other hosts reach this one with datagrams.
    pub peers: SocketAddr,
    /// Address of the UDP socket for datagrams between hosts: `peers`, unless datagrams are relayed.
    pub peers_listen: SocketAddr,
    /// Address of the listener for metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// CPU limit of this host, in cores.
    pub cpu_share: f64,
    /// Memory limit, in MiB.
    pub memory_mb: u64,
    /// Limit of open file descriptors.
    pub descriptors: usize,
    /// Longest duration of a planned stop.
    pub stop_limit: Duration,
    /// Retry budget: retries allowed per request of a service.
    pub retry_ratio: f64,
    /// Retry budget: retries allowed in addition, over all hosts together.
    pub retry_slack: f64,
    /// Time window over which requests and retries are counted for the retry budget.
    pub retry_window: Duration,
    /// Factor on the requests a second that a cold server states to take; `None` if the deployment
    /// does not limit cold servers.
    pub warmup_overage: Option<f64>,
    /// Requests that a cold server takes in addition within one second.
    pub warmup_slack: Option<f64>,
    /// Time within which servers of a zone that is to be emptied get no more requests; `None` if the
    /// deployment does not empty zones.
    pub evacuation_limit: Option<Duration>,
    /// Whether the leader decides which share of requests leaves an availability zone.
    pub zone_transfer: bool,
}

impl GatewaySettings {
    /// CPU limit in thousandths of a core, as it is sent to other hosts.
    pub fn cpu_permille(&self) -> u16 {
        (self.cpu_share * 1_000.0).round() as u16
    }
}

#[derive(Deserialize)]
struct SettingsFile {
    host: Spanned<String>,
    zone: Spanned<String>,
    callers: Spanned<String>,
    readiness: Spanned<String>,
    peers: Spanned<String>,
    peers_listen: Option<Spanned<String>>,
    metrics: Spanned<String>,
    store: Spanned<String>,
    cpu_share: Spanned<FileNumber>,
    memory_mb: Spanned<u64>,
    descriptors: Spanned<u64>,
    stop_limit_s: Spanned<FileNumber>,
    repeat_ratio: Spanned<FileNumber>,
    repeat_slack: Spanned<FileNumber>,
    repeat_window_s: Spanned<FileNumber>,
    warmup_overage: Option<Spanned<FileNumber>>,
    warmup_slack: Option<Spanned<FileNumber>>,
    evacuate_s: Option<Spanned<FileNumber>>,
    #[serde(default)]
    zone_transfer: bool,
}

/// A float or an integer; the platform writes numbers in both forms.
#[derive(Clone, Copy, Deserialize)]
#[serde(untagged)]
enum FileNumber {
    Fraction(f64),
    Whole(u32),
}

impl FileNumber {
    fn value(self) -> f64 {
        match self {
            Self::Fraction(value) => value,
            Self::Whole(value) => value.into(),
        }
    }
}

/// Name and text of a settings file, for error messages with file and line.
struct SettingsText<'a> {
    file: &'a str,
    text: &'a str,
}

/// Reads and checks the file; unknown keys are ignored, as the platform may add some.
pub fn read_settings(path: &Path) -> Result<GatewaySettings, GatewayError> {
    let file = path.display().to_string();
    let text = fs::read_to_string(path).or_else(|error| {
        let text = format!("{file}: cannot be read: {error}");
        SettingsSnafu { text }.fail()
    })?;
    parse_settings(&file, &text)
}

fn parse_settings(file: &str, text: &str) -> Result<GatewaySettings, GatewayError> {
    let source = SettingsText { file, text };
    let table: SettingsFile = match toml::from_str(text) {
        Ok(table) => table,
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            let found = match text.parse::<Table>() {
                Ok(_) => "a key that is missing or of another type",
                Err(_) => "text that is not TOML",
            };
            let reason = error.message().replace('\n', " ");
            return source.fail(offset, "file", found, &reason);
        }
    };
    let peers_listen = table.peers_listen.as_ref().unwrap_or(&table.peers);
    let name = "a name of 1 to 63 of a-z, 0-9, -, ., _, :";
    Ok(GatewaySettings {
        host: source.parse("host", &table.host, name)?,
        zone: source.parse("zone", &table.zone, name)?,
        callers: source.parse("callers", &table.callers, "IP:PORT")?,
        readiness: source.parse("readiness", &table.readiness, "IP:PORT")?,
        peers: source.parse("peers", &table.peers, "IP:PORT")?,
        peers_listen: source.parse("peers_listen", peers_listen, "IP:PORT")?,
        metrics: source.parse("metrics", &table.metrics, "IP:PORT")?,
        store: source.parse("store", &table.store, "IP:PORT")?,
        cpu_share: source.cpu_share(&table.cpu_share)?,
        memory_mb: source.at_least("memory_mb", &table.memory_mb, 32)?,
        descriptors: source.descriptors(&table.descriptors)?,
        stop_limit: source.seconds("stop_limit_s", &table.stop_limit_s)?,
        retry_ratio: source.non_negative("repeat_ratio", &table.repeat_ratio)?,
        retry_slack: source.non_negative("repeat_slack", &table.repeat_slack)?,
        retry_window: source.seconds("repeat_window_s", &table.repeat_window_s)?,
        warmup_overage: match &table.warmup_overage {
            Some(value) => Some(source.non_negative("warmup_overage", value)?),
            None => None,
        },
        warmup_slack: match &table.warmup_slack {
            Some(value) => Some(source.non_negative("warmup_slack", value)?),
            None => None,
        },
        evacuation_limit: match &table.evacuate_s {
            Some(value) => Some(source.seconds("evacuate_s", value)?),
            None => None,
        },
        zone_transfer: table.zone_transfer,
    })
}

impl SettingsText<'_> {
    fn fail<T>(
        &self,
        offset: usize,
        key: &str,
        found: &str,
        allowed: &str,
    ) -> Result<T, GatewayError> {
        let before = self.text.get(..offset).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let file = self.file;
        let text = format!("{file}:{line}: {key}: found {found}; allowed: {allowed}");
        SettingsSnafu { text }.fail()
    }

    fn parse<T: std::str::FromStr>(
        &self,
        key: &str,
        value: &Spanned<String>,
        allowed: &str,
    ) -> Result<T, GatewayError> {
        match value.get_ref().parse() {
            Ok(parsed) => Ok(parsed),
            Err(_) => {
                let found = format!("{:?}", value.get_ref());
                self.fail(value.span().start, key, &found, allowed)
            }
        }
    }

    fn at_least(&self, key: &str, value: &Spanned<u64>, minimum: u64) -> Result<u64, GatewayError> {
        let number = *value.get_ref();
        if number >= minimum {
            return Ok(number);
        }
        let allowed = format!("at least {minimum}");
        self.fail(value.span().start, key, &number.to_string(), &allowed)
    }

    fn descriptors(&self, value: &Spanned<u64>) -> Result<usize, GatewayError> {
        let number = self.at_least("descriptors", value, 512)?;
        Ok(usize::try_from(number).unwrap_or(usize::MAX))
    }

    fn cpu_share(&self, value: &Spanned<FileNumber>) -> Result<f64, GatewayError> {
        let number = value.get_ref().value();
        if number.is_finite() && number > 0.0 {
            return Ok(number);
        }
        let found = number.to_string();
        self.fail(value.span().start, "cpu_share", &found, "above 0")
    }

    fn seconds(&self, key: &str, value: &Spanned<FileNumber>) -> Result<Duration, GatewayError> {
        let seconds = value.get_ref().value();
        match Duration::try_from_secs_f64(seconds) {
            Ok(duration) if !duration.is_zero() => Ok(duration),
            _ => {
                let found = seconds.to_string();
                self.fail(value.span().start, key, &found, "seconds above 0")
            }
        }
    }

    fn non_negative(&self, key: &str, value: &Spanned<FileNumber>) -> Result<f64, GatewayError> {
        let number = value.get_ref().value();
        if number.is_finite() && number >= 0.0 {
            return Ok(number);
        }
        self.fail(value.span().start, key, &number.to_string(), "0 or more")
    }
}
