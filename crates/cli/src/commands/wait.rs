//! Waits until a configuration version is in force on every host.

use {
    super::api::Api,
    crate::{
        args::WaitArgs,
        error::{CliError, NotInForceSnafu},
    },
    camphorcove_core::ids::ConfigVersion,
    camphorcove_net::operator::{QueryMap, StatusReport},
    indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle},
    std::{
        io::{IsTerminal, stderr},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
};

/// Interval between status requests.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Waits until a version is in force on every host known to the host that responds;
/// fails once the wait limit has passed.
pub async fn wait_for(api: &Api, version: ConfigVersion, args: &WaitArgs) -> Result<(), CliError> {
    if !args.wait {
        return Ok(());
    }
    let end = Instant::now() + args.wait_limit.duration();
    let bar = progress_bar(version);
    let missing = loop {
        let missing = match api
            .get::<StatusReport>("/v1/status", QueryMap::default())
            .await
        {
            Ok(status) => update_progress(&bar, &status, version),
            // A request may fail because a host is restarting: keep waiting.
            Err(error) => vec![format!("unknown ({error})")],
        };
        if missing.is_empty() || Instant::now() >= end {
            break missing;
        }
        sleep(POLL_INTERVAL).await;
    };
    bar.finish_and_clear();
    match missing.is_empty() {
        true => Ok(()),
        false => NotInForceSnafu {
            version: version.0,
            missing,
        }
        .fail(),
    }
}

/// Updates the progress bar and returns the hosts that have an older version.
fn update_progress(
    bar: &ProgressBar,
    status: &StatusReport,
    version: ConfigVersion,
) -> Vec<String> {
    let is_outdated = |held: Option<ConfigVersion>| held.is_none_or(|held| held < version);
    let missing: Vec<String> = status
        .hosts
        .iter()
        .filter(|host| is_outdated(host.config))
        .map(|host| host.host.to_string())
        .collect();
    let length = |count: usize| u64::try_from(count).unwrap_or(u64::MAX);
    bar.set_length(length(status.hosts.len()));
    bar.set_position(length(status.hosts.len() - missing.len()));
    missing
}

fn progress_bar(version: ConfigVersion) -> ProgressBar {
    if !stderr().is_terminal() {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::with_draw_target(Some(1), ProgressDrawTarget::stderr());
    if let Ok(style) = ProgressStyle::with_template("{msg} {bar:30} {pos}/{len} hosts") {
        bar.set_style(style);
    }
    bar.set_message(format!("version {version}"));
    bar
}
