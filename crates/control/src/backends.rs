//! Backend servers from the platform's list.
//!
//! The list lags behind and successive reads may come from different replicas. A backend server that was once reported
//! as leaving or terminated is therefore never considered live again under the same name and address.

use {
    crate::{api::Backend, shared::Shared},
    ragwortreel_model::InstanceId,
    ragwortreel_platform::{InstanceState, ListedInstance, ListedRole},
    ragwortreel_runtime::lock,
    std::{collections::BTreeMap, sync::Arc},
};

pub(crate) fn merge(shared: &Shared, listed: &[ListedInstance]) {
    let mut backends = lock(&shared.backends);
    let earlier: BTreeMap<&InstanceId, &Backend> = backends
        .iter()
        .map(|backend| (&backend.id, backend))
        .collect();
    let merged: Vec<Backend> = listed
        .iter()
        .filter_map(|entry| {
            let ListedRole::Backend { workspace, service } = &entry.role else {
                return None;
            };
            let before = earlier
                .get(&entry.id)
                .filter(|before| before.address == entry.address);
            Some(Backend {
                id: entry.id.clone(),
                zone: entry.zone.clone(),
                address: entry.address,
                workspace: workspace.clone(),
                service: service.clone(),
                state: before.map_or(entry.state, |before| later_state(before.state, entry.state)),
            })
        })
        .collect();
    if **backends != merged {
        *backends = Arc::new(merged);
    }
}

/// Marks a backend server as leaving before the platform's list reports it.
pub(crate) fn mark_leaving(shared: &Shared, id: &InstanceId) {
    let mut backends = lock(&shared.backends);
    let mut changed = Vec::clone(&backends);
    if let Some(backend) = changed.iter_mut().find(|backend| backend.id == *id) {
        backend.state = later_state(backend.state, InstanceState::Leaving);
        *backends = Arc::new(changed);
    }
}

const fn later_state(first: InstanceState, second: InstanceState) -> InstanceState {
    match (first, second) {
        (InstanceState::Terminated, _) | (_, InstanceState::Terminated) => {
            InstanceState::Terminated
        }
        (InstanceState::Leaving, _) | (_, InstanceState::Leaving) => InstanceState::Leaving,
        _ => InstanceState::Live,
    }
}
