//! Pool ownership, journal and recovery when instances, workers and the store fail.

mod support;

use {
    ragwortreel_control::{SettingsChange, Timings},
    ragwortreel_model::{Clock, JobState, Workspace, WorkspaceSettings},
    ragwortreel_runtime::{block_on, sleep_ms},
    ragwortreel_standins::Outage,
    ragwortreel_worker::WorkerTimeouts,
    support::{Cell, job},
};

async fn cell_of_three() -> Cell {
    let mut cell = Cell::new(&["riga-a"], 3);
    for id in ["e1", "e2", "e3"] {
        cell.start(id, "riga-a");
    }
    cell.ready().await;
    cell
}

/// Most time for a takeover, in ms.
const TAKEOVER_MS: u64 = 4_800;

/// Guards against an interval at which one lost heartbeat makes a worker silent, or at which tasks end while their
/// pool's owner is replaced.
#[test]
fn quiet_heartbeats_leave_time_for_a_repeat_and_a_takeover() {
    let timings = Timings::default();
    let quiet_ms = timings.idle_heartbeat_ms();
    let limit = WorkerTimeouts::default().heartbeat;
    let repeated_ms = quiet_ms + u64::try_from(limit.as_millis()).expect("short");
    assert!(repeated_ms < timings.worker_silent_ms);
    // The last heartbeat renews from the report before it, and the next one would have been due when the owner died.
    let lease_left_ms = timings.task_lease_ms - 2 * quiet_ms;
    assert!(lease_left_ms > TAKEOVER_MS);
}

/// Guards against heartbeats that stay as frequent when nothing changes, that let a lease expire, or that miss the
/// runs which follow a quiet time.
#[test]
fn a_quiet_worker_gets_fewer_heartbeats() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 1);
        cell.start("e1", "riga-a");
        cell.ready().await;
        cell.submit("e1", job("long", 1, Some(60_000))).await;
        cell.until("one runs", |cell| cell.running() == 1).await;
        let beats = |cell: &Cell| cell.workers[0].counts().heartbeats;
        sleep_ms(12 * cell.timings.worker_heartbeat_ms).await;
        let before = beats(&cell);
        sleep_ms(8 * cell.timings.worker_heartbeat_ms).await;
        let count = beats(&cell) - before;
        assert!(count <= 6, "{count} heartbeats in eight short intervals");
        cell.submit("e1", job("next", 2, Some(300))).await;
        cell.until_succeeded("next").await;
        assert_eq!(cell.workers[0].counts().expired_runs, 0);
        cell.assert_sound();
    });
}

#[test]
fn jobs_run_to_their_end() {
    block_on(async {
        let cell = cell_of_three().await;
        for (index, via) in ["e1", "e2", "e3"].iter().enumerate() {
            cell.submit(via, job(&format!("j{index}"), 6, Some(300)))
                .await;
        }
        for index in 0..3 {
            cell.until_succeeded(&format!("j{index}")).await;
        }
        assert_eq!(cell.fleet.history().runs().len(), 18);
        cell.assert_sound();
    });
}

/// Tasks must neither stop nor run twice when their pool's owner dies, and waiting ones must start.
#[test]
fn killed_owner_is_replaced() {
    block_on(async {
        let mut cell = cell_of_three().await;
        cell.submit("e1", job("long", 6, Some(20_000))).await;
        cell.until("six run", |cell| cell.running() == 6).await;
        let owner = cell.owner("riga-a").expect("an owner");
        cell.kill(&owner);
        let via = cell.instances.keys().next().expect("an instance").clone();
        cell.submit(&via, job("next", 6, Some(300))).await;
        cell.until_succeeded("next").await;
        cell.until_succeeded("long").await;
        assert_eq!(cell.fleet.history().runs().len(), 12);
        cell.assert_sound();
    });
}

/// Guards against an owner that starts tasks while it is cut off from the table: another instance may own the pool by
/// then, and the workers that it has not reached would not refuse the start. Two things stop it, the lapsed lease and the
/// record that each start needs in the table; with either of them left out this test still passes.
#[test]
fn owner_without_its_lease_starts_nothing() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 1);
        cell.start("e1", "riga-a");
        cell.ready().await;
        let lease_ms = cell.timings.lease_ms;
        cell.submit("e1", job("first", 4, Some(2 * lease_ms))).await;
        cell.until("four run", |cell| cell.running() == 4).await;
        cell.submit("e1", job("second", 4, Some(300))).await;
        cell.instances["e1"].gate.cut_table(true);
        cell.until("the first job has ended", |cell| cell.running() == 0)
            .await;
        let later_ms = cell.clock.now_ms() + lease_ms;
        cell.until("a lease later", |cell| cell.clock.now_ms() >= later_ms)
            .await;
        assert_eq!(cell.fleet.history().runs().len(), 4, "runs of the first");
        cell.instances["e1"].gate.cut_table(false);
        cell.until_succeeded("second").await;
        cell.assert_sound();
    });
}

