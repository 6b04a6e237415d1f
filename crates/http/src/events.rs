//! Log events of the HTTP client and server.

ragwortreel_runtime::events! {
    REQUEST_REFUSED = 1100, Debug, "request refused";
    HANDLER_PANICKED = 1101, Error, "request handler panicked";
    ACCEPT_FAILED = 1102, Warning, "connection could not be accepted";
    RESPONSE_NOT_WRITTEN = 1103, Debug, "response could not be written";
    INVALID_RESPONSE = 1104, Error, "request handler returned a response that cannot be sent";
}
