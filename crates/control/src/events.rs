//! Log events of the control plane, numbered 1600 to 1699.

ragwortreel_runtime::events! {
    RENEWAL_FAILED = 1600, Warning, "failed to renew the instance's row";
    FENCED = 1601, Warning, "the instance's row was fenced by another instance; giving up all pools and slots";
    REPLACED = 1602, Error, "another process runs under this instance's name; this process gives up all pools and slots permanently";
    SCAN_FAILED = 1603, Warning, "failed to scan the control rows";
    POOL_TAKEN = 1604, Info, "took over a pool";
    POOL_LOST = 1605, Warning, "lost ownership of a pool";
    POOL_RELEASED = 1606, Info, "released ownership of a pool";
    RECOVERY_FAILED = 1607, Warning, "failed to recover a pool; retrying";
    RECOVERED = 1608, Info, "recovered a pool";
    JOURNAL_BLOCKED = 1609, Warning, "failed to write the journal; no tasks start until a write succeeds";
    SNAPSHOT_FAILED = 1610, Warning, "failed to write a snapshot";
    SETTINGS_IN_FORCE = 1611, Info, "a settings version is in force";
    SETTINGS_REFUSED = 1612, Error, "rejected an invalid settings tree";
    WORKER_SILENT = 1613, Warning, "a worker has stopped reporting";
    WORKER_LOST = 1614, Warning, "the task leases of a silent worker have expired; requeueing its tasks";
    ORPHAN_STOPPED = 1615, Warning, "stopping a run that is not in the journal";
    SLOT_EPOCH = 1616, Info, "adopted a slot epoch";
    ROW_UNREADABLE = 1617, Error, "skipped a row that failed to decode";
    LIST_FAILED = 1618, Warning, "failed to read the platform's list";
    QUOTA_FAILED = 1619, Warning, "failed to change a quota grant";
}
