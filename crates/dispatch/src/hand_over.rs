//! Rows that an instance has stored for its callers, handed to the leader at once.
//!
//! The leader also follows the table of jobs, so a row that cannot be handed over is only seen a little later.

use {
    crate::{Began, Cell, Outages, events::HAND_OVER_FAILED, rows::LeaderRow},
    async_channel::{Receiver, Sender},
    ragwortreel_entry::{
        HelperPeer,
        generated::{HandRowsRequest, StoredRow},
    },
    ragwortreel_platform::ChangedRow,
    ragwortreel_runtime::{boot_ms, log_event},
    std::sync::Arc,
};

/// Rows that wait to be handed over; further ones are left to the table.
const MAX_WAITING: usize = 256;
const STEP: &str = "hand rows over";

/// Rows that wait to be handed over.
#[derive(Debug)]
pub(crate) struct HandOver {
    rows: Receiver<ChangedRow>,
}

impl HandOver {
    pub(crate) fn new() -> (Self, Sender<ChangedRow>) {
        let (tx, rows) = async_channel::bounded(MAX_WAITING);
        (Self { rows }, tx)
    }
}

/// Hands rows over as they come; those that come during a call share the next one.
pub(crate) async fn run(cell: Arc<Cell>) {
    let mut peer: Option<(LeaderRow, Arc<dyn HelperPeer>)> = None;
    let mut outages = Outages::default();
    while let Ok(first) = cell.hand_over().rows.recv().await {
        let mut rows = vec![first];
        while let Ok(row) = cell.hand_over().rows.try_recv() {
            rows.push(row);
        }
        if let Some(term) = cell.term() {
            term.take_rows(&rows);
            continue;
        }
        let Some((leader, _)) = cell.board.leader() else {
            // Whoever leads first finds the rows in the table.
            continue;
        };
        let is_same = |(known, _): &(LeaderRow, Arc<dyn HelperPeer>)| {
            known.life == leader.life && known.address == leader.address
        };
        let known = peer.take().filter(is_same);
        let (_, connection) = peer.insert(known.unwrap_or_else(|| {
            let connection = cell.parts.helpers.connect_helper(leader.address);
            (leader, connection)
        }));
        let rows = rows.into_iter().map(|row| StoredRow {
            name: row.key.to_string(),
            value: row.value.as_deref().unwrap_or_default().to_owned(),
        });
        let req = HandRowsRequest {
            rows: rows.collect(),
        };
        let problem = match connection.hand_rows(req).await {
            Ok(reply) if reply.taken => {
                outages.answered(STEP, boot_ms());
                continue;
            }
            Ok(_) => "the instance does not lead, or has not read the stored jobs".to_owned(),
            Err(err) => err.to_string(),
        };
        if let Some(Began { left_out }) = outages.failed(STEP, boot_ms()) {
            log_event!(cell.parts.log, HAND_OVER_FAILED; "problem" => problem, "left_out" => left_out);
        }
    }
}
