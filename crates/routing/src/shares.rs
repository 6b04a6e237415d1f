//! Shares of the slots and connections of backend servers.
//!
//! The division is a pure function of an epoch's members and the backend server, so that no message is needed to know
//! who holds what. Slots are dealt round robin in rendezvous order. Removing a member leaves the order of the others
//! as it is, so no remaining member loses a slot by a removal.

use {
    crate::BackendId,
    ragwortreel_model::{CellSettings, InstanceId},
    std::collections::BTreeMap,
    xxhash_rust::xxh3::xxh3_64,
};

/// What one entry instance may use of one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests in flight at once.
    pub slots: u32,
    /// Of `slots`, those that long work may use.
    pub long_slots: u32,
    /// Open connections, idle ones included.
    pub connections: u32,
}

/// What all entry instances together may use of one backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotLimits {
    /// Requests in flight at once.
    pub slots: u32,
    /// Of `slots`, those that long work may use.
    pub long_slots: u32,
    /// Open connections, idle ones included.
    pub connections: u32,
}

/// What this instance may use of each backend server, and until when.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SlotShares {
    /// Share of each backend server; a missing one has none.
    pub by_backend: BTreeMap<BackendId, Share>,
    /// End of the lease on the router's clock, in ms; checked at the moment of use.
    pub valid_until_ms: u64,
    /// Time by which requests above the shares must have left their slots, in ms; `None` lets them end by themselves.
    pub excess_until_ms: Option<u64>,
}

impl SlotLimits {
    /// The limits that the settings state.
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
    /// The smaller of both shares in each field.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self {
            slots: self.slots.min(other.slots),
            long_slots: self.long_slots.min(other.long_slots),
            connections: self.connections.min(other.connections),
        }
    }

    /// The share without another one.
    #[must_use]
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            slots: self.slots.saturating_sub(other.slots),
            long_slots: self.long_slots.saturating_sub(other.long_slots),
            connections: self.connections.saturating_sub(other.connections),
        }
    }

    /// Both shares together.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            slots: self.slots + other.slots,
            long_slots: self.long_slots + other.long_slots,
            connections: self.connections + other.connections,
        }
    }
}

/// Members in the order in which they are dealt a backend server's slots: highest hash first.
fn rendezvous_order<'a>(members: &'a [InstanceId], backend: &str) -> Vec<&'a InstanceId> {
    let mut order: Vec<(u64, &InstanceId)> = members
        .iter()
        .map(|member| {
            let text = [member.as_str(), backend].join("\n");
            (xxh3_64(text.as_bytes()), member)
        })
        .collect();
    order.sort_unstable_by(|a, b| b.cmp(a));
    order.dedup();
    order.into_iter().map(|(_, member)| member).collect()
}

/// Part of `total` that falls to position `at` of `count` when units are dealt one by one.
fn dealt(total: u32, at: u32, count: u32) -> u32 {
    total / count + u32::from(at < total % count)
}

/// Connections of the slots dealt to one position; a slot carries `connections / slots` of them, the first ones one
/// more when they do not divide evenly.
fn dealt_connections(limits: SlotLimits, at: u32, count: u32) -> u32 {
    (at..limits.slots)
        .step_by(count as usize)
        .map(|slot| dealt(limits.connections, slot, limits.slots))
        .sum()
}

/// Divides a backend server over the members of an epoch; the shares differ by at most one slot.
#[must_use]
pub fn slot_shares(
    members: &[InstanceId],
    backend: &str,
    limits: SlotLimits,
) -> BTreeMap<InstanceId, Share> {
    let order = rendezvous_order(members, backend);
    let count = u32::try_from(order.len()).unwrap_or(u32::MAX);
    let deal = |(at, member): (u32, &InstanceId)| {
        let share = Share {
            slots: dealt(limits.slots, at, count),
            long_slots: dealt(limits.long_slots, at, count),
            connections: dealt_connections(limits, at, count),
        };
        (member.clone(), share)
    };
    (0..count).zip(order).map(deal).collect()
}

/// What each remaining member would gain of a backend server if the members in `without` were removed.
#[must_use]
pub fn inherited_shares(
    members: &[InstanceId],
    without: &[InstanceId],
    backend: &str,
    limits: SlotLimits,
) -> BTreeMap<InstanceId, Share> {
    let remaining: Vec<InstanceId> = members
        .iter()
        .filter(|member| !without.contains(member))
        .cloned()
        .collect();
    let before = slot_shares(members, backend, limits);
    slot_shares(&remaining, backend, limits)
        .into_iter()
        .map(|(member, share)| {
            let had = before.get(&member).copied().unwrap_or_default();
            (member, share.saturating_sub(had))
        })
        .collect()
}
