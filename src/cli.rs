//! Command-line parsing: the subcommand selects the set of options.

use {
    crate::error::Error,
    getopts::{Matches, Options},
    ragwortreel_model::{InstanceId, JobId, WorkerId, Workspace},
    std::{env, net::SocketAddr, path::PathBuf, time::Duration},
};

/// Environment variable that holds the bearer token.
const TOKEN_ENV: &str = "RAGWORTREEL_TOKEN";
/// Environment variable that names the settings file of an instance on the platform.
const SETTINGS_ENV: &str = "RAGWORTREEL_SETTINGS";
/// Default of `--address`.
const DEFAULT_ADDRESS: &str = "127.0.0.1:8080";
/// Default of `--timeout-ms`.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// Parsed command line.
#[derive(Debug)]
pub enum Command {
    /// Run an entry instance, with its settings file.
    Serve(PathBuf),
    /// Run an instance on the platform, with its settings file.
    Cell(PathBuf),
    /// Print the timeline of a job, given its identifier and log files.
    Explain(String, Vec<PathBuf>),
    /// Validate settings files.
    Check(Vec<PathBuf>),
    /// Check a configuration of the platform's format before it is sent.
    CheckConfig(CheckConfigOptions),
    /// Run the built-in demonstration.
    Quickstart(QuickstartOptions),
    /// Run stand-ins of the platform, of workers and of backend servers for tests, with their settings file.
    Standin(PathBuf),
    /// Send a command to an entry instance and print the reply.
    Remote(Remote, RemoteCommand),
    /// Print a help or version text.
    Print(String),
}

/// Options of the check of a configuration.
#[derive(Debug, Clone)]
pub struct CheckConfigOptions {
    /// Configuration to check.
    pub file: PathBuf,
    /// Configuration in force, with which it is compared.
    pub in_force: Option<PathBuf>,
    /// Processor capacity of the smallest worker, in thousandths of a core.
    pub worker_milli_cores: Option<u64>,
    /// Rate of the slowest link of an instance, in Mbit/s.
    pub link_mbps: Option<u64>,
    /// Print JSON instead of text.
    pub json: bool,
}

/// Options of the demonstration.
#[derive(Debug, Clone, Copy)]
pub struct QuickstartOptions {
    /// Duration of the load, in s, from 1 to 300.
    pub seconds: u64,
    /// Print the report as JSON instead of tables.
    pub json: bool,
}

/// Connection options of commands that are sent to an entry instance.
#[derive(Debug, Clone)]
pub struct Remote {
    /// Caller address of any entry instance of the cell.
    pub address: SocketAddr,
    /// Bearer token; without one, the request has no `authorization` header.
    pub token: Option<String>,
    /// Maximum time to wait for the response.
    pub timeout: Duration,
    /// Print JSON instead of a table.
    pub json: bool,
}

/// Command that is sent to an entry instance.
#[derive(Debug, Clone)]
pub enum RemoteCommand {
    /// Print the settings tree, or the branch of one workspace.
    SettingsGet(Option<Workspace>),
    /// Replace the settings tree, or the branch of one workspace.
    SettingsSet {
        /// Workspace whose branch is replaced; `None` replaces the whole tree.
        workspace: Option<Workspace>,
        /// File with the new content as JSON.
        file: PathBuf,
        /// Version on which the change is based.
        base: u64,
    },
    /// Submit the job specification in a JSON file.
    Submit(PathBuf),
    /// List the jobs that the token may read.
    Jobs,
    /// Print the status of a job.
    Describe(JobId),
    /// Cancel a job and print its status.
    Cancel(JobId),
    /// Drain a worker: it is assigned no new tasks.
    DrainWorker(WorkerId),
    /// Drain an entry instance: it shuts down gracefully.
    DrainInstance(InstanceId),
    /// Print the burn rates of the services' error budgets.
    Burn,
}

const HELP: &str = "\
ragwortreel schedules services, batch work and jobs whose tasks start together.

usage: ragwortreel COMMAND [OPTIONS]

