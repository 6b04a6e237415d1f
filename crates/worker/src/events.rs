//! Log events of this package.

ragwortreel_runtime::events! {
    WORKER_FENCED = 1300, Info, "a worker refused a command of an old epoch";
    WORKER_COMMAND_FAILED = 1301, Debug, "a command to a worker got no usable answer";
}
