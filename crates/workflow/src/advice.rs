//! What the advice service has said about a step.

use {
    ragwortreel_model::WorkerId,
    std::{collections::BTreeMap, sync::Arc},
};

/// Part of a ticket's life that is left for the start to reach the worker, in ms.
///
/// A start takes a round trip between zones and may queue behind others for the same worker.
const TICKET_MARGIN_MS: u64 = 150;

/// A permit to start a step's tasks on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) text: Arc<str>,
    pub(crate) valid_until_ms: u64,
}

/// Answers about one step. Which workers are allowed never changes; tickets expire.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    /// `None` for a worker that is not allowed.
    answers: BTreeMap<WorkerId, Option<Ticket>>,
    /// Calls that are under way.
    pub(crate) calls_in_flight: usize,
}

impl StepAdvice {
    /// Records an answer about the named workers.
    pub(crate) fn record(
        &mut self,
        asked: &[WorkerId],
        allowed: Vec<(WorkerId, Arc<str>)>,
        now_ms: u64,
        ticket_ms: u64,
    ) {
        for worker in asked {
            self.answers.insert(worker.clone(), None);
        }
        let valid_until_ms = now_ms + ticket_ms.saturating_sub(TICKET_MARGIN_MS);
        for (worker, text) in allowed {
            let ticket = Ticket {
                text,
                valid_until_ms,
            };
            self.answers.insert(worker, Some(ticket));
        }
    }

    /// Ticket that is still valid.
    pub(crate) fn valid_ticket(&self, worker: &WorkerId, now_ms: u64) -> Option<&Arc<str>> {
        let ticket = self.answers.get(worker)?.as_ref()?;
        (now_ms < ticket.valid_until_ms).then_some(&ticket.text)
    }

    /// Workers with a ticket that is still valid.
    pub(crate) fn workers_with_ticket(&self, now_ms: u64) -> impl Iterator<Item = &WorkerId> {
        let valid = move |ticket: &Option<Ticket>| {
            ticket.as_ref().is_some_and(|it| now_ms < it.valid_until_ms)
        };
        (self.answers.iter())
            .filter(move |(_, ticket)| valid(ticket))
            .map(|(worker, _)| worker)
    }

    /// Whether the worker is allowed, if that is known.
    pub(crate) fn is_allowed(&self, worker: &WorkerId) -> Option<bool> {
        self.answers.get(worker).map(Option::is_some)
    }

    /// Marks a refused ticket as expired, so that it is renewed before the next start.
    pub(crate) fn expire_ticket(&mut self, worker: &WorkerId) {
        if let Some(Some(ticket)) = self.answers.get_mut(worker) {
            ticket.valid_until_ms = 0;
        }
    }
}
