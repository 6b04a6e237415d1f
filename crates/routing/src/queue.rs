//! Waiting requests of one class, scheduled over workspaces by deficit round robin.
//!
//! Each turn adds credit in proportion to the workspace's weight, and a request costs its estimated run time. While
//! two workspaces both have waiting requests, the run time served per unit of weight differs by at most one request of
//! each. Within a workspace, the request with the earliest `start_by_ms` goes first.

use {
    ragwortreel_model::Workspace,
    std::collections::{BTreeMap, VecDeque},
};

/// Identifier of a waiting request.
pub type WaitId = u64;

/// Sort key of a waiting request within its workspace's queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// Latest start at which the request is expected to meet its deadline, in ms.
    pub start_by_ms: u64,
    /// Breaks ties in order of arrival.
    pub id: WaitId,
}

#[derive(Debug)]
struct WorkspaceQueue {
    /// Estimated run time of each request, in ms.
    entries: BTreeMap<QueuePosition, u64>,
    weight: u64,
    credit: u64,
    /// Whether the credit of the current turn has been added.
    has_turn_credit: bool,
    backlog_ms: u64,
}

/// Waiting requests of one class.
#[derive(Debug, Default)]
pub struct ClassQueue {
    workspaces: BTreeMap<Workspace, WorkspaceQueue>,
    /// Workspaces with waiting requests; it is the first one's turn.
    turn_order: VecDeque<Workspace>,
    backlog_ms: u64,
    len: usize,
}

/// Credit that one ms of estimated run time costs; a turn adds `weight` credit.
const CREDIT_PER_MS: u64 = 100;
/// Maximum number of requests per workspace that are checked for a usable free slot.
const MAX_LOOKAHEAD: usize = 4;

impl ClassQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn workspace_len(&self, workspace: &Workspace) -> usize {
        self.workspaces
            .get(workspace)
            .map_or(0, |queue| queue.entries.len())
    }

    /// Sum of the estimated run times of all requests, in ms.
    pub fn backlog_ms(&self) -> u64 {
        self.backlog_ms
    }

    /// Estimated work that is served before a new request of a workspace, in ms. It is less than the whole queue when
    /// the workspace's own queue is short, because round robin empties a short queue before longer ones.
    pub fn work_ahead_ms(&self, workspace: &Workspace, weight: u32) -> u64 {
        let own = self.workspaces.get(workspace);
        let own_ms = own.map_or(0, |queue| queue.backlog_ms);
        let own_weight = u64::from(weight.max(1));
        let others: u64 = self
            .workspaces
            .iter()
            .filter(|(other, _)| *other != workspace)
            .map(|(_, queue)| queue.backlog_ms.min(own_ms * queue.weight / own_weight))
            .sum();
        own_ms + others
    }

    pub fn push(
        &mut self,
        workspace: &Workspace,
        weight: u32,
        position: QueuePosition,
        cost_ms: u64,
    ) {
        let queue = self.workspaces.entry(workspace.clone()).or_insert_with(|| {
            self.turn_order.push_back(workspace.clone());
            WorkspaceQueue {
                entries: BTreeMap::new(),
                weight: 1,
                credit: 0,
                has_turn_credit: false,
                backlog_ms: 0,
            }
        });
        queue.weight = u64::from(weight.max(1));
        queue.entries.insert(position, cost_ms);
        queue.backlog_ms += cost_ms;
        self.backlog_ms += cost_ms;
        self.len += 1;
    }

    pub fn remove(&mut self, workspace: &Workspace, position: QueuePosition) -> bool {
        let Some(queue) = self.workspaces.get_mut(workspace) else {
            return false;
        };
        let Some(cost_ms) = queue.entries.remove(&position) else {
            return false;
        };
        queue.backlog_ms -= cost_ms;
        self.backlog_ms -= cost_ms;
        self.len -= 1;
        if queue.entries.is_empty() {
            // An idle workspace loses its credit, so it cannot accumulate a burst.
            self.workspaces.remove(workspace);
            self.turn_order.retain(|other| other != workspace);
        }
        true
    }

    /// Removes the next request in round-robin order among those for which `fits` holds.
    pub fn pop(&mut self, mut fits: impl FnMut(WaitId) -> bool) -> Option<WaitId> {
        let mut candidates: BTreeMap<Workspace, (QueuePosition, u64)> = BTreeMap::new();
        for (workspace, queue) in &self.workspaces {
            let mut first = queue.entries.iter().take(MAX_LOOKAHEAD);
            if let Some((position, cost_ms)) = first.find(|(position, _)| fits(position.id)) {
                candidates.insert(workspace.clone(), (*position, cost_ms * CREDIT_PER_MS));
            }
        }
        if candidates.is_empty() {
            return None;
        }
        loop {
            for _ in 0..self.turn_order.len() {
                if let Some(taken) = self.take_turn(&candidates) {
                    return Some(taken);
                }
            }
            self.credit_skipped_turns(&candidates);
        }
    }

    /// Removes a request of the workspace whose turn it is, or ends the turn.
    fn take_turn(
        &mut self,
        candidates: &BTreeMap<Workspace, (QueuePosition, u64)>,
    ) -> Option<WaitId> {
        let workspace = self.turn_order.front()?.clone();
        let queue = self.workspaces.get_mut(&workspace)?;
        if let Some((position, cost)) = candidates.get(&workspace) {
            if !queue.has_turn_credit {
                queue.credit += queue.weight;
                queue.has_turn_credit = true;
            }
            if *cost <= queue.credit {
                queue.credit -= cost;
                self.remove(&workspace, *position);
                return Some(position.id);
            }
        }
        queue.has_turn_credit = false;
        self.turn_order.rotate_left(1);
        None
    }

    /// Adds to every candidate, in one step, the credit of the turns in which none of them could be served.
    fn credit_skipped_turns(&mut self, candidates: &BTreeMap<Workspace, (QueuePosition, u64)>) {
        let missing = candidates.iter().filter_map(|(workspace, (_, cost))| {
            let queue = self.workspaces.get(workspace)?;
            Some(cost.saturating_sub(queue.credit).div_ceil(queue.weight))
        });
        let turns = missing.min().unwrap_or(0).saturating_sub(1);
        for workspace in candidates.keys() {
            if let Some(queue) = self.workspaces.get_mut(workspace) {
                queue.credit += turns * queue.weight;
            }
        }
    }

    /// Removes a request that can no longer start in time.
    pub fn pop_expired(&mut self, now_ms: u64) -> Option<WaitId> {
        let late = self.workspaces.iter().find_map(|(workspace, queue)| {
            let (position, _) = queue.entries.first_key_value()?;
            (position.start_by_ms < now_ms).then(|| (workspace.clone(), *position))
        });
        let (workspace, position) = late?;
        self.remove(&workspace, position);
        Some(position.id)
    }
}
