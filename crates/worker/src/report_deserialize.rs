//! Hand-written deserialisation of the heartbeat's reply.
//!
//! Each owner parses the replies of all workers of its pool; a complete one has all tasks of the worker. The derived form of [`TaskPhase`], an
//! enum tagged from within, first copies its fields into an intermediate tree; these visitors read it in one pass. They
//! judge every object as the derived form does, which a test compares. Arrays in place of objects, which the derived
//! form also accepts, are refused.

use {
    crate::api::{HeartbeatReply, ReportedTask, TaskPhase},
    ragwortreel_model::TaskResult,
    serde::{
        Deserialize, Deserializer,
        de::{Error, IgnoredAny, MapAccess, Visitor},
    },
    std::fmt,
};

/// Declares the names of a map's fields; any other name is ignored.
macro_rules! field_names {
    ($name:ident { $($variant:ident = $text:literal),* }) => {
        enum $name { $($variant,)* Other }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                struct NameVisitor;
                impl Visitor<'_> for NameVisitor {
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
                deserializer.deserialize_identifier(NameVisitor)
            }
        }
    };
}

field_names!(ReplyField {
    Worker = "worker",
    Incarnation = "incarnation",
    ClockMs = "clock_ms",
    Number = "number",
    Since = "since",
    Forgotten = "forgotten",
    Tasks = "tasks"
});
field_names!(TaskField {
    Task = "task",
    Attempt = "attempt",
    Reserved = "reserved",
    Used = "used",
    Phase = "phase"
});
field_names!(PhaseField { Phase = "phase", Result = "result" });

/// Reads a field's value, unless the field came before.
fn read<'de, T: Deserialize<'de>, M: MapAccess<'de>>(
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

fn need<T, E: Error>(field: Option<T>, name: &'static str) -> Result<T, E> {
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
                        ReplyField::Worker => read(&mut map, &mut worker, "worker")?,
                        ReplyField::Incarnation => {
                            read(&mut map, &mut incarnation, "incarnation")?;
                        }
                        ReplyField::ClockMs => read(&mut map, &mut clock_ms, "clock_ms")?,
                        ReplyField::Number => read(&mut map, &mut number, "number")?,
                        ReplyField::Since => read(&mut map, &mut since, "since")?,
                        ReplyField::Forgotten => read(&mut map, &mut forgotten, "forgotten")?,
                        ReplyField::Tasks => read(&mut map, &mut tasks, "tasks")?,
                        ReplyField::Other => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                Ok(HeartbeatReply {
                    worker: need(worker, "worker")?,
                    incarnation: need(incarnation, "incarnation")?,
                    clock_ms: need(clock_ms, "clock_ms")?,
                    // These three are absent in the replies of workers that send only complete reports.
                    number: number.flatten(),
                    since: since.flatten(),
                    forgotten: forgotten.unwrap_or_default(),
                    tasks: need(tasks, "tasks")?,
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
                        TaskField::Task => read(&mut map, &mut task, "task")?,
                        TaskField::Attempt => read(&mut map, &mut attempt, "attempt")?,
                        TaskField::Reserved => read(&mut map, &mut reserved, "reserved")?,
                        TaskField::Used => read(&mut map, &mut used, "used")?,
                        TaskField::Phase => read(&mut map, &mut phase, "phase")?,
                        TaskField::Other => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                Ok(ReportedTask {
                    task: need(task, "task")?,
                    attempt: need(attempt, "attempt")?,
                    reserved: need(reserved, "reserved")?,
                    used: need(used, "used")?,
                    phase: need(phase, "phase")?,
                })
            }
        }
        deserializer.deserialize_map(TaskVisitor)
    }
}

/// Value of the field that tells the phases apart.
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
                        PhaseField::Phase => read(&mut map, &mut phase, "phase")?,
                        PhaseField::Result => {
                            read::<TaskResult, M>(&mut map, &mut result, "result")?;
                        }
                        PhaseField::Other => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                match need(phase, "phase")? {
                    PhaseName::Running => Ok(TaskPhase::Running),
                    PhaseName::Ended => {
                        let result = need(result, "result")?;
                        Ok(TaskPhase::Ended { result })
                    }
                }
            }
        }
        deserializer.deserialize_map(PhaseVisitor)
    }
}
