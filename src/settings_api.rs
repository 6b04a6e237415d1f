//! Settings endpoints of the HTTP interface, implemented by the control plane.

use {
    async_trait::async_trait,
    ragwortreel_caller::{ApiError, ApiErrorKind, SettingsCalls, SettingsChange, SettingsReply},
    ragwortreel_control::{Control, SettingsChange as Change, SettingsChangeError},
    ragwortreel_model::{Settings, SettingsError, Workspace, WorkspaceSettings, parse_json},
    serde::Serialize,
};

/// Implements the settings endpoints with the control plane of an entry instance.
pub struct DaemonSettings {
    control: Control,
}

/// Response body of a conflict, with the tree and version that a concurrent change has written.
#[derive(Serialize)]
struct Conflict<'a> {
    problem: String,
    version: u64,
    current: &'a Settings,
}

/// Response body of a conflict for a workspace, which may read only its own branch.
#[derive(Serialize)]
struct WorkspaceConflict<'a> {
    problem: String,
    version: u64,
    current: Option<&'a WorkspaceSettings>,
}

impl DaemonSettings {
    #[must_use]
    pub fn new(control: Control) -> Self {
        Self { control }
    }

    fn parse_branch(
        &self,
        workspace: &Workspace,
        change: &SettingsChange,
    ) -> Result<Change, ApiError> {
        let branch: WorkspaceSettings = parse_json(&change.json).map_err(|err| invalid(&err))?;
        if !change.by_operator {
            let current = self.control.settings();
            let current = current
                .settings
                .workspaces
                .get(workspace)
                .ok_or_else(|| no_workspace(workspace))?;
            check_protected_fields(workspace, current, &branch).map_err(|err| invalid(&err))?;
        }
        Ok(Change::Workspace(workspace.clone(), Some(branch)))
    }
}

#[async_trait]
impl SettingsCalls for DaemonSettings {
    async fn read(&self, workspace: Option<&Workspace>) -> Result<SettingsReply, ApiError> {
        let settings = self.control.settings();
        let json = match workspace {
            None => serde_json::to_vec(&settings.settings),
            Some(workspace) => serde_json::to_vec(
                settings
                    .settings
                    .workspaces
                    .get(workspace)
                    .ok_or_else(|| no_workspace(workspace))?,
            ),
        };
        let json = json.map_err(|err| ApiError::new(ApiErrorKind::Unavailable, err.to_string()))?;
        Ok(SettingsReply {
            version: settings.version,
            json,
        })
    }

    async fn change(&self, change: SettingsChange) -> Result<u64, ApiError> {
        let wanted = match &change.workspace {
            None => Change::Whole(Settings::parse(&change.json).map_err(|err| invalid(&err))?),
            Some(workspace) => self.parse_branch(workspace, &change)?,
        };
        let result = self
            .control
            .change_settings(change.base_version, wanted)
            .await;
        result.map_err(|err| api_error(&err, change.workspace.as_ref()))
    }
}

fn invalid(err: &SettingsError) -> ApiError {
    ApiError::new(ApiErrorKind::Invalid, err.to_string())
}

fn no_workspace(workspace: &Workspace) -> ApiError {
    ApiError::new(ApiErrorKind::NotFound, format!("no workspace {workspace}"))
}

/// Rejects a change by a workspace of its own quota, weight, job limit or token, which only operators may change.
fn check_protected_fields(
    workspace: &Workspace,
    current: &WorkspaceSettings,
    wanted: &WorkspaceSettings,
) -> Result<(), SettingsError> {
    let protected = [
        ("token_sha256", current.token_sha256 == wanted.token_sha256),
        ("weight", current.weight == wanted.weight),
        ("quota", current.quota == wanted.quota),
        ("max_jobs", current.max_jobs == wanted.max_jobs),
    ];
    match protected.iter().find(|(_, same)| !same) {
        None => Ok(()),
        Some((key, _)) => Err(SettingsError::new(
            &format!("workspaces.{workspace}.{key}"),
            "only an operator may change this",
        )),
    }
}

/// Converts an error of a settings change to the error that is returned to the caller.
fn api_error(err: &SettingsChangeError, workspace: Option<&Workspace>) -> ApiError {
    let kind = match err {
        SettingsChangeError::Conflict { .. } => ApiErrorKind::Conflict,
        SettingsChangeError::Invalid(_) => ApiErrorKind::Invalid,
        SettingsChangeError::Unavailable { .. } => ApiErrorKind::Unavailable,
        SettingsChangeError::Unknown { .. } => ApiErrorKind::Unknown,
    };
    let SettingsChangeError::Conflict { current } = err else {
        return ApiError::new(kind, err.to_string());
    };
    let (problem, version, tree) = (err.to_string(), current.version, &current.settings);
    let body = match workspace {
        None => serde_json::to_string(&Conflict {
            problem,
            version,
            current: tree,
        }),
        Some(workspace) => serde_json::to_string(&WorkspaceConflict {
            problem,
            version,
            current: tree.workspaces.get(workspace),
        }),
    };
    ApiError::new(kind, body.unwrap_or_else(|_| err.to_string()))
}
