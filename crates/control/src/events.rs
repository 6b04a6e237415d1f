//! Log events of this package, 1600 to 1699.

ragwortreel_runtime::events! {
    RENEWAL_FAILED = 1600, Warning, "the instance's row could not be renewed";
    FENCED = 1601, Warning, "the instance's row was fenced by another instance; its pools and slots are given up";
    REPLACED = 1602, Error, "another process has taken this instance's name; this one owns nothing any more";
    SCAN_FAILED = 1603, Warning, "the control rows could not be read";
    POOL_TAKEN = 1604, Info, "ownership of a pool was taken";
    POOL_LOST = 1605, Warning, "ownership of a pool was lost";
    POOL_RELEASED = 1606, Info, "ownership of a pool was released";
    RECOVERY_FAILED = 1607, Warning, "a pool could not be recovered yet";
    RECOVERED = 1608, Info, "a pool was recovered";
    JOURNAL_BLOCKED = 1609, Warning, "the journal could not be written; no task starts until it can";
    SNAPSHOT_FAILED = 1610, Warning, "a snapshot could not be written";
    SETTINGS_IN_FORCE = 1611, Info, "a settings version is in force";
    SETTINGS_REFUSED = 1612, Error, "a settings tree was refused";
    WORKER_SILENT = 1613, Warning, "a worker does not answer";
    WORKER_LOST = 1614, Warning, "the leases of a silent worker have expired; its tasks are queued again";
    ORPHAN_STOPPED = 1615, Warning, "a run that is not in the journal is stopped";
    SLOT_EPOCH = 1616, Info, "a slot epoch is in force";
    ROW_UNREADABLE = 1617, Error, "a row could not be understood and was passed over";
    LIST_FAILED = 1618, Warning, "the platform's list could not be read";
    QUOTA_FAILED = 1619, Warning, "a quota grant could not be changed";
}
