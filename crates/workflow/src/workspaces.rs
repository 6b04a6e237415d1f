//! Limits of workspaces.
//!
//! Handles workspaces that have more work than their limit allows to run at once, up to hundreds of them at the same
//! time, each with thousands of waiting steps.
//!
//! The *usage* of a workspace is the need of all its runs that may be active, on any worker and in any phase, plus its
//! reservations. [`Worker::add_run`](crate::worker::Worker::add_run) and `remove_run` take the usage as an argument, so
//! that no run is added or removed without it. A run carries its workspace, because the job of a run that is still
//! stopping may be removed already. The *room* of a workspace is its limit less its usage. Every start and reservation
//! goes through [`Scheduler::startable_tasks`], which allows no more tasks than the room.
//!
//! A waiting step is *held* when its workspace has no room for it, or when it would take the room for which a held step
//! of the same workspace waits that comes first (see `limit_backfill`). Room that becomes free is thus left to the first
//! step, and a wide gang is not passed over by small steps forever. Two kinds of steps are set aside and hold up no other:
//! those that need more than the whole limit, and those that do not fit beside the endless runs of their workspace, because
//! the end of all other runs would not give them room.
//!
//! Held steps are not in the queue of waiting steps: a decision does not visit them, they do not block steps of other
//! workspaces, request no advice and are not in the published backlog. They return to the queue, as many as the room
//! allows, in the next decision after the usage or the limit of their workspace has changed.

use {
    crate::{
        Scheduler, StepKey, WorkspacePolicy, limit_backfill::LimitBackfill, waiting::WaitingStep,
        worker::slots_in,
    },
    ragwortreel_model::{JobId, Resources, Workspace},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
    },
};

mod held_steps;
mod limit_check;
#[cfg(test)]
mod tests;

pub use limit_check::LimitError;

/// Room without a limit.
pub(crate) const UNLIMITED: Resources = Resources::new(u64::MAX, u64::MAX, u64::MAX);

/// Configured workspaces, as far as the leader knows them.
#[derive(Debug, Default)]
enum Configuration {
    /// Not read yet; jobs of workspaces wait, because their limits are unknown.
    #[default]
    Unknown,
    /// The cell has no workspaces, and nothing is limited.
    Disabled,
    /// Policies by workspace.
    Enabled(BTreeMap<Workspace, WorkspacePolicy>),
}

/// Usage and limits of all workspaces, and the steps that wait for room.
#[derive(Debug, Default)]
pub(crate) struct Workspaces {
    configuration: Configuration,
    /// Last policies of workspaces that the configuration no longer contains but that have jobs or usage.
    former_policies: BTreeMap<Workspace, WorkspacePolicy>,
    /// Smallest limit of all configured workspaces in each dimension; applies to workspaces without a policy.
    smallest_limit: Resources,
    /// Workspaces without runs and reservations are left out.
    usage: BTreeMap<Workspace, Resources>,
    /// Part of the usage that is of endless runs; workspaces without any are left out.
    endless_usage: BTreeMap<Workspace, Resources>,
    /// Steps that wait for room; no value is empty.
    held: BTreeMap<Workspace, BTreeSet<WaitingStep>>,
    /// Steps that can never start under the present limit; they hold up no other step and return to the queue when the
    /// limits change. No value is empty.
    oversized: BTreeMap<Workspace, BTreeSet<WaitingStep>>,
    /// Steps that do not fit beside the endless runs of their workspace; they hold up no other step. No value is empty.
    beside_endless: BTreeMap<Workspace, BTreeSet<WaitingStep>>,
    /// Room that first held steps keep, and what may use it meanwhile.
    pub(crate) backfill: LimitBackfill,
    /// Workspaces of which an endless run is gone since the last decision.
    ended_endless: BTreeSet<Workspace>,
    /// Workspaces of which held steps may have room since the last decision.
    changed: BTreeSet<Workspace>,
    /// Time of the next search for held steps whose rank has changed, in ms.
    next_rerank_ms: u64,
    notices: Vec<WorkspaceNotice>,
}

/// Most notices that wait to be taken; further ones are dropped. Far more than one decision yields at 170 starts/s.
const MAX_NOTICES: usize = 1_024;

/// Decision about a job of a workspace, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkspaceNotice {
    /// The job is over the share of its workspace and comes after others.
    OverShare(JobId, Workspace),
    /// The step waits for the limit of its workspace; told once for each step.
    WaitsForLimit(StepKey, Workspace),
    /// The step needs more than the limit of its workspace and waits until it is raised; told once for each step.
    ExceedsLimit(StepKey, Workspace),
}

/// Usage and waiting steps of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSummary {
    /// Name of the workspace.
    pub workspace: Workspace,
    /// Resources of all runs that may be active, and of reservations.
    pub usage: Resources,
    /// Number of steps that wait for the workspace's limit.
    pub held_steps: usize,
}

