//! Server side of the calls between entry instances.

use {
    crate::{job_routing, peers, settings, shared::Shared, slots},
    async_trait::async_trait,
    ragwortreel_entry::{
        EntryService,
        generated::{
            BurnCountsReply, BurnCountsRequest, ConfirmSlotEpochReply, ConfirmSlotEpochRequest,
            DrainReply, DrainRequest, ForwardedRequest, ForwardedResponse, HeartbeatReply,
            HeartbeatRequest, JobMessage, JobReference, JobReply, ReleaseSlotsReply,
            ReleaseSlotsRequest, SettingsTree, SettingsVersion, job_reply,
        },
    },
    ragwortreel_model::{JobId, JobSpec, Pool, Workspace},
    ragwortreel_runtime::lock,
    std::sync::Arc,
};

/// Retry delay for forwarded requests while this instance serves none, in ms.
const RETRY_AFTER_MS: u64 = 1_000;

pub(crate) struct ControlEntryService(pub Arc<Shared>);

#[async_trait]
impl EntryService for ControlEntryService {
    async fn heartbeat(&self, req: HeartbeatRequest) -> HeartbeatReply {
        peers::handle_heartbeat(&self.0, req)
    }

    async fn push_settings(&self, tree: SettingsTree) -> SettingsVersion {
        settings::adopt_message(&self.0, &tree);
        SettingsVersion {
            version: self.0.settings.current().version,
        }
    }

    async fn pull_settings(&self, asked: SettingsVersion) -> SettingsTree {
        let current = self.0.settings.current();
        if current.version <= asked.version {
            return SettingsTree {
                version: current.version,
                ..SettingsTree::default()
            };
        }
        settings::tree_message(&current)
    }

    async fn confirm_slot_epoch(&self, req: ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply {
        slots::confirm_epoch(&self.0, &req)
    }

    async fn release_slots(&self, req: ReleaseSlotsRequest) -> ReleaseSlotsReply {
        slots::report_release(&self.0, &req)
    }

    async fn forward_request(&self, req: ForwardedRequest) -> ForwardedResponse {
        match self.0.data_plane() {
            Some(data_plane) => data_plane.serve_forwarded(req).await,
            None => ForwardedResponse {
                outcome: "not-run".to_owned(),
                status: 503,
                retry_after_ms: RETRY_AFTER_MS,
                reason: "the instance does not serve requests yet".to_owned(),
                ..ForwardedResponse::default()
            },
        }
    }

    async fn drain(&self, req: DrainRequest) -> DrainReply {
        let is_own = req.instance == self.0.cfg.instance.as_str();
        let data_plane = self.0.data_plane().filter(|_| is_own);
        let accepted = data_plane.is_some();
        if let Some(data_plane) = data_plane {
            data_plane.drain();
        }
        DrainReply { accepted }
    }

    async fn burn_counts(&self, _req: BurnCountsRequest) -> BurnCountsReply {
        let data_plane = self.0.data_plane();
        BurnCountsReply {
            counts_json: data_plane
                .map(|data_plane| data_plane.burn_counts())
                .unwrap_or_default(),
        }
    }

    async fn submit_job(&self, message: JobMessage) -> JobReply {
        let spec = serde_json::from_slice::<JobSpec>(&message.spec_json);
        let (Ok(spec), Ok(pool)) = (spec, Pool::new(&message.pool)) else {
            return refusal("the message is malformed");
        };
        let Some(handle) = self.0.owner_handle(&pool) else {
            return not_owner();
        };
        let answer = job_routing::submit_to_local_owner(&self.0, &handle, spec).await;
        job_routing::to_reply(answer.map(|status| vec![status]))
    }

    async fn cancel_job(&self, message: JobReference) -> JobReply {
        let (Ok(job), Ok(workspace)) = (
            JobId::new(&message.job),
            parse_workspace(&message.workspace),
        ) else {
            return refusal("the message is malformed");
        };
        let handles: Vec<_> = lock(&self.0.owners).values().cloned().collect();
        let mut answer = None;
        for handle in handles {
            let result = job_routing::cancel_at_local_owner(
                &self.0,
                &handle,
                job.clone(),
                workspace.clone(),
            )
            .await;
            let is_elsewhere = matches!(result, Err(crate::JobError::NotFound { .. }));
            answer = Some(result);
            if !is_elsewhere {
                break;
            }
        }
        answer.map_or_else(not_owner, |answer| {
            job_routing::to_reply(answer.map(|status| vec![status]))
        })
    }

    async fn describe_job(&self, message: JobReference) -> JobReply {
        let job = (!message.job.is_empty())
            .then(|| JobId::new(&message.job))
            .transpose();
        let (Ok(job), Ok(workspace)) = (job, parse_workspace(&message.workspace)) else {
            return refusal("the message is malformed");
        };
        let handles: Vec<_> = lock(&self.0.owners).values().cloned().collect();
        let mut found = Vec::new();
        for handle in handles {
            match job_routing::describe_at_local_owner(
                &self.0,
                &handle,
                workspace.clone(),
                job.clone(),
            )
            .await
            {
                Ok(statuses) => found.extend(statuses),
                Err(err) => return job_routing::to_reply(Err(err)),
            }
        }
        job_routing::to_reply(Ok(found))
    }
}

fn parse_workspace(text: &str) -> Result<Option<Workspace>, ragwortreel_model::NameError> {
    (!text.is_empty()).then(|| Workspace::new(text)).transpose()
}

fn refusal(problem: &str) -> JobReply {
    JobReply {
        result: job_reply::Result::Refused.into(),
        problem: problem.to_owned(),
        ..JobReply::default()
    }
}

fn not_owner() -> JobReply {
    JobReply {
        result: job_reply::Result::NotOwner.into(),
        problem: "this instance does not own the pool".to_owned(),
        ..JobReply::default()
    }
}