daemon:
  serve --settings FILE             run an entry instance
  cell [--settings FILE]            run an instance on the platform; without
                                    the option, RAGWORTREEL_SETTINGS names the file
  check FILE...                     check settings files
  check-config FILE [IN-FORCE]      check a configuration of the platform
                                    before it is sent, and what it changes
  quickstart                        run a whole small cell on this machine

settings:
  settings get [--workspace WORKSPACE]        print the tree or one workspace's branch
  settings set FILE --base VERSION [--workspace WORKSPACE]
                                    replace the tree or one workspace's branch

jobs:
  submit FILE                       submit the job in a JSON file
  jobs                              list jobs
  describe JOB                      show one job and why its tasks wait
  cancel JOB                        cancel a job

operation:
  explain JOB LOG...                tell what became of a job, from the logs of
                                    all instances
  drain worker NAME                 give a worker no new tasks
  drain instance NAME               stop an entry instance gracefully
  burn                              report how fast error budgets are used

other:
  version                           print the version
  help                              print this help

'ragwortreel COMMAND --help' lists a command's options.
exit codes: 0 done, 1 failure, 2 wrong command line, 3 not acceptable,
  4 conflict, 5 not run, 6 outcome unknown, 7 not found, 8 violation found
";

/// Parses the arguments after the program's name.
///
/// # Errors
///
/// Returns [`Error::Usage`] for an unknown command, option or argument, and [`Error::Read`] for an unreadable token
/// file.
pub fn parse(args: &[String]) -> Result<Command, Error> {
    let Some((name, rest)) = args.split_first() else {
        return Err(Error::usage("a command is missing"));
    };
    match name.as_str() {
        "help" | "--help" | "-h" => Ok(Command::Print(HELP.to_owned())),
        "version" | "--version" | "-V" => Ok(Command::Print(
            concat!("ragwortreel ", env!("CARGO_PKG_VERSION"), "\n").to_owned(),
        )),
        "cell" | "serve" | "standin" => parse_settings_file_command(name, rest),
        "check" => parse_check(rest),
        "check-config" => parse_check_config(rest),
        "explain" => parse_explain(rest),
        "quickstart" => parse_quickstart(rest),
        "settings" => parse_settings(rest),
        "submit" | "jobs" | "describe" | "cancel" | "drain" | "burn" => {
            parse_remote_command(name, rest)
        }
        _ => Err(Error::usage(format!("unknown command '{name}'"))),
    }
}

/// Result of parsing the options of a subcommand.
enum ParsedOptions {
    Matches(Matches),
    /// `--help` was given; the command prints the usage text.
    Help(Command),
}

fn parse_options(
    usage: &str,
    mut options: Options,
    args: &[String],
) -> Result<ParsedOptions, Error> {
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(args)
        .map_err(|err| Error::usage(format!("{usage}: {err}")))?;
    if matches.opt_present("help") {
        let text = options.usage(&format!("usage: ragwortreel {usage}"));
        return Ok(ParsedOptions::Help(Command::Print(text)));
    }
    Ok(ParsedOptions::Matches(matches))
}

fn parse_settings_file_command(name: &str, args: &[String]) -> Result<Command, Error> {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings file of the process", "FILE");
    let matches = match parse_options(&format!("{name} --settings FILE"), options, args)? {
        ParsedOptions::Matches(matches) => matches,
        ParsedOptions::Help(command) => return Ok(command),
    };
    reject_surplus_arguments(&matches, 0, name)?;
    let from_env = (name == "cell")
        .then(|| env::var(SETTINGS_ENV).ok())
        .flatten();
    let file = matches
        .opt_str("settings")
        .or(from_env)
        .ok_or_else(|| Error::usage(format!("{name}: --settings is missing")))?;
    let file = PathBuf::from(file);
    Ok(match name {
        "serve" => Command::Serve(file),
        "cell" => Command::Cell(file),
        _ => Command::Standin(file),
    })
}

fn parse_check(args: &[String]) -> Result<Command, Error> {
    match parse_options("check FILE...", Options::new(), args)? {
        ParsedOptions::Help(command) => Ok(command),
        ParsedOptions::Matches(matches) if matches.free.is_empty() => {
            Err(Error::usage("check: a file is missing"))
        }
        ParsedOptions::Matches(matches) => Ok(Command::Check(
            matches.free.iter().map(PathBuf::from).collect(),
        )),
    }
}

