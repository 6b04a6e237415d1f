//! Concurrent changes of the settings by several operators, with outages of the store and lost replies.

mod support;

use {
    ragwortreel_control::{SettingsChange, SettingsChangeError, VersionedSettings},
    ragwortreel_model::{Settings, Workspace, WorkspaceSettings},
    ragwortreel_runtime::{block_on, sleep_ms, spawn},
    ragwortreel_standins::Outage,
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
    },
    support::{Cell, valid_name, workspace},
};

async fn cell_with_three_instances() -> Cell {
    let mut cell = Cell::new(&["riga-a"], 0);
    for id in ["e1", "e2", "e3"] {
        cell.start(id, "riga-a");
    }
    cell.wait_until_ready().await;
    cell
}

fn weight(settings: &Settings, workspace: &Workspace) -> u32 {
    settings
        .workspaces
        .get(workspace)
        .map_or(0, |branch| branch.weight)
}

/// Increments the workspace's weight in a change based on the instance's current version.
async fn increment_weight(cell: &Cell, via: &str) -> Result<u64, SettingsChangeError> {
    let control = cell.control(via);
    let base = control.settings();
    let mut settings = base.settings.clone();
    settings.workspaces.entry(workspace()).or_default().weight += 1;
    control
        .change_settings(base.version, SettingsChange::Whole(settings))
        .await
}

/// Instance, version and digest of each settings tree that an instance applied, in the order of their arrival.
type SettingsHistory = Arc<Mutex<Vec<(String, u64, Arc<str>)>>>;

/// Records the versions and digests of all settings that the instances apply.
fn record_settings(cell: &Cell) -> SettingsHistory {
    let history = SettingsHistory::default();
    for (id, instance) in &cell.instances {
        let (id, history) = (id.clone(), Arc::clone(&history));
        let rx = instance.control.subscribe_settings();
        spawn(async move {
            while let Ok(tree) = rx.recv().await {
                let entry = (id.clone(), tree.version, Arc::clone(&tree.sha256));
                history.lock().unwrap().push(entry);
            }
        })
        .detach();
    }
    history
}

/// Returns the violations of three rules: no instance goes back to an older version, a version has one content, and no
/// version is accepted twice.
fn violations(history: &SettingsHistory, accepted: &[u64]) -> Vec<String> {
    let mut found = Vec::new();
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    let mut content: BTreeMap<u64, Arc<str>> = BTreeMap::new();
    for (id, version, sha256) in history.lock().unwrap().iter() {
        let before = last.insert(id.clone(), *version).unwrap_or(0);
        if *version < before {
            found.push(format!("{id} went back from {before} to {version}"));
        }
        if content
            .entry(*version)
            .or_insert_with(|| Arc::clone(sha256))
            != sha256
        {
            found.push(format!("version {version} has two contents"));
        }
    }
    let mut sorted = accepted.to_vec();
    sorted.sort_unstable();
    for pair in sorted.windows(2).filter(|pair| pair[0] == pair[1]) {
        found.push(format!("version {} was accepted twice", pair[0]));
    }
    found
}

async fn until_all_have_version(cell: &Cell, version: u64) {
    cell.until("all have the newest version", |cell| {
        let has = |settings: Arc<VersionedSettings>| settings.version >= version;
        cell.instances
            .values()
            .all(|instance| has(instance.control.settings()))
    })
    .await;
}

/// Increments the weight through three instances concurrently; returns the accepted versions and the number of unknown
/// outcomes.
async fn change_concurrently(cell: &Cell, rounds: u32) -> (Vec<u64>, u32) {
    let operators = ["e1", "e2", "e3"].map(|via| async move {
        let (mut accepted, mut unknown) = (Vec::new(), 0);
        for _ in 0..rounds {
            match increment_weight(cell, via).await {
                Ok(version) => accepted.push(version),
                Err(SettingsChangeError::Unknown { .. }) => unknown += 1,
                Err(_) => sleep_ms(3).await,
            }
        }
        (accepted, unknown)
    });
    let [first, second, third] = operators;
    let pair = futures_lite::future::zip(first, second);
    let ((first, second), third) = futures_lite::future::zip(pair, third).await;
    let all = [first, second, third];
    let unknown = all.iter().map(|(_, unknown)| unknown).sum();
    (
        all.into_iter().flat_map(|(accepted, _)| accepted).collect(),
        unknown,
    )
}

/// Of concurrent changes to one version exactly one is accepted. No accepted change may be lost or applied twice, even
/// when replies of the store are lost.
#[test]
fn concurrent_changes_are_neither_lost_nor_repeated() {
    block_on(async {
        let cell = cell_with_three_instances().await;
        let history = record_settings(&cell);
        let start = weight(&cell.any_control().settings().settings, &workspace());
        let mut accepted = Vec::new();
        for lost in 0..4 {
            for instance in cell.instances.values() {
                instance.injector.drop_commit_replies(lost);
            }
            let (versions, unknown) = change_concurrently(&cell, 15).await;
            assert_eq!(
                unknown, 0,
                "the outcome of a lost reply is determined by reading the rows"
            );
            accepted.extend(versions);
        }
        until_all_have_version(&cell, *accepted.iter().max().expect("some were accepted")).await;
        assert_eq!(violations(&history, &accepted), Vec::<String>::new());
        let end = weight(&cell.any_control().settings().settings, &workspace());
        assert_eq!(
            end - start,
            u32::try_from(accepted.len()).expect("few changes")
        );
    });
}

