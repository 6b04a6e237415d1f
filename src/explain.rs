//! The timeline of one job from the logs of many instances.

use {
    crate::{config::read_file, error::Error, output},
    serde_json::{Map, Value},
    std::{fmt::Write as _, path::PathBuf},
};

/// Events that explain what all jobs met: leadership, the store, lost workers, dropped lines.
const CONTEXT: [u64; 10] = [1001, 2101, 2102, 2103, 2105, 2106, 2107, 2109, 2110, 2121];
/// Time before a job's first line from which context is shown, in ms.
const BEFORE_MS: u64 = 5_000;
/// Fields that every line has and that are not repeated.
const COMMON: [&str; 5] = ["ts", "level", "msg", "event", "instance"];

struct Line {
    ts_ms: u64,
    fields: Map<String, Value>,
}

impl Line {
    fn number(&self) -> u64 {
        self.fields
            .get("event")
            .and_then(Value::as_u64)
            .unwrap_or(0)
    }

    /// Whether the line is about a job, one of its steps or one of its tasks.
    fn is_about(&self, id: &str) -> bool {
        ["job", "step", "task"].iter().any(|name| {
            let text = self.fields.get(*name).and_then(Value::as_str);
            text.is_some_and(|text| text == id || text.starts_with(&format!("{id}.")))
        })
    }
}

/// Prints the timeline of a job.
pub fn run(id: &str, files: &[PathBuf]) -> Result<(), Error> {
    let mut lines = Vec::new();
    for file in files {
        let text = read_file(file)?;
        lines.extend(String::from_utf8_lossy(&text).lines().filter_map(parse));
    }
    output::print(&format_timeline(id, lines))
}

/// Reads a line; text before the JSON object, such as a collector's prefix, is passed over.
fn parse(text: &str) -> Option<Line> {
    let json = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let ts_ms = fields.get("ts")?.as_u64()?;
    Some(Line { ts_ms, fields })
}

/// The timeline of a job, in order of time.
fn format_timeline(id: &str, mut lines: Vec<Line>) -> String {
    lines.sort_by_key(|line| line.ts_ms);
    let own = || lines.iter().filter(|line| line.is_about(id));
    let (Some(first), Some(last)) = (own().next(), own().next_back()) else {
        return format!("no line is about {id}\n");
    };
    let (from_ms, until_ms) = (first.ts_ms, last.ts_ms);
    let mut text = String::new();
    let mut left_out = 0;
    for line in &lines {
        let is_context = CONTEXT.contains(&line.number())
            && (from_ms.saturating_sub(BEFORE_MS)..=until_ms).contains(&line.ts_ms);
        if !line.is_about(id) && !is_context {
            continue;
        }
        if let Some(dropped) = line.fields.get("dropped_lines").and_then(Value::as_u64) {
            left_out += dropped;
        }
        write_line(&mut text, line, from_ms);
    }
    if left_out > 0 {
        let _ = writeln!(
            text,
            "{left_out} lines were dropped meanwhile; the timeline may have gaps"
        );
    }
    text
}

fn write_line(text: &mut String, line: &Line, from_ms: u64) {
    let sign = if line.ts_ms < from_ms { '-' } else { '+' };
    let word = |name: &str| line.fields.get(name).and_then(Value::as_str).unwrap_or("");
    let _ = write!(
        text,
        "{sign}{:>6} ms  {:<24} {} {}",
        line.ts_ms.abs_diff(from_ms),
        word("instance"),
        line.number(),
        word("msg")
    );
    let others = line.fields.iter();
    for (name, value) in others.filter(|(name, _)| !COMMON.contains(&name.as_str())) {
        let _ = match value.as_str() {
            Some(value) => write!(text, "  {name}={value}"),
            None => write!(text, "  {name}={value}"),
        };
    }
    text.push('\n');
}
