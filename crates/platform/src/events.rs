//! Log events of this package.

ragwortreel_runtime::events! {
    BREAKER_OPENED = 1200, Warning, "the circuit breaker of the table service opened";
    BREAKER_CLOSED = 1201, Info, "the circuit breaker of the table service closed";
    CLAIM_NOT_FINALIZED = 1202, Warning, "a claim could not be settled in time and stays unknown";
    SWEEP_DONE = 1203, Debug, "old claims were removed";
    SWEEP_FAILED = 1204, Warning, "old claims could not be removed";
}
