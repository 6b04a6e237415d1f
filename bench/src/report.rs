//! Measures and how they are printed.

use serde::Serialize;

/// Unit of a measure.
#[derive(Debug, Clone, Copy, Serialize)]
#[allow(dead_code, reason = "the cases use different subsets")]
pub enum Unit {
    /// Nanoseconds.
    #[serde(rename = "ns")]
    Nanoseconds,
    /// Microseconds.
    #[serde(rename = "us")]
    Microseconds,
    /// Milliseconds.
    #[serde(rename = "ms")]
    Milliseconds,
    /// Seconds.
    #[serde(rename = "s")]
    Seconds,
    /// Events a second.
    #[serde(rename = "1/s")]
    PerSecond,
    /// Quotient of two values of the same unit.
    #[serde(rename = "ratio")]
    Ratio,
    /// Part of a whole, 0 to 1.
    #[serde(rename = "share")]
    Share,
    /// Number of things.
    #[serde(rename = "count")]
    Count,
    /// Percent of a core.
    #[serde(rename = "%")]
    Percent,
    /// Megabytes.
    #[serde(rename = "MB")]
    Megabytes,
    /// Kilobytes a second.
    #[serde(rename = "KB/s")]
    KilobytesPerSecond,
}

/// One measured value beside its target.
#[derive(Debug, Clone, Serialize)]
pub struct Measure {
    #[serde(rename = "measure")]
    name: String,
    value: f64,
    unit: Unit,
    baseline: Option<f64>,
    target: Option<String>,
    holds: Option<bool>,
}

#[allow(dead_code, reason = "the cases use different subsets")]
impl Measure {
    /// A value that must be at most `limit`.
    pub fn at_most(measure: &str, value: f64, unit: Unit, limit: f64) -> Self {
        let target = Some(format!("<= {limit}"));
        let holds = Some(value <= limit);
        Self {
            name: measure.to_owned(),
            value,
            unit,
            baseline: None,
            target,
            holds,
        }
    }

    /// A value that must be at least `limit`.
    pub fn at_least(measure: &str, value: f64, unit: Unit, limit: f64) -> Self {
        let target = Some(format!(">= {limit}"));
        let holds = Some(value >= limit);
        Self {
            name: measure.to_owned(),
            value,
            unit,
            baseline: None,
            target,
            holds,
        }
    }

    /// A value without a target.
    pub fn info(measure: &str, value: f64, unit: Unit) -> Self {
        Self {
            name: measure.to_owned(),
            value,
            unit,
            baseline: None,
            target: None,
            holds: None,
        }
    }

    /// Adds the figure of the naive or earlier version from the same run.
    #[must_use]
    pub fn with_baseline(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }

    /// The measure as one line, as JSON or for a reader.
    pub fn line(&self, case: &str, json: bool) -> String {
        #[derive(Serialize)]
        struct Line<'a> {
            case: &'a str,
            #[serde(flatten)]
            measure: &'a Measure,
        }
        if json {
            let line = serde_json::to_string(&Line {
                case,
                measure: self,
            });
            return line
                .unwrap_or_else(|err| format!("{{\"case\":\"{case}\",\"error\":\"{err}\"}}"));
        }
        let verdict = match self.holds {
            Some(true) => "holds",
            Some(false) => "MISSED",
            None => "",
        };
        let target = self.target.as_deref().unwrap_or("-");
        let baseline = self
            .baseline
            .map_or_else(|| "-".to_owned(), |value| format!("{value:.3}"));
        let (name, value, unit) = (&self.name, self.value, self.unit);
        format!(
            "{case:10} {name:32} {value:14.3} {unit:?} (baseline {baseline}, target {target}) {verdict}"
        )
    }
}

/// A number of things as a value; counts beyond 2^32 do not occur.
pub fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}
