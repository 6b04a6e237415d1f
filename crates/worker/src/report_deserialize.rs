//! Hand-written deserialization of [`HeartbeatReply`].
//!
//! A pool's owner parses the reports of all its workers, and a complete report contains all tasks of a worker. The
//! derived implementation for [`TaskPhase`], an internally tagged enum, first copies the fields into an intermediate
//! tree; these visitors read them in one pass. They accept the same JSON objects as the derived implementation and read
//! the same values, which a test compares. JSON arrays, which the derived implementation also accepts in place of
//! objects, are rejected.

use {
    crate::api::{HeartbeatReply, ReportedTask, TaskPhase},
    ragwortreel_model::TaskResult,
    serde::{
        Deserialize, Deserializer,
        de::{Error, IgnoredAny, MapAccess, Visitor},
    },
    std::fmt,
};

/// Declares an enum of the field names of an object; `Other` stands for unknown fields, whose values are ignored.
macro_rules! field_name_enum {
    ($name:ident { $($variant:ident = $text:literal),* }) => {
        enum $name { $($variant,)* Other }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct FieldNameVisitor;
                impl Visitor<'_> for FieldNameVisitor {
                    type Value = $name;

                    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                        f.write_str("a field name")
                    }

                    fn visit_str<E: Error>(self, name: &str) -> Result<$name, E> {
                        Ok(match name {
                            $($text => $name::$variant,)*
                            _ => $name::Other,
                        })
                    }
                }
                deserializer.deserialize_identifier(FieldNameVisitor)
            }
        }
    };
}

field_name_enum!(ReplyField {
    Worker = "worker",
    Incarnation = "incarnation",
    ClockMs = "clock_ms",
    Number = "number",
    Since = "since",
    Forgotten = "forgotten",
    Tasks = "tasks"
});
field_name_enum!(TaskField {
    Task = "task",
    Attempt = "attempt",
    Reserved = "reserved",
    Used = "used",
    Phase = "phase"
});
field_name_enum!(PhaseField { Phase = "phase", Result = "result" });

/// Reads a field's value; fails when the field occurs twice.
fn read_once<'de, T: Deserialize<'de>, M: MapAccess<'de>>(
    map: &mut M,
    field: &mut Option<T>,
    name: &'static str,
) -> Result<(), M::Error> {
    if field.is_some() {
        return Err(M::Error::duplicate_field(name));
    }
    *field = Some(map.next_value()?);
    Ok(())
}

/// Returns a field's value; fails when the field is missing.
fn require<T, E: Error>(field: Option<T>, name: &'static str) -> Result<T, E> {
    field.ok_or_else(|| E::missing_field(name))
}

impl<'de> Deserialize<'de> for HeartbeatReply {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct ReplyVisitor;
        impl<'de> Visitor<'de> for ReplyVisitor {
            type Value = HeartbeatReply;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a worker's report")
            }

            fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<HeartbeatReply, M::Error> {
                let (mut worker, mut incarnation, mut clock_ms, mut tasks) =
                    (None, None, None, None);
                let (mut number, mut since, mut forgotten) = (None, None, None);
                while let Some(field) = map.next_key()? {
                    match field {
                        ReplyField::Worker => read_once(&mut map, &mut worker, "worker")?,
                        ReplyField::Incarnation => {
                            read_once(&mut map, &mut incarnation, "incarnation")?;
                        }
                        ReplyField::ClockMs => read_once(&mut map, &mut clock_ms, "clock_ms")?,
                        ReplyField::Number => read_once(&mut map, &mut number, "number")?,
                        ReplyField::Since => read_once(&mut map, &mut since, "since")?,
                        ReplyField::Forgotten => read_once(&mut map, &mut forgotten, "forgotten")?,
                        ReplyField::Tasks => read_once(&mut map, &mut tasks, "tasks")?,
                        ReplyField::Other => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                Ok(HeartbeatReply {
                    worker: require(worker, "worker")?,
                    incarnation: require(incarnation, "incarnation")?,
                    clock_ms: require(clock_ms, "clock_ms")?,
                    // The next three fields are absent when the worker sends only complete reports.
                    number: number.flatten(),
                    since: since.flatten(),
                    forgotten: forgotten.unwrap_or_default(),
                    tasks: require(tasks, "tasks")?,
                })
            }
        }
        deserializer.deserialize_map(ReplyVisitor)
    }
}

impl<'de> Deserialize<'de> for ReportedTask {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct TaskVisitor;
        impl<'de> Visitor<'de> for TaskVisitor {
            type Value = ReportedTask;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a task of a worker's report")
            }

            fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<ReportedTask, M::Error> {
                let (mut task, mut attempt, mut reserved) = (None, None, None);
                let (mut used, mut phase) = (None, None);
                while let Some(field) = map.next_key()? {
                    match field {
                        TaskField::Task => read_once(&mut map, &mut task, "task")?,
                        TaskField::Attempt => read_once(&mut map, &mut attempt, "attempt")?,
                        TaskField::Reserved => read_once(&mut map, &mut reserved, "reserved")?,
                        TaskField::Used => read_once(&mut map, &mut used, "used")?,
                        TaskField::Phase => read_once(&mut map, &mut phase, "phase")?,
                        TaskField::Other => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                Ok(ReportedTask {
                    task: require(task, "task")?,
                    attempt: require(attempt, "attempt")?,
                    reserved: require(reserved, "reserved")?,
                    used: require(used, "used")?,
                    phase: require(phase, "phase")?,
                })
            }
        }
        deserializer.deserialize_map(TaskVisitor)
    }
}

/// Value of the `phase` field, the tag of [`TaskPhase`].
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum PhaseName {
    Running,
    Ended,
}

impl<'de> Deserialize<'de> for TaskPhase {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct PhaseVisitor;
        impl<'de> Visitor<'de> for PhaseVisitor {
            type Value = TaskPhase;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a task's phase")
            }

            fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<TaskPhase, M::Error> {
                let (mut phase, mut result) = (None, None);
                while let Some(field) = map.next_key()? {
                    match field {
                        PhaseField::Phase => read_once(&mut map, &mut phase, "phase")?,
                        PhaseField::Result => {
                            read_once::<TaskResult, M>(&mut map, &mut result, "result")?;
                        }
                        PhaseField::Other => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                match require(phase, "phase")? {
                    PhaseName::Running => Ok(TaskPhase::Running),
                    PhaseName::Ended => {
                        let result = require(result, "result")?;
                        Ok(TaskPhase::Ended { result })
                    }
                }
            }
        }
        deserializer.deserialize_map(PhaseVisitor)
    }
}
