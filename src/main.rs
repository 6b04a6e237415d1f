//! Entry point of the binary `ragwortreel`.

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    match ragwortreel::run(&args) {
        Ok(()) => ragwortreel::exit_codes::Exit::Success.into(),
        Err(err) => {
            eprintln!("ragwortreel: {err}");
            err.exit_code().into()
        }
    }
}
