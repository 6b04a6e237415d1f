//! Log events of the platform clients.

ragwortreel_runtime::events! {
    BREAKER_OPENED = 1200, Warning, "the circuit breaker of the table service opened";
    BREAKER_CLOSED = 1201, Info, "the circuit breaker of the table service closed";
    CLAIM_NOT_FINALIZED = 1202, Warning, "the final state of a claim could not be stored in time; its outcome stays unknown";
    SWEEP_DONE = 1203, Debug, "old claims were removed";
    SWEEP_FAILED = 1204, Warning, "old claims could not be removed";
    LISTED_ENTRY_UNREADABLE = 1205, Warning, "entries of the instance list cannot be read and are skipped";
}