/// Room of a workspace.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WorkspaceRoom {
    /// Resources that further runs may use.
    pub(crate) left: Resources,
    /// Resources of all runs and reservations.
    pub(crate) usage: Resources,
}

/// Why a step is not tried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hold {
    /// The workspace has too little room at present.
    NoRoom,
    /// The step needs more than the whole limit.
    Oversized,
    /// The step needs more than endless runs of the workspace leave of the limit.
    EndlessRuns,
}

impl Workspaces {
    /// Adds the need of a run or of a reservation.
    pub(crate) fn add_usage(&mut self, workspace: Option<&Workspace>, need: Resources) {
        if let Some(workspace) = workspace {
            *self.usage.entry(workspace.clone()).or_default() += need;
        }
    }

    /// Subtracts the need of a run that is gone or of a released reservation.
    pub(crate) fn remove_usage(&mut self, workspace: Option<&Workspace>, need: Resources) {
        let Some(workspace) = workspace else {
            return;
        };
        if let Some(usage) = self.usage.get_mut(workspace) {
            *usage = usage.saturating_sub(&need);
            if *usage == Resources::ZERO {
                self.usage.remove(workspace);
            }
        }
        self.mark_changed(workspace);
    }

    /// Adds the need of an endless run to that part of the usage.
    pub(crate) fn add_endless_usage(&mut self, workspace: Option<&Workspace>, need: Resources) {
        if let Some(workspace) = workspace {
            *self.endless_usage.entry(workspace.clone()).or_default() += need;
            // A step that holds up others may no longer fit.
            self.mark_changed(workspace);
        }
    }

    /// Subtracts the need of an endless run that is gone from that part of the usage.
    pub(crate) fn remove_endless_usage(&mut self, workspace: Option<&Workspace>, need: Resources) {
        let Some(workspace) = workspace else {
            return;
        };
        if let Some(usage) = self.endless_usage.get_mut(workspace) {
            *usage = usage.saturating_sub(&need);
            if *usage == Resources::ZERO {
                self.endless_usage.remove(workspace);
            }
        }
        if self.beside_endless.contains_key(workspace) {
            self.ended_endless.insert(workspace.clone());
        }
    }

    /// Whether a need exceeds what endless runs leave of the workspace's limit.
    fn exceeds_limit_beside_endless(&self, workspace: &Workspace, need: &Resources) -> bool {
        self.endless_usage.get(workspace).is_some_and(|endless| {
            let limit = unlimited_where_zero(self.limit(workspace));
            !need.fits_in(&limit.saturating_sub(endless))
        })
    }

    /// Has the held steps of a workspace tried in the next decision.
    fn mark_changed(&mut self, workspace: &Workspace) {
        if self.held.contains_key(workspace) {
            self.changed.insert(workspace.clone());
        }
    }

    /// Replaces the policies; keeps those of removed workspaces for which `in_use` is true.
    fn set_policies(
        &mut self,
        policies: Option<BTreeMap<Workspace, WorkspacePolicy>>,
        in_use: &BTreeSet<Workspace>,
    ) {
        let mut former = mem::take(&mut self.former_policies);
        if let Configuration::Enabled(policies) = mem::take(&mut self.configuration) {
            former.extend(policies);
        }
        self.configuration = Configuration::Disabled;
        if let Some(policies) = policies {
            former.retain(|it, _| in_use.contains(it) && !policies.contains_key(it));
            self.former_policies = former;
            self.smallest_limit = smallest_limit(policies.values());
            self.configuration = Configuration::Enabled(policies);
        }
    }

    /// Whether these are the configured policies.
    fn has_policies(&self, policies: Option<&BTreeMap<Workspace, WorkspacePolicy>>) -> bool {
        match &self.configuration {
            Configuration::Unknown => false,
            Configuration::Disabled => policies.is_none(),
            Configuration::Enabled(current) => Some(current) == policies,
        }
    }

    /// Takes all steps that wait for room.
    fn take_held(&mut self) -> impl Iterator<Item = WaitingStep> {
        let held = mem::take(&mut self.held).into_values();
        let oversized = mem::take(&mut self.oversized).into_values();
        let beside_endless = mem::take(&mut self.beside_endless).into_values();
        held.chain(oversized).chain(beside_endless).flatten()
    }

    /// Whether it is known which workspaces are configured, if any.
    pub(crate) const fn is_known(&self) -> bool {
        !matches!(self.configuration, Configuration::Unknown)
    }

    /// Whether the cell has workspaces.
    pub(crate) const fn is_enabled(&self) -> bool {
        matches!(self.configuration, Configuration::Enabled(_))
    }

