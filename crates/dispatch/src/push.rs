//! Pushes stored states of jobs to the other instances.
//!
//! The others also follow the table of states, so a state whose push fails is only shown a little later.

use {
    crate::{Began, Outages, events::PUSH_FAILED, rows::StateRow, term::Term},
    async_channel::{Receiver, Sender},
    ragwortreel_entry::{
        HelperPeer,
        generated::{ShowStatesRequest, StoredRow},
    },
    ragwortreel_model::{JobId, JobState},
    ragwortreel_runtime::{boot_ms, log_event, sleep_ms, spawn},
    ragwortreel_workflow::Progress,
    std::sync::Arc,
};

/// States that wait to be pushed to an instance; further ones are left to the table.
const MAX_WAITING: usize = 1_024;
/// Pause between two calls to an instance, in ms; states that come meanwhile share one.
const PAUSE_MS: u64 = 20;
const STEP: &str = "push states";

/// Sends states to one instance.
pub(crate) type StatesTx = Sender<(JobId, JobState)>;

impl Term {
    /// Starts the task that pushes stored states to an instance.
    pub(crate) fn start_pushing(self: &Arc<Self>, peer: Arc<dyn HelperPeer>) -> StatesTx {
        let (tx, rx) = async_channel::bounded(MAX_WAITING);
        spawn(push_states(Arc::clone(self), peer, rx)).detach();
        tx
    }
}

async fn push_states(term: Arc<Term>, peer: Arc<dyn HelperPeer>, rx: Receiver<(JobId, JobState)>) {
    let mut outages = Outages::default();
    while let Ok(first) = rx.recv().await {
        if term.is_over() {
            return;
        }
        let mut states = vec![first];
        while let Ok(state) = rx.try_recv() {
            states.push(state);
        }
        let states = states.into_iter().map(|(job, state)| {
            let progress = Progress::default();
            let row = StateRow { state, progress };
            StoredRow {
                name: job.as_str().to_owned(),
                value: row.encode().to_string(),
            }
        });
        let req = ShowStatesRequest {
            term: term.number,
            states: states.collect(),
        };
        match peer.show_states(req).await {
            Ok(_) => {
                outages.answered(STEP, boot_ms());
            }
            Err(err) => {
                if let Some(Began { left_out }) = outages.failed(STEP, boot_ms()) {
                    log_event!(term.cell.parts.log, PUSH_FAILED; "problem" => err.to_string(),
                        "left_out" => left_out);
                }
            }
        }
        sleep_ms(PAUSE_MS).await;
    }
}