/// An owner that was paused past its lease must not act on it when it resumes: its late commands are refused.
#[test]
fn paused_owner_is_fenced() {
    block_on(async {
        let cell = cell_of_three().await;
        let owner = cell.owner("riga-a").expect("an owner");
        cell.submit(&owner, job("before", 6, Some(20_000))).await;
        cell.until("six run", |cell| cell.running() == 6).await;
        cell.instances[&owner].gate.pause();
        let others = |cell: &Cell| {
            let mut others = cell.instances.iter().filter(|(id, _)| **id != owner);
            others.any(|(_, instance)| !instance.control.metrics().pools.is_empty())
        };
        cell.until("another owner", others).await;
        let via = cell
            .instances
            .keys()
            .find(|id| **id != owner)
            .expect("another");
        cell.submit(via, job("after", 6, Some(300))).await;
        cell.until_succeeded("after").await;
        cell.instances[&owner].gate.resume();
        cell.until("the paused owner gives up", |cell| {
            let figures = cell.control(&owner).metrics();
            figures.fences >= 1 && figures.pools.is_empty()
        })
        .await;
        cell.until_succeeded("before").await;
        assert_eq!(cell.fleet.history().runs().len(), 12);
        cell.assert_sound();
    });
}

/// While the store is down running tasks go on, no task starts, and submissions are refused as not run.
#[test]
fn store_outage_starts_nothing_and_stops_nothing() {
    block_on(async {
        let cell = cell_of_three().await;
        cell.submit("e1", job("running", 6, Some(30_000))).await;
        cell.until("six run", |cell| cell.running() == 6).await;
        cell.platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
        let refused = cell
            .control("e1")
            .submit_job(job("refused", 1, Some(100)))
            .await;
        assert!(
            matches!(refused, Err(ragwortreel_control::JobError::Refused { .. })),
            "{refused:?}"
        );
        // Longer than the lease of the owner and of the tasks.
        sleep_ms(15_000 / support::SPEED).await;
        assert_eq!(cell.running(), 6);
        assert_eq!(cell.fleet.history().runs().len(), 6);
        cell.platform.faults().clear();
        cell.submit("e2", job("next", 2, Some(100))).await;
        cell.until_succeeded("next").await;
        cell.until_succeeded("running").await;
        assert_eq!(cell.job_state("refused"), None);
        cell.assert_sound();
    });
}

/// An answer lost at any one commit must not lose or double a task.
#[test]
fn lost_answers_of_the_store_do_no_harm() {
    block_on(async {
        let cell = cell_of_three().await;
        for round in 0..20 {
            let id = format!("j{round}");
            for instance in cell.instances.values() {
                instance.gate.lose_commits(round % 5);
            }
            let owner = cell.owner("riga-a").expect("an owner");
            cell.submit(&owner, job(&id, 3, Some(50))).await;
            cell.until_succeeded(&id).await;
        }
        assert_eq!(cell.fleet.history().runs().len(), 60);
        cell.assert_sound();
    });
}

/// A start whose answer is lost must be neither doubled nor forgotten.
#[test]
fn lost_answer_of_a_start_is_settled_by_the_worker() {
    block_on(async {
        let cell = cell_of_three().await;
        let owner = cell.owner("riga-a").expect("an owner");
        cell.instances[&owner].gate.lose_starts(4);
        cell.submit(&owner, job("j", 12, Some(500))).await;
        cell.until_succeeded("j").await;
        assert_eq!(cell.fleet.history().runs().len(), 12);
        cell.assert_sound();
    });
}

/// Tasks of a dead worker are started elsewhere only after its lease has certainly expired.
#[test]
fn lost_worker_with_its_owner() {
    block_on(async {
        let mut cell = cell_of_three().await;
        cell.submit("e1", job("j", 6, Some(30_000))).await;
        cell.until("six run", |cell| cell.running() == 6).await;
        let owner = cell.owner("riga-a").expect("an owner");
        let worker = cell
            .workers
            .iter()
            .find(|worker| worker.running() > 0)
            .expect("a busy worker");
        worker
            .faults()
            .update(|faults| faults.outage = Some(Outage::Silent));
        cell.platform.set_instance_state(
            &support::name(ragwortreel_model::InstanceId::new, &owner),
            ragwortreel_platform::InstanceState::Terminated,
        );
        cell.list_as_terminated(&owner, cell.instances[&owner].address);
        cell.kill(&owner);
        let lost = worker_runs(&cell);
        cell.until_succeeded("j").await;
        assert!(
            cell.fleet.history().runs().len() > 6,
            "{lost} runs were lost"
        );
        cell.assert_sound();
    });
}

