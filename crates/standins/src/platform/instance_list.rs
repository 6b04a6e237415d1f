//! Instance list whose readers see changes after a delay.

use {
    ragwortreel_model::InstanceId,
    ragwortreel_platform::{InstanceState, ListedInstance},
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// Instance list whose readers see its content as of a fixed time ago.
///
/// Simulates a platform whose instance list is eventually consistent.
#[derive(Debug, Default)]
pub struct LaggingInstanceList {
    /// Content after the latest change.
    current: BTreeMap<InstanceId, ListedInstance>,
    /// Snapshots after each change with the time of the change, oldest first.
    snapshots: VecDeque<(Instant, Vec<ListedInstance>)>,
    lag: Duration,
}

impl LaggingInstanceList {
    /// Sets the delay until readers see a change, in ms.
    pub fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag = Duration::from_millis(lag_ms);
    }

    /// Adds an instance, or replaces the one with the same name.
    pub fn put(&mut self, instance: ListedInstance) {
        self.current.insert(instance.id.clone(), instance);
        self.add_snapshot();
    }

    /// Changes the state of an instance; has no effect on an unknown instance.
    pub fn set_state(&mut self, id: &InstanceId, state: InstanceState) {
        if let Some(instance) = self.current.get_mut(id) {
            instance.state = state;
        }
        self.add_snapshot();
    }

    /// Removes an instance; has no effect on an unknown instance.
    pub fn remove(&mut self, id: &InstanceId) {
        self.current.remove(id);
        self.add_snapshot();
    }

    fn add_snapshot(&mut self) {
        let instances = self.current.values().cloned().collect();
        self.snapshots.push_back((Instant::now(), instances));
        self.drop_superseded();
    }

    // Keeps the snapshot that readers see and all later ones.
    fn drop_superseded(&mut self) {
        let is_visible = |changed_at: Instant| changed_at.elapsed() >= self.lag;
        while self.snapshots.len() > 1 && is_visible(self.snapshots[1].0) {
            self.snapshots.pop_front();
        }
    }

    /// Returns the instances as readers see them now; empty until the first change becomes visible.
    pub fn visible(&mut self) -> Vec<ListedInstance> {
        self.drop_superseded();
        match self.snapshots.front() {
            Some((changed_at, instances)) if changed_at.elapsed() >= self.lag => instances.clone(),
            _ => Vec::new(),
        }
    }
}
