//! Texts of refusals and errors that callers, operators and other instances receive.

mod support;

use {
    async_trait::async_trait,
    ragwortreel_control::SettingsChange,
    ragwortreel_entry::{
        EntryService,
        generated::{
            BurnCountsReply, BurnCountsRequest, ConfirmSlotEpochReply, ConfirmSlotEpochRequest,
            DrainReply, DrainRequest, ForwardedRequest, ForwardedResponse, HeartbeatReply,
            HeartbeatRequest, JobMessage, JobReference, JobReply, ReleaseSlotsReply,
            ReleaseSlotsRequest, SettingsTree, SettingsVersion, job_reply,
        },
    },
    ragwortreel_model::{JobSpec, Settings, Workspace, WorkspaceSettings, Zone},
    ragwortreel_platform::{TableService as _, Txn, TxnOutcome, Write},
    ragwortreel_runtime::{block_on, spawn},
    serde_json::{Value, json},
    std::sync::Arc,
    support::{Cell, job, valid_name, workspace},
};

async fn one_zone() -> Cell {
    let mut cell = Cell::new(&["riga-a"], 1);
    cell.start("e1", "riga-a");
    cell.wait_until_ready().await;
    cell
}

fn message(spec: &JobSpec) -> JobMessage {
    JobMessage {
        spec_json: serde_json::to_vec(spec).expect("encodes"),
        pool: "riga-a".to_owned(),
    }
}

fn row(cell: &Cell, key: &str) -> Value {
    let row = cell.platform.peek(key).expect("the row exists");
    serde_json::from_str(&row.value).expect("a row holds JSON")
}

/// Writes a row to the table directly, without the version checks of an instance.
async fn overwrite(cell: &Cell, key: &str, value: &Value) {
    let txn = Txn {
        checks: Vec::new(),
        writes: vec![Write {
            key: key.into(),
            value: Some(value.to_string().into()),
        }],
    };
    let outcome = cell.platform.commit(txn).await.expect("answered");
    assert!(matches!(outcome, TxnOutcome::Committed { .. }));
}

#[test]
fn malformed_messages_of_peers_are_refused() {
    block_on(async {
        let cell = one_zone().await;
        let service = cell.any_control().entry_service();
        let reference = JobReference {
            job: "no job".to_owned(),
            workspace: String::new(),
        };
        let spec = JobMessage {
            spec_json: b"{".to_vec(),
            pool: "riga-a".to_owned(),
        };
        let replies = [
            service.submit_job(spec).await,
            service.cancel_job(reference.clone()).await,
            service.describe_job(reference).await,
        ];
        for reply in replies {
            assert_eq!(reply.problem, "the message is malformed");
        }
    });
}

#[test]
fn workspace_limits_refuse_jobs() {
    block_on(async {
        let cell = one_zone().await;
        let mut spec = job("j0", 1, None);
        spec.workspace = valid_name(Workspace::new, "beta");
        let err = cell
            .any_control()
            .submit_job(spec)
            .await
            .expect_err("refused");
        assert!(
            err.to_string().ends_with("the workspace is not known"),
            "{err}"
        );
        let mut settings = Settings::default();
        let limited = WorkspaceSettings {
            max_jobs: 1,
            ..WorkspaceSettings::default()
        };
        settings.workspaces.insert(workspace(), limited);
        let change = SettingsChange::Whole(settings);
        cell.any_control()
            .change_settings(1, change)
            .await
            .expect("accepted");
        cell.submit("e1", job("j1", 1, None)).await;
        let refused = cell.any_control().submit_job(job("j2", 1, None)).await;
        let err = refused.expect_err("refused").to_string();
        let expected = "refused: the workspace has as many jobs as it may have, retry after ";
        assert!(err.starts_with(expected), "{err}");
    });
}

/// More submissions than the owner writes at once, while the table does not answer.
#[test]
fn submissions_during_an_outage_are_refused_or_time_out() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 1);
        // The lease must not expire during the calls: the pool would lose its owner.
        cell.timings.lease_ms = 10 * 60 * 1_000;
        cell.start("e1", "riga-a");
        cell.wait_until_ready().await;
        cell.instances["e1"].injector.pause();
        let service = cell.any_control().entry_service();
        let calls: Vec<_> = (0..300)
            .map(|number| {
                let service = Arc::clone(&service);
                let message = message(&job(&format!("j{number}"), 1, None));
                spawn(async move { service.submit_job(message).await })
            })
            .collect();
        let (mut refused, mut timed_out) = (0, 0);
        for call in calls {
            let problem = call.await.problem;
            if problem.starts_with("refused: too many submissions are being written, retry after ")
            {
                refused += 1;
            } else {
                assert!(problem.ends_with(": timeout"), "{problem}");
                timed_out += 1;
            }
        }
        assert_eq!((timed_out, refused), (256, 44));
    });
}

