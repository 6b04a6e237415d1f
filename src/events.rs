//! Log events of entry instances and platform instances.

ragwortreel_runtime::events! {
    STARTED = 1801, Info, "instance started";
    STOPPING = 1802, Info, "graceful shutdown started";
    STOPPED = 1803, Info, "instance stopped";
    STOP_TIMEOUT = 1804, Warning, "graceful shutdown timed out with requests still in flight";
    SETTINGS_APPLIED = 1805, Info, "settings applied";
    INITIAL_SETTINGS_WRITTEN = 1806, Info, "wrote the initial settings";
    INITIAL_SETTINGS_FAILED = 1807, Warning, "failed to write the initial settings; retrying";
    SETTINGS_FILE_REREAD = 1809, Info, "settings file read again; changed addresses and rates apply at the next start";
    SETTINGS_FILE_REJECTED = 1810, Warning, "changed settings file is invalid; the previous settings stay in force";
    READY = 1808, Info, "entry instance is ready";
}
