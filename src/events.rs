//! Log events of the daemon.

ragwortreel_runtime::events! {
    STARTED = 1801, Info, "entry instance started";
    STOPPING = 1802, Info, "graceful stop begins";
    STOPPED = 1803, Info, "entry instance stopped";
    STOP_TIMEOUT = 1804, Warning, "requests were still in flight when the time for a graceful stop was over";
    SETTINGS_APPLIED = 1805, Info, "settings are in force";
    INITIAL_SETTINGS_WRITTEN = 1806, Info, "initial settings were written";
    INITIAL_SETTINGS_FAILED = 1807, Warning, "initial settings could not be written";
    SETTINGS_FILE_REREAD = 1809, Info, "the settings file was read again; addresses and rates are taken at the next start";
    SETTINGS_FILE_REJECTED = 1810, Warning, "the changed settings file is not accepted; the former settings stay in force";
    READY = 1808, Info, "entry instance is ready";
}
