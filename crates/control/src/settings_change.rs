//! Settings changes by compare-and-set on the settings head row.

use {
    crate::{
        api::{SettingsChange, SettingsChangeError, VersionedSettings},
        rows::{self, AuthorRow, ContentRow, HeadRow, SETTINGS_HEAD},
        settings::{adopt, push_to_peers, sha256_hex, sync_with_head},
        shared::Shared,
        store::{CommitOutcome, commit_until_known, with_timeout},
    },
    ragwortreel_model::{MAX_SETTINGS_BYTES, Settings, SettingsError},
    ragwortreel_platform::{Row, Txn},
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Largest settings document stored in a table row, in bytes; a transaction with all its rows holds at most 256 KB.
const MAX_ROW_JSON_BYTES: usize = 200 * 1024;
/// Settings versions whose content remains in the table.
const RETAINED_VERSIONS: u64 = 20;
/// Settings versions whose author rows remain in the table, so that a change with a lost answer is recognised even
/// after many later changes.
const RETAINED_AUTHORS: u64 = 1_000;
/// Attempts to rebase a workspace change onto concurrent changes before the caller gets a conflict.
const MAX_REBASES: u32 = 16;

static NEXT_CHANGE_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Newest settings version in the table.
struct Head {
    row_version: u64,
    version: u64,
}

enum WriteResult {
    Committed(u64),
    /// Another change was committed first.
    Superseded,
}

/// Changes the settings and returns the new version once it is durable.
pub(crate) async fn change_settings(
    shared: &Arc<Shared>,
    base: u64,
    change: &SettingsChange,
) -> Result<u64, SettingsChangeError> {
    let deadline_ms = shared.now_ms() + shared.cfg.timings.call_timeout_ms;
    for _ in 0..MAX_REBASES {
        let head = read_head(shared).await?;
        let current = shared.settings.current();
        if current.version != head.version {
            return Err(unavailable("the newest settings cannot be read"));
        }
        let tree = rebase(shared, base, change, &current)?;
        let json = serde_json::to_string(&tree).map_err(|err| invalid(&err.to_string()))?;
        if json.len() > MAX_SETTINGS_BYTES {
            return Err(invalid("expected at most 4 MiB"));
        }
        match write_version(shared, &head, json.into(), deadline_ms).await? {
            WriteResult::Committed(version) => {
                push_to_peers(shared);
                return Ok(version);
            }
            WriteResult::Superseded => {}
        }
    }
    Err(SettingsChangeError::Conflict {
        current: shared.settings.current(),
    })
}

fn unavailable(problem: &str) -> SettingsChangeError {
    SettingsChangeError::Unavailable {
        problem: problem.into(),
    }
}

fn invalid(problem: &str) -> SettingsChangeError {
    SettingsChangeError::Invalid(SettingsError {
        path: ".".to_owned(),
        problem: problem.to_owned(),
    })
}

async fn read_head(shared: &Arc<Shared>) -> Result<Head, SettingsChangeError> {
    let row = with_timeout("read settings head", shared.table.get(SETTINGS_HEAD)).await;
    let row = row.map_err(|err| unavailable(&err.to_string()))?;
    let Some(row) = row else {
        return Ok(Head {
            row_version: 0,
            version: 0,
        });
    };
    let head: HeadRow = rows::decode(&row).map_err(|err| unavailable(&err.to_string()))?;
    sync_with_head(shared, Some(&head)).await;
    Ok(Head {
        row_version: row.version,
        version: head.version,
    })
}

/// Applies the change to the current tree, unless the changed tree or branch was modified after the base version.
fn rebase(
    shared: &Shared,
    base: u64,
    change: &SettingsChange,
    current: &Arc<VersionedSettings>,
) -> Result<Settings, SettingsChangeError> {
    let conflict = || SettingsChangeError::Conflict {
        current: Arc::clone(current),
    };
    let tree = match change {
        SettingsChange::Whole(tree) => {
            if base != current.version {
                return Err(conflict());
            }
            tree.clone()
        }
        SettingsChange::Workspace(workspace, branch) => {
            let unchanged = base == current.version
                || (base < current.version && shared.settings.changed_in(workspace) <= base);
            if !unchanged {
                return Err(conflict());
            }
            let mut tree = current.settings.clone();
            match branch {
                Some(branch) => tree.workspaces.insert(workspace.clone(), branch.clone()),
                None => tree.workspaces.remove(workspace),
            };
            tree
        }
    };
    tree.check().map_err(SettingsChangeError::Invalid)?;
    Ok(tree)
}

async fn write_version(
    shared: &Arc<Shared>,
    head: &Head,
    json: Arc<str>,
    deadline_ms: u64,
) -> Result<WriteResult, SettingsChangeError> {
    let sha256: Arc<str> = sha256_hex(json.as_bytes()).into();
    let version = head.version + 1;
    let is_large = json.len() > MAX_ROW_JSON_BYTES;
    if is_large {
        // The object name is the content hash, so repeated writes are idempotent.
        let object = rows::content_object(&sha256);
        let put = shared.objects.put(&object, json.as_bytes().to_vec());
        with_timeout("write settings", put)
            .await
            .map_err(|err| unavailable(&err.to_string()))?;
    }
    let number = NEXT_CHANGE_NUMBER.fetch_add(1, Ordering::Relaxed);
    let author = AuthorRow {
        change: format!(
            "{}/{}/{number}",
            shared.cfg.instance, shared.cfg.incarnation
        )
        .into(),
    };
    let content = ContentRow {
        sha256: Arc::clone(&sha256),
        json: (!is_large).then(|| Arc::clone(&json)),
    };
    let txn = transaction(head, &author, &content, version);
    let clock = Arc::clone(&shared.clock);
    let outcome = commit_until_known(&*shared.table, &txn, || clock.now_ms() < deadline_ms).await;
    match outcome {
        CommitOutcome::Committed { .. } => {
            adopt(shared, version, &sha256, json.as_bytes());
            Ok(WriteResult::Committed(version))
        }
        // A committed change with a lost answer is recognised by its author row. Once so many later changes have
        // followed that the row may have been removed, the outcome is unknown.
        CommitOutcome::Conflict { current } if is_author_row_pruned(&current, version) => {
            Err(SettingsChangeError::Unknown {
                problem: "too many changes have followed".into(),
            })
        }
        CommitOutcome::Conflict { .. } => Ok(WriteResult::Superseded),
        CommitOutcome::NotDone { problem } => Err(SettingsChangeError::Unavailable { problem }),
        CommitOutcome::Unknown { problem } => Err(SettingsChangeError::Unknown { problem }),
    }
}

fn is_author_row_pruned(current: &[Row], version: u64) -> bool {
    let head = current.iter().find(|row| &*row.key == SETTINGS_HEAD);
    let head = head.and_then(|row| rows::decode::<HeadRow>(row).ok());
    head.is_some_and(|head| head.version >= version + RETAINED_AUTHORS)
}

fn transaction(head: &Head, author: &AuthorRow, content: &ContentRow, version: u64) -> Txn {
    let (author_key, content_key) = (rows::author_key(version), rows::content_key(version));
    let head_key: Arc<str> = SETTINGS_HEAD.into();
    let new_head = HeadRow {
        version,
        sha256: Arc::clone(&content.sha256),
    };
    let mut txn = Txn {
        checks: vec![
            rows::check(&author_key, 0),
            rows::check(&head_key, head.row_version),
        ],
        writes: vec![
            rows::put(&author_key, author),
            rows::put(&content_key, content),
            rows::put(&head_key, &new_head),
        ],
    };
    if let Some(old) = version
        .checked_sub(RETAINED_VERSIONS)
        .filter(|old| *old > 0)
    {
        txn.writes.push(rows::delete(&rows::content_key(old)));
    }
    if let Some(old) = version.checked_sub(RETAINED_AUTHORS).filter(|old| *old > 0) {
        txn.writes.push(rows::delete(&rows::author_key(old)));
    }
    txn
}
