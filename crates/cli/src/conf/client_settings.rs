//! Where the hosts are and which key signs.

use {
    crate::{
        args::CliArgs,
        error::{CliError, ReadFileSnafu, SettingsSnafu},
    },
    camphorcove_net::operator::{OperatorClient, OperatorKey, OperatorSecret},
    snafu::{OptionExt, ResultExt, ensure},
    std::{
        env, fs,
        net::SocketAddr,
        os::unix::fs::PermissionsExt,
        path::{Path, PathBuf},
    },
};

/// Settings of the client, from options, environment and file.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Operator addresses of hosts.
    pub addresses: Vec<SocketAddr>,
    /// Id of the signing key.
    pub key_id: Option<String>,
    /// File with the secret; relative to the settings file.
    pub key_file: Option<PathBuf>,
}

impl ClientSettings {
    /// Settings for a call; options and environment go before the file.
    pub fn resolve(args: &CliArgs) -> Result<Self, CliError> {
        let mut settings = match settings_path(args) {
            Some(path) => Self::read(&path)?,
            None => Self::default(),
        };
        if !args.addresses.is_empty() {
            settings.addresses.clone_from(&args.addresses);
        }
        settings.key_id = args.key_id.clone().or(settings.key_id);
        settings.key_file = args.key_file.clone().or(settings.key_file);
        Ok(settings)
    }

    /// Client with the named key. `warn` allows a warning on stderr, which scripts
    /// that read JSON from there could not parse.
    pub fn client(&self, warn: bool) -> Result<OperatorClient, CliError> {
        let what =
            "no host: give --address, CAMPHORCOVE_ADDRESSES or addresses in the settings file";
        ensure!(!self.addresses.is_empty(), SettingsSnafu { what });
        let what = "no key id: give --key-id, CAMPHORCOVE_KEY_ID or key_id in the settings file";
        let id = self.key_id.clone().context(SettingsSnafu { what })?;
        let what =
            "no key file: give --key-file, CAMPHORCOVE_KEY_FILE or key_file in the settings file";
        let path = self.key_file.as_ref().context(SettingsSnafu { what })?;
        let secret = read_secret(path, warn)?;
        let key = OperatorKey { id, secret };
        Ok(OperatorClient::new(self.addresses.clone(), key))
    }

    fn read(path: &Path) -> Result<Self, CliError> {
        let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
        let mut settings: Self = toml::from_str(&text).map_err(|error| {
            let offset = error.span().map_or(0, |span| span.start);
            let line = text.as_bytes()[..offset.min(text.len())].iter();
            let line = line.filter(|byte| **byte == b'\n').count() + 1;
            let reason = error.message().replace('\n', " ");
            let what = format!("{}:{line}: {reason}", path.display());
            SettingsSnafu { what }.build()
        })?;
        if let (Some(key_file), Some(folder)) = (&settings.key_file, path.parent()) {
            settings.key_file = Some(folder.join(key_file));
        }
        Ok(settings)
    }
}

/// File given by option or environment, else the default one if it exists.
fn settings_path(args: &CliArgs) -> Option<PathBuf> {
    if args.settings.is_some() {
        return args.settings.clone();
    }
    let folder = env::var_os("XDG_CONFIG_HOME")
        .map(PathBuf::from)
        .or_else(|| Some(PathBuf::from(env::var_os("HOME")?).join(".config")))?;
    let path = folder.join("camphorcove").join("client.toml");
    path.exists().then_some(path)
}

/// Reads a secret; errors never quote the file's content.
fn read_secret(path: &Path, warn: bool) -> Result<OperatorSecret, CliError> {
    let text = fs::read_to_string(path).context(ReadFileSnafu { path })?;
    let metadata = fs::metadata(path).context(ReadFileSnafu { path })?;
    if warn && metadata.permissions().mode() & 0o077 != 0 {
        eprintln!(
            "camphorcove: warning: {} can be read by other users",
            path.display()
        );
    }
    OperatorSecret::from_hex(&text).map_err(|error| {
        let what = format!("{}: {error}", path.display());
        SettingsSnafu { what }.build()
    })
}
