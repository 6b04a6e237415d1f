//! Settings: the version in force, its spread over the instances, and changes.
//!
//! The version only ever rises: [`SettingsStore::adopt`] is the one place that replaces the tree.

use {
    crate::{
        api::VersionedSettings,
        events::{SETTINGS_IN_FORCE, SETTINGS_REFUSED},
        rows::{self, ContentRow, HeadRow},
        shared::Shared,
        store::limited,
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

/// The settings in force.
pub(crate) struct SettingsStore {
    state: Mutex<State>,
    head_read: AtomicBool,
}

struct State {
    current: Arc<VersionedSettings>,
    /// Version in which each branch last changed, as far as this instance saw.
    changed_in: BTreeMap<Workspace, u64>,
    /// Version that this instance started with; what changed before is not known.
    first_seen: u64,
    subscribers: Vec<Sender<Arc<VersionedSettings>>>,
}

/// Why a tree was not taken over.
#[derive(Debug, Display, Error)]
pub(crate) enum AdoptError {
    #[display("the hash does not match")]
    Hash,
    #[display("the document is not text")]
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
                first_seen: 0,
                subscribers: Vec::new(),
            }),
            head_read: AtomicBool::new(false),
        }
    }

    pub fn current(&self) -> Arc<VersionedSettings> {
        Arc::clone(&lock(&self.state).current)
    }

    /// Whether the table's head row was read since the start and its version is in force.
    pub fn is_head_read(&self) -> bool {
        self.head_read.load(Ordering::SeqCst)
    }

    /// The newest tree after each change; a slow reader misses the ones between.
    pub fn subscribe(&self) -> Receiver<Arc<VersionedSettings>> {
        let (tx, rx) = async_channel::bounded(1);
        let mut state = lock(&self.state);
        let _ = tx.try_send(Arc::clone(&state.current));
        state.subscribers.push(tx);
        rx
    }

    /// Version up to which a workspace's branch is unchanged, at the latest.
    pub fn changed_in(&self, workspace: &Workspace) -> u64 {
        let state = lock(&self.state);
        let changed = state.changed_in.get(workspace).copied();
        changed.unwrap_or(state.first_seen)
    }

    /// Takes over a tree with a matching hash and a higher version; returns whether it is in force now.
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
        // Checked again under the lock, because another tree may have come in between.
        if version <= state.current.version {
            return Ok(false);
        }
        state.note_changes(&tree);
        state.current = Arc::clone(&tree);
        state.subscribers.retain(|tx| {
            // The channel holds one tree; an unread older one gives way to the newer.
            tx.force_send(Arc::clone(&tree)).is_ok()
        });
        Ok(true)
    }
}

impl State {
    fn note_changes(&mut self, tree: &VersionedSettings) {
        if self.current.version == 0 {
            self.first_seen = tree.version;
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

/// Takes over a tree and logs what came of it.
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

/// Takes over a tree that another instance sent.
pub(crate) fn adopt_tree(shared: &Shared, tree: &SettingsTree) -> bool {
    let mut sha256 = String::with_capacity(64);
    for byte in &tree.sha256 {
        let _ = write!(sha256, "{byte:02x}");
    }
    adopt(shared, tree.version, &sha256, &tree.json)
}

/// The tree in force as a message.
pub(crate) fn tree_message(current: &VersionedSettings) -> SettingsTree {
    SettingsTree {
        version: current.version,
        sha256: Sha256::digest(current.json.as_bytes()).to_vec(),
        json: current.json.as_bytes().to_vec(),
    }
}

/// Sends the tree in force to all other instances; those that miss it learn of it by heartbeat.
pub(crate) fn push(shared: &Arc<Shared>) {
    let tree = tree_message(&shared.settings.current());
    for (_, client) in shared.peers.clients() {
        let tree = tree.clone();
        spawn(async move {
            let _ = client.push_settings(tree).await;
        })
        .detach();
    }
}

/// Reads the content of the table's newest version when it is above the one in force.
pub(crate) async fn follow_head(shared: &Shared, head: Option<&HeadRow>) {
    let in_force = || shared.settings.current().version;
    if let Some(head) = head.filter(|head| head.version > in_force())
        && let Some((sha256, json)) = read_content(shared, head.version).await
        && *sha256 == *head.sha256
    {
        adopt(shared, head.version, &sha256, &json);
    }
    if head.is_none_or(|head| head.version <= in_force()) {
        shared.settings.head_read.store(true, Ordering::SeqCst);
    }
}

/// Content of a version from the table or, for a large tree, from the object store.
async fn read_content(shared: &Shared, version: u64) -> Option<(Arc<str>, Vec<u8>)> {
    let key = rows::content_key(version);
    let row = limited("read settings", shared.table.get(&key))
        .await
        .ok()??;
    let content: ContentRow = rows::decode(&row).ok()?;
    if let Some(json) = content.json {
        return Some((content.sha256, json.as_bytes().to_vec()));
    }
    let object = rows::content_object(&content.sha256);
    let json = limited("read settings", shared.objects.get(&object))
        .await
        .ok()??;
    Some((content.sha256, json))
}
