//! Recovery of a pool after its takeover: reads the snapshot, the journal and the job rows.

use {
    crate::{
        owner::{
            journal::RecoveredJournal,
            progress::{JournalRecord, PoolProgress},
        },
        rows::{self, JOBS, JobRow, SnapshotRow},
        shared::Shared,
        store::with_timeout,
    },
    ragwortreel_model::{Epoch, JobId, Pool},
    ragwortreel_platform::Row,
    std::{collections::BTreeMap, sync::Arc},
};

/// State of a pool from one scan after its takeover.
pub(crate) struct RecoveredPool {
    pub journal: RecoveredJournal,
    /// Jobs without a final state, with the versions of their rows.
    pub jobs: BTreeMap<JobId, (JobRow, u64)>,
    /// Jobs with a final state.
    pub ended: Vec<JobRow>,
}

/// Reads the state of a pool; the takeover has fenced all writes of earlier owners.
pub(crate) async fn read_pool(shared: &Shared, pool: &Pool) -> Result<RecoveredPool, String> {
    let (journal, snapshot) = (rows::journal_prefix(pool), rows::snapshot_key(pool));
    let prefixes = [&*journal, &*snapshot, JOBS];
    let found = with_timeout("read pool", shared.table.scan(&prefixes)).await;
    let found = found.map_err(|err| err.to_string())?;
    let at = found.iter().find(|row| row.key == snapshot);
    let at = at.map(read_row::<SnapshotRow>).transpose()?;
    let mut progress = match &at {
        Some((at, _)) => read_snapshot(shared, pool, at).await?,
        None => PoolProgress::default(),
    };
    let covered = at
        .as_ref()
        .map_or((Epoch(0), 0), |(at, _)| (at.epoch, at.seq));
    let mut keys = Vec::new();
    for row in found.iter().filter(|row| row.key.starts_with(&*journal)) {
        keys.push(Arc::clone(&row.key));
        let position = rows::parse_journal_key(&row.key).ok_or_else(|| {
            format!(
                "journal key {}: expected journal/POOL/EPOCH/SEQUENCE",
                row.key
            )
        })?;
        if position <= covered {
            continue;
        }
        let (records, _) = read_row::<Vec<JournalRecord>>(row)?;
        for record in &records {
            progress.apply(record);
        }
    }
    let (mut jobs, mut ended) = (BTreeMap::new(), Vec::new());
    for row in found.iter().filter(|row| row.key.starts_with(JOBS)) {
        let (job, version) = read_row::<JobRow>(row)?;
        if job.pool != *pool {
            continue;
        }
        if job.state.is_final() {
            ended.push(job);
        } else {
            jobs.insert(job.spec.id.clone(), (job, version));
        }
    }
    Ok(RecoveredPool {
        journal: RecoveredJournal {
            progress,
            rows: keys,
            snapshot: at,
        },
        jobs,
        ended,
    })
}

fn read_row<T: serde::de::DeserializeOwned>(row: &Row) -> Result<(T, u64), String> {
    let content = rows::decode(row).map_err(|err| format!("row {}: {err}", row.key))?;
    Ok((content, row.version))
}

async fn read_snapshot(
    shared: &Shared,
    pool: &Pool,
    at: &SnapshotRow,
) -> Result<PoolProgress, String> {
    let object = rows::snapshot_object(pool, at);
    let content = with_timeout("read snapshot", shared.objects.get(&object)).await;
    let content = content.map_err(|err| err.to_string())?;
    let content = content.ok_or_else(|| format!("object {object} does not exist"))?;
    serde_json::from_slice(&content).map_err(|err| format!("object {object}: {err}"))
}
