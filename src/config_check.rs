//! Check of a platform configuration before it is sent (`ragwortreel check-config`).

use {
    crate::{cli::CheckConfigOptions, config::read_file, error::Error, output},
    ragwortreel_dzintars::{CheckedCell, ConfigReport, check_configuration},
    std::{fmt::Write as _, path::Path},
};

/// Checks a configuration, and prints its errors, its warnings and its differences from the one in force.
pub fn run(options: &CheckConfigOptions) -> Result<(), Error> {
    let text = read_text(&options.file)?;
    let in_force = options.in_force.as_deref().map(read_text).transpose()?;
    let cell = CheckedCell {
        worker_milli_cores: options.worker_milli_cores,
        link_mbps: options.link_mbps,
    };
    let report = check_configuration(&text, in_force.as_deref(), cell);
    if options.json {
        let json = serde_json::to_string(&report);
        let json = json.map_err(|err| Error::start("writing the report", &err))?;
        output::print(&format!("{json}\n"))?;
    } else {
        output::print(&format_report(&report))?;
    }
    if report.errors.is_empty() {
        return Ok(());
    }
    Err(Error::Configuration {
        path: options.file.clone(),
        errors: report.errors.len(),
    })
}

/// Text of a file; bytes that are not UTF-8 are replaced, and are then no valid JSON or part of a name.
fn read_text(path: &Path) -> Result<String, Error> {
    Ok(String::from_utf8_lossy(&read_file(path)?).into_owned())
}

fn format_report(report: &ConfigReport) -> String {
    let mut text = String::new();
    for (level, findings) in [("error", &report.errors), ("warning", &report.warnings)] {
        for it in findings {
            // Writing to a string does not fail.
            let _ = writeln!(text, "{level}: {}: {}", it.entry, it.problem);
        }
    }
    for change in &report.changes {
        let _ = writeln!(text, "change: {change}");
    }
    if report.errors.is_empty() {
        let version = report.version.unwrap_or(0);
        let _ = writeln!(text, "version {version} is acceptable");
    }
    text
}
