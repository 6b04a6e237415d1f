//! Library of the binary `ragwortreel`: command line, entry instance, platform instance, client and reports.
//!
//! A cell is a set of instances that share a store and schedule jobs on the same workers. An entry instance
//! (`ragwortreel serve`) also routes requests to backend servers; the platform provides its table service, its object
//! store and the list of workers, backend servers and other instances. A platform instance (`ragwortreel cell`) runs on
//! the Dzintars Kods platform and uses that platform's interfaces. Stand-ins are test doubles of the platform, the
//! workers and the backend servers.

mod admin;
pub mod burn;
mod cell_daemon;
pub mod cell_plan;
pub mod cell_settings;
pub mod checks;
pub mod cli;
mod client;
pub mod config;
mod config_check;
pub mod daemon;
mod data_plane;
pub mod error;
pub mod events;
pub mod exit_codes;
mod explain;
mod forward;
mod jobs_api;
pub mod load;
pub mod output;
mod pooled_transport;
mod quickstart;
mod router_updates;
mod service_call;
mod settings_api;
pub mod telemetry;
mod transport;

use {
    cli::Command,
    config::Config,
    error::Error,
    ragwortreel_runtime::{Stop, block_on, json_logger, start_threads, stop_on_signals},
    std::path::{Path, PathBuf},
};

/// Parses the arguments after the program's name and runs the command.
///
/// # Errors
///
/// Returns an error if the command failed or its outcome is unknown; [`Error::exit_code`] distinguishes the cases.
pub fn run(args: &[String]) -> Result<(), Error> {
    match cli::parse(args)? {
        Command::Print(text) => output::print(&text),
        Command::Check(files) => check_files(&files),
        Command::CheckConfig(options) => config_check::run(&options),
        Command::Serve(file) => serve(&file),
        Command::Cell(file) => cell_daemon::run(&file),
        Command::Explain(id, files) => explain::run(&id, &files),
        Command::Standin(file) => serve_standins(&file),
        Command::Quickstart(options) => quickstart::run(options),
        Command::Remote(remote, command) => block_on(client::run(&remote, command)),
    }
}

fn serve(file: &Path) -> Result<(), Error> {
    let config = Config::load(file)?;
    start_threads(config.threads).map_err(|err| Error::start("starting threads", &err))?;
    let log = json_logger(config.log_level.level());
    let stop = Stop::new();
    stop_on_signals(stop.clone())
        .map_err(|err| Error::start("installing signal handlers", &err))?;
    block_on(daemon::run(config, log, stop))
}

fn serve_standins(file: &Path) -> Result<(), Error> {
    let config = config::load_file(file, ragwortreel_model::parse_json)?;
    let stop = Stop::new();
    stop_on_signals(stop.clone())
        .map_err(|err| Error::start("installing signal handlers", &err))?;
    block_on(ragwortreel_standins::serve(&config, &stop))
        .map_err(|err| Error::start("serving stand-ins", &err))
}

/// Validates settings files and prints the detected kind of each.
///
/// A file with the key `ready_address` holds the settings of a platform instance, one with `instance` those of an entry
/// instance; any other file holds a settings tree.
fn check_files(files: &[PathBuf]) -> Result<(), Error> {
    for file in files {
        let json = config::read_file(file)?;
        let value: serde_json::Value =
            ragwortreel_model::parse_json(&json).map_err(Error::settings(file))?;
        let is_platform_instance = value.get("ready_address").is_some();
        let is_entry_instance = value.get("instance").is_some();
        let result = if is_platform_instance {
            cell_settings::CellSettings::parse(&json).map(|_| "instance settings")
        } else if is_entry_instance {
            Config::parse(&json).map(|_| "daemon settings")
        } else {
            ragwortreel_model::Settings::parse(&json).map(|_| "settings tree")
        };
        let kind = result.map_err(Error::settings(file))?;
        output::print(&format!("{}: {kind} accepted\n", file.display()))?;
    }
    Ok(())
}
