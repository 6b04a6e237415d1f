//! Room within the limit of a workspace that later steps use while the first held step waits.
//!
//! The load is a wide gang, or a large task, that needs more of the limit than long runs of the workspace leave, and small
//! jobs that come meanwhile. The room that is free now is of no use to the step until enough of the runs have ended.
//! Therefore, as for the room of the workers (see `gang_room`), it is kept from the time on at which the step is expected
//! to start: a later step may start if there is room for it now, and
//!
//! - it ends before that time, or
//! - it fits *beside* the held step then. The room beside it is what the limit leaves after the step's need, the runs that
//!   last longer, and all that was started beside it before.
//!
//! Run times can be estimated wrongly, so runs that were started this way do not put off that time: once the runs that
//! were active before have ended, nothing more is started to end before the held step. So the step starts at the latest
//! when the last of these has ended and the longest task that was started meanwhile, however many small jobs come.

use {
    crate::{
        Scheduler, StepKey,
        waiting::WaitingStep,
        worker::{Run, slots_in},
        workspaces::{UNLIMITED, WorkspaceRoom},
    },
    ragwortreel_model::{Resources, Workspace},
    std::{
        collections::{BTreeMap, BTreeSet},
        ops::Bound::{Excluded, Unbounded},
    },
};

/// Interval between two forecasts, in ms. Each visits all runs. Until the next one, nothing is started behind a step that has
/// become the first held one of its workspace.
const FORECAST_INTERVAL_MS: u64 = 250;
/// Expected time until reservations of gangs are used or released, in ms.
const RESERVATION_MS: u64 = 3_000;
/// Most held steps of a workspace that are checked after a forecast; the next check goes on behind them.
const MAX_CHECKED_STEPS: usize = 128;
/// Number of held steps after whose check a decision checks those of no further workspace.
const MAX_CHECKED_IN_DECISION: usize = 256;

/// Reason for which a run could be started while an earlier step of its workspace was held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Backfill {
    /// The run is to end before the held step starts.
    Before,
    /// The run fits beside the held step.
    Beside,
}

/// Room that the first held step of a workspace waits for.
#[derive(Debug)]
struct KeptRoom {
    /// First held step.
    step: StepKey,
    /// Expected start of the step, in ms.
    start_ms: u64,
    /// Room beside the step at that time.
    beside: Resources,
}

/// Rooms that the first held steps wait for, and where the next checks of held steps go on.
#[derive(Debug, Default)]
pub(crate) struct LimitBackfill {
    kept: BTreeMap<Workspace, KeptRoom>,
    /// Time of the next forecast, in ms.
    due_ms: u64,
    /// Workspaces whose held steps are to be checked.
    unchecked: BTreeSet<Workspace>,
    /// Workspace that was checked last; the next one is that behind it.
    last_checked: Option<Workspace>,
    /// Held steps after which the next checks go on, for workspaces of which not all were checked.
    checked: BTreeMap<Workspace, WaitingStep>,
}

impl LimitBackfill {
    /// Forgets all forecasts, because limits have changed.
    pub(crate) fn clear(&mut self) {
        self.kept.clear();
        self.due_ms = 0;
    }

    /// How a task that is expected to end at a time in ms may run while a step is held, and the room for such tasks;
    /// `None` if nothing is known about the room that the step waits for.
    pub(crate) fn room_behind(
        &self,
        workspace: &Workspace,
        held: &StepKey,
        room: &Resources,
        end_ms: u64,
    ) -> Option<(Backfill, Resources)> {
        let kept = self.kept.get(workspace).filter(|it| it.step == *held)?;
        Some(if end_ms <= kept.start_ms {
            (Backfill::Before, *room)
        } else {
            let beside = room.zip_with(&kept.beside, u64::min);
            (Backfill::Beside, beside)
        })
    }

