//! HTTP client for the commands that are sent to an entry instance.

use {
    crate::{
        burn::{self, BurnCounts},
        cli::{Remote, RemoteCommand},
        config,
        error::Error,
        exit_codes::Exit,
        output::{self, Table},
    },
    ragwortreel_caller::OUTCOME_HEADER,
    ragwortreel_http::{Client, ClientLimits, Headers, Method, Request, Response, Sent},
    ragwortreel_model::{
        JobSpec, JobStatus, Settings, SettingsError, Workspace, WorkspaceSettings,
    },
    std::{net::SocketAddr, path::Path, time::Instant},
};

/// Sends a command to an entry instance and prints the result.
///
/// # Errors
///
/// Returns an error if a local file is invalid, the connection fails or the instance refuses the command. Its exit code
/// states whether the command may have been executed.
pub async fn run(remote: &Remote, command: RemoteCommand) -> Result<(), Error> {
    let client = Client::new(ClientLimits::default());
    let session = ApiSession { remote, client };
    match command {
        RemoteCommand::SettingsGet(workspace) => session.get_settings(workspace.as_ref()).await,
        RemoteCommand::SettingsSet {
            workspace,
            file,
            base,
        } => session.set_settings(workspace.as_ref(), &file, base).await,
        RemoteCommand::Submit(file) => session.submit(&file).await,
        RemoteCommand::Jobs => session.list_jobs().await,
        RemoteCommand::Describe(job) => {
            session
                .request_job(
                    "describing the job",
                    Method::Get,
                    &format!("/v1/jobs/{job}"),
                )
                .await
        }
        RemoteCommand::Cancel(job) => {
            session
                .request_job(
                    "cancelling the job",
                    Method::Delete,
                    &format!("/v1/jobs/{job}"),
                )
                .await
        }
        RemoteCommand::DrainWorker(id) => session.drain(&format!("/v1/workers/{id}/drain")).await,
        RemoteCommand::DrainInstance(id) => {
            session.drain(&format!("/v1/instances/{id}/drain")).await
        }
        RemoteCommand::Burn => session.print_burn_report().await,
    }
}

struct ApiSession<'a> {
    remote: &'a Remote,
    client: Client,
}

