//! Calls of an instance to the leader: queries for the states of jobs, and forwarding of stored rows.
//!
//! Requests that arrive while a call is in progress share the next one, so the leader gets at most one call of each
//! kind at a time from each instance, whatever the number of callers.

use {
    crate::{
        Cell, CellView, OutageStart, OutageTracker,
        events::{ROW_FORWARD_FAILED, STATE_QUERY_FAILED},
        rows::{LeaderRow, OwnedState},
    },
    async_channel::{Receiver, Sender},
    ragwortreel_entry::{
        HelperConnector, HelperPeer,
        generated::{HandRowsRequest, JobStatesRequest, StoredRow},
    },
    ragwortreel_model::JobId,
    ragwortreel_platform::ChangedRow,
    ragwortreel_runtime::{boot_ms, lock, log_event, timeout_ms},
    std::{
        mem,
        sync::{Arc, Mutex},
    },
};

/// Maximum number of rows queued for forwarding; the leader reads further ones from the table.
const MAX_QUEUED_ROWS: usize = 256;
/// Maximum number of queries queued for the leader; further ones go to the store.
const MAX_QUEUED_QUERIES: usize = 1_024;
/// Maximum number of jobs per call, which limits the response to a few kilobytes.
const MAX_JOBS_PER_CALL: usize = 256;
/// Timeout of a call for states, in ms. Two round trips between zones take a tenth of it. The store is queried
/// afterwards, so the caller's deadline must leave time for that.
const QUERY_TIMEOUT_MS: u64 = 300;
/// Time after a failed call for states during which the store is queried instead, in ms.
const QUERY_BACKOFF_MS: u64 = 500;
/// Step name of forwarding rows, for [`OutageTracker`].
const FORWARD_ROWS_STEP: &str = "hand rows over";
/// Step name of querying states, for [`OutageTracker`].
const QUERY_STATES_STEP: &str = "ask for states";

/// Caller's query for the state of a job.
#[derive(Debug)]
struct StateQuery {
    job: JobId,
    /// Receives the state; closed without one if the leader did not answer or does not know the job.
    reply_tx: Sender<OwnedState>,
}

/// Senders of an instance's requests to the leader.
#[derive(Debug, Clone)]
pub(crate) struct LeaderTx {
    rows_tx: Sender<ChangedRow>,
    queries_tx: Sender<StateQuery>,
}

/// Receivers for [`LeaderTx`].
#[derive(Debug)]
pub(crate) struct LeaderRx {
    rows_rx: Receiver<ChangedRow>,
    queries_rx: Receiver<StateQuery>,
}

pub(crate) fn leader_channel() -> (LeaderTx, LeaderRx) {
    let (rows_tx, rows_rx) = async_channel::bounded(MAX_QUEUED_ROWS);
    let (queries_tx, queries_rx) = async_channel::bounded(MAX_QUEUED_QUERIES);
    let tx = LeaderTx {
        rows_tx,
        queries_tx,
    };
    let rx = LeaderRx {
        rows_rx,
        queries_rx,
    };
    (tx, rx)
}

impl LeaderTx {
    /// Queues a stored row for the leader. If the queue is full, the leader reads the row from the table.
    pub(crate) fn forward_row(&self, name: &str, value: &Arc<str>) {
        let _ = self.rows_tx.try_send(ChangedRow {
            key: Arc::from(name),
            value: Some(Arc::clone(value)),
            version: 0,
        });
    }

    /// Stored state of a job, if the leader answers and knows it.
    pub(crate) async fn state(&self, job: &JobId) -> Option<OwnedState> {
        let (reply_tx, reply_rx) = async_channel::bounded(1);
        let query = StateQuery {
            job: job.clone(),
            reply_tx,
        };
        self.queries_tx.try_send(query).ok()?;
        reply_rx.recv().await.ok()
    }
}

/// Connection to the current leader; replaced when another instance or incarnation leads.
pub(crate) struct LeaderPeer {
    view: Arc<CellView>,
    helpers: Arc<dyn HelperConnector>,
    current: Mutex<Option<(LeaderRow, Arc<dyn HelperPeer>)>>,
}

impl LeaderPeer {
    pub(crate) fn new(view: Arc<CellView>, helpers: Arc<dyn HelperConnector>) -> Self {
        Self {
            view,
            helpers,
            current: Mutex::default(),
        }
    }

