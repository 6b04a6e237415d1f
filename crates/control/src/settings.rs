//! Settings in force and their distribution to other instances.
//!
//! The version never decreases: [`SettingsStore::adopt`] is the only place that replaces the tree.

use {
    crate::{
        api::VersionedSettings,
        events::{SETTINGS_IN_FORCE, SETTINGS_REFUSED},
        rows::{self, ContentRow, HeadRow},
        shared::Shared,
        store::with_timeout,
    },
    async_channel::{Receiver, Sender},
    derive_more::{Display, Error},
    ragwortreel_entry::generated::SettingsTree,
    ragwortreel_model::{Settings, SettingsError, Workspace},
    ragwortreel_runtime::{lock, log_event, spawn},
    sha2::{Digest, Sha256},
    std::{
        collections::BTreeMap,
        fmt::Write as _,
        sync::{
            Arc, Mutex,
            atomic::{AtomicBool, Ordering},
        },
    },
};

/// Settings in force and their subscribers.
pub(crate) struct SettingsStore {
    state: Mutex<State>,
    synced_with_head: AtomicBool,
}

struct State {
    current: Arc<VersionedSettings>,
    /// Version in which each branch last changed, as observed by this instance.
    changed_in: BTreeMap<Workspace, u64>,
    /// First version that this instance adopted; earlier changes of branches are not known.
    first_version: u64,
    subscribers: Vec<Sender<Arc<VersionedSettings>>>,
}

/// Reason why a settings tree was rejected.
#[derive(Debug, Display, Error)]
pub(crate) enum AdoptError {
    #[display("the document does not match its SHA-256")]
    Hash,
    #[display("the document is not valid UTF-8")]
    Text,
    #[display("{_0}")]
    Tree(SettingsError),
}

impl SettingsStore {
    pub fn new() -> Self {
        let json: Arc<str> = rows::encode(&Settings::default());
        let current = VersionedSettings {
            version: 0,
            sha256: sha256_hex(json.as_bytes()).into(),
            json,
            settings: Settings::default(),
        };
        Self {
            state: Mutex::new(State {
                current: Arc::new(current),
                changed_in: BTreeMap::new(),
                first_version: 0,
                subscribers: Vec::new(),
            }),
            synced_with_head: AtomicBool::new(false),
        }
    }

    pub fn current(&self) -> Arc<VersionedSettings> {
        Arc::clone(&lock(&self.state).current)
    }

    /// Returns whether the table's head row was read since the start and its version is in force.
    pub fn is_synced_with_head(&self) -> bool {
        self.synced_with_head.load(Ordering::SeqCst)
    }

    /// Returns a receiver of the current tree and all newer ones; a slow reader skips intermediate trees.
    pub fn subscribe(&self) -> Receiver<Arc<VersionedSettings>> {
        let (tx, rx) = async_channel::bounded(1);
        let mut state = lock(&self.state);
        let _ = tx.try_send(Arc::clone(&state.current));
        state.subscribers.push(tx);
        rx
    }

    /// Version in which the workspace's branch last changed, or an upper bound of it.
    pub fn changed_in(&self, workspace: &Workspace) -> u64 {
        let state = lock(&self.state);
        let changed = state.changed_in.get(workspace).copied();
        changed.unwrap_or(state.first_version)
    }

    /// Adopts a tree with a matching hash and a higher version; returns whether it is now in force.
    pub fn adopt(&self, version: u64, sha256: &str, json: &[u8]) -> Result<bool, AdoptError> {
        if version <= self.current().version {
            return Ok(false);
        }
        if sha256_hex(json) != sha256 {
            return Err(AdoptError::Hash);
        }
        let settings = Settings::parse(json).map_err(AdoptError::Tree)?;
        let json = std::str::from_utf8(json).map_err(|_| AdoptError::Text)?;
        let tree = Arc::new(VersionedSettings {
            version,
            sha256: sha256.into(),
            json: json.into(),
            settings,
        });
        let mut state = lock(&self.state);
        // Repeat the check under the lock: another tree may have been adopted meanwhile.
        if version <= state.current.version {
            return Ok(false);
        }
        state.record_branch_changes(&tree);
        state.current = Arc::clone(&tree);
        state.subscribers.retain(|tx| {
            // The channel holds one tree; a newer tree replaces an unread one.
            tx.force_send(Arc::clone(&tree)).is_ok()
        });
        Ok(true)
    }
}

