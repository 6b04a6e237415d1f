//! Answers of the advice service: the allowed workers of a step with their tickets, and the share of workers that it allows
//! for a queue.

use {
    crate::Scheduler,
    ragwortreel_model::WorkerId,
    std::{collections::BTreeMap, sync::Arc},
};

/// Time before its expiry from which a ticket is no longer used, in ms.
///
/// A start must reach the worker while its ticket is valid: it takes a round trip between zones and may queue behind
/// other orders for the same worker.
const TICKET_MARGIN_MS: u64 = 150;

/// Assumed share of workers that the advice service allows for a queue, before any answer.
const INITIAL_ALLOWED_SHARE: f64 = 0.4;
/// Weight of a new answer in the moving average of the allowed share.
const SHARE_WEIGHT: f64 = 0.1;
/// Permit to start the tasks of a step on one worker.
#[derive(Debug, Clone)]
pub(crate) struct Ticket {
    pub(crate) text: Arc<str>,
    pub(crate) valid_until_ms: u64,
}

/// Answers about one step. The set of allowed workers never changes; only tickets expire.
#[derive(Debug, Default)]
pub(crate) struct StepAdvice {
    /// Ticket by worker; `None` for a worker that is not allowed.
    tickets: BTreeMap<WorkerId, Option<Ticket>>,
    pub(crate) calls_in_flight: usize,
}

impl StepAdvice {
    /// Records an answer; workers of `asked` that are not in `allowed` count as not allowed.
    pub(crate) fn record(
        &mut self,
        asked: &[WorkerId],
        allowed: Vec<(WorkerId, Arc<str>)>,
        now_ms: u64,
        ticket_ms: u64,
    ) {
        for worker in asked {
            self.tickets.insert(worker.clone(), None);
        }
        let valid_until_ms = now_ms + ticket_ms.saturating_sub(TICKET_MARGIN_MS);
        for (worker, text) in allowed {
            let ticket = Ticket {
                text,
                valid_until_ms,
            };
            self.tickets.insert(worker, Some(ticket));
        }
    }

    pub(crate) fn valid_ticket(&self, worker: &WorkerId, now_ms: u64) -> Option<&Arc<str>> {
        let ticket = self.tickets.get(worker)?.as_ref()?;
        (now_ms < ticket.valid_until_ms).then_some(&ticket.text)
    }

    pub(crate) fn workers_with_ticket(&self, now_ms: u64) -> impl Iterator<Item = &WorkerId> {
        let valid = move |ticket: &Option<Ticket>| {
            ticket.as_ref().is_some_and(|it| now_ms < it.valid_until_ms)
        };
        (self.tickets.iter())
            .filter(move |(_, ticket)| valid(ticket))
            .map(|(worker, _)| worker)
    }

    /// Whether the worker may run the step; `None` when no answer has named it.
    pub(crate) fn is_allowed(&self, worker: &WorkerId) -> Option<bool> {
        self.tickets.get(worker).map(Option::is_some)
    }

    /// Marks a ticket that the worker refused as expired, so that it is renewed before the next start.
    pub(crate) fn expire_ticket(&mut self, worker: &WorkerId) {
        if let Some(Some(ticket)) = self.tickets.get_mut(worker) {
            ticket.valid_until_ms = 0;
        }
    }
}

impl Scheduler {
    /// Share of workers that the advice service is expected to allow for a queue.
    pub(crate) fn expected_allowed_share(&self, queue: &str) -> f64 {
        let share = self.allowed_share.get(queue);
        share.copied().unwrap_or(INITIAL_ALLOWED_SHARE)
    }

    /// Updates the moving average of the share of workers that the advice service allows for a queue.
    pub(crate) fn update_allowed_share(
        &mut self,
        queue: Arc<str>,
        (allowed, asked): (usize, usize),
    ) {
        if asked == 0 {
            return;
        }
        let share = self.allowed_share.entry(queue);
        let share = share.or_insert(INITIAL_ALLOWED_SHARE);
        #[expect(clippy::cast_precision_loss, reason = "at most a hundred workers")]
        let share_of_answer = allowed as f64 / asked as f64;
        // The lower bound limits the effect of many answers without an allowed worker: with a share near 0, no advice
        // would be requested for gangs on a busy fleet.
        *share = (*share + SHARE_WEIGHT * (share_of_answer - *share)).max(0.02);
    }
}
