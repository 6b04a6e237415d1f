//! What a backend server has seen.

use {
    ragwortreel_model::InstanceId,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc},
};

/// Requests that are remembered; the oldest are forgotten first.
const RECORD_LIMIT: usize = 200_000;

/// One request; times are in ms since the start of the backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Number in order of arrival, from 0.
    pub number: u64,
    /// Backend server.
    pub backend: InstanceId,
    /// Method.
    pub method: Arc<str>,
    /// Raw target.
    pub path: Arc<str>,
    /// Value of the header `idempotency-key`.
    pub idempotency_key: Option<Arc<str>>,
    /// Nonce of the request.
    pub nonce: Option<Arc<str>>,
    /// Class of work.
    pub class: Arc<str>,
    /// When it arrived.
    pub started_ms: u64,
    /// When its work ended; absent while it runs.
    pub ended_ms: Option<u64>,
}

/// Load of a backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Requests so far.
    pub requests: u64,
    /// Requests in progress.
    pub slots: u64,
    /// Most requests that were in progress at once.
    pub max_slots: u64,
    /// Requests that arrived while all slots were taken.
    pub slots_over_limit: u64,
    /// Open connections.
    pub connections: u64,
    /// Most connections that were open at once.
    pub max_connections: u64,
    /// Connections that were opened beyond the limit.
    pub connections_over_limit: u64,
    /// Requests that arrived after the drain began.
    pub requests_after_drain: u64,
    /// Time from the drain to the last request, in ms.
    pub last_request_after_drain_ms: Option<u64>,
}

/// Requests and load of a backend server.
#[derive(Debug, Default)]
pub(super) struct Log {
    records: VecDeque<RequestRecord>,
    pub counts: BackendCounts,
    pub drain_from_ms: Option<u64>,
}

impl Log {
    /// Notes the arrival of a request.
    pub fn start(&mut self, mut record: RequestRecord, slot_limit: u64) -> u64 {
        let counts = &mut self.counts;
        record.number = counts.requests;
        counts.requests += 1;
        counts.slots += 1;
        counts.max_slots = counts.max_slots.max(counts.slots);
        if counts.slots > slot_limit {
            counts.slots_over_limit += 1;
        }
        if let Some(drain_ms) = self.drain_from_ms {
            counts.requests_after_drain += 1;
            counts.last_request_after_drain_ms = Some(record.started_ms.saturating_sub(drain_ms));
        }
        let number = record.number;
        if self.records.len() == RECORD_LIMIT {
            self.records.pop_front();
        }
        self.records.push_back(record);
        number
    }

    /// Notes the end of a request.
    pub fn end(&mut self, number: u64, now_ms: u64) {
        self.counts.slots -= 1;
        let Some(first) = self.records.front().map(|record| record.number) else {
            return;
        };
        let index = number.checked_sub(first);
        let index = index.and_then(|index| usize::try_from(index).ok());
        if let Some(record) = index.and_then(|index| self.records.get_mut(index)) {
            record.ended_ms = Some(now_ms);
        }
    }

    /// Notes the number of open connections.
    pub fn connections(&mut self, open: u64, limit: u64) {
        let counts = &mut self.counts;
        if open > counts.connections && open > limit {
            counts.connections_over_limit += 1;
        }
        counts.connections = open;
        counts.max_connections = counts.max_connections.max(open);
    }

    /// The remembered requests.
    pub fn records(&self) -> Vec<RequestRecord> {
        self.records.iter().cloned().collect()
    }
}
