//! Measurements of the workspace's packages.
//!
//! `bench list` names all cases; `bench CASE --json` runs one and prints one JSON object a line.

mod cell;
mod outage;
#[path = "../../crates/control/tests/support/mod.rs"]
mod control_cell;
mod failover;
mod place;
mod proxy;
mod report;
mod silent;
mod settings;
mod balance;
mod fleet;
mod hol;
mod report;
mod retry;
mod surge;

use {getopts::Options, report::Measure, std::process::ExitCode};

/// A named group of measures that run together.
struct Case {
    /// Name on the command line.
    name: &'static str,
    /// What it measures.
    about: &'static str,
    /// Runs it.
    run: fn() -> Result<Vec<Measure>, String>,
}

/// All cases, in the order of the design page.
const CASES: &[Case] = &[
    Case {
        name: "place",
        about: "cost and packing of single placements",
        run: || Ok(place::run()),
    },
    Case {
        name: "outage",
        about: "acknowledged writes and the return of a store that was down for 30 s",
        run: outage::run,
    },
];
    case("place", "cost and packing of single placements", || {
        Ok(place::run())
    }),
    case(
        "silent",
        "open connections go silent while new ones work",
        silent::run,
    ),
];

const fn case(
    name: &'static str,
    about: &'static str,
    run: fn() -> Result<Vec<Measure>, String>,
) -> Case {
    Case { name, about, run }
}
    Case {
        name: "proxy",
        about: "latency that the path through our server and pool adds",
        run: proxy::run,
    },
    Case {
        name: "silent",
        about: "open connections go silent while new ones work",
        run: silent::run,
        name: "settings",
        about: "spread of settings changed by racing operators",
        run: || Ok(settings::run()),
    },
    Case {
        name: "failover",
        about: "placement after the loss of a pool's owner",
        run: || Ok(failover::run()),
        name: "hol",
        about: "short work beside long work",
        run: hol::run,
    },
    Case {
        name: "surge",
        about: "requests at four times the capacity",
        run: surge::run,
    },
    Case {
        name: "retry",
        about: "attempts while backend servers fail",
        run: retry::run,
    },
    Case {
        name: "balance",
        about: "shares of slots while an instance dies and one is cut off",
        run: balance::run,
    },
];

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("bench: {problem}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let mut options = Options::new();
    options.optflag("", "json", "print one JSON object a line");
    options.optflag("h", "help", "print this help");
    let matches = options
        .parse(std::env::args().skip(1))
        .map_err(|err| err.to_string())?;
    if matches.opt_present("help") || matches.free.is_empty() {
        println!(
            "{}",
            options.usage("usage: bench list | bench CASE... [--json]")
        );
        return Ok(());
    }
    if matches.free[0] == "list" {
        for case in CASES {
            println!("{:10} {}", case.name, case.about);
        }
        return Ok(());
    }
    for name in &matches.free {
        let case = CASES.iter().find(|case| case.name == name);
        let case = case.ok_or_else(|| format!("no case {name:?}; `bench list` names all"))?;
        for measure in (case.run)()? {
            println!("{}", measure.line(case.name, matches.opt_present("json")));
        }
    }
    Ok(())
}