    /// Policy of a configured workspace.
    pub(crate) fn policy(&self, workspace: &Workspace) -> Option<&WorkspacePolicy> {
        match &self.configuration {
            Configuration::Unknown | Configuration::Disabled => None,
            Configuration::Enabled(policies) => policies.get(workspace),
        }
    }

    /// Limit of a workspace, with 0 for no limit.
    fn limit(&self, workspace: &Workspace) -> Resources {
        let policy = self.policy(workspace);
        let policy = policy.or_else(|| self.former_policies.get(workspace));
        policy.map_or(self.smallest_limit, |it| it.limit)
    }

    /// Resources that further runs of a workspace may use.
    fn room(&self, workspace: &Workspace) -> Resources {
        match self.configuration {
            Configuration::Unknown => return Resources::ZERO,
            Configuration::Disabled => return UNLIMITED,
            Configuration::Enabled(_) => {}
        }
        let usage = self.usage.get(workspace).copied().unwrap_or_default();
        unlimited_where_zero(self.limit(workspace)).saturating_sub(&usage)
    }

    /// Whether a need exceeds the configured limit of the workspace; false for a workspace that is not configured.
    fn exceeds_limit(&self, workspace: &Workspace, need: &Resources) -> bool {
        let policy = self.policy(workspace);
        policy.is_some_and(|policy| !is_within(need, policy))
    }

    /// Room of a workspace with its usage.
    pub(crate) fn whole_room(&self, workspace: &Workspace) -> WorkspaceRoom {
        let usage = self.usage.get(workspace).copied().unwrap_or_default();
        WorkspaceRoom {
            left: self.room(workspace),
            usage,
        }
    }

    /// Steps of a workspace that wait for room.
    pub(crate) fn held_of(&self, workspace: &Workspace) -> Option<&BTreeSet<WaitingStep>> {
        self.held.get(workspace)
    }

    /// Takes out a step that may start although the first one waits.
    pub(crate) fn take_held_step(&mut self, workspace: &Workspace, entry: &WaitingStep) {
        if let Some(held) = self.held.get_mut(workspace) {
            held.remove(entry);
        }
    }

    /// First step of each workspace that waits for room.
    pub(crate) fn first_held(&self) -> impl Iterator<Item = (&Workspace, &WaitingStep)> {
        let first = |(workspace, held)| Some((workspace, BTreeSet::first(held)?));
        self.held.iter().filter_map(first)
    }

    /// First step of a workspace that waits for room, if it comes before a step.
    pub(crate) fn first_before(
        &self,
        workspace: &Workspace,
        entry: &WaitingStep,
    ) -> Option<&WaitingStep> {
        let first = self.held.get(workspace).and_then(BTreeSet::first);
        first.filter(|first| *first < entry)
    }

    /// Room for a step whose tasks end at a time in ms.
    fn room_for(
        &self,
        workspace: &Workspace,
        entry: &WaitingStep,
        end_ms: impl FnOnce() -> u64,
    ) -> Resources {
        let room = self.room(workspace);
        let Some((_, first)) = self.first_before(workspace, entry) else {
            return room;
        };
        let behind = (self.backfill).room_behind(workspace, first, &room, end_ms());
        behind.map_or(Resources::ZERO, |(_, room)| room)
    }

    /// Whether a step has to wait for its workspace; `need` is the least that it takes to start.
    fn hold_reason(
        &self,
        workspace: &Workspace,
        entry: &WaitingStep,
        need: &Resources,
        end_ms: impl FnOnce() -> u64,
    ) -> Option<Hold> {
        if self.exceeds_limit(workspace, need) {
            return Some(Hold::Oversized);
        }
        if self.exceeds_limit_beside_endless(workspace, need) {
            return Some(Hold::EndlessRuns);
        }
        let room = self.room_for(workspace, entry, end_ms);
        (!need.fits_in(&room)).then_some(Hold::NoRoom)
    }

    /// Removes a step that no longer waits, or that is to be queued again.
    pub(crate) fn remove_held(&mut self, workspace: Option<&Workspace>, entry: &WaitingStep) {
        let Some(workspace) = workspace else {
            return;
        };
        let Self {
            held,
            oversized,
            beside_endless,
            ..
        } = self;
        for steps in [held, oversized, beside_endless] {
            if let Some(of_workspace) = steps.get_mut(workspace) {
                of_workspace.remove(entry);
                if of_workspace.is_empty() {
                    steps.remove(workspace);
                }
            }
        }
        // The steps behind this one may have room.
        self.mark_changed(workspace);
    }

    /// Adds a notice unless too many wait.
    pub(crate) fn notify(&mut self, notice: WorkspaceNotice) {
        if self.notices.len() < MAX_NOTICES {
            self.notices.push(notice);
        }
    }

