//! HTTP clients for the platform's services.
//!
//! A response of status 400 to 429 or 503 says that the service did nothing. Any other failure after a byte was sent
//! leaves the outcome unknown. After a time limit all idle connections are given up, because open connections can go
//! silent while new ones work.

use {
    crate::api::{
        InstanceList, ListedInstance, ObjectStore, PlatformError, Row, TableService, Txn,
        TxnOutcome,
    },
    async_trait::async_trait,
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode},
    ragwortreel_http::{Client, ClientLimits, Method, Request, Response, parse_json},
    ragwortreel_model::Zone,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Header that names the caller's availability zone.
pub const ZONE_HEADER: &str = "ragwortreel-zone";
/// Largest response: a scan or a snapshot object.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Characters that stand for themselves in keys within URLs.
const KEY_CHARACTERS: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'_')
    .remove(b'.')
    .remove(b'/');

/// Body of the answer to `GET /table/get`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowResponse {
    /// The row, if it exists.
    pub row: Option<Row>,
}

/// Body of the answer to `GET /table/scan`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RowsResponse {
    /// Rows in the order of their keys.
    pub rows: Vec<Row>,
}

/// Body of the answer to `GET /instances`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstancesResponse {
    /// All listed instances.
    pub instances: Vec<ListedInstance>,
}

/// Client for table service, object store and instance list at one address.
#[derive(Debug)]
pub struct HttpPlatform {
    addr: SocketAddr,
    zone: Zone,
    time_limit: Duration,
    client: Client,
    /// Last list with its entity tag; an unchanged list is not sent again.
    list: Mutex<Option<CachedList>>,
}

#[derive(Debug)]
struct CachedList {
    tag: String,
    instances: Vec<ListedInstance>,
}

impl HttpPlatform {
    /// Makes a client of an instance in a zone; connections are opened on use.
    #[must_use]
    pub fn new(addr: SocketAddr, zone: Zone, time_limit: Duration) -> Self {
        Self {
            addr,
            zone,
            time_limit,
            client: Client::new(ClientLimits {
                max_body_bytes: MAX_RESPONSE_BYTES,
                ..ClientLimits::default()
            }),
            list: Mutex::default(),
        }
    }

    async fn send(&self, step: &'static str, req: Request) -> Result<Response, PlatformError> {
        let req = req.with_header(ZONE_HEADER, self.zone.as_str());
        let deadline = Instant::now() + self.time_limit;
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
    utf8_percent_encode(key, KEY_CHARACTERS).to_string()
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
        if let Some(cached) = &*self.cached_list() {
            req = req.with_header("if-none-match", cached.tag.clone());
        }
        let response = self.send(step, req).await?;
        if response.status == 304 {
            let cached = self.cached_list();
            let instances = cached.as_ref().map(|cached| cached.instances.clone());
            return instances.ok_or_else(|| self.unknown(step, "unchanged, but never read before"));
        }
        let answer: InstancesResponse = self.parse(step, &response)?;
        let cache = |tag: &str| CachedList {
            tag: tag.to_owned(),
            instances: answer.instances.clone(),
        };
        *self.cached_list() = response.headers.get("etag").map(cache);
        Ok(answer.instances)
    }
}

impl HttpPlatform {
    fn cached_list(&self) -> MutexGuard<'_, Option<CachedList>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
