//! Log events of the calls between entry instances; their numbers are 1500 to 1599.

ragwortreel_runtime::events! {
    ACCEPT_FAILED = 1500, Warning, "a connection from another entry instance could not be accepted";
    CONNECTION_REFUSED = 1501, Warning, "a connection from another entry instance is over the limit and was closed";
    CONNECTION_BROKEN = 1502, Debug, "a connection from another entry instance ended with an error";
}