    /// Steps that wait for room.
    pub(crate) fn held_steps(&self) -> impl Iterator<Item = &WaitingStep> {
        self.held.values().flatten()
    }

    /// Steps that are set aside, which no other step waits for.
    pub(crate) fn set_aside_steps(&self) -> impl Iterator<Item = &WaitingStep> {
        let beside_endless = self.beside_endless.values();
        self.oversized.values().chain(beside_endless).flatten()
    }
}

/// Smallest limit in each dimension; 0, for no limit, if none is set.
fn smallest_limit<'a>(policies: impl Iterator<Item = &'a WorkspacePolicy>) -> Resources {
    let smaller = |a: u64, b: u64| if a == 0 || (b > 0 && b < a) { b } else { a };
    policies.fold(Resources::ZERO, |least, policy| {
        least.zip_with(&policy.limit, smaller)
    })
}

/// Limit with 0, which means no limit, replaced by the largest value.
fn unlimited_where_zero(limit: Resources) -> Resources {
    limit.map(|it| if it == 0 { u64::MAX } else { it })
}

fn is_within(need: &Resources, policy: &WorkspacePolicy) -> bool {
    need.fits_in(&unlimited_where_zero(policy.limit))
}

impl crate::Step {
    /// Fewest tasks with which the step can start: all tasks of a gang, else one.
    pub(crate) const fn least_tasks(&self) -> u32 {
        if self.gang { self.tasks } else { 1 }
    }

    /// Needs of [`least_tasks`](Self::least_tasks); `None` if the sum exceeds the range.
    pub(crate) fn least_need(&self) -> Option<Resources> {
        self.need.checked_mul(u64::from(self.least_tasks()))
    }
}

impl Scheduler {
    /// Replaces the shares and limits of the workspaces; `None` for a cell without workspaces. Before the first call,
    /// no job of a workspace starts.
    pub fn set_workspaces(&mut self, policies: Option<BTreeMap<Workspace, WorkspacePolicy>>) {
        if self.workspaces.has_policies(policies.as_ref()) {
            return;
        }
        let of_jobs = (self.jobs.values()).filter_map(|job| job.request.workspace.clone());
        let mut in_use: BTreeSet<Workspace> = of_jobs.collect();
        in_use.extend(self.workspaces.usage.keys().cloned());
        self.workspaces.set_policies(policies, &in_use);
        self.workspaces.backfill.clear();
        let is_configured = |it: &Workspace| self.workspaces.policy(it).is_some();
        self.fair_share.retain(is_configured);
        // All held steps are tried again, because other ones may be beyond the limits now.
        for entry in self.workspaces.take_held().collect::<Vec<_>>() {
            self.enqueue(entry);
        }
    }

    /// Resources of all runs and reservations of a workspace.
    #[must_use]
    pub fn workspace_usage(&self, workspace: &Workspace) -> Resources {
        let usage = self.workspaces.usage.get(workspace);
        usage.copied().unwrap_or_default()
    }

    /// Decisions about jobs of workspaces since the last call.
    pub fn take_workspace_notices(&mut self) -> Vec<WorkspaceNotice> {
        mem::take(&mut self.workspaces.notices)
    }

    /// Usage and waiting steps of all configured workspaces.
    #[must_use]
    pub fn workspace_summaries(&self) -> Vec<WorkspaceSummary> {
        let Configuration::Enabled(policies) = &self.workspaces.configuration else {
            return Vec::new();
        };
        let held = &self.workspaces.held;
        let summary = |workspace: &Workspace| WorkspaceSummary {
            workspace: workspace.clone(),
            usage: self.workspace_usage(workspace),
            held_steps: held.get(workspace).map_or(0, BTreeSet::len),
        };
        policies.keys().map(summary).collect()
    }

    /// Number of waiting tasks of a step that the room of its workspace allows; for a gang all or none.
    ///
    /// The step must have no reservations, because these count as usage.
    pub(crate) fn startable_tasks(&self, key: &StepKey) -> usize {
        let job = self.jobs.get(&key.job);
        let Some((job, step)) = job.and_then(|job| Some((job, job.step(key)?))) else {
            return 0;
        };
        let waiting = step.waiting_tasks();
        let Some(workspace) = &job.request.workspace else {
            return waiting;
        };
        let spec = job.spec(key);
        let room = match step.rank {
            Some(rank) => {
                let end_ms = || self.expected_reuse_ms(job, key);
                (self.workspaces).room_for(workspace, &(rank, key.clone()), end_ms)
            }
            None => self.workspaces.room(workspace),
        };
        let fitting = slots_in(&spec.need, &room, spec.tasks) as usize;
        if spec.gang && fitting < waiting {
            0
        } else {
            fitting.min(waiting)
        }
    }
}