    /// Takes the next workspace to be checked.
    fn next_unchecked(&mut self) -> Option<Workspace> {
        let begin = self.last_checked.as_ref().map_or(Unbounded, Excluded);
        let behind = self.unchecked.range((begin, Unbounded)).next();
        let next = behind.or_else(|| self.unchecked.first())?.clone();
        self.unchecked.remove(&next);
        self.last_checked = Some(next.clone());
        Some(next)
    }

    /// Subtracts the resources of tasks that were started beside a held step.
    pub(crate) fn take_beside(&mut self, workspace: &Workspace, taken: &Resources) {
        if let Some(kept) = self.kept.get_mut(workspace) {
            kept.beside = kept.beside.saturating_sub(taken);
        }
    }
}

/// Expected ends of the runs of a workspace.
#[derive(Debug, Default)]
struct Ends {
    /// Times in ms, and the resources that become free then.
    releases: Vec<(u64, Resources)>,
    /// Resources of all runs.
    all: Resources,
    /// Resources of runs that were started beside a held step, and that therefore need not end before it starts.
    beside: Vec<(u64, Resources)>,
}

impl Ends {
    fn add(&mut self, run: &Run, now_ms: u64) {
        self.all += run.need;
        let Some(end_ms) = run.expected_end_ms(now_ms) else {
            return;
        };
        match run.backfill {
            Some(Backfill::Beside) => self.beside.push((end_ms, run.need)),
            // Such a run does not put off the start of the held step, before which further runs are to end.
            Some(Backfill::Before) => self.releases.push((now_ms, run.need)),
            None => self.releases.push((end_ms, run.need)),
        }
    }

    /// Time in ms at which a need fits, and the room beside it then. `room` is that of the workspace.
    fn fit(&mut self, need: &Resources, room: &WorkspaceRoom, now_ms: u64) -> (u64, Resources) {
        let reserved = room.usage.saturating_sub(&self.all);
        self.releases.push((now_ms + RESERVATION_MS, reserved));
        let mut left = room.left;
        let mut start_ms = None;
        // The step need not wait for runs beside it, unless another step was the first one when they were started.
        for releases in [&mut self.releases, &mut self.beside] {
            releases.sort_unstable_by_key(|(end_ms, _)| *end_ms);
            for (end_ms, released) in releases {
                // Runs that end at nearly the same time make room together.
                if start_ms.is_some_and(|start_ms| *end_ms > start_ms + FORECAST_INTERVAL_MS) {
                    break;
                }
                // An unlimited resource stays unlimited.
                left = left.zip_with(released, u64::saturating_add);
                if start_ms.is_none() && need.fits_in(&left) {
                    start_ms = Some(*end_ms);
                }
            }
            if let Some(start_ms) = start_ms {
                return (start_ms, left.saturating_sub(need));
            }
        }
        (now_ms, Resources::ZERO)
    }
}

impl Scheduler {
    /// Forecasts for each workspace when its first held step can start, and what fits beside it then, if that is due.
    pub(crate) fn forecast_limits(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.workspaces.backfill.due_ms {
            return;
        }
        self.workspaces.backfill.due_ms = now_ms + FORECAST_INTERVAL_MS;
        let mut ends: BTreeMap<Workspace, (StepKey, Ends)> = (self.workspaces.first_held())
            .map(|(workspace, (_, key))| (workspace.clone(), (key.clone(), Ends::default())))
            .collect();
        if !ends.is_empty() {
            for run in self.workers.values().flat_map(|it| it.runs.values()) {
                let of_workspace = run.workspace.as_ref().and_then(|it| ends.get_mut(it));
                if let Some((_, ends)) = of_workspace {
                    ends.add(run, now_ms);
                }
            }
        }
        let (mut kept, mut unchecked) = (BTreeMap::new(), BTreeSet::new());
        for (workspace, (step, mut ends)) in ends {
            let Some(job) = self.jobs.get(&step.job) else {
                continue;
            };
            let need = job.spec(&step).least_need().unwrap_or(UNLIMITED);
            let room = self.workspaces.whole_room(&workspace);
            let (start_ms, beside) = ends.fit(&need, &room, now_ms);
            if room.left.milli_cores > 0 {
                unchecked.insert(workspace.clone());
            }
            kept.insert(
                workspace,
                KeptRoom {
                    step,
                    start_ms,
                    beside,
                },
            );
        }
        let backfill = &mut self.workspaces.backfill;
        (backfill.checked).retain(|workspace, _| kept.contains_key(workspace));
        backfill.unchecked = unchecked;
        backfill.kept = kept;
    }

