//! HTTP client of the platform's services.
//!
//! A response with status 400 to 429 or 503 means that the call had no effect. After any other failure the outcome is
//! unknown, unless no byte of the request was sent. After a timeout all idle connections are closed, because open
//! connections can stop responding while new ones work.

use {
    crate::{
        api::{
            InstanceList, ListedInstance, ListedRole, ObjectStore, PlatformError, Row,
            TableService, Txn, TxnOutcome,
        },
        events::LISTED_ENTRY_UNREADABLE,
    },
    async_trait::async_trait,
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode},
    ragwortreel_http::{Client, ClientLimits, Method, Request, Response, parse_json},
    ragwortreel_model::Zone,
    ragwortreel_runtime::{Logger, discard_logger, lock, log_event},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::value::RawValue,
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Header with the caller's availability zone.
pub const ZONE_HEADER: &str = "ragwortreel-zone";
/// Maximum size of a response body; scans and snapshot objects are the largest.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Characters that are percent-encoded in keys within URLs.
const ESCAPED_KEY_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'/');

/// Body of the response to `GET /table/get`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowResponse {
    /// The row; `None` if it does not exist.
    pub row: Option<Row>,
}

/// Body of the response to `GET /table/scan`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowsResponse {
    /// Rows ordered by key.
    pub rows: Vec<Row>,
}

/// Body of the response to `GET /instances`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstancesResponse {
    /// All instances in the platform's list.
    pub instances: Vec<ListedInstance>,
}

/// Body of the response to `GET /instances`, whose entries are not parsed yet.
#[derive(Debug, Deserialize)]
struct RawInstances<'a> {
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

/// Client of the table service, the object store and the instance list at one address.
#[derive(Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
    zone: Zone,
    call_timeout: Duration,
    client: Client,
    /// Last instance list with its entity tag, for conditional requests.
    cached_list: Mutex<Option<CachedList>>,
    /// Entries that were left out of the last list, so that they are logged only when they change.
    unreadable: Mutex<Option<UnreadableEntries>>,
    log: Logger,
}

#[derive(Debug)]
struct CachedList {
    etag: String,
    instances: Vec<ListedInstance>,
}

/// Entries of the instance list that are left out.
#[derive(Debug, PartialEq, Eq)]
struct UnreadableEntries {
    count: usize,
    /// Index of the first one in the list, and its problem.
    first_index: usize,
    first_problem: String,
}

impl HttpPlatform {
    /// Creates a client for a caller in `zone`; connections are opened on first use.
    #[must_use]
    pub fn new(addr: SocketAddr, zone: Zone, call_timeout: Duration) -> Self {
        Self {
            addr,
            zone,
            call_timeout,
            client: Client::new(ClientLimits {
                max_body_bytes: MAX_RESPONSE_BYTES,
                ..ClientLimits::default()
            }),
            cached_list: Mutex::default(),
            unreadable: Mutex::default(),
            log: discard_logger(),
        }
    }

    /// Logs entries of the instance list that cannot be read.
    #[must_use]
    pub fn with_log(self, log: Logger) -> Self {
        Self { log, ..self }
    }

    async fn send(&self, step: &'static str, req: Request) -> Result<Response, PlatformError> {
        let req = req.with_header(ZONE_HEADER, self.zone.as_str());
        let deadline = Instant::now() + self.call_timeout;
        let response = self.client.send(self.addr, req, deadline).await;
        let response = response.map_err(|err| PlatformError::from_client_error(step, &err))?;
        match response.status {
            200..=299 | 304 | 404 => Ok(response),
            400..=429 | 503 => Err(self.not_done(step, &status_problem(&response))),
            _ => Err(self.unknown(step, &status_problem(&response))),
        }
    }

    fn not_done(&self, step: &'static str, problem: &str) -> PlatformError {
        PlatformError::not_done(step, self.addr, problem)
    }

    fn unknown(&self, step: &'static str, problem: &str) -> PlatformError {
        PlatformError::unknown(step, self.addr, problem)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        step: &'static str,
        req: Request,
    ) -> Result<T, PlatformError> {
        let response = self.send(step, req).await?;
        self.parse(step, &response)
    }

    fn parse<T: DeserializeOwned>(
        &self,
        step: &'static str,
        response: &Response,
    ) -> Result<T, PlatformError> {
        if !response.is_success() {
            return Err(self.not_done(step, &status_problem(response)));
        }
        parse_json(&response.body, MAX_RESPONSE_BYTES)
            .map_err(|err| self.unknown(step, &err.to_string()))
    }
}

fn status_problem(response: &Response) -> String {
    format!("status {}", response.status)
}

fn encode(key: &str) -> String {
    utf8_percent_encode(key, ESCAPED_KEY_CHARACTERS).to_string()
}