#[test]
fn cancellation_fails_when_the_row_was_changed() {
    block_on(async {
        let cell = one_zone().await;
        cell.submit("e1", job("j1", 1, None)).await;
        cell.until("the task runs", |cell| cell.running() == 1)
            .await;
        let value = row(&cell, "job/j1");
        overwrite(&cell, "job/j1", &value).await;
        let id = job("j1", 1, None).id;
        let err = cell
            .any_control()
            .cancel_job(&id, None)
            .await
            .expect_err("refused");
        let expected = "refused: the job's owner has changed, retry after ";
        assert!(err.to_string().starts_with(expected), "{err}");
    });
}

#[test]
fn change_fails_without_the_newest_settings() {
    block_on(async {
        let cell = one_zone().await;
        let mut head = row(&cell, "settings/head");
        head["version"] = json!(7);
        overwrite(&cell, "settings/head", &head).await;
        let change = SettingsChange::Whole(Settings::default());
        let result = cell.any_control().change_settings(1, change).await;
        let err = result.expect_err("refused").to_string();
        assert!(
            err.ends_with(": the newest settings cannot be read"),
            "{err}"
        );
    });
}

/// A pool of another instance that has no row of its own.
#[test]
fn cancellation_fails_without_an_address_of_the_owner() {
    block_on(async {
        let cell = one_zone().await;
        cell.submit("e1", job("j1", 1, None)).await;
        let mut pool = row(&cell, "pool/riga-a");
        pool["owner"] = json!("ghost");
        overwrite(&cell, "pool/riga-z", &pool).await;
        let mut job_row = row(&cell, "job/j1");
        job_row["pool"] = json!("riga-z");
        job_row["spec"]["id"] = json!("j2");
        overwrite(&cell, "job/j2", &job_row).await;
        let id = job("j2", 1, None).id;
        loop {
            let result = cell.any_control().cancel_job(&id, None).await;
            let err = result.expect_err("refused").to_string();
            // The instance has not read the pool's row yet.
            if err.starts_with("refused: the pool has no owner, ") {
                ragwortreel_runtime::sleep_ms(5).await;
                continue;
            }
            let expected = "refused: the pool's owner is not known, retry after ";
            assert!(err.starts_with(expected), "{err}");
            break;
        }
    });
}

/// Answers submissions and cancellations with an empty list of jobs, and forwards all other calls.
struct EmptyAnswers(Arc<dyn EntryService>);

fn empty_answer() -> JobReply {
    JobReply {
        result: job_reply::Result::Ok.into(),
        problem: String::new(),
        jobs_json: b"[]".to_vec(),
    }
}

macro_rules! forward_calls {
    ($($name:ident($req:ident) -> $reply:ident;)*) => {
        #[async_trait]
        impl EntryService for EmptyAnswers {
            $(async fn $name(&self, req: $req) -> $reply {
                self.0.$name(req).await
            })*

            async fn submit_job(&self, _req: JobMessage) -> JobReply {
                empty_answer()
            }

            async fn cancel_job(&self, _req: JobReference) -> JobReply {
                empty_answer()
            }
        }
    };
}

forward_calls! {
    heartbeat(HeartbeatRequest) -> HeartbeatReply;
    push_settings(SettingsTree) -> SettingsVersion;
    pull_settings(SettingsVersion) -> SettingsTree;
    confirm_slot_epoch(ConfirmSlotEpochRequest) -> ConfirmSlotEpochReply;
    release_slots(ReleaseSlotsRequest) -> ReleaseSlotsReply;
    forward_request(ForwardedRequest) -> ForwardedResponse;
    describe_job(JobReference) -> JobReply;
    drain(DrainRequest) -> DrainReply;
    burn_counts(BurnCountsRequest) -> BurnCountsReply;
}

#[test]
fn empty_answers_of_an_owner_leave_the_outcome_unknown() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 1);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-a");
        cell.wait_until_ready().await;
        let owner = cell.owner("riga-a").expect("an owner");
        let via = if owner == "e1" { "e2" } else { "e1" };
        let mut spec = job("j1", 1, None);
        spec.zone = Some(valid_name(Zone::new, "riga-a"));
        cell.submit(via, spec.clone()).await;
        let owner = &cell.instances[&owner];
        let service = EmptyAnswers(owner.control.entry_service());
        cell.network
            .listen(owner.address, &owner.injector, Arc::new(service));
        let cancelled = cell.control(via).cancel_job(&spec.id, None).await;
        spec.id = job("j2", 1, None).id;
        let submitted = cell.control(via).submit_job(spec).await;
        for result in [cancelled, submitted] {
            let err = result.expect_err("no job").to_string();
            assert!(err.ends_with(": the owner's answer is empty"), "{err}");
        }
    });
}