    /// Puts held steps that may start although the first one waits back into the queue of waiting steps.
    pub(crate) fn release_backfilled_steps(&mut self) {
        let mut checked = 0;
        while checked < MAX_CHECKED_IN_DECISION
            && let Some(workspace) = self.workspaces.backfill.next_unchecked()
        {
            for entry in self.backfilled_steps(&workspace, &mut checked) {
                self.workspaces.take_held_step(&workspace, &entry);
                self.enqueue(entry);
            }
        }
    }

    /// Held steps of a workspace that may start although the first one waits. Adds the number of steps that were checked.
    fn backfilled_steps(&mut self, workspace: &Workspace, checks: &mut usize) -> Vec<WaitingStep> {
        let backfill = &self.workspaces.backfill;
        let mut room = self.workspaces.whole_room(workspace).left;
        let first = self.workspaces.held_of(workspace).and_then(BTreeSet::first);
        let Some((held, first)) = self.workspaces.held_of(workspace).zip(first) else {
            return Vec::new();
        };
        if room.milli_cores == 0 || !backfill.kept.contains_key(workspace) {
            return Vec::new();
        }
        let after = backfill.checked.get(workspace).unwrap_or(first).max(first);
        let steps = held.range((Excluded(after), Unbounded));
        let (mut found, mut last, mut taken_beside) = (Vec::new(), None, Resources::ZERO);
        for entry in steps.take(MAX_CHECKED_STEPS) {
            *checks += 1;
            last = Some(entry);
            let Some(job) = self.jobs.get(&entry.1.job) else {
                continue;
            };
            let spec = job.spec(&entry.1);
            let Some(need) = spec.least_need().filter(|need| need.fits_in(&room)) else {
                continue;
            };
            let end_ms = self.expected_reuse_ms(job, &entry.1);
            let Some((kind, mut behind)) = backfill.room_behind(workspace, &first.1, &room, end_ms)
            else {
                break;
            };
            if kind == Backfill::Beside {
                behind = behind.saturating_sub(&taken_beside);
            }
            if !need.fits_in(&behind) {
                continue;
            }
            let tasks = slots_in(&spec.need, &behind, spec.tasks);
            let taken = spec.need.checked_mul(u64::from(tasks)).unwrap_or(behind);
            room = room.saturating_sub(&taken);
            if kind == Backfill::Beside {
                taken_beside += taken;
            }
            found.push(entry.clone());
        }
        let last = last.filter(|last| held.last() != Some(last)).cloned();
        let checked = &mut self.workspaces.backfill.checked;
        match last {
            Some(last) => drop(checked.insert(workspace.clone(), last)),
            None => drop(checked.remove(workspace)),
        }
        found
    }

    /// How the tasks of a step are started while another step of the workspace is held; `None` if no step before it is.
    pub(crate) fn backfill_of(&self, key: &StepKey) -> Option<Backfill> {
        let job = self.jobs.get(&key.job)?;
        let workspace = job.request.workspace.as_ref()?;
        let entry = (job.step(key)?.rank?, key.clone());
        let (room, end_ms) = (UNLIMITED, self.expected_reuse_ms(job, key));
        let first = self.workspaces.first_before(workspace, &entry)?;
        let behind = (self.workspaces.backfill).room_behind(workspace, &first.1, &room, end_ms);
        behind.map(|(kind, _)| kind)
    }
}
