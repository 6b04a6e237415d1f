//! Timeline of one job, assembled from the logs of several instances (`ragwortreel explain`).

use {
    crate::{config::read_file, error::Error, output},
    serde_json::{Map, Value},
    std::{fmt::Write as _, path::PathBuf},
};

/// Numbers of events that affect all jobs: leadership changes, store failures, lost workers and dropped log lines.
const CONTEXT_EVENTS: [u64; 10] = [1001, 2101, 2102, 2103, 2105, 2106, 2107, 2109, 2110, 2121];
/// Time before the job's first log line for which context events are included, in ms.
const CONTEXT_BEFORE_MS: u64 = 5_000;
/// Fields of every log line, which are not printed as `name=value`.
const COMMON_FIELDS: [&str; 5] = ["ts", "level", "msg", "event", "instance"];

struct LogLine {
    ts_ms: u64,
    fields: Map<String, Value>,
}

impl LogLine {
    fn event_number(&self) -> u64 {
        self.fields
            .get("event")
            .and_then(Value::as_u64)
            .unwrap_or(0)
    }

    /// Whether the line refers to the job `id`, one of its steps or one of its tasks.
    ///
    /// Identifiers of steps and tasks begin with the job's identifier and a dot.
    fn concerns_job(&self, id: &str) -> bool {
        ["job", "step", "task"].iter().any(|name| {
            let text = self.fields.get(*name).and_then(Value::as_str);
            text.is_some_and(|text| text == id || text.starts_with(&format!("{id}.")))
        })
    }
}

/// Reads log files and prints the timeline of the job `id`.
pub fn run(id: &str, files: &[PathBuf]) -> Result<(), Error> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_file(file)?;
        lines.extend(
            String::from_utf8_lossy(&text)
                .lines()
                .filter_map(parse_line),
        );
    }
    output::print(&format_timeline(id, lines))
}

/// Parses a log line. Text before the JSON object, such as the prefix of a log collector, is skipped.
fn parse_line(text: &str) -> Option<LogLine> {
    let json = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let ts_ms = fields.get("ts")?.as_u64()?;
    Some(LogLine { ts_ms, fields })
}

/// Formats the lines about a job and the context events around them, ordered by time.
fn format_timeline(id: &str, mut lines: Vec<LogLine>) -> String {
    lines.sort_by_key(|line| line.ts_ms);
    let job_lines = || lines.iter().filter(|line| line.concerns_job(id));
    let (Some(first), Some(last)) = (job_lines().next(), job_lines().next_back()) else {
        return format!("no line is about {id}\n");
    };
    let (from_ms, until_ms) = (first.ts_ms, last.ts_ms);
    let mut text = String::new();
    let mut dropped_lines = 0;
    for line in &lines {
        let is_context = CONTEXT_EVENTS.contains(&line.event_number())
            && (from_ms.saturating_sub(CONTEXT_BEFORE_MS)..=until_ms).contains(&line.ts_ms);
        if !line.concerns_job(id) && !is_context {
            continue;
        }
        if let Some(dropped) = line.fields.get("dropped_lines").and_then(Value::as_u64) {
            dropped_lines += dropped;
        }
        write_line(&mut text, line, from_ms);
    }
    if dropped_lines > 0 {
        let _ = writeln!(
            text,
            "{dropped_lines} lines were dropped meanwhile; the timeline may have gaps"
        );
    }
    text
}

fn write_line(text: &mut String, line: &LogLine, from_ms: u64) {
    let sign = if line.ts_ms < from_ms { '-' } else { '+' };
    let text_field = |name: &str| line.fields.get(name).and_then(Value::as_str).unwrap_or("");
    let _ = write!(
        text,
        "{sign}{:>6} ms  {:<24} {} {}",
        line.ts_ms.abs_diff(from_ms),
        text_field("instance"),
        line.event_number(),
        text_field("msg")
    );
    let fields = line.fields.iter();
    for (name, value) in fields.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str())) {
        let _ = match value.as_str() {
            Some(value) => write!(text, "  {name}={value}"),
            None => write!(text, "  {name}={value}"),
        };
    }
    text.push('\n');
}
