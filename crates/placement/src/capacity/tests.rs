use {
    super::{CapacityIndex, SearchOrder, Visit},
    proptest::{
        collection::vec,
        prelude::{ProptestConfig, Strategy, prop_assert_eq, proptest},
        test_runner::RngSeed,
    },
    ragwortreel_model::Resources,
    std::collections::BTreeSet,
};

fn amounts() -> impl Strategy<Value = Resources> {
    let cpu = (0_u64..40).prop_map(|units| units * 250);
    (cpu, 0_u64..9_000, 0_u64..12).prop_map(|(cpu, memory, acc)| Resources::new(cpu, memory, acc))
}

fn found(index: &CapacityIndex, need: &Resources, order: SearchOrder) -> BTreeSet<u32> {
    let mut found = BTreeSet::new();
    index.visit(need, order, &mut |worker, _| {
        assert!(found.insert(worker), "a worker is visited once");
        Visit::Next
    });
    found
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    /// Guards against a search that misses a worker with room, or visits one without.
    #[test]
    fn search_finds_what_a_scan_finds(
        workers in vec(amounts(), 1..60),
        changes in vec((0_usize..60, amounts()), 0..60),
        need in amounts(),
    ) {
        let mut workers = workers;
        let mut index = CapacityIndex::default();
        // `number ^ 5` is a tie breaker whose order differs from that of the workers.
        for (number, free) in (0..).zip(&workers) {
            index.insert(number, number ^ 5, *free);
        }
        for (at, free) in changes {
            let at = at % workers.len();
            let number = u32::try_from(at).unwrap();
            index.remove(number, number ^ 5, workers[at]);
            index.insert(number, number ^ 5, free);
            workers[at] = free;
        }
        let fits = (0..).zip(&workers).filter(|(_, free)| need.fits_in(free));
        let expected: BTreeSet<u32> = fits.map(|(number, _)| number).collect();
        prop_assert_eq!(&found(&index, &need, SearchOrder::LeastFree), &expected);
        prop_assert_eq!(&found(&index, &need, SearchOrder::MostFree), &expected);
    }
}