fn parse_check_config(args: &[String]) -> Result<Command, Error> {
    let mut options = Options::new();
    options.optflag("", "json", "print JSON");
    options.optopt(
        "",
        "worker-milli-cores",
        "capacity of the smallest worker, to find limits below it",
        "N",
    );
    options.optopt(
        "",
        "link-mbps",
        "rate of the slowest link of an instance, for the size of the configuration; 10 if it is not given",
        "N",
    );
    let matches = match parse_options("check-config FILE [IN-FORCE]", options, args)? {
        ParsedOptions::Matches(matches) => matches,
        ParsedOptions::Help(command) => return Ok(command),
    };
    reject_surplus_arguments(&matches, 2, "check-config")?;
    let mut files = matches.free.iter().map(PathBuf::from);
    let file = files.next();
    let worker_milli_cores = parse_number(&matches, "worker-milli-cores", 0)?;
    let link_mbps = parse_number(&matches, "link-mbps", 0)?;
    Ok(Command::CheckConfig(CheckConfigOptions {
        file: file.ok_or_else(|| Error::usage("check-config: a file is missing"))?,
        in_force: files.next(),
        worker_milli_cores: (worker_milli_cores > 0).then_some(worker_milli_cores),
        link_mbps: (link_mbps > 0).then_some(link_mbps),
        json: matches.opt_present("json"),
    }))
}

fn parse_explain(args: &[String]) -> Result<Command, Error> {
    match parse_options("explain JOB LOG...", Options::new(), args)? {
        ParsedOptions::Help(command) => Ok(command),
        ParsedOptions::Matches(matches) => match matches.free.split_first() {
            Some((id, files)) if !files.is_empty() => Ok(Command::Explain(
                id.clone(),
                files.iter().map(PathBuf::from).collect(),
            )),
            _ => Err(Error::usage("explain: a job and a log are needed")),
        },
    }
}

fn parse_quickstart(args: &[String]) -> Result<Command, Error> {
    let mut options = Options::new();
    options.optopt(
        "",
        "seconds",
        "length of the load, 1 to 300 (default 10)",
        "N",
    );
    options.optflag("", "json", "print JSON");
    let matches = match parse_options("quickstart", options, args)? {
        ParsedOptions::Matches(matches) => matches,
        ParsedOptions::Help(command) => return Ok(command),
    };
    reject_surplus_arguments(&matches, 0, "quickstart")?;
    let seconds = parse_number(&matches, "seconds", 10)?;
    if !(1..=300).contains(&seconds) {
        return Err(Error::usage("quickstart: --seconds must be 1 to 300"));
    }
    Ok(Command::Quickstart(QuickstartOptions {
        seconds,
        json: matches.opt_present("json"),
    }))
}

fn remote_options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "a",
        "address",
        "entry instance (default 127.0.0.1:8080)",
        "IP:PORT",
    );
    options.optopt(
        "",
        "token-file",
        "file with the bearer token (default: $RAGWORTREEL_TOKEN)",
        "FILE",
    );
    options.optopt(
        "",
        "timeout-ms",
        "longest wait for the answer (default 10000)",
        "MS",
    );
    options.optflag("", "json", "print JSON");
    options
}

fn parse_remote_options(matches: &Matches) -> Result<Remote, Error> {
    let address = matches
        .opt_str("address")
        .unwrap_or_else(|| DEFAULT_ADDRESS.to_owned());
    let bad_address = |_| Error::usage(format!("--address: '{address}' is not IP:PORT"));
    let token = match matches.opt_str("token-file") {
        Some(file) => {
            let text = crate::config::read_file(&PathBuf::from(file))?;
            Some(String::from_utf8_lossy(&text).trim().to_owned())
        }
        None => env::var(TOKEN_ENV).ok(),
    };
    Ok(Remote {
        address: address.parse().map_err(bad_address)?,
        token,
        timeout: Duration::from_millis(parse_number(matches, "timeout-ms", DEFAULT_TIMEOUT_MS)?),
        json: matches.opt_present("json"),
    })
}

