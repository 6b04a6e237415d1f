//! The lagging list of instances.

use {
    ragwortreel_model::InstanceId,
    ragwortreel_platform::{InstanceState, ListedInstance},
    std::{
        collections::{BTreeMap, VecDeque},
        time::{Duration, Instant},
    },
};

/// List whose readers see it as it was some time ago.
#[derive(Debug, Default)]
pub struct LaggingInstanceList {
    current: BTreeMap<InstanceId, ListedInstance>,
    /// Earlier contents with the time of the change that made each, oldest first.
    history: VecDeque<(Instant, Vec<ListedInstance>)>,
    lag: Duration,
}

impl LaggingInstanceList {
    /// Sets the age of what readers see.
    pub fn set_lag_ms(&mut self, lag_ms: u64) {
        self.lag = Duration::from_millis(lag_ms);
    }

    /// Adds or replaces an instance.
    pub fn put(&mut self, instance: ListedInstance) {
        self.current.insert(instance.id.clone(), instance);
        self.record();
    }

    /// Changes an instance's state.
    pub fn set_state(&mut self, id: &InstanceId, state: InstanceState) {
        if let Some(instance) = self.current.get_mut(id) {
            instance.state = state;
        }
        self.record();
    }

    /// Removes an instance.
    pub fn remove(&mut self, id: &InstanceId) {
        self.current.remove(id);
        self.record();
    }

    fn record(&mut self) {
        let content = self.current.values().cloned().collect();
        self.history.push_back((Instant::now(), content));
        self.forget_older();
    }

    // Keeps the newest content that is older than the lag and everything after it.
    fn forget_older(&mut self) {
        let visible = |made: Instant| made.elapsed() >= self.lag;
        while self.history.len() > 1 && visible(self.history[1].0) {
            self.history.pop_front();
        }
    }

    /// The list as readers see it now.
    pub fn visible(&mut self) -> Vec<ListedInstance> {
        self.forget_older();
        match self.history.front() {
            Some((made, content)) if made.elapsed() >= self.lag => content.clone(),
            _ => Vec::new(),
        }
    }
}