    fn connect(&self) -> Option<Arc<dyn HelperPeer>> {
        let (leader, _) = self.view.leader()?;
        let mut current = lock(&self.current);
        let is_same = |(row, _): &&(LeaderRow, Arc<dyn HelperPeer>)| {
            row.incarnation == leader.incarnation && row.address == leader.address
        };
        if let Some((_, peer)) = current.as_ref().filter(is_same) {
            return Some(Arc::clone(peer));
        }
        let peer = self.helpers.connect_helper(leader.address);
        *current = Some((leader, Arc::clone(&peer)));
        Some(peer)
    }
}

/// Receives a message and those queued behind it, at most `max`; `None` once the channel is closed.
async fn recv_batch<T>(rx: &Receiver<T>, max: usize) -> Option<Vec<T>> {
    let mut all = vec![rx.recv().await.ok()?];
    while all.len() < max
        && let Ok(next) = rx.try_recv()
    {
        all.push(next);
    }
    Some(all)
}

/// Forwards queued rows to the leader.
pub(crate) async fn forward_rows(cell: Arc<Cell>) {
    let mut outages = OutageTracker::default();
    while let Some(rows) = recv_batch(&cell.leader_rx().rows_rx, MAX_QUEUED_ROWS).await {
        if let Some(term) = cell.term() {
            term.apply_job_rows(&rows);
            continue;
        }
        let Some(peer) = cell.leader_peer().connect() else {
            // The next leader reads the rows from the table.
            continue;
        };
        let rows = rows.into_iter().map(|row| StoredRow {
            name: row.key.to_string(),
            value: row.value.as_deref().unwrap_or_default().to_owned(),
        });
        let req = HandRowsRequest {
            rows: rows.collect(),
        };
        let problem = match peer.hand_rows(req).await {
            Ok(reply) if reply.taken => {
                outages.record_success(FORWARD_ROWS_STEP, boot_ms());
                continue;
            }
            Ok(_) => "the instance does not lead, or has not read the stored jobs".to_owned(),
            Err(err) => err.to_string(),
        };
        if let Some(OutageStart { suppressed }) =
            outages.record_failure(FORWARD_ROWS_STEP, boot_ms())
        {
            log_event!(cell.deps.log, ROW_FORWARD_FAILED; "problem" => problem, "left_out" => suppressed);
        }
    }
}

/// Sends queued queries to the leader.
pub(crate) async fn query_states(cell: Arc<Cell>) {
    let mut outages = OutageTracker::default();
    let mut backoff_until_ms = 0;
    while let Some(queries) = recv_batch(&cell.leader_rx().queries_rx, MAX_JOBS_PER_CALL).await {
        if let Some(term) = cell.term() {
            for StateQuery { job, reply_tx } in queries {
                send_reply(&reply_tx, term.stored_state(&job));
            }
            continue;
        }
        if boot_ms() < backoff_until_ms {
            continue;
        }
        match call_leader(&cell, &queries).await {
            Ok(states) => {
                outages.record_success(QUERY_STATES_STEP, boot_ms());
                for (query, state) in queries.iter().zip(states) {
                    send_reply(&query.reply_tx, state);
                }
            }
            Err(problem) => {
                backoff_until_ms = boot_ms() + QUERY_BACKOFF_MS;
                if let Some(OutageStart { suppressed }) =
                    outages.record_failure(QUERY_STATES_STEP, boot_ms())
                {
                    log_event!(cell.deps.log, STATE_QUERY_FAILED; "problem" => problem,
                        "left_out" => suppressed);
                }
            }
        }
    }
}

/// Replies to a query. Without a state the channel is closed, and the query goes to the store.
fn send_reply(reply_tx: &Sender<OwnedState>, state: Option<OwnedState>) {
    if let Some(state) = state {
        // The caller may have stopped waiting.
        let _ = reply_tx.try_send(state);
    }
}

async fn call_leader(
    cell: &Cell,
    queries: &[StateQuery],
) -> Result<Vec<Option<OwnedState>>, String> {
    let peer = cell.leader_peer().connect().ok_or("no instance leads")?;
    let jobs = queries.iter().map(|it| it.job.as_str().to_owned());
    let req = JobStatesRequest {
        jobs: jobs.collect(),
    };
    let reply = timeout_ms(QUERY_TIMEOUT_MS, peer.job_states(req)).await;
    let reply = reply.map_err(|_| "the leader did not answer in time")?;
    let mut reply = reply.map_err(|err| err.to_string())?;
    if !reply.leads {
        return Err("the instance does not lead".to_owned());
    }
    if reply.states.len() != queries.len() {
        return Err(format!(
            "the leader returned {} states for {} jobs",
            reply.states.len(),
            queries.len()
        ));
    }
    // An unknown job has an empty text, which does not decode to a state.
    Ok(mem::take(&mut reply.states)
        .iter()
        .map(|text| OwnedState::decode(text).ok())
        .collect())
}
