//! Log events of leader election, the journal and worker monitoring.

ragwortreel_runtime::events! {
    BECAME_LEADER = 2101, Info, "this instance leads the cell";
    LEADERSHIP_LOST = 2102, Warning, "this instance no longer leads the cell";
    LEADERSHIP_RELEASED = 2103, Info, "this instance released leadership";
    TAKEOVER_FAILED = 2104, Info, "a takeover failed because another instance took over first or the store did not answer";
    RECOVERED = 2105, Info, "the leader recovered the stored jobs";
    STORE_UNAVAILABLE = 2106, Warning, "the store does not answer";
    STORE_RECOVERED = 2107, Info, "the store answers again";
    WORKER_REACHED = 2108, Info, "a worker answers and tasks may be placed on it";
    WORKER_LOST = 2109, Warning, "a worker does not answer; no tasks are placed on it";
    WORKER_REPLACED = 2110, Info, "another life of a worker answers; runs that it does not report are lost";
    TASK_NOT_STARTED = 2111, Info, "a worker did not start a task";
    START_OUTCOME_UNKNOWN = 2112, Warning, "the outcome of a start is unknown; the worker's next heartbeat shows it";
    STOP_FAILED = 2113, Warning, "a stop was not confirmed and is sent again";
    ADVICE_FAILED = 2114, Warning, "a call to the advice service failed";
    JOB_ACCEPTED = 2115, Info, "a job was accepted and is stored";
    JOB_REFUSED = 2116, Info, "a job was refused and will not run";
    JOB_OUTCOME_UNKNOWN = 2117, Warning, "it is unknown whether a job is stored";
    JOB_CANCELLED = 2118, Info, "a cancellation is stored";
    JOB_ENDED = 2119, Info, "a job has its final state";
    INVALID_ROW = 2120, Warning, "a stored row is invalid and is skipped";
    CONFIGURATION_APPLIED = 2121, Info, "a configuration was applied";
    JOURNAL_CONFLICT = 2122, Warning, "the leader's row was changed by another instance";
    LEADER_SUMMARY = 2123, Info, "summary of the leader's work";
    INSTANCE_UNREACHABLE = 2124, Info, "an instance does not answer advice calls";
    STEP_STARTED = 2125, Info, "tasks of a step are placed; they start once the placement is stored";
    ADVICE_ANSWERED = 2126, Info, "the advice service returned the workers that may run a step";
    RUN_FAILED = 2127, Info, "a run failed";
    RUN_INTERRUPTED = 2128, Info, "a run was stopped, its lease expired, or another member of its gang was lost";
    SLOW_COMMIT = 2129, Warning, "a journal transaction was slow and delayed starts and states";
    READ_FAILED = 2130, Warning, "the store did not answer a read of a job";
    ROW_FORWARD_FAILED = 2131, Info, "the leader did not accept forwarded rows; it reads them from the table";
    STATE_QUERY_FAILED = 2132, Info, "the leader did not return the states of jobs; the store is queried";
    TASK_PANICKED = 2133, Error, "a task of the leader panicked; another instance takes over";
    ROW_REFUSED = 2134, Error, "the store refuses a row for good; a job that it belongs to fails";
    CHECKPOINT_TOO_LONG = 2135, Warning, "checkpoints of a job are too long to be stored; its tasks do not resume from them";
    UNKNOWN_KEY = 2140, Info, "a request without a known key was refused";
    KEY_PROOF_LOST = 2141, Warning, "the configuration is not proven to be the newest; no key is accepted";
    KEY_PROOF_REGAINED = 2142, Info, "the configuration is proven to be the newest again; keys are accepted";
    RUN_STUCK = 2143, Info, "a run is stopped because it makes no progress";
    RUNS_MOVED = 2144, Info, "runs are stopped and continue elsewhere because their worker is leaving";
    JOB_OVER_SHARE = 2150, Info, "a job is over its workspace's share; it starts only where no other work waits";
    STEP_WAITS_FOR_LIMIT = 2151, Info, "a step waits for its workspace's limit";
    STEP_EXCEEDS_LIMIT = 2152, Warning, "a step needs more than its workspace's limit, so its job fails";
    CONFIGURATION_NOT_APPLIED = 2145, Error, "a configuration was not applied because its version is not above that in force";
}
