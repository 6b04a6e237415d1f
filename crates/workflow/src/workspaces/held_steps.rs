//! Steps that wait for the limit of their workspace: when they are taken out of the queue, and when they return to it.

use {
    super::{Hold, UNLIMITED},
    crate::{Scheduler, StepKey, WorkspaceNotice, waiting::WaitingStep, worker::slots_in},
    ragwortreel_model::{JobId, Workspace},
    std::{collections::BTreeSet, mem},
};

/// Interval between two searches for held steps whose rank has changed, in ms. A search visits the first held step of each
/// workspace.
const RERANK_INTERVAL_MS: u64 = 100;

impl Scheduler {
    /// Takes a waiting step out of the queue if it has to wait for its workspace. Returns whether the step is not to be tried.
    ///
    /// A step that can never start under the present limit waits, too: its job was accepted under another limit, and the
    /// operator may restore that.
    pub(crate) fn hold_at_limit(&mut self, key: &StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return true;
        };
        let (Some(workspace), Some(step)) = (&job.request.workspace, job.step(key)) else {
            return false;
        };
        let Some(rank) = step.rank else {
            return true;
        };
        if !step.reservations.is_empty() {
            return false;
        }
        let entry = (rank, key.clone());
        let need = job.spec(key).least_need().unwrap_or(UNLIMITED);
        let end_ms = || self.expected_reuse_ms(job, key);
        let Some(hold) = (self.workspaces).hold_reason(workspace, &entry, &need, end_ms) else {
            return false;
        };
        let workspace = workspace.clone();
        let steps = match hold {
            Hold::NoRoom => &mut self.workspaces.held,
            Hold::Oversized => &mut self.workspaces.oversized,
            Hold::EndlessRuns => &mut self.workspaces.beside_endless,
        };
        (steps.entry(workspace.clone()).or_default()).insert(entry.clone());
        self.dequeue(&entry);
        if let Some(step) = self.step_mut(key) {
            let is_oversized = hold == Hold::Oversized;
            let was_told = if is_oversized {
                mem::replace(&mut step.has_exceeded_limit, true)
            } else {
                mem::replace(&mut step.has_waited_for_limit, true)
            };
            let notice = if is_oversized {
                WorkspaceNotice::ExceedsLimit
            } else {
                WorkspaceNotice::WaitsForLimit
            };
            if !was_told {
                self.workspaces.notify(notice(key.clone(), workspace));
            }
        }
        true
    }

    /// Moves a first held step whose class has changed with time to its new place in the order. A step that has become
    /// late or worthless would otherwise hold up all later steps of its workspace.
    fn rerank_held_steps(&mut self) {
        if self.now_ms < self.workspaces.next_rerank_ms {
            return;
        }
        self.workspaces.next_rerank_ms = self.now_ms + RERANK_INTERVAL_MS;
        let is_stale = |(_, held): &(&Workspace, &BTreeSet<WaitingStep>)| {
            held.first().is_some_and(|(rank, key)| {
                let job = self.jobs.get(&key.job);
                job.is_some_and(|job| job.rank(key, self.now_ms) != *rank)
            })
        };
        let stale: Vec<(Workspace, JobId)> = (self.workspaces.held.iter())
            .filter(is_stale)
            .filter_map(|(workspace, held)| Some((workspace.clone(), held.first()?.1.job.clone())))
            .collect();
        for (workspace, job) in stale {
            self.update_waiting_steps(&job);
            self.workspaces.changed.insert(workspace);
        }
    }

    /// Puts the held steps for which their workspace has room now back into the queue of waiting steps.
    pub(crate) fn release_held_steps(&mut self) {
        self.rerank_held_steps();
        self.forecast_limits();
        for workspace in mem::take(&mut self.workspaces.ended_endless) {
            let steps = self.workspaces.beside_endless.remove(&workspace);
            for entry in steps.into_iter().flatten() {
                self.enqueue(entry);
            }
        }
        for workspace in mem::take(&mut self.workspaces.changed) {
            let Some(mut held) = self.workspaces.held.remove(&workspace) else {
                continue;
            };
            let whole_room = self.workspaces.room(&workspace);
            let mut room = whole_room;
            while let Some(entry) = held.first() {
                let Some(job) = self.jobs.get(&entry.1.job) else {
                    break;
                };
                let spec = job.spec(&entry.1);
                let least = spec.least_need().unwrap_or(UNLIMITED);
                // Steps that are to be set aside do not use the room.
                let is_set_aside = self.workspaces.exceeds_limit(&workspace, &least)
                    || (self.workspaces).exceeds_limit_beside_endless(&workspace, &least);
                if !is_set_aside && !least.fits_in(&room) {
                    // Steps released before may leave the room unused, for example because no worker suits them.
                    if least.fits_in(&whole_room) {
                        self.workspaces.changed.insert(workspace.clone());
                    }
                    break;
                }
                if !is_set_aside {
                    let tasks = slots_in(&spec.need, &room, spec.tasks);
                    let taken = spec.need.checked_mul(u64::from(tasks)).unwrap_or(room);
                    room = room.saturating_sub(&taken);
                }
                if let Some(entry) = held.pop_first() {
                    self.enqueue(entry);
                }
            }
            if !held.is_empty() {
                self.workspaces.held.insert(workspace, held);
            }
        }
        self.release_backfilled_steps();
    }
}
