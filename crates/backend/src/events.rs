//! Log events of connections to backend servers.

ragwortreel_runtime::events! {
    CONNECT_FAILED = 1400, Info, "connection to the backend server failed";
    CONNECTION_SILENT = 1401, Warning, "connection to the backend server is silent";
    PROBE_FAILED = 1402, Warning, "idle connection did not answer its probe";
    CONNECTION_BROKE = 1403, Info, "connection broke during a request";
    SOCKET_OPTIONS_FAILED = 1404, Warning, "socket options could not be set";
}
