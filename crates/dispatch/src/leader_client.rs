//! What an instance asks the leader: the states of jobs, and to take over rows that are stored.
//!
//! Questions that come while a call is under way share the next one, so the leader gets at most one call at a time of each
//! kind from each instance, whatever the number of callers.

use {
    crate::{
        Cell, CellView, OutageStart, OutageTracker,
        events::{HAND_OVER_FAILED, STATES_FAILED},
        rows::{LeaderRow, decode_state},
    },
    async_channel::{Receiver, Sender},
    ragwortreel_entry::{
        HelperConnector, HelperPeer,
        generated::{HandRowsRequest, JobStatesRequest, StoredRow},
    },
    ragwortreel_model::{JobId, JobState},
    ragwortreel_platform::ChangedRow,
    ragwortreel_runtime::{boot_ms, lock, log_event, timeout_ms},
    std::{
        mem,
        sync::{Arc, Mutex},
    },
};

/// Rows that wait to be handed over; further ones are left to the table.
const MAX_ROWS: usize = 256;
/// Questions that wait for the leader; further ones go to the store.
const MAX_QUESTIONS: usize = 1_024;
/// Jobs in one question, which bounds the answer to some kilobytes.
const MAX_JOBS: usize = 256;
/// Time that the leader has for an answer about states, in ms. Two round trips between zones take a tenth of it; after it
/// the store is asked, which the caller's time must allow for.
const STATES_MS: u64 = 300;
/// Time after a failed question for which the store is asked instead, in ms.
const SILENT_MS: u64 = 500;
const HAND_OVER: &str = "hand rows over";
const ASK_STATES: &str = "ask for states";

/// A caller's question about a job.
#[derive(Debug)]
struct Question {
    job: JobId,
    /// Gets the state, if the leader knows it; closed without one when the leader did not answer.
    reply_tx: Sender<JobState>,
}

/// Way to the leader for an instance's callers.
#[derive(Debug, Clone)]
pub(crate) struct LeaderTx {
    rows_tx: Sender<ChangedRow>,
    questions_tx: Sender<Question>,
}

/// The other end of [`LeaderTx`].
#[derive(Debug)]
pub(crate) struct LeaderRx {
    rows_rx: Receiver<ChangedRow>,
    questions_rx: Receiver<Question>,
}

pub(crate) fn leader_channel() -> (LeaderTx, LeaderRx) {
    let (rows_tx, rows_rx) = async_channel::bounded(MAX_ROWS);
    let (questions_tx, questions_rx) = async_channel::bounded(MAX_QUESTIONS);
    let tx = LeaderTx {
        rows_tx,
        questions_tx,
    };
    let rx = LeaderRx {
        rows_rx,
        questions_rx,
    };
    (tx, rx)
}

impl LeaderTx {
    /// Gives the leader a row that is stored. When too many wait, the leader finds it in the table.
    pub(crate) fn hand_over(&self, name: &str, value: &Arc<str>) {
        let _ = self.rows_tx.try_send(ChangedRow {
            key: Arc::from(name),
            value: Some(Arc::clone(value)),
            version: 0,
        });
    }

    /// Stored state of a job, if the leader answers and knows it.
    pub(crate) async fn state(&self, job: &JobId) -> Option<JobState> {
        let (reply_tx, reply_rx) = async_channel::bounded(1);
        let question = Question {
            job: job.clone(),
            reply_tx,
        };
        self.questions_tx.try_send(question).ok()?;
        reply_rx.recv().await.ok()
    }
}

/// Connection to the present leader; replaced when another instance, or another life of it, leads.
pub(crate) struct LeaderPeer {
    view: Arc<CellView>,
    helpers: Arc<dyn HelperConnector>,
    known: Mutex<Option<(LeaderRow, Arc<dyn HelperPeer>)>>,
}

impl LeaderPeer {
    pub(crate) fn new(view: Arc<CellView>, helpers: Arc<dyn HelperConnector>) -> Self {
        Self {
            view,
            helpers,
            known: Mutex::default(),
        }
    }