impl ApiSession<'_> {
    async fn get_settings(&self, workspace: Option<&Workspace>) -> Result<(), Error> {
        let response = self
            .send(
                "reading settings",
                Method::Get,
                &settings_path(workspace),
                None,
                Vec::new(),
            )
            .await?;
        let version = response
            .headers
            .get("etag")
            .unwrap_or_default()
            .trim_matches('"')
            .to_owned();
        eprintln!("version {version}");
        let value: serde_json::Value = self.parse_body("reading settings", &response)?;
        output::print(&format!("{value:#}\n"))
    }

    async fn set_settings(
        &self,
        workspace: Option<&Workspace>,
        file: &Path,
        base: u64,
    ) -> Result<(), Error> {
        let json = config::read_file(file)?;
        validate_settings(workspace, &json).map_err(Error::settings(file))?;
        let response = self
            .send(
                "changing settings",
                Method::Put,
                &settings_path(workspace),
                Some(base),
                json,
            )
            .await?;
        output::print(&format!("{}\n", String::from_utf8_lossy(&response.body)))
    }

    async fn submit(&self, file: &Path) -> Result<(), Error> {
        let json = config::read_file(file)?;
        let invalid = Error::settings(file);
        let spec: JobSpec = ragwortreel_model::parse_json(&json).map_err(invalid)?;
        spec.check()
            .map_err(|err| invalid(SettingsError::new(err.field, err.problem)))?;
        let response = self
            .send("submitting the job", Method::Post, "/v1/jobs", None, json)
            .await?;
        self.print_job("submitting the job", &response)
    }

    /// Sends a request about one job and prints the returned status.
    async fn request_job(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
    ) -> Result<(), Error> {
        let response = self.send(step, method, path, None, Vec::new()).await?;
        self.print_job(step, &response)
    }

    fn print_job(&self, step: &'static str, response: &Response) -> Result<(), Error> {
        if self.remote.json {
            return output::print(&format!("{}\n", String::from_utf8_lossy(&response.body)));
        }
        let status: JobStatus = self.parse_body(step, response)?;
        let waiting = status
            .waiting
            .as_ref()
            .map_or_else(|| "-".to_owned(), ToString::to_string);
        let lines = [
            ("job", status.spec.id.to_string()),
            ("workspace", status.spec.workspace.to_string()),
            ("kind", status.spec.kind.to_string()),
            ("priority", status.spec.priority.to_string()),
            ("pool", status.pool.to_string()),
            ("state", status.state.to_string()),
            ("tasks", status.spec.tasks.to_string()),
            ("running", status.running.to_string()),
            ("succeeded", status.succeeded.to_string()),
            ("failures", status.failures.to_string()),
            ("waiting", waiting),
        ];
        let lines = lines.iter().map(|(key, value)| format!("{key:10} {value}"));
        output::print(&format!("{}\n", lines.collect::<Vec<_>>().join("\n")))
    }

    async fn list_jobs(&self) -> Result<(), Error> {
        let response = self
            .send("listing jobs", Method::Get, "/v1/jobs", None, Vec::new())
            .await?;
        if self.remote.json {
            return output::print(&format!("{}\n", String::from_utf8_lossy(&response.body)));
        }
        let jobs: Vec<JobStatus> = self.parse_body("listing jobs", &response)?;
        let mut table = Table::new(&[
            "JOB",
            "WORKSPACE",
            "KIND",
            "STATE",
            "RUNNING",
            "SUCCEEDED",
            "TASKS",
            "WAITING",
        ]);
        for job in jobs {
            table.add_row(vec![
                job.spec.id.to_string(),
                job.spec.workspace.to_string(),
                job.spec.kind.to_string(),
                job.state.to_string(),
                job.running.to_string(),
                job.succeeded.to_string(),
                job.spec.tasks.to_string(),
                job.waiting
                    .map_or_else(|| "-".to_owned(), |reason| reason.to_string()),
            ]);
        }
        output::print(&table.render())
    }

    async fn drain(&self, path: &str) -> Result<(), Error> {
        self.send("draining", Method::Post, path, None, Vec::new())
            .await?;
        output::print("draining\n")
    }

    async fn print_burn_report(&self) -> Result<(), Error> {
        let step = "reading burn counts";
        let response = self
            .send(step, Method::Get, "/v1/burn", None, Vec::new())
            .await?;
        let counts: BurnCounts = self.parse_body(step, &response)?;
        let report = burn::report(&counts);
        if self.remote.json {
            let json =
                serde_json::to_string(&report).map_err(|err| Error::start("burn report", &err))?;
            return output::print(&format!("{json}\n"));
        }
        output::print(&burn::format_table(&report))
    }

    /// Sends a request and returns its response if the status is below 300.
    ///
    /// After a connection error, the command counts as not run if nothing was sent or the request is a GET; otherwise
    /// its outcome is unknown.
    async fn send(
        &self,
        step: &'static str,
        method: Method,
        path: &str,
        base: Option<u64>,
        body: Vec<u8>,
    ) -> Result<Response, Error> {
        let address = self.remote.address;
        let mut headers = Headers::new();
        headers.insert("host", address.to_string());
        if let Some(token) = &self.remote.token {
            headers.insert("authorization", format!("Bearer {token}"));
        }
        if let Some(base) = base {
            headers.insert("if-match", format!("\"{base}\""));
        }
        let req = Request {
            method,
            path: path.to_owned(),
            headers,
            body,
        };
        let deadline = Instant::now() + self.remote.timeout;
        let response = self
            .client
            .send(address, req, deadline)
            .await
            .map_err(|err| {
                let exit = if err.sent == Sent::Nothing || method == Method::Get {
                    Exit::NotRun
                } else {
                    Exit::Unknown
                };
                Error::Refused {
                    step,
                    peer: address.to_string(),
                    problem: err.to_string(),
                    exit,
                }
            })?;
        if response.status < 300 {
            return Ok(response);
        }
        Err(response_error(step, address, &response))
    }

    fn parse_body<T: serde::de::DeserializeOwned>(
        &self,
        step: &'static str,
        response: &Response,
    ) -> Result<T, Error> {
        serde_json::from_slice(&response.body).map_err(|err| Error::Refused {
            step,
            peer: self.remote.address.to_string(),
            problem: format!("unreadable answer: {err}"),
            exit: Exit::Failure,
        })
    }
}

/// Validates settings before they are sent, so that the error names the position in the local file.
fn validate_settings(workspace: Option<&Workspace>, json: &[u8]) -> Result<(), SettingsError> {
    let Some(workspace) = workspace else {
        return Settings::parse(json).map(|_| ());
    };
    let branch: WorkspaceSettings = ragwortreel_model::parse_json(json)?;
    let mut tree = Settings::default();
    tree.workspaces.insert(workspace.clone(), branch);
    tree.check()
}

fn settings_path(workspace: Option<&Workspace>) -> String {
    workspace.map_or_else(
        || "/v1/settings".to_owned(),
        |workspace| format!("/v1/settings/workspaces/{workspace}"),
    )
}

/// Converts a response with an error status; the exit code follows from the status and the outcome header.
fn response_error(step: &'static str, address: SocketAddr, response: &Response) -> Error {
    let outcome = response.headers.get(OUTCOME_HEADER);
    let exit = match response.status {
        400 | 413 => Exit::Invalid,
        404 => Exit::NotFound,
        409 => Exit::Conflict,
        _ if outcome == Some("unknown") => Exit::Unknown,
        _ if outcome == Some("not-run") => Exit::NotRun,
        _ => Exit::Failure,
    };
    let body = String::from_utf8_lossy(&response.body);
    let problem = serde_json::from_str::<serde_json::Value>(&body)
        .ok()
        .and_then(|value| {
            value
                .get("problem")
                .and_then(|text| text.as_str())
                .map(ToOwned::to_owned)
        })
        .unwrap_or_else(|| body.into_owned());
    Error::Refused {
        step,
        peer: address.to_string(),
        problem: format!("{} {problem}", response.status),
        exit,
    }
}
