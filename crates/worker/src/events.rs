//! Log events of the worker client.

ragwortreel_runtime::events! {
    WORKER_FENCED = 1300, Info, "a worker rejected a command because its ownership epoch is outdated";
    WORKER_COMMAND_FAILED = 1301, Debug, "a call to a worker failed or has an unknown outcome";
}