fn parse_settings(args: &[String]) -> Result<Command, Error> {
    let usage = "settings get [--workspace WORKSPACE] | settings set FILE --base VERSION [--workspace WORKSPACE]";
    let mut options = remote_options();
    options.optopt("t", "workspace", "branch of one workspace", "WORKSPACE");
    options.optopt(
        "b",
        "base",
        "version that the change was made from",
        "VERSION",
    );
    let matches = match parse_options(usage, options, args)? {
        ParsedOptions::Matches(matches) => matches,
        ParsedOptions::Help(command) => return Ok(command),
    };
    let workspace = matches
        .opt_str("workspace")
        .map(|text| Workspace::new(&text))
        .transpose();
    let workspace = workspace.map_err(|err| Error::usage(format!("--workspace: {err}")))?;
    let command = match matches
        .free
        .iter()
        .map(String::as_str)
        .collect::<Vec<_>>()
        .as_slice()
    {
        ["get"] => RemoteCommand::SettingsGet(workspace),
        ["set", file] => {
            if !matches.opt_present("base") {
                return Err(Error::usage(
                    "settings set: --base is missing; 'settings get' prints the version",
                ));
            }
            RemoteCommand::SettingsSet {
                workspace,
                file: PathBuf::from(file),
                base: parse_number(&matches, "base", 0)?,
            }
        }
        _ => return Err(Error::usage(format!("usage: ragwortreel {usage}"))),
    };
    Ok(Command::Remote(parse_remote_options(&matches)?, command))
}

fn parse_remote_command(name: &str, args: &[String]) -> Result<Command, Error> {
    let usage = match name {
        "submit" => "submit FILE",
        "describe" => "describe JOB",
        "cancel" => "cancel JOB",
        "drain" => "drain worker NAME | drain instance NAME",
        _ => name,
    };
    let matches = match parse_options(usage, remote_options(), args)? {
        ParsedOptions::Matches(matches) => matches,
        ParsedOptions::Help(command) => return Ok(command),
    };
    let command = parse_positional(name, &matches).map_err(|problem| {
        let problem = problem.unwrap_or_else(|| format!("usage: ragwortreel {usage}"));
        Error::usage(problem)
    })?;
    Ok(Command::Remote(parse_remote_options(&matches)?, command))
}

/// Parses the positional arguments of a remote command.
///
/// The error is `Some` for an invalid name and `None` for a wrong number of arguments.
fn parse_positional(name: &str, matches: &Matches) -> Result<RemoteCommand, Option<String>> {
    let positional: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    let problem = |err: ragwortreel_model::NameError| Some(err.to_string());
    match (name, positional.as_slice()) {
        ("submit", [file]) => Ok(RemoteCommand::Submit(PathBuf::from(file))),
        ("jobs", []) => Ok(RemoteCommand::Jobs),
        ("describe", [job]) => Ok(RemoteCommand::Describe(JobId::new(job).map_err(problem)?)),
        ("cancel", [job]) => Ok(RemoteCommand::Cancel(JobId::new(job).map_err(problem)?)),
        ("drain", ["worker", id]) => Ok(RemoteCommand::DrainWorker(
            WorkerId::new(id).map_err(problem)?,
        )),
        ("drain", ["instance", id]) => Ok(RemoteCommand::DrainInstance(
            InstanceId::new(id).map_err(problem)?,
        )),
        ("burn", []) => Ok(RemoteCommand::Burn),
        _ => Err(None),
    }
}

fn reject_surplus_arguments(matches: &Matches, count: usize, name: &str) -> Result<(), Error> {
    match matches.free.get(count) {
        None => Ok(()),
        Some(extra) => Err(Error::usage(format!(
            "{name}: unexpected argument '{extra}'"
        ))),
    }
}

fn parse_number(matches: &Matches, option: &str, default: u64) -> Result<u64, Error> {
    match matches.opt_str(option) {
        None => Ok(default),
        Some(text) => text
            .parse()
            .map_err(|_| Error::usage(format!("--{option}: '{text}' is not a number"))),
    }
}
