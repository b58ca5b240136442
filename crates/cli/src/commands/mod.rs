//! Implementation of the commands.

mod api;
mod audit;
mod change;
mod check_routes;
mod control;
mod local;
mod show;
mod status;
mod wait;

use {
    crate::{
        args::{CliArgs, CliCommand},
        conf::ClientSettings,
        error::CliError,
        output::Printer,
    },
    api::Api,
};

/// Runs a command locally, or against the operator API of a host.
pub fn run(args: CliArgs) -> Result<(), CliError> {
    let printer = Printer::new(args.json);
    if let Some(result) = local::run(&args.command, printer) {
        return result;
    }
    let client = ClientSettings::resolve(&args)?.client(!args.json)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let api = Api::new(client);
    runtime.block_on(run_remote(&api, printer, args.command))
}

async fn run_remote(api: &Api, printer: Printer, command: CliCommand) -> Result<(), CliError> {
    match command {
        CliCommand::Diff { file } => change::diff(api, printer, &file).await,
        CliCommand::Apply(args) => change::apply(api, printer, &args).await,
        CliCommand::Rollback(args) => change::rollback(api, printer, &args).await,
        CliCommand::Drain(args) => change::drain(api, printer, args).await,
        CliCommand::Undrain(args) => change::undrain(api, printer, args).await,
        CliCommand::Pin(args) => change::pin(api, printer, args).await,
        CliCommand::Unpin { key, change } => change::unpin(api, printer, key, &change).await,
        CliCommand::Show { version } => show::config_text(api, printer, version).await,
        CliCommand::Status => status::status(api, printer).await,
        CliCommand::Services => status::services(api, printer).await,
        CliCommand::Servers { service } => show::servers(api, printer, service.as_ref()).await,
        CliCommand::Owner(args) => show::owner(api, printer, &args).await,
        CliCommand::Moves => show::moves(api, printer).await,
        CliCommand::Explain(args) => show::explain(api, printer, args).await,
        CliCommand::Audit(command) => audit::run(api, printer, command).await,
        CliCommand::LogLevel { level, reason } => {
            control::log_level(api, printer, level, reason).await
        }
        CliCommand::ConfirmLost {
            service,
            epoch,
            reason,
            ..
        } => control::confirm_lost(api, printer, service, epoch, reason).await,
        CliCommand::Check { .. }
        | CliCommand::CheckRoutes(_)
        | CliCommand::Completions { .. }
        | CliCommand::Man => Ok(()),
    }
}