    fn get(&self) -> Option<Arc<dyn HelperPeer>> {
        let (leader, _) = self.view.leader()?;
        let mut known = lock(&self.known);
        let is_same = |(row, _): &&(LeaderRow, Arc<dyn HelperPeer>)| {
            row.incarnation == leader.incarnation && row.address == leader.address
        };
        if let Some((_, peer)) = known.as_ref().filter(is_same) {
            return Some(Arc::clone(peer));
        }
        let peer = self.helpers.connect_helper(leader.address);
        *known = Some((leader, Arc::clone(&peer)));
        Some(peer)
    }
}

/// First message of a channel and those that wait behind it, up to a number.
async fn recv_some<T>(rx: &Receiver<T>, most: usize) -> Option<Vec<T>> {
    let mut all = vec![rx.recv().await.ok()?];
    while all.len() < most
        && let Ok(next) = rx.try_recv()
    {
        all.push(next);
    }
    Some(all)
}

/// Hands rows over as they come.
pub(crate) async fn hand_rows_over(cell: Arc<Cell>) {
    let mut outages = OutageTracker::default();
    while let Some(rows) = recv_some(&cell.leader_rx().rows_rx, MAX_ROWS).await {
        if let Some(term) = cell.term() {
            term.take_rows(&rows);
            continue;
        }
        let Some(peer) = cell.leader_peer().get() else {
            // Whoever leads first finds the rows in the table.
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
                outages.record_success(HAND_OVER, boot_ms());
                continue;
            }
            Ok(_) => "the instance does not lead, or has not read the stored jobs".to_owned(),
            Err(err) => err.to_string(),
        };
        if let Some(OutageStart { suppressed }) = outages.record_failure(HAND_OVER, boot_ms()) {
            log_event!(cell.deps.log, HAND_OVER_FAILED; "problem" => problem, "left_out" => suppressed);
        }
    }
}

/// Asks the leader for the states that callers want to know.
pub(crate) async fn ask_states(cell: Arc<Cell>) {
    let mut outages = OutageTracker::default();
    let mut silent_until_ms = 0;
    while let Some(questions) = recv_some(&cell.leader_rx().questions_rx, MAX_JOBS).await {
        if let Some(term) = cell.term() {
            for Question { job, reply_tx } in questions {
                answer(&reply_tx, term.stored_state(&job));
            }
            continue;
        }
        if boot_ms() < silent_until_ms {
            continue;
        }
        match ask(&cell, &questions).await {
            Ok(states) => {
                outages.record_success(ASK_STATES, boot_ms());
                for (question, state) in questions.iter().zip(states) {
                    answer(&question.reply_tx, state);
                }
            }
            Err(problem) => {
                silent_until_ms = boot_ms() + SILENT_MS;
                if let Some(OutageStart { suppressed }) =
                    outages.record_failure(ASK_STATES, boot_ms())
                {
                    log_event!(cell.deps.log, STATES_FAILED; "problem" => problem,
                        "left_out" => suppressed);
                }
            }
        }
    }
}

/// Answers a question; without a state the channel is closed, and the caller's request goes to the store.
fn answer(reply_tx: &Sender<JobState>, state: Option<JobState>) {
    if let Some(state) = state {
        // The caller may be gone.
        let _ = reply_tx.try_send(state);
    }
}

async fn ask(cell: &Cell, questions: &[Question]) -> Result<Vec<Option<JobState>>, String> {
    let peer = cell.leader_peer().get().ok_or("no instance leads")?;
    let jobs = questions.iter().map(|it| it.job.as_str().to_owned());
    let req = JobStatesRequest {
        jobs: jobs.collect(),
    };
    let reply = timeout_ms(STATES_MS, peer.job_states(req)).await;
    let reply = reply.map_err(|_| "no answer in time")?;
    let mut reply = reply.map_err(|err| err.to_string())?;
    if !reply.leads {
        return Err("the instance does not lead".to_owned());
    }
    if reply.states.len() != questions.len() {
        return Err(format!(
            "{} states for {} jobs",
            reply.states.len(),
            questions.len()
        ));
    }
    // An unknown job has an empty text, which is no state.
    Ok(mem::take(&mut reply.states)
        .iter()
        .map(|text| decode_state(text).ok())
        .collect())
}