#[async_trait]
impl TableService for HttpPlatform {
    async fn commit(&self, txn: Txn) -> Result<TxnOutcome, PlatformError> {
        let step = "commit";
        let body = serde_json::to_vec(&txn).map_err(|err| self.not_done(step, &err.to_string()))?;
        let req = Request::post("/table/txn", body).with_header("content-type", "application/json");
        self.read(step, req).await
    }

    async fn get(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        let req = Request::get(format!("/table/get?key={}", encode(key)));
        let answer: RowResponse = self.read("get row", req).await?;
        Ok(answer.row)
    }

    async fn scan(&self, prefixes: &[&str]) -> Result<Vec<Row>, PlatformError> {
        let query: Vec<_> = (prefixes.iter())
            .map(|prefix| format!("prefix={}", encode(prefix)))
            .collect();
        let req = Request::get(format!("/table/scan?{}", query.join("&")));
        let answer: RowsResponse = self.read("scan", req).await?;
        Ok(answer.rows)
    }
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", encode(key))
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn put(&self, key: &str, value: Vec<u8>) -> Result<(), PlatformError> {
        let step = "put object";
        let req = Request::new(Method::Put, object_path(key)).with_body(value);
        let response = self.send(step, req).await?;
        if !response.is_success() {
            return Err(self.not_done(step, &status_problem(&response)));
        }
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        let response = self
            .send("get object", Request::get(object_path(key)))
            .await?;
        Ok(response.is_success().then_some(response.body))
    }

    async fn delete(&self, key: &str) -> Result<(), PlatformError> {
        let req = Request::new(Method::Delete, object_path(key));
        self.send("delete object", req).await.map(drop)
    }
}

#[async_trait]
impl InstanceList for HttpPlatform {
    async fn list(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        let step = "list instances";
        let mut req = Request::get("/instances");
        if let Some(cached) = &*self.lock_cached_list() {
            req = req.with_header("if-none-match", cached.etag.clone());
        }
        let response = self.send(step, req).await?;
        if response.status == 304 {
            let cached = self.lock_cached_list();
            let instances = cached.as_ref().map(|cached| cached.instances.clone());
            return instances.ok_or_else(|| self.unknown(step, "unchanged, but never read before"));
        }
        let instances = self.parse_list(step, &response)?;
        let cache = |etag: &str| CachedList {
            etag: etag.to_owned(),
            instances: instances.clone(),
        };
        *self.lock_cached_list() = response.headers.get("etag").map(cache);
        Ok(instances)
    }
}

/// Parses an entry of the instance list.
fn parse_entry(json: &str) -> Result<ListedInstance, String> {
    let entry: ListedInstance =
        parse_json(json.as_bytes(), MAX_RESPONSE_BYTES).map_err(|err| err.to_string())?;
    if entry.address.port() == 0 {
        return Err("the port is out of range".to_owned());
    }
    match &entry.role {
        ListedRole::Worker { capacity, .. } if !capacity.is_worker_capacity() => {
            Err(format!("a capacity of {capacity} is out of range"))
        }
        _ => Ok(entry),
    }
}

impl HttpPlatform {
    /// Parses each entry of the instance list on its own, and leaves out those that cannot be read.
    fn parse_list(
        &self,
        step: &'static str,
        response: &Response,
    ) -> Result<Vec<ListedInstance>, PlatformError> {
        if !response.is_success() {
            return Err(self.not_done(step, &status_problem(response)));
        }
        let raw: RawInstances = serde_json::from_slice(&response.body)
            .map_err(|err| self.unknown(step, &err.to_string()))?;
        let mut instances = Vec::with_capacity(raw.instances.len());
        let mut unreadable: Option<UnreadableEntries> = None;
        for (index, entry) in raw.instances.iter().enumerate() {
            match (parse_entry(entry.get()), &mut unreadable) {
                (Ok(entry), _) => instances.push(entry),
                (Err(_), Some(it)) => it.count += 1,
                (Err(problem), None) => {
                    unreadable = Some(UnreadableEntries {
                        count: 1,
                        first_index: index,
                        first_problem: problem,
                    });
                }
            }
        }
        self.log_unreadable(unreadable);
        Ok(instances)
    }

    fn log_unreadable(&self, unreadable: Option<UnreadableEntries>) {
        let mut logged = lock(&self.unreadable);
        if *logged == unreadable {
            return;
        }
        if let Some(it) = &unreadable {
            log_event!(self.log, LISTED_ENTRY_UNREADABLE; "entries" => it.count,
                "first_index" => it.first_index, "problem" => it.first_problem.clone());
        }
        *logged = unreadable;
    }

    fn lock_cached_list(&self) -> MutexGuard<'_, Option<CachedList>> {
        self.cached_list
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
