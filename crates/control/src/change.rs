//! Changes of the settings by compare-and-set on the head row.

use {
    crate::{
        api::{SettingsChange, SettingsChangeError, VersionedSettings},
        rows::{self, AuthorRow, ContentRow, HeadRow, SETTINGS_HEAD},
        settings::{adopt, follow_head, push, sha256_hex},
        shared::Shared,
        store::{Definite, commit_definite, limited},
    },
    ragwortreel_model::{MAX_SETTINGS_BYTES, Settings, SettingsError},
    ragwortreel_platform::{Row, Txn},
    std::sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Largest document kept in a table row, in bytes; a transaction may hold 256 KB with its other rows.
const MAX_ROW_JSON_BYTES: usize = 200 * 1024;
/// Versions whose content is kept in the table.
const KEPT_VERSIONS: u64 = 20;
/// Versions whose authors are kept, so that a change with a lost answer is recognised when many others followed.
const KEPT_AUTHORS: u64 = 1_000;
/// Times that a change of one branch is put on top of other branches' changes before the caller hears of a conflict.
const MAX_REBASES: u32 = 16;

static CHANGES: AtomicU64 = AtomicU64::new(0);

/// What the table holds as the newest version.
struct Head {
    row_version: u64,
    version: u64,
}

enum Attempt {
    Done(u64),
    /// Another change came first.
    Overtaken,
}

/// Changes the settings and returns the new version once it is durable.
pub(crate) async fn change(
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
        let tree = apply(shared, base, change, &current)?;
        let json = serde_json::to_string(&tree).map_err(|err| invalid(&err.to_string()))?;
        if json.len() > MAX_SETTINGS_BYTES {
            return Err(invalid("expected at most 4 MiB"));
        }
        match write(shared, &head, json.into(), deadline_ms).await? {
            Attempt::Done(version) => {
                push(shared);
                return Ok(version);
            }
            Attempt::Overtaken => {}
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
    let row = limited("read settings head", shared.table.get(SETTINGS_HEAD)).await;
    let row = row.map_err(|err| unavailable(&err.to_string()))?;
    let Some(row) = row else {
        return Ok(Head {
            row_version: 0,
            version: 0,
        });
    };
    let head: HeadRow = rows::decode(&row).map_err(|err| unavailable(&err.to_string()))?;
    follow_head(shared, Some(&head)).await;
    Ok(Head {
        row_version: row.version,
        version: head.version,
    })
}

/// The new tree, when what the change is about has not changed since the base version.
fn apply(
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

async fn write(
    shared: &Arc<Shared>,
    head: &Head,
    json: Arc<str>,
    deadline_ms: u64,
) -> Result<Attempt, SettingsChangeError> {
    let sha256: Arc<str> = sha256_hex(json.as_bytes()).into();
    let version = head.version + 1;
    let is_large = json.len() > MAX_ROW_JSON_BYTES;
    if is_large {
        // The object is named by its content, so a repeated or lost write of it does no harm.
        let object = rows::content_object(&sha256);
        let put = shared.objects.put(&object, json.as_bytes().to_vec());
        limited("write settings", put)
            .await
            .map_err(|err| unavailable(&err.to_string()))?;
    }
    let number = CHANGES.fetch_add(1, Ordering::Relaxed);
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
    let definite = commit_definite(&*shared.table, &txn, || clock.now_ms() < deadline_ms).await;
    match definite {
        Definite::Committed { .. } => {
            adopt(shared, version, &sha256, json.as_bytes());
            Ok(Attempt::Done(version))
        }
        // A change with a lost answer is found by its author's row, unless so many others followed that it is gone.
        Definite::Conflict { current } if is_forgotten(&current, version) => {
            Err(SettingsChangeError::Unknown {
                problem: "too many changes have followed".into(),
            })
        }
        Definite::Conflict { .. } => Ok(Attempt::Overtaken),
        Definite::NotDone { problem } => Err(SettingsChangeError::Unavailable { problem }),
        Definite::Unknown { problem } => Err(SettingsChangeError::Unknown { problem }),
    }
}

fn is_forgotten(current: &[Row], version: u64) -> bool {
    let head = current.iter().find(|row| &*row.key == SETTINGS_HEAD);
    let head = head.and_then(|row| rows::decode::<HeadRow>(row).ok());
    head.is_some_and(|head| head.version >= version + KEPT_AUTHORS)
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
    if let Some(old) = version.checked_sub(KEPT_VERSIONS).filter(|old| *old > 0) {
        txn.writes.push(rows::delete(&rows::content_key(old)));
    }
    if let Some(old) = version.checked_sub(KEPT_AUTHORS).filter(|old| *old > 0) {
        txn.writes.push(rows::delete(&rows::author_key(old)));
    }
    txn
}
