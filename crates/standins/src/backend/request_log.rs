//! Request records and load counters of a backend server.

use {
    ragwortreel_model::InstanceId,
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, sync::Arc},
};

/// Maximum number of request records; the oldest are discarded first.
const MAX_RECORDS: usize = 200_000;

/// Record of one request; times are in ms since the start of the backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Sequence number in order of arrival, from 0.
    pub number: u64,
    /// Backend server that received the request.
    pub backend: InstanceId,
    /// HTTP method.
    pub method: Arc<str>,
    /// Request target, including the query.
    pub path: Arc<str>,
    /// Value of the header `idempotency-key`, if present.
    pub idempotency_key: Option<Arc<str>>,
    /// Nonce from the header `x-nonce` or the parameter `nonce`, if present.
    pub nonce: Option<Arc<str>>,
    /// Class of work: the first segment of the path, or `short` if the path has none.
    pub class: Arc<str>,
    /// Arrival time.
    pub started_ms: u64,
    /// Time at which processing ended; absent while it runs.
    pub ended_ms: Option<u64>,
}

/// Load counters of a backend server since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Requests received.
    pub requests: u64,
    /// Requests in progress.
    pub slots: u64,
    /// Highest number of concurrent requests.
    pub max_slots: u64,
    /// Requests that arrived while all slots were in use.
    pub slots_over_limit: u64,
    /// Open connections.
    pub connections: u64,
    /// Highest number of concurrently open connections.
    pub max_connections: u64,
    /// Connections opened beyond the limit.
    pub connections_over_limit: u64,
    /// Requests that arrived after the start of the drain.
    pub requests_after_drain: u64,
    /// Time from the start of the drain to the last request after it, in ms; absent without such a request.
    pub last_request_after_drain_ms: Option<u64>,
}

/// Most recent requests and the load counters of a backend server.
#[derive(Debug, Default)]
pub(super) struct RequestLog {
    records: VecDeque<RequestRecord>,
    pub counts: BackendCounts,
    pub drain_started_ms: Option<u64>,
}

impl RequestLog {
    /// Records the arrival of a request and returns its sequence number.
    pub fn start(&mut self, mut record: RequestRecord, slot_limit: u64) -> u64 {
        let counts = &mut self.counts;
        record.number = counts.requests;
        counts.requests += 1;
        counts.slots += 1;
        counts.max_slots = counts.max_slots.max(counts.slots);
        if counts.slots > slot_limit {
            counts.slots_over_limit += 1;
        }
        if let Some(drain_ms) = self.drain_started_ms {
            counts.requests_after_drain += 1;
            counts.last_request_after_drain_ms = Some(record.started_ms.saturating_sub(drain_ms));
        }
        let number = record.number;
        if self.records.len() == MAX_RECORDS {
            self.records.pop_front();
        }
        self.records.push_back(record);
        number
    }

    /// Records the end of a request, whose record may already be discarded.
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

    /// Records a change of the number of open connections.
    pub fn set_connections(&mut self, open: u64, limit: u64) {
        let counts = &mut self.counts;
        if open > counts.connections && open > limit {
            counts.connections_over_limit += 1;
        }
        counts.connections = open;
        counts.max_connections = counts.max_connections.max(open);
    }

    /// Returns the most recent requests, oldest first.
    pub fn records(&self) -> Vec<RequestRecord> {
        self.records.iter().cloned().collect()
    }
}
