//! Waiting requests of one class, divided over teams by deficit round robin.
//!
//! A team's turn gives it credit in proportion to its weight; a request costs its estimated run time. Between two teams
//! that both wait, the difference of service per weight stays within one request of each. Within a team the request
//! that must start first goes first.

use {
    ragwortreel_model::Team,
    std::collections::{BTreeMap, VecDeque},
};

/// Identifier of a waiting request.
pub type WaitId = u64;

/// Where a waiting request is in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Latest time to start and still be in time, in ms.
    pub start_by_ms: u64,
    pub id: WaitId,
}

#[derive(Debug)]
struct TeamQueue {
    entries: BTreeMap<Place, u64>,
    weight: u64,
    credit: u64,
    /// Whether this turn's credit has been given.
    in_turn: bool,
    backlog_ms: u64,
}

/// Requests of one class.
#[derive(Debug, Default)]
pub struct ClassQueue {
    teams: BTreeMap<Team, TeamQueue>,
    turns: VecDeque<Team>,
    backlog_ms: u64,
    len: usize,
}

/// Credit that a request of one ms run time costs. A turn gives `weight` credit.
const CREDIT_PER_MS: u64 = 100;
/// Requests of a team that are tried when the first cannot use any free slot.
const MAX_LOOKAHEAD: usize = 4;

impl ClassQueue {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn len_of(&self, team: &Team) -> usize {
        self.teams.get(team).map_or(0, |queue| queue.entries.len())
    }

    /// Sum of the estimated run times, in ms.
    pub fn backlog_ms(&self) -> u64 {
        self.backlog_ms
    }

    /// Work that is served before a new request of a team, in ms: the whole queue, or less when the team's own queue
    /// is short, because turns favour a team that waits for little.
    pub fn ahead_ms(&self, team: &Team, weight: u32) -> u64 {
        let own = self.teams.get(team);
        let own_ms = own.map_or(0, |queue| queue.backlog_ms);
        let own_weight = u64::from(weight.max(1));
        let others: u64 = self
            .teams
            .iter()
            .filter(|(other, _)| *other != team)
            .map(|(_, queue)| queue.backlog_ms.min(own_ms * queue.weight / own_weight))
            .sum();
        own_ms + others
    }

    pub fn push(&mut self, team: &Team, weight: u32, place: Place, cost_ms: u64) {
        let queue = self.teams.entry(team.clone()).or_insert_with(|| {
            self.turns.push_back(team.clone());
            TeamQueue {
                entries: BTreeMap::new(),
                weight: 1,
                credit: 0,
                in_turn: false,
                backlog_ms: 0,
            }
        });
        queue.weight = u64::from(weight.max(1));
        queue.entries.insert(place, cost_ms);
        queue.backlog_ms += cost_ms;
        self.backlog_ms += cost_ms;
        self.len += 1;
    }

    pub fn remove(&mut self, team: &Team, place: Place) -> bool {
        let Some(queue) = self.teams.get_mut(team) else {
            return false;
        };
        let Some(cost_ms) = queue.entries.remove(&place) else {
            return false;
        };
        queue.backlog_ms -= cost_ms;
        self.backlog_ms -= cost_ms;
        self.len -= 1;
        if queue.entries.is_empty() {
            // An idle team keeps no credit, so it cannot save up a burst.
            self.teams.remove(team);
            self.turns.retain(|other| other != team);
        }
        true
    }

    /// Takes the next request by turns among those for which `fits` holds.
    pub fn pop(&mut self, mut fits: impl FnMut(WaitId) -> bool) -> Option<WaitId> {
        let mut candidates: BTreeMap<Team, (Place, u64)> = BTreeMap::new();
        for (team, queue) in &self.teams {
            let mut first = queue.entries.iter().take(MAX_LOOKAHEAD);
            if let Some((place, cost_ms)) = first.find(|(place, _)| fits(place.id)) {
                candidates.insert(team.clone(), (*place, cost_ms * CREDIT_PER_MS));
            }
        }
        if candidates.is_empty() {
            return None;
        }
        loop {
            for _ in 0..self.turns.len() {
                if let Some(taken) = self.take_turn(&candidates) {
                    return Some(taken);
                }
            }
            self.skip_turns(&candidates);
        }
    }

    /// Serves the team whose turn it is, or passes the turn on.
    fn take_turn(&mut self, candidates: &BTreeMap<Team, (Place, u64)>) -> Option<WaitId> {
        let team = self.turns.front()?.clone();
        let queue = self.teams.get_mut(&team)?;
        if let Some((place, cost)) = candidates.get(&team) {
            if !queue.in_turn {
                queue.credit += queue.weight;
                queue.in_turn = true;
            }
            if *cost <= queue.credit {
                queue.credit -= cost;
                self.remove(&team, *place);
                return Some(place.id);
            }
        }
        queue.in_turn = false;
        self.turns.rotate_left(1);
        None
    }

    /// Gives every team the credit of the turns in which nobody could be served.
    fn skip_turns(&mut self, candidates: &BTreeMap<Team, (Place, u64)>) {
        let missing = candidates.iter().filter_map(|(team, (_, cost))| {
            let queue = self.teams.get(team)?;
            Some(cost.saturating_sub(queue.credit).div_ceil(queue.weight))
        });
        let turns = missing.min().unwrap_or(0).saturating_sub(1);
        for team in candidates.keys() {
            if let Some(queue) = self.teams.get_mut(team) {
                queue.credit += turns * queue.weight;
            }
        }
    }

    /// Takes a request that cannot start in time any more.
    pub fn pop_late(&mut self, now_ms: u64) -> Option<WaitId> {
        let late = self.teams.iter().find_map(|(team, queue)| {
            let (place, _) = queue.entries.first_key_value()?;
            (place.start_by_ms < now_ms).then(|| (team.clone(), *place))
        });
        let (team, place) = late?;
        self.remove(&team, place);
        Some(place.id)
    }
}
