//! Settings changed by racing operators, with outages and lost answers.

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
    support::{Cell, name, workspace},
};

async fn cell_of_three() -> Cell {
    let mut cell = Cell::new(&["riga-a"], 0);
    for id in ["e1", "e2", "e3"] {
        cell.start(id, "riga-a");
    }
    cell.ready().await;
    cell
}

fn weight(settings: &Settings, workspace: &Workspace) -> u32 {
    settings
        .workspaces
        .get(workspace)
        .map_or(0, |branch| branch.weight)
}

/// Raises the workspace's weight by one on top of the version that the instance has.
async fn raise(cell: &Cell, via: &str) -> Result<u64, SettingsChangeError> {
    let control = cell.control(via);
    let base = control.settings();
    let mut settings = base.settings.clone();
    settings.workspaces.entry(workspace()).or_default().weight += 1;
    control
        .change_settings(base.version, SettingsChange::Whole(settings))
        .await
}

type Seen = Arc<Mutex<Vec<(String, u64, Arc<str>)>>>;

/// Records every tree that an instance had in force.
fn record(cell: &Cell) -> Seen {
    let seen = Seen::default();
    for (id, instance) in &cell.instances {
        let (id, seen) = (id.clone(), Arc::clone(&seen));
        let rx = instance.control.subscribe_settings();
        spawn(async move {
            while let Ok(tree) = rx.recv().await {
                let entry = (id.clone(), tree.version, Arc::clone(&tree.sha256));
                seen.lock().unwrap().push(entry);
            }
        })
        .detach();
    }
    seen
}

/// What a history of trees in force and accepted versions shows against "an accepted change never reverts".
fn violations(seen: &Seen, accepted: &[u64]) -> Vec<String> {
    let mut found = Vec::new();
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    let mut content: BTreeMap<u64, Arc<str>> = BTreeMap::new();
    for (id, version, sha256) in seen.lock().unwrap().iter() {
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

async fn until_same(cell: &Cell, version: u64) {
    cell.until("all have the newest version", |cell| {
        let has = |settings: Arc<VersionedSettings>| settings.version >= version;
        cell.instances
            .values()
            .all(|instance| has(instance.control.settings()))
    })
    .await;
}

/// Three operators raise one value as often as they can; returns the accepted versions and the unknown outcomes.
async fn race(cell: &Cell, rounds: u32) -> (Vec<u64>, u32) {
    let operators = ["e1", "e2", "e3"].map(|via| async move {
        let (mut accepted, mut unknown) = (Vec::new(), 0);
        for _ in 0..rounds {
            match raise(cell, via).await {
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

/// Of racing changes one wins; none may be lost or applied twice, also when answers of the store are lost.
#[test]
fn racing_operators_lose_no_change() {
    block_on(async {
        let cell = cell_of_three().await;
        let seen = record(&cell);
        let start = weight(&cell.any().settings().settings, &workspace());
        let mut accepted = Vec::new();
        for lost in 0..4 {
            for instance in cell.instances.values() {
                instance.gate.lose_commits(lost);
            }
            let (versions, unknown) = race(&cell, 15).await;
            assert_eq!(unknown, 0, "lost answers are settled by reading back");
            accepted.extend(versions);
        }
        until_same(&cell, *accepted.iter().max().expect("some were accepted")).await;
        assert_eq!(violations(&seen, &accepted), Vec::<String>::new());
        let end = weight(&cell.any().settings().settings, &workspace());
        assert_eq!(
            end - start,
            u32::try_from(accepted.len()).expect("few changes")
        );
    });
}

/// The checker must find the breach when conditions of the write are left out.
#[test]
fn checker_finds_missing_version_check() {
    block_on(async {
        let cell = cell_of_three().await;
        let seen = record(&cell);
        for instance in cell.instances.values() {
            instance
                .gate
                .version_check_off
                .store(true, std::sync::atomic::Ordering::SeqCst);
        }
        let (accepted, _) = race(&cell, 30).await;
        assert!(!violations(&seen, &accepted).is_empty());
    });
}

/// A workspace's change must not fail because of another workspace's, but must not overwrite its own workspace's newer one.
#[test]
fn workspaces_change_their_own_branches() {
    block_on(async {
        let cell = cell_of_three().await;
        let base = cell.control("e1").settings().version;
        let branch = |weight| WorkspaceSettings {
            weight,
            ..WorkspaceSettings::default()
        };
        let beta = name(Workspace::new, "beta");
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

/// An instance that replaces another during an outage must not serve from older settings.
#[test]
fn replaced_instance_is_not_ready_during_an_outage() {
    block_on(async {
        let mut cell = cell_of_three().await;
        let version = raise(&cell, "e1").await.expect("accepted");
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

/// An outage right after the acceptance must not keep the change from the other instances.
#[test]
fn accepted_change_spreads_during_an_outage() {
    block_on(async {
        let cell = cell_of_three().await;
        // The push to one member is lost; its heartbeats find the newer version.
        cell.network
            .cut(cell.instances["e1"].address, cell.instances["e3"].address);
        let version = raise(&cell, "e1").await.expect("accepted");
        cell.platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
        until_same(&cell, version).await;
        let refused = raise(&cell, "e2").await;
        assert!(
            matches!(refused, Err(SettingsChangeError::Unavailable { .. })),
            "{refused:?}"
        );
        cell.platform.faults().clear();
        sleep_ms(100).await;
        assert_eq!(cell.any().settings().version, version);
    });
}

/// A tree that is larger than a table row must spread like any other.
#[test]
fn large_tree_is_kept_in_the_object_store() {
    block_on(async {
        let cell = cell_of_three().await;
        let base = cell.any().settings();
        let mut settings = base.settings.clone();
        for index in 0..2_000 {
            let workspace = name(Workspace::new, &format!("workspace-{index}"));
            settings
                .workspaces
                .insert(workspace, WorkspaceSettings::default());
        }
        let change = SettingsChange::Whole(settings);
        let version = cell
            .control("e1")
            .change_settings(base.version, change)
            .await;
        until_same(&cell, version.expect("accepted")).await;
        assert_eq!(
            cell.control("e3").settings().settings.workspaces.len(),
            2_001
        );
    });
}

/// A zone that is cut off keeps its version and catches up on contact.
#[test]
fn cut_off_zone_catches_up() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 0);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-b");
        cell.ready().await;
        let before = cell.control("e2").settings().version;
        let zone = cell.zones[1].clone();
        cell.platform.faults().update(|faults| {
            faults.cut_zones.insert(zone);
        });
        let (one, two) = (cell.instances["e1"].address, cell.instances["e2"].address);
        cell.network.cut(one, two);
        cell.network.cut(two, one);
        let version = raise(&cell, "e1").await.expect("accepted");
        sleep_ms(300).await;
        assert_eq!(cell.control("e2").settings().version, before);
        assert!(cell.control("e2").is_ready());
        cell.network.heal();
        until_same(&cell, version).await;
    });
}