fn worker_runs(cell: &Cell) -> usize {
    cell.fleet.history().runs().len()
}

/// A cancelled job's runs must stop, also when the cancellation meets a change of owner.
#[test]
fn cancelled_runs_are_stopped() {
    block_on(async {
        let mut cell = cell_of_three().await;
        cell.submit("e1", job("j", 6, None)).await;
        cell.until("six run", |cell| cell.running() == 6).await;
        let owner = cell.owner("riga-a").expect("an owner");
        // The stops are lost; the next owner finds runs of a job whose row is final.
        for worker in &cell.workers {
            worker
                .faults()
                .update(|faults| faults.outage = Some(Outage::Silent));
        }
        let id = job("j", 6, None).id;
        cell.control(&owner)
            .cancel_job(&id, None)
            .await
            .expect("cancelled");
        assert_eq!(cell.job_state("j"), Some(JobState::Cancelled));
        cell.kill(&owner);
        for worker in &cell.workers {
            worker.faults().clear();
        }
        cell.until("all stopped", |cell| cell.running() == 0).await;
        cell.assert_sound();
    });
}

/// A job that follows the creation of its workspace at once must be accepted, not left behind as cancelled.
#[test]
fn job_of_a_new_workspace_is_accepted() {
    block_on(async {
        let cell = cell_of_three().await;
        let owner = cell.owner("riga-a").expect("the pool has an owner");
        let control = cell.control(&owner);
        for index in 0..10 {
            let base = control.settings();
            let new_workspace = Workspace::new(&format!("new-{index}")).expect("a name");
            let change = SettingsChange::Workspace(
                new_workspace.clone(),
                Some(WorkspaceSettings::default()),
            );
            (control.change_settings(base.version, change).await).expect("the change is accepted");
            let mut spec = job(&format!("first-{index}"), 1, Some(10));
            spec.workspace = new_workspace;
            let status = control.submit_job(spec).await.expect("the job is accepted");
            assert_eq!(status.state, JobState::Queued);
        }
    });
}

/// A job that is refused after its row was written must leave no row behind, and one of a workspace that has just been
/// declared must not be refused because the scheduler does not know the workspace yet.
#[test]
fn refused_job_leaves_no_row() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 1);
        cell.max_queued_tasks = 10;
        cell.start("e1", "riga-a");
        cell.ready().await;
        let result = cell.control("e1").submit_job(job("large", 11, None)).await;
        let is_refused = matches!(result, Err(ragwortreel_control::JobError::Refused { .. }));
        assert!(is_refused, "{result:?}");
        assert_eq!(cell.job_state("large"), None);
        let base = cell.control("e1").settings();
        let mut settings = base.settings.clone();
        let beta = support::name(ragwortreel_model::Workspace::new, "beta");
        settings.workspaces.insert(
            beta.clone(),
            ragwortreel_model::WorkspaceSettings::default(),
        );
        let change = ragwortreel_control::SettingsChange::Whole(settings);
        let changed = cell
            .control("e1")
            .change_settings(base.version, change)
            .await;
        changed.expect("accepted");
        let mut spec = job("new", 1, Some(50));
        spec.workspace = beta;
        cell.control("e1")
            .submit_job(spec)
            .await
            .expect("accepted at once");
        cell.until_succeeded("new").await;
    });
}

/// The answer to each commit of a takeover may be lost; the pool must still get one owner, and its tasks go on.
#[test]
fn lost_answers_during_a_takeover() {
    block_on(async {
        for lost in 1..6 {
            let mut cell = cell_of_three().await;
            cell.submit("e1", job("long", 6, Some(6_000))).await;
            cell.until("six run", |cell| cell.running() == 6).await;
            let owner = cell.owner("riga-a").expect("an owner");
            cell.kill(&owner);
            // Renewals come in between, so the losses begin at different commits of the takeover.
            sleep_ms(2_500 / support::SPEED).await;
            for instance in cell.instances.values() {
                instance.gate.lose_commits(lost * 2);
            }
            cell.until_succeeded("long").await;
            assert_eq!(cell.fleet.history().runs().len(), 6);
            cell.assert_sound();
        }
    });
}

/// An owner without the store renews tasks only for the time that others count on; after that they end by their lease.
#[test]
fn autonomy_ends() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 2);
        cell.timings.task_renewal_grace_ms = 5_000;
        cell.start("e1", "riga-a");
        cell.ready().await;
        cell.submit("e1", job("j", 4, Some(25_000))).await;
        cell.until("four run", |cell| cell.running() == 4).await;
        cell.platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
        cell.until("all leases expire", |cell| cell.running() == 0)
            .await;
        cell.platform.faults().clear();
        cell.until_succeeded("j").await;
        assert_eq!(cell.fleet.history().runs().len(), 8);
        cell.assert_sound();
    });
}
