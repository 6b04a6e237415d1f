//! Division of the slots and connections of backend servers over entry instances.
//!
//! An epoch is a numbered list of entry instances, its members; see `share_tracker`. The shares are a pure function of
//! these members, the backend server and its limits, so members agree on them without messages. Slots are
//! assigned round robin in the order of rendezvous hashing. Removing a member does not change the order of the others,
//! so no remaining member loses a slot by a removal.

use {
    crate::BackendId,
    ragwortreel_model::{CellSettings, InstanceId},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// Limits of one entry instance for one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Maximum number of `slots` in use by long work.
    pub long_slots: u32,
    /// Maximum number of open connections, idle ones included.
    pub connections: u32,
}

/// Limits of all entry instances together for one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLimits {
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Maximum number of `slots` in use by long work.
    pub long_slots: u32,
    /// Maximum number of open connections, idle ones included.
    pub connections: u32,
}

/// Shares of this instance in all backend servers, and the end of their validity.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotShares {
    /// Share by backend server; a backend server that is not in the map gets no requests.
    pub by_backend: BTreeMap<BackendId, Share>,
    /// End of the slot lease on the router's clock, in ms; checked at the moment of use.
    pub valid_until_ms: u64,
    /// Time by which requests in excess of the shares must have released their slots, in ms; `None` lets them finish.
    pub excess_until_ms: Option<u64>,
}

impl SlotLimits {
    /// The limits from the settings of the cell.
    #[must_use]
    pub fn from_settings(cell: &CellSettings) -> Self {
        Self {
            slots: cell.slots_per_backend,
            long_slots: cell.long_slot_limit,
            connections: cell.connections_per_backend,
        }
    }
}

impl Share {
    /// Minimum of each field.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            slots: self.slots.min(other.slots),
            long_slots: self.long_slots.min(other.long_slots),
            connections: self.connections.min(other.connections),
        }
    }

    /// Difference of each field, at least 0.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_sub(other.slots),
            long_slots: self.long_slots.saturating_sub(other.long_slots),
            connections: self.connections.saturating_sub(other.connections),
        }
    }

    /// Sum of each field.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            slots: self.slots + other.slots,
            long_slots: self.long_slots + other.long_slots,
            connections: self.connections + other.connections,
        }
    }
}

/// Members in the order in which a backend server's slots are assigned: highest rendezvous hash first.
fn rendezvous_order<'a>(members: &'a [InstanceId], backend: &str) -> Vec<&'a InstanceId> {
    let mut order: Vec<(u64, &InstanceId)> = members
        .iter()
        .map(|member| {
            let hash_input = [member.as_str(), backend].join("\n");
            (xxh3_64(hash_input.as_bytes()), member)
        })
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.dedup();
    order.into_iter().map(|(_, member)| member).collect()
}

/// Units of `total` that one of `count` positions gets when they are assigned round robin.
fn round_robin_share(total: u32, position: u32, count: u32) -> u32 {
    total / count + u32::from(position < total % count)
}

/// Connections that go with the slots of one position. Each slot has `connections / slots` of them; the first slots
/// have one more if the division leaves a remainder.
fn round_robin_connections(limits: SlotLimits, position: u32, count: u32) -> u32 {
    (position..limits.slots)
        .step_by(count as usize)
        .map(|slot| round_robin_share(limits.connections, slot, limits.slots))
        .sum()
}

/// Divides a backend server over the members of an epoch; the shares differ by at most one slot.
///
/// The order of `members` does not matter.
#[must_use]
pub fn slot_shares(
    members: &[InstanceId],
    backend: &str,
    limits: SlotLimits,
) -> BTreeMap<InstanceId, Share> {
    let order = rendezvous_order(members, backend);
    let count = u32::try_from(order.len()).unwrap_or(u32::MAX);
    let share_of = |(position, member): (u32, &InstanceId)| {
        let share = Share {
            slots: round_robin_share(limits.slots, position, count),
            long_slots: round_robin_share(limits.long_slots, position, count),
            connections: round_robin_connections(limits, position, count),
        };
        (member.clone(), share)
    };
    (0..count).zip(order).map(share_of).collect()
}

/// Increase of each remaining member's share of a backend server if the members in `removed` were removed.
#[must_use]
pub fn inherited_shares(
    members: &[InstanceId],
    removed: &[InstanceId],
    backend: &str,
    limits: SlotLimits,
) -> BTreeMap<InstanceId, Share> {
    let remaining: Vec<InstanceId> = members
        .iter()
        .filter(|member| !removed.contains(member))
        .cloned()
        .collect();
    let before = slot_shares(members, backend, limits);
    slot_shares(&remaining, backend, limits)
        .into_iter()
        .map(|(member, share)| {
            let previous = before.get(&member).copied().unwrap_or_default();
            (member, share.saturating_sub(previous))
        })
        .collect()
}