impl State {
    fn record_branch_changes(&mut self, tree: &VersionedSettings) {
        if self.current.version == 0 {
            self.first_version = tree.version;
            return;
        }
        let (old, new) = (&self.current.settings.workspaces, &tree.settings.workspaces);
        let changed = (old.keys().chain(new.keys()))
            .filter(|workspace| old.get(*workspace) != new.get(*workspace));
        for workspace in changed {
            self.changed_in.insert(workspace.clone(), tree.version);
        }
    }
}

pub(crate) fn sha256_hex(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(64);
    for byte in Sha256::digest(bytes) {
        let _ = write!(text, "{byte:02x}");
    }
    text
}

/// Adopts a tree and logs the result; returns whether it is now in force.
pub(crate) fn adopt(shared: &Shared, version: u64, sha256: &str, json: &[u8]) -> bool {
    match shared.settings.adopt(version, sha256, json) {
        Ok(true) => {
            log_event!(shared.log, SETTINGS_IN_FORCE; "version" => version);
            true
        }
        Ok(false) => false,
        Err(err) => {
            log_event!(shared.log, SETTINGS_REFUSED; "version" => version, "error" => err.to_string());
            false
        }
    }
}

/// Adopts a tree received from another instance.
pub(crate) fn adopt_message(shared: &Shared, tree: &SettingsTree) -> bool {
    let mut sha256 = String::with_capacity(64);
    for byte in &tree.sha256 {
        let _ = write!(sha256, "{byte:02x}");
    }
    adopt(shared, tree.version, &sha256, &tree.json)
}

/// Encodes the tree in force as a message.
pub(crate) fn tree_message(current: &VersionedSettings) -> SettingsTree {
    SettingsTree {
        version: current.version,
        sha256: Sha256::digest(current.json.as_bytes()).to_vec(),
        json: current.json.as_bytes().to_vec(),
    }
}

/// Sends the tree in force to all other instances; an instance that misses it sees the new version in a heartbeat.
pub(crate) fn push_to_peers(shared: &Arc<Shared>) {
    let tree = tree_message(&shared.settings.current());
    for (_, client) in shared.peers.clients() {
        let tree = tree.clone();
        spawn(async move {
            let _ = client.push_settings(tree).await;
        })
        .detach();
    }
}

/// Adopts the newest version in the table if it is above the version in force.
pub(crate) async fn sync_with_head(shared: &Shared, head: Option<&HeadRow>) {
    let in_force = || shared.settings.current().version;
    if let Some(head) = head.filter(|head| head.version > in_force())
        && let Some((sha256, json)) = read_content(shared, head.version).await
        && *sha256 == *head.sha256
    {
        adopt(shared, head.version, &sha256, &json);
    }
    if head.is_none_or(|head| head.version <= in_force()) {
        shared
            .settings
            .synced_with_head
            .store(true, Ordering::SeqCst);
    }
}

/// Reads a version's content from the table or, for a large tree, from the object store.
async fn read_content(shared: &Shared, version: u64) -> Option<(Arc<str>, Vec<u8>)> {
    let key = rows::content_key(version);
    let row = with_timeout("read settings", shared.table.get(&key))
        .await
        .ok()??;
    let content: ContentRow = rows::decode(&row).ok()?;
    if let Some(json) = content.json {
        return Some((content.sha256, json.as_bytes().to_vec()));
    }
    let object = rows::content_object(&content.sha256);
    let json = with_timeout("read settings", shared.objects.get(&object))
        .await
        .ok()??;
    Some((content.sha256, json))
}
