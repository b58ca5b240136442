//! The settings file: TOML, filled in from `deploy/settings.toml` at each start.

use {
    crate::error::{GatewayError, SettingsSnafu},
    camphorcove_core::ids::{HostId, ZoneName},
    serde::Deserialize,
    std::{fs, net::SocketAddr, path::Path, time::Duration},
    toml::{Spanned, Table},
};

/// Settings of one host.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// This host.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for the balancer's readiness question.
    pub readiness: SocketAddr,
    /// Datagrams between hosts.
    pub peers: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Share of a processor core that this host may use.
    pub cpu_share: f64,
    /// Memory limit, in MiB.
    pub memory_mb: u64,
    /// Most open file descriptors.
    pub descriptors: usize,
    /// Time for a planned stop.
    pub stop_limit: Duration,
    /// Repeats allowed, as a share of the requests of a service.
    pub repeat_ratio: f64,
    /// Repeats allowed besides, over all hosts.
    pub repeat_slack: f64,
    /// Window of the repeats.
    pub repeat_window: Duration,
}

impl GatewaySettings {
    /// Processor share in thousandths of a core, as hosts tell it each other.
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
    metrics: Spanned<String>,
    store: Spanned<String>,
    cpu_share: Spanned<FileNumber>,
    memory_mb: Spanned<u64>,
    descriptors: Spanned<u64>,
    stop_limit_s: Spanned<FileNumber>,
    repeat_ratio: Spanned<FileNumber>,
    repeat_slack: Spanned<FileNumber>,
    repeat_window_s: Spanned<FileNumber>,
}

/// A number with or without a fraction; the platform writes both.
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

/// Text of a settings file with what is needed to report a fault.
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
            let at = error.span().map_or(0, |span| span.start);
            let found = match text.parse::<Table>() {
                Ok(_) => "a key that is missing or of another type",
                Err(_) => "text that is not TOML",
            };
            let reason = error.message().replace('\n', " ");
            return source.fail(at, "file", found, &reason);
        }
    };
    let name = "a name of 1 to 63 of a-z, 0-9, -, ., _, :";
    Ok(GatewaySettings {
        host: source.parse("host", &table.host, name)?,
        zone: source.parse("zone", &table.zone, name)?,
        callers: source.parse("callers", &table.callers, "IP:PORT")?,
        readiness: source.parse("readiness", &table.readiness, "IP:PORT")?,
        peers: source.parse("peers", &table.peers, "IP:PORT")?,
        metrics: source.parse("metrics", &table.metrics, "IP:PORT")?,
        store: source.parse("store", &table.store, "IP:PORT")?,
        cpu_share: source.cpu_share(&table.cpu_share)?,
        memory_mb: source.at_least("memory_mb", &table.memory_mb, 32)?,
        descriptors: source.descriptors(&table.descriptors)?,
        stop_limit: source.seconds("stop_limit_s", &table.stop_limit_s)?,
        repeat_ratio: source.share("repeat_ratio", &table.repeat_ratio)?,
        repeat_slack: source.share("repeat_slack", &table.repeat_slack)?,
        repeat_window: source.seconds("repeat_window_s", &table.repeat_window_s)?,
    })
}

impl SettingsText<'_> {
    fn fail<T>(&self, at: usize, key: &str, found: &str, allowed: &str) -> Result<T, GatewayError> {
        let before = self.text.get(..at).unwrap_or_default();
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

    fn at_least(&self, key: &str, value: &Spanned<u64>, least: u64) -> Result<u64, GatewayError> {
        let number = *value.get_ref();
        if number >= least {
            return Ok(number);
        }
        let allowed = format!("at least {least}");
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
            Ok(span) if !span.is_zero() => Ok(span),
            _ => {
                let found = seconds.to_string();
                self.fail(value.span().start, key, &found, "seconds above 0")
            }
        }
    }

    fn share(&self, key: &str, value: &Spanned<FileNumber>) -> Result<f64, GatewayError> {
        let number = value.get_ref().value();
        if number.is_finite() && number >= 0.0 {
            return Ok(number);
        }
        self.fail(value.span().start, key, &number.to_string(), "0 or more")
    }
}
