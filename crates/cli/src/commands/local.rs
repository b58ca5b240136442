//! Commands that run locally, without contacting a host.

use {
    super::{audit, check_routes},
    crate::{
        args::{AuditCommand, CliArgs, CliCommand},
        error::{CliError, InvalidConfigSnafu, ReadFileSnafu},
        output::Printer,
    },
    camphorcove_core::conf::{RegionConfig, parse},
    camphorcove_net::operator::CheckReport,
    clap::CommandFactory,
    snafu::ResultExt,
    std::{fs, path::Path},
};

/// Runs a local command; `None` if the command needs a host.
pub fn run(command: &CliCommand, printer: Printer) -> Option<Result<(), CliError>> {
    match command {
        CliCommand::Check { file } => Some(check(file, printer)),
        CliCommand::CheckRoutes(args) => Some(check_routes::run(args, printer)),
        CliCommand::Completions { shell } => {
            let mut script = Vec::new();
            let mut command = CliArgs::command();
            clap_complete::generate(*shell, &mut command, "camphorcove", &mut script);
            Some(printer.print_raw(&script))
        }
        CliCommand::Man => Some(manual(printer)),
        CliCommand::Audit(AuditCommand::Verify(args)) => {
            let file = args.file.as_ref()?;
            let report = audit::verify_file(file, args);
            Some(report.and_then(|report| audit::print_reports(printer, &[report])))
        }
        _ => None,
    }
}

fn check(file: &Path, printer: Printer) -> Result<(), CliError> {
    let (_, config) = read_config(file)?;
    let report = CheckReport {
        services: config.services.len(),
        servers: config
            .services
            .iter()
            .map(|service| service.servers.len())
            .sum(),
    };
    printer.print(&report, |report| {
        let CheckReport { services, servers } = report;
        vec![format!(
            "{}: valid, {services} services, {servers} servers",
            file.display()
        )]
    })
}

/// Reads and validates a configuration file; returns its text and parsed form.
pub fn read_config(file: &Path) -> Result<(String, RegionConfig), CliError> {
    let text = fs::read_to_string(file).context(ReadFileSnafu { path: file })?;
    let name = file.display().to_string();
    match parse(&name, &text) {
        Ok(config) => Ok((text, config)),
        Err(faults) => InvalidConfigSnafu { faults }.fail(),
    }
}

/// Prints the manual pages of the program and all its commands in sequence.
fn manual(printer: Printer) -> Result<(), CliError> {
    let mut command = CliArgs::command();
    command.build();
    let mut pages = Vec::new();
    render_pages(&command, &mut pages)?;
    printer.print_raw(&pages)
}

fn render_pages(command: &clap::Command, pages: &mut Vec<u8>) -> Result<(), CliError> {
    clap_mangen::Man::new(command.clone()).render(pages)?;
    for subcommand in command.get_subcommands() {
        if subcommand.get_name() != "help" {
            render_pages(subcommand, pages)?;
        }
    }
    Ok(())
}
