//! Measured values with their targets, printed as JSON or as text.

use serde::Serialize;

/// Unit of a measure. The text output prints the variant's name, the JSON output its abbreviation.
#[derive(Debug, Clone, Copy, Serialize)]
#[allow(dead_code, reason = "the cases use different subsets")]
pub enum Unit {
    #[serde(rename = "ns")]
    Nanoseconds,
    #[serde(rename = "us")]
    Microseconds,
    #[serde(rename = "ms")]
    Milliseconds,
    #[serde(rename = "s")]
    Seconds,
    /// Events per second.
    #[serde(rename = "1/s")]
    PerSecond,
    /// Quotient of two values of the same unit, without an upper bound.
    #[serde(rename = "ratio")]
    Ratio,
    /// Fraction of a whole, from 0 to 1.
    #[serde(rename = "share")]
    Share,
    /// Number of events or objects.
    #[serde(rename = "count")]
    Count,
    /// Percent of one processor core.
    #[serde(rename = "%")]
    Percent,
    /// Units of 10^6 bytes.
    #[serde(rename = "MB")]
    Megabytes,
    /// Units of 10^3 bytes per second.
    #[serde(rename = "KB/s")]
    KilobytesPerSecond,
}

/// Measured value, with a target and a baseline where the case has them.
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
    /// Creates a measure whose target is met when `value` is at most `limit`.
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

    /// Creates a measure whose target is met when `value` is at least `limit`.
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

    /// Creates a measure without a target.
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

    /// Adds the value that the naive or former implementation reached in the same run.
    #[must_use]
    pub fn with_baseline(mut self, baseline: f64) -> Self {
        self.baseline = Some(baseline);
        self
    }

    /// Formats the measure as one line of JSON, or of aligned text.
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

/// Converts a count to `f64`. Values above `u32::MAX` do not occur and saturate.
pub fn count(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
