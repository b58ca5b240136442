//! Resolves the client settings and reads the signing key.

use {
    crate::{
        args::CliArgs,
        error::{CliError, InvalidInputSnafu, ReadFileSnafu},
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

/// Settings of the client, merged from options, environment and settings file.
#[derive(Clone, Debug, Default, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientSettings {
    /// Operator addresses of hosts, tried in order.
    pub addresses: Vec<SocketAddr>,
    /// Id of the key that signs requests.
    pub key_id: Option<String>,
    /// File with the secret of the key. A relative path in the settings file is
    /// resolved against the directory of that file.
    pub key_file: Option<PathBuf>,
}

impl ClientSettings {
    /// Merges the settings; options and environment variables override the file.
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

    /// Builds a client that signs with the configured key. With `warn`, a key file
    /// that other users can read causes a warning on stderr; with `--json`, it must
    /// be off, because scripts parse stderr as JSON.
    pub fn client(&self, warn: bool) -> Result<OperatorClient, CliError> {
        let problem = "no host address: set --address, CAMPHORCOVE_ADDRESSES or addresses in the settings file";
        ensure!(!self.addresses.is_empty(), InvalidInputSnafu { problem });
        let problem = "no key id: set --key-id, CAMPHORCOVE_KEY_ID or key_id in the settings file";
        let id = self.key_id.clone().context(InvalidInputSnafu { problem })?;
        let problem =
            "no key file: set --key-file, CAMPHORCOVE_KEY_FILE or key_file in the settings file";
        let path = self
            .key_file
            .as_ref()
            .context(InvalidInputSnafu { problem })?;
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
            let problem = format!("{}:{line}: {reason}", path.display());
            InvalidInputSnafu { problem }.build()
        })?;
        if let (Some(key_file), Some(directory)) = (&settings.key_file, path.parent()) {
            settings.key_file = Some(directory.join(key_file));
        }
        Ok(settings)
    }
}

/// Path of the settings file: the one given, or the default one if it exists.
fn settings_path(args: &CliArgs) -> Option<PathBuf> {
    if args.settings.is_some() {
        return args.settings.clone();
    }
    let directory = env::var_os("XDG_CONFIG_HOME")
        .map(PathBuf::from)
        .or_else(|| Some(PathBuf::from(env::var_os("HOME")?).join(".config")))?;
    let path = directory.join("camphorcove").join("client.toml");
    path.exists().then_some(path)
}

/// Reads the secret of the signing key. Errors never quote the file's content.
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
        let problem = format!("{}: {error}", path.display());
        InvalidInputSnafu { problem }.build()
    })
}
