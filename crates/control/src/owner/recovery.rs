//! What a new owner reads before it serves a pool: snapshot, journal and job rows.

use {
    crate::{
        owner::{
            journal::Recovered,
            ledger::{Ledger, Record},
        },
        rows::{self, JOBS, JobRow, SnapshotRow},
        shared::Shared,
        store::limited,
    },
    ragwortreel_model::{Epoch, JobId, Pool},
    ragwortreel_platform::Row,
    std::{collections::BTreeMap, sync::Arc},
};

/// Rows of a pool as of one moment after its takeover.
pub(crate) struct Read {
    pub journal: Recovered,
    /// Jobs of the pool that are not final, with the versions of their rows.
    pub jobs: BTreeMap<JobId, (JobRow, u64)>,
    /// Jobs of the pool that are final.
    pub ended: Vec<JobRow>,
}

/// Reads a pool; the takeover has fenced all writes of earlier owners.
pub(crate) async fn read(shared: &Shared, pool: &Pool) -> Result<Read, String> {
    let (journal, snapshot) = (rows::journal_prefix(pool), rows::snapshot_key(pool));
    let prefixes = [&*journal, &*snapshot, JOBS];
    let found = limited("read pool", shared.table.scan(&prefixes)).await;
    let found = found.map_err(|err| err.to_string())?;
    let at = found.iter().find(|row| row.key == snapshot);
    let at = at.map(read_row::<SnapshotRow>).transpose()?;
    let mut ledger = match &at {
        Some((at, _)) => read_snapshot(shared, pool, at).await?,
        None => Ledger::default(),
    };
    let covered = at
        .as_ref()
        .map_or((Epoch(0), 0), |(at, _)| (at.epoch, at.seq));
    let mut keys = Vec::new();
    for row in found.iter().filter(|row| row.key.starts_with(&*journal)) {
        keys.push(Arc::clone(&row.key));
        let position = rows::parse_journal_key(&row.key).ok_or("a journal key is malformed")?;
        if position <= covered {
            continue;
        }
        let (records, _) = read_row::<Vec<Record>>(row)?;
        for record in &records {
            ledger.apply(record);
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
    Ok(Read {
        journal: Recovered {
            ledger,
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

async fn read_snapshot(shared: &Shared, pool: &Pool, at: &SnapshotRow) -> Result<Ledger, String> {
    let object = rows::snapshot_object(pool, at);
    let content = limited("read snapshot", shared.objects.get(&object)).await;
    let content = content.map_err(|err| err.to_string())?;
    let content = content.ok_or_else(|| format!("object {object} does not exist"))?;
    serde_json::from_slice(&content).map_err(|err| format!("object {object}: {err}"))
}