/// Shows that the check works: it must report violations when settings are written without version checks.
#[test]
fn check_detects_missing_version_checks() {
    block_on(async {
        let cell = cell_with_three_instances().await;
        let history = record_settings(&cell);
        for instance in cell.instances.values() {
            instance
                .injector
                .version_check_disabled
                .store(true, std::sync::atomic::Ordering::SeqCst);
        }
        let (accepted, _) = change_concurrently(&cell, 30).await;
        assert!(!violations(&history, &accepted).is_empty());
    });
}

/// A change to one workspace must not conflict with a change to another, but must conflict with a newer change to the
/// same workspace.
#[test]
fn workspaces_change_their_own_branches() {
    block_on(async {
        let cell = cell_with_three_instances().await;
        let base = cell.control("e1").settings().version;
        let branch = |weight| WorkspaceSettings {
            weight,
            ..WorkspaceSettings::default()
        };
        let beta = valid_name(Workspace::new, "beta");
        let change = |workspace: &Workspace, weight| {
            SettingsChange::Workspace(workspace.clone(), Some(branch(weight)))
        };
        cell.control("e1")
            .change_settings(base, change(&beta, 7))
            .await
            .expect("the first");
        cell.control("e2")
            .change_settings(base, change(&workspace(), 8))
            .await
            .expect("another branch");
        let again = cell
            .control("e3")
            .change_settings(base, change(&beta, 9))
            .await;
        let Err(SettingsChangeError::Conflict { current }) = again else {
            panic!("expected a conflict, got {again:?}");
        };
        assert_eq!(weight(&current.settings, &beta), 7);
        assert_eq!(weight(&current.settings, &workspace()), 8);
    });
}

/// An instance that is restarted during an outage of the store must not accept requests with older settings.
#[test]
fn replaced_instance_is_not_ready_during_an_outage() {
    block_on(async {
        let mut cell = cell_with_three_instances().await;
        let version = increment_weight(&cell, "e1").await.expect("accepted");
        cell.platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
        cell.kill("e1");
        cell.start("e1", "riga-a");
        sleep_ms(400).await;
        assert!(!cell.control("e1").is_ready());
        assert!(cell.control("e2").is_ready());
        cell.platform.faults().clear();
        cell.until("ready after the outage", |cell| {
            cell.control("e1").is_ready()
        })
        .await;
        assert!(cell.control("e1").settings().version >= version);
    });
}

/// An accepted change must reach the other instances even if an outage of the store begins right afterwards.
#[test]
fn accepted_change_spreads_during_an_outage() {
    block_on(async {
        let cell = cell_with_three_instances().await;
        // The push to e3 is lost; heartbeats show it that a newer version exists.
        cell.network
            .disconnect(cell.instances["e1"].address, cell.instances["e3"].address);
        let version = increment_weight(&cell, "e1").await.expect("accepted");
        cell.platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
        until_all_have_version(&cell, version).await;
        let refused = increment_weight(&cell, "e2").await;
        assert!(
            matches!(refused, Err(SettingsChangeError::Unavailable { .. })),
            "{refused:?}"
        );
        cell.platform.faults().clear();
        sleep_ms(100).await;
        assert_eq!(cell.any_control().settings().version, version);
    });
}

/// Settings that do not fit into a table row must reach all instances too.
#[test]
fn large_tree_is_kept_in_the_object_store() {
    block_on(async {
        let cell = cell_with_three_instances().await;
        let base = cell.any_control().settings();
        let mut settings = base.settings.clone();
        for index in 0..2_000 {
            let workspace = valid_name(Workspace::new, &format!("workspace-{index}"));
            settings
                .workspaces
                .insert(workspace, WorkspaceSettings::default());
        }
        let change = SettingsChange::Whole(settings);
        let version = cell
            .control("e1")
            .change_settings(base.version, change)
            .await;
        until_all_have_version(&cell, version.expect("accepted")).await;
        assert_eq!(
            cell.control("e3").settings().settings.workspaces.len(),
            2_001
        );
    });
}

/// A disconnected zone keeps its version of the settings and gets the newest one when it is connected again.
#[test]
fn disconnected_zone_catches_up() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 0);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-b");
        cell.wait_until_ready().await;
        let before = cell.control("e2").settings().version;
        let zone = cell.zones[1].clone();
        cell.platform.faults().update(|faults| {
            faults.cut_zones.insert(zone);
        });
        let (one, two) = (cell.instances["e1"].address, cell.instances["e2"].address);
        cell.network.disconnect(one, two);
        cell.network.disconnect(two, one);
        let version = increment_weight(&cell, "e1").await.expect("accepted");
        sleep_ms(300).await;
        assert_eq!(cell.control("e2").settings().version, before);
        assert!(cell.control("e2").is_ready());
        cell.network.reconnect_all();
        until_all_have_version(&cell, version).await;
    });
}
