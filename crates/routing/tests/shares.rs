//! Division of the slots of a backend server over the members of an epoch.

use {
    proptest::{prelude::*, test_runner::RngSeed},
    ragwortreel_model::InstanceId,
    ragwortreel_routing::{Share, SlotLimits, inherited_shares, slot_shares},
};

const LIMITS: SlotLimits = SlotLimits {
    slots: 8,
    long_slots: 6,
    connections: 64,
};

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn instances(ids: &[u32]) -> Vec<InstanceId> {
    let instance = |id: &u32| InstanceId::new(&format!("entry-{id}")).unwrap();
    ids.iter().map(instance).collect()
}

fn sum(shares: impl Iterator<Item = Share>) -> Share {
    shares.fold(Share::default(), Share::plus)
}

proptest! {
    #![proptest_config(config(11))]

    /// Guards against slots that are assigned to no member or to two members, and against uneven shares.
    #[test]
    fn shares_add_up_and_differ_by_one(
        ids in prop::collection::btree_set(0_u32..1000, 1..12),
        backend in 0_u32..1000,
        slots in 1_u32..20,
        extra in 0_u32..100,
    ) {
        let members = instances(&ids.into_iter().collect::<Vec<_>>());
        let limits = SlotLimits { slots, long_slots: slots.div_ceil(2), connections: slots + extra };
        let shares = slot_shares(&members, &format!("backend-{backend}"), limits);
        let total = sum(shares.values().copied());
        prop_assert_eq!(total.slots, limits.slots);
        prop_assert_eq!(total.long_slots, limits.long_slots);
        prop_assert_eq!(total.connections, limits.connections);
        let most = shares.values().map(|share| share.slots).max();
        let least = shares.values().map(|share| share.slots).min();
        prop_assert!(most.unwrap() - least.unwrap() <= 1);
        prop_assert!(shares.values().all(|share| share.slots <= share.connections));
    }

    /// Guards against a removal that takes a slot from a remaining member, or does not pass on the removed share.
    #[test]
    fn removing_a_member_only_increases_other_shares(
        ids in prop::collection::btree_set(0_u32..1000, 2..12),
        backend in 0_u32..1000,
        which in any::<prop::sample::Index>(),
    ) {
        let members = instances(&ids.into_iter().collect::<Vec<_>>());
        let backend = format!("backend-{backend}");
        let removed = which.get(&members).clone();
        let before = slot_shares(&members, &backend, LIMITS);
        let gains = inherited_shares(&members, std::slice::from_ref(&removed), &backend, LIMITS);
        let gained = sum(gains.values().copied());
        prop_assert_eq!(gained.slots, before[&removed].slots);
        prop_assert_eq!(gained.connections, before[&removed].connections);
    }

    /// Guards against a result that depends on the order in which members are listed.
    #[test]
    fn shares_do_not_depend_on_the_order_of_members(
        ids in prop::collection::btree_set(0_u32..1000, 1..12),
        backend in 0_u32..1000,
    ) {
        let mut members = instances(&ids.into_iter().collect::<Vec<_>>());
        let backend = format!("backend-{backend}");
        let forward = slot_shares(&members, &backend, LIMITS);
        members.reverse();
        prop_assert_eq!(forward, slot_shares(&members, &backend, LIMITS));
    }
}
