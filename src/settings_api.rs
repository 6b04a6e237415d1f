//! Reading and changing settings over the HTTP interface.

use {
    async_trait::async_trait,
    ragwortreel_caller::{Refusal, RefusalKind, SettingsCalls, SettingsChange, SettingsReply},
    ragwortreel_control::{ChangeError, Control, SettingsChange as Change},
    ragwortreel_model::{Settings, SettingsError, Team, TeamSettings, parse_json},
    serde::Serialize,
};

/// Settings commands over a control part.
pub struct DaemonSettings {
    control: Control,
}

/// Body of a conflict: what the other change has made of the settings.
#[derive(Serialize)]
struct Conflict<'a> {
    problem: String,
    version: u64,
    current: &'a Settings,
}

/// Body of a conflict for a team, which may see its own branch only.
#[derive(Serialize)]
struct TeamConflict<'a> {
    problem: String,
    version: u64,
    current: Option<&'a TeamSettings>,
}

impl DaemonSettings {
    /// Makes the commands.
    #[must_use]
    pub fn new(control: Control) -> Self {
        Self { control }
    }

    fn parse_branch(&self, team: &Team, change: &SettingsChange) -> Result<Change, Refusal> {
        let branch: TeamSettings = parse_json(&change.json).map_err(|err| invalid(&err))?;
        if !change.by_operator {
            let current = self.control.settings();
            let current = current
                .settings
                .teams
                .get(team)
                .ok_or_else(|| no_team(team))?;
            check_fixed(team, current, &branch).map_err(|err| invalid(&err))?;
        }
        Ok(Change::Team(team.clone(), Some(branch)))
    }
}

#[async_trait]
impl SettingsCalls for DaemonSettings {
    async fn read(&self, team: Option<&Team>) -> Result<SettingsReply, Refusal> {
        let settings = self.control.settings();
        let json = match team {
            None => serde_json::to_vec(&settings.settings),
            Some(team) => serde_json::to_vec(
                settings
                    .settings
                    .teams
                    .get(team)
                    .ok_or_else(|| no_team(team))?,
            ),
        };
        let json = json.map_err(|err| Refusal::new(RefusalKind::Unavailable, err.to_string()))?;
        Ok(SettingsReply {
            version: settings.version,
            json,
        })
    }

    async fn change(&self, change: SettingsChange) -> Result<u64, Refusal> {
        let wanted = match &change.team {
            None => Change::Whole(Settings::parse(&change.json).map_err(|err| invalid(&err))?),
            Some(team) => self.parse_branch(team, &change)?,
        };
        let result = self
            .control
            .change_settings(change.base_version, wanted)
            .await;
        result.map_err(|err| refusal(&err, change.team.as_ref()))
    }
}

fn invalid(err: &SettingsError) -> Refusal {
    Refusal::new(RefusalKind::Invalid, err.to_string())
}

fn no_team(team: &Team) -> Refusal {
    Refusal::new(RefusalKind::NotFound, format!("no team {team}"))
}

/// A team must not raise its own quota, weight or job limit, or change its token.
fn check_fixed(
    team: &Team,
    current: &TeamSettings,
    wanted: &TeamSettings,
) -> Result<(), SettingsError> {
    let fixed = [
        ("token_sha256", current.token_sha256 == wanted.token_sha256),
        ("weight", current.weight == wanted.weight),
        ("quota", current.quota == wanted.quota),
        ("max_jobs", current.max_jobs == wanted.max_jobs),
    ];
    match fixed.iter().find(|(_, same)| !same) {
        None => Ok(()),
        Some((key, _)) => Err(SettingsError::new(
            &format!("teams.{team}.{key}"),
            "only an operator may change this",
        )),
    }
}

fn refusal(err: &ChangeError, team: Option<&Team>) -> Refusal {
    let kind = match err {
        ChangeError::Conflict { .. } => RefusalKind::Conflict,
        ChangeError::Invalid(_) => RefusalKind::Invalid,
        ChangeError::Unavailable { .. } => RefusalKind::Unavailable,
        ChangeError::Unknown { .. } => RefusalKind::Unknown,
    };
    let ChangeError::Conflict { current } = err else {
        return Refusal::new(kind, err.to_string());
    };
    let (problem, version, tree) = (err.to_string(), current.version, &current.settings);
    let body = match team {
        None => serde_json::to_string(&Conflict {
            problem,
            version,
            current: tree,
        }),
        Some(team) => serde_json::to_string(&TeamConflict {
            problem,
            version,
            current: tree.teams.get(team),
        }),
    };
    Refusal::new(kind, body.unwrap_or_else(|_| err.to_string()))
}
