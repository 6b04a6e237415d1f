//! Entry instances of a zone under partitions, restarts at the same address, changes of the slot epoch, and shared
//! quotas.

mod support;

use {
    async_trait::async_trait,
    ragwortreel_control::{DataPlane, Load, SettingsChange},
    ragwortreel_entry::generated::{ForwardedRequest, ForwardedResponse, ReleaseSlotsRequest},
    ragwortreel_model::{Clock as _, InstanceId, Resources, ServiceName, WorkspaceSettings},
    ragwortreel_platform::{InstanceState, ListedInstance, ListedRole},
    ragwortreel_routing::{BackendId, BackendUsage, SlotShares},
    ragwortreel_runtime::{block_on, sleep_ms},
    ragwortreel_standins::Outage,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Mutex},
    },
    support::{Cell, FastClock, job, valid_name, workspace},
};

const BACKENDS: [&str; 3] = ["b1", "b2", "b3"];
const SLOTS_PER_BACKEND: u32 = 8;
const ALL_SLOTS: u32 = 24;

/// Slots of the backend servers that the instances use.
///
/// It is checked at each change, before the instance reports that it released slots, so that a slot with two users is
/// detected even if the overlap is short.
#[derive(Default)]
struct SlotUsage {
    by_instance: BTreeMap<String, InstanceUsage>,
    /// Descriptions of the backend servers of which more slots were in use than exist.
    overcommitted: Vec<String>,
}

/// Slots that one instance uses.
#[derive(Default)]
struct InstanceUsage {
    shares: SlotShares,
    /// Number of requests in flight on each backend server; they use slots even after the share has shrunk.
    in_flight: u32,
}

impl InstanceUsage {
    fn slots(&self, backend: &str, now_ms: u64) -> u32 {
        let is_valid = now_ms < self.shares.valid_until_ms;
        let share = self.shares.by_backend.get(backend).filter(|_| is_valid);
        share.map_or(0, |share| share.slots).max(self.in_flight)
    }

    fn all_slots(&self, now_ms: u64) -> u32 {
        BACKENDS.iter().map(|id| self.slots(id, now_ms)).sum()
    }
}

impl SlotUsage {
    fn check(&mut self, now_ms: u64) {
        for backend in BACKENDS {
            let slots =
                |(id, used): (&String, &InstanceUsage)| (id.clone(), used.slots(backend, now_ms));
            let used: BTreeMap<_, _> = self.by_instance.iter().map(slots).collect();
            if used.values().sum::<u32>() > SLOTS_PER_BACKEND {
                self.overcommitted.push(format!("{backend}: {used:?}"));
            }
        }
    }
}

/// Data plane of one instance that uses its whole share of slots at all times.
struct RecordingDataPlane {
    id: String,
    clock: Arc<FastClock>,
    usage: Arc<Mutex<SlotUsage>>,
    injector: Arc<support::FaultInjector>,
}

#[async_trait]
impl DataPlane for RecordingDataPlane {
    async fn serve_forwarded(&self, _: ForwardedRequest) -> ForwardedResponse {
        ForwardedResponse::default()
    }

    fn apply_shares(&self, shares: &SlotShares) {
        let mut usage = self.usage.lock().unwrap();
        if !self.injector.is_killed() {
            let used = usage.by_instance.entry(self.id.clone()).or_default();
            used.shares = shares.clone();
            usage.check(self.clock.now_ms());
        }
    }

    fn in_use(&self) -> BTreeMap<BackendId, BackendUsage> {
        let usage = self.usage.lock().unwrap();
        let in_flight = usage.by_instance.get(&self.id).map_or(0, |u| u.in_flight);
        let in_use = BackendUsage {
            slots: in_flight,
            connections: in_flight,
        };
        BACKENDS
            .iter()
            .map(|id| (BackendId::from(*id), in_use))
            .collect()
    }

    fn load(&self) -> Load {
        Load::default()
    }

    fn drain(&self) {}

    fn burn_counts(&self) -> Vec<u8> {
        Vec::new()
    }
}

/// Entry instances of one zone with backend servers, whose use of slots is recorded.
struct Members {
    cell: Cell,
    usage: Arc<Mutex<SlotUsage>>,
}

impl Members {
    fn new() -> Self {
        let cell = Cell::new(&["riga-a"], 0);
        for (id, port) in BACKENDS.iter().zip(2_000..) {
            cell.platform.put_instance(ListedInstance {
                id: valid_name(InstanceId::new, id),
                zone: cell.zones[0].clone(),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                state: InstanceState::Live,
                role: ListedRole::Backend {
                    workspace: workspace(),
                    service: valid_name(ServiceName::new, "quotes"),
                },
            });
        }
        Self {
            cell,
            usage: Arc::default(),
        }
    }

    fn start(&mut self, id: &str) {
        self.cell.start(id, "riga-a");
        let instance = &self.cell.instances[id];
        instance
            .control
            .set_data_plane(Arc::new(RecordingDataPlane {
                id: id.to_owned(),
                clock: Arc::clone(&self.cell.clock),
                usage: Arc::clone(&self.usage),
                injector: Arc::clone(&instance.injector),
            }));
    }

    /// Kills an instance; its requests in flight end with it.
    fn kill(&mut self, id: &str) {
        self.cell.kill(id);
        self.usage.lock().unwrap().by_instance.remove(id);
    }

    fn set_in_flight(&self, id: &str, in_flight: u32) {
        let mut usage = self.usage.lock().unwrap();
        let used = usage.by_instance.get_mut(id).expect("has a share");
        used.in_flight = in_flight;
    }

    /// Returns the number of slots that each instance uses now, over all backend servers.
    fn slots_in_use(&self, context: &str) -> BTreeMap<String, u32> {
        let now_ms = self.cell.clock.now_ms();
        let mut usage = self.usage.lock().unwrap();
        usage.check(now_ms);
        assert!(
            usage.overcommitted.is_empty(),
            "{context}: {:?}",
            usage.overcommitted
        );
        let used = usage.by_instance.iter();
        used.map(|(id, used)| (id.clone(), used.all_slots(now_ms)))
            .collect()
    }

    fn has_lease(&self, id: &str) -> bool {
        let now_ms = self.cell.clock.now_ms();
        let usage = self.usage.lock().unwrap();
        now_ms < usage.by_instance[id].shares.valid_until_ms
    }

    /// Waits until a condition holds, and checks meanwhile that no slot has two users.
    async fn wait_until(&self, what: &str, holds: impl Fn(&BTreeMap<String, u32>) -> bool) {
        let holds = |_: &Cell| holds(&self.slots_in_use(what));
        self.cell.until(what, holds).await;
    }

    /// Checks for a time that no slot has two users.
    async fn check_for(&self, what: &str, real_ms: u64) {
        let since = std::time::Instant::now();
        let limit = std::time::Duration::from_millis(real_ms);
        self.wait_until(what, |_| since.elapsed() > limit).await;
    }

    fn address(&self, id: &str) -> SocketAddr {
        self.cell.instances[id].address
    }

    /// Drops all messages between two instances.
    fn disconnect(&self, one: &str, two: &str) {
        let (one, two) = (self.address(one), self.address(two));
        self.cell.network.disconnect(one, two);
        self.cell.network.disconnect(two, one);
    }

    /// Makes the platform, and with it the table, refuse all calls.
    fn start_platform_outage(&self) {
        self.cell
            .platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
    }
}

fn all_slots_used(used: &BTreeMap<String, u32>) -> bool {
    used.values().sum::<u32>() == ALL_SLOTS
}

async fn three_members() -> Members {
    let mut members = Members::new();
    for id in ["e1", "e2", "e3"] {
        members.start(id);
    }
    members.wait_until("all slots used", all_slots_used).await;
    let count = |cell: &Cell| cell.any_control().slot_members().len();
    members
        .cell
        .until("three members", |cell| count(cell) == 3)
        .await;
    let used_by_all_three =
        |used: &BTreeMap<_, _>| all_slots_used(used) && used.values().all(|used| *used > 0);
    members
        .wait_until("all slots used by three", used_by_all_three)
        .await;
    members.cell.wait_until_ready().await;
    members
}

/// The slots of a killed member must be reassigned, and no slot may have two users at any time.
#[test]
fn slots_of_a_killed_member_are_reassigned() {
    block_on(async {
        let mut members = three_members().await;
        members.kill("e2");
        members
            .wait_until("all slots used by the others", all_slots_used)
            .await;
        members.start("e2");
        let is_back = |used: &BTreeMap<String, u32>| {
            all_slots_used(used) && used.get("e2").is_some_and(|used| *used > 0)
        };
        members
            .wait_until("the restarted member has its share", is_back)
            .await;
    });
}

/// A paused member must not use slots that were reassigned to others, not even right after it resumes.
#[test]
fn paused_member_loses_its_slots() {
    block_on(async {
        let members = three_members().await;
        members.cell.instances["e2"].injector.pause();
        members
            .wait_until("all slots used by the others", |used| {
                all_slots_used(used) && used["e2"] == 0
            })
            .await;
        members.cell.instances["e2"].injector.resume();
        members
            .wait_until("the member has a share again", |used| {
                all_slots_used(used) && used["e2"] > 0
            })
            .await;
    });
}

/// Guards against a removed member that uses its old share: it resumes and renews its row before it has read the new
/// slot epoch.
#[test]
fn removed_member_cannot_renew_its_old_share() {
    block_on(async {
        let members = three_members().await;
        // Selects a member that owns no pool, because only the change of the slot epoch fences it.
        let owner = members.cell.owner("riga-a").expect("an owner");
        let ids = members.cell.instances.keys();
        let id = ids
            .clone()
            .find(|id| **id != owner)
            .expect("another")
            .clone();
        let injector = &members.cell.instances[&id].injector;
        injector.set_scans_blocked(true);
        sleep_ms(200).await;
        injector.pause();
        let is_taken_over = |used: &BTreeMap<String, u32>| all_slots_used(used) && used[&id] == 0;
        members
            .wait_until("all slots used by the others", is_taken_over)
            .await;
        injector.resume();
        members
            .check_for("while it cannot read the epoch", 800)
            .await;
        injector.set_scans_blocked(false);
        let is_back = |used: &BTreeMap<String, u32>| all_slots_used(used) && used[&id] > 0;
        members
            .wait_until("the member has a share again", is_back)
            .await;
    });
}

/// While the table is unavailable the members confirm each other's slot epoch, so that requests are still routed.
#[test]
fn members_confirm_each_other_without_the_table() {
    block_on(async {
        let members = three_members().await;
        members.start_platform_outage();
        sleep_ms(1_000).await;
        let mut used = 0;
        for _ in 0..50 {
            used += usize::from(all_slots_used(&members.slots_in_use("during the outage")));
            sleep_ms(10).await;
        }
        assert!(
            used > 0,
            "all slots were in use at no time during the outage"
        );
        members.cell.platform.faults().clear();
        members
            .wait_until("all used after the outage", all_slots_used)
            .await;
    });
}

/// A silent member may be running and may remove a member whose messages it does not get. While e1 has a lease only
/// from its peers' confirmations and e2 does not reply, e1 must leave unused the slots that e2 would gain by removing
/// e1.
#[test]
fn slots_are_withheld_for_a_silent_member() {
    block_on(async {
        let members = three_members().await;
        let before = members.slots_in_use("before")["e1"];
        members.disconnect("e1", "e2");
        members.start_platform_outage();
        members
            .wait_until("e1 withholds slots that e2 may gain", |used| {
                used["e1"] < before && members.has_lease("e1")
            })
            .await;
        members.check_for("during the outage", 1_000).await;
        members.cell.platform.faults().clear();
        members.cell.network.reconnect_all();
        members
            .wait_until("all used after the outage", all_slots_used)
            .await;
    });
}

/// Two members without the table confirm each other's slot epoch, while the third member removes both. If each of the
/// two withheld only the slots that the third gains by its own removal, slots would have two users.
#[test]
fn silent_member_may_remove_all_others() {
    block_on(async {
        let members = three_members().await;
        for id in ["e1", "e2"] {
            members.disconnect(id, "e3");
            members.cell.instances[id]
                .injector
                .set_table_disconnected(true);
        }
        members
            .wait_until("e3 uses all", |used| used["e3"] == ALL_SLOTS)
            .await;
        members.check_for("after the removal", 500).await;
        for id in ["e1", "e2"] {
            members.cell.instances[id]
                .injector
                .set_table_disconnected(false);
        }
        members.cell.network.reconnect_all();
        let used_by_all_three =
            |used: &BTreeMap<_, _>| all_slots_used(used) && used.values().all(|used| *used > 0);
        members
            .wait_until("all used by three", used_by_all_three)
            .await;
    });
}

/// A member that reads two new slot epochs at once must report the newest, and must not report slots as released while
/// it uses more than its share of that epoch.
#[test]
fn member_that_missed_an_epoch_reports_the_newest() {
    block_on(async {
        let mut members = Members::new();
        members.start("e1");
        members.wait_until("e1 uses all", all_slots_used).await;
        members.set_in_flight("e1", SLOTS_PER_BACKEND);
        let injector = Arc::clone(&members.cell.instances["e1"].injector);
        injector.set_table_disconnected(true);
        members.start("e2");
        members.start("e3");
        let joined = |id: &str| {
            let found = members.cell.control(id).slot_members();
            found.len() == 3
        };
        members
            .cell
            .until("two epochs passed", |_| joined("e2") && joined("e3"))
            .await;
        injector.set_table_disconnected(false);
        members
            .cell
            .until("e1 reads the newest", |_| joined("e1"))
            .await;
        // The share of e1 is four slots in the second epoch and at most three in the third.
        members.set_in_flight("e1", 4);
        let service = members.cell.control("e1").entry_service();
        let req = ReleaseSlotsRequest {
            instance: "e2".into(),
            zone: "riga-a".into(),
            epoch: 2,
        };
        let reply = service.release_slots(req).await;
        assert_eq!(reply.epoch, 3);
        assert_eq!(reply.still_held, BACKENDS);
        members.check_for("while requests are in flight", 500).await;
        members.set_in_flight("e1", 0);
        let used_by_all_three =
            |used: &BTreeMap<_, _>| all_slots_used(used) && used.values().all(|used| *used > 0);
        members
            .wait_until("all used by three", used_by_all_three)
            .await;
    });
}

/// Guards against removing a live member: one that cannot reach the table does not renew its row, but it replies to
/// calls over the entry link.
#[test]
fn member_that_answers_is_not_removed() {
    block_on(async {
        let members = three_members().await;
        let epoch = members.cell.control("e1").metrics().slot_epoch;
        members.cell.instances["e2"]
            .injector
            .set_table_disconnected(true);
        members.check_for("without the table", 2_000).await;
        let metrics = members.cell.control("e1").metrics();
        assert_eq!(metrics.slot_epoch, epoch);
        assert!(members.slots_in_use("without the table")["e2"] > 0);
    });
}

/// Message loss in one direction must be reported as such, and a live owner must keep its pool.
#[test]
fn one_way_message_loss_is_detected() {
    block_on(async {
        let cell = three_members().await.cell;
        let owner = cell.owner("riga-a").expect("an owner");
        let before = cell.control(&owner).metrics().takeovers;
        cell.network
            .disconnect(cell.instances["e1"].address, cell.instances["e2"].address);
        let link = |cell: &Cell, from: &str, to: &str| {
            let members = cell.control(from).members();
            members
                .into_iter()
                .find(|member| member.instance.as_str() == to)
                .map(|member| member.link)
        };
        cell.until("e1 gets heartbeats of e2 but no replies", |cell| {
            link(cell, "e1", "e2")
                .is_some_and(|link| link.sends_heartbeats && !link.answers_heartbeats)
        })
        .await;
        cell.until("e2 gets neither heartbeats nor replies of e1", |cell| {
            link(cell, "e2", "e1")
                .is_some_and(|link| !link.sends_heartbeats && !link.answers_heartbeats)
        })
        .await;
        sleep_ms(1_000).await;
        assert_eq!(cell.owner("riga-a"), Some(owner.clone()));
        assert_eq!(cell.control(&owner).metrics().takeovers, before);
    });
}

/// A process that restarts at the address of an earlier one must be treated as another instance.
#[test]
fn restart_at_the_same_address_has_a_new_incarnation() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 2);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-a");
        cell.wait_until_ready().await;
        let owner = cell.owner("riga-a").expect("an owner");
        cell.submit(&owner, job("j", 4, Some(10_000))).await;
        cell.until("four run", |cell| cell.running() == 4).await;
        cell.kill(&owner);
        cell.start(&owner, "riga-a");
        cell.until("a new owner", |cell| cell.owner("riga-a").is_some())
            .await;
        cell.until_succeeded("j").await;
        assert_eq!(cell.fleet.history().runs().len(), 4);
        cell.assert_no_violations();
    });
}

/// The tasks of a disconnected zone go on running; the next owner of its pool must not start them again.
#[test]
fn tasks_of_a_disconnected_zone_go_on() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 2);
        // With this scan interval the first checks of a new owner come before its next scan, so that an owner that
        // decides by the rows of an earlier scan fails this test.
        cell.timings.scan_ms = 250;
        for (id, zone) in [
            ("e1", "riga-a"),
            ("e2", "riga-a"),
            ("e3", "riga-b"),
            ("e4", "riga-b"),
        ] {
            cell.start(id, zone);
        }
        cell.wait_until_ready().await;
        let mut spec = job("j", 6, Some(60_000));
        spec.zone = Some(cell.zones[1].clone());
        cell.submit("e1", spec).await;
        cell.until("six run", |cell| cell.running() == 6).await;
        let (near_zone, far_zone) = (cell.zones[0].clone(), cell.zones[1].clone());
        cell.platform.faults().update(|faults| {
            faults.cut_zones.insert(far_zone);
        });
        for worker in &cell.workers[2..] {
            let near_zone = near_zone.clone();
            worker.faults().update(|faults| {
                faults.cut_zones.insert(near_zone);
            });
        }
        for from in ["e1", "e2"] {
            for to in ["e3", "e4"] {
                let (one, two) = (cell.instances[from].address, cell.instances[to].address);
                cell.network.disconnect(one, two);
                cell.network.disconnect(two, one);
            }
        }
        // Longer than the task lease and the takeover by the other zone together.
        sleep_ms(22_000 / support::SPEED).await;
        assert_eq!(cell.running(), 6);
        let runs_all_tasks_of_other_zone = |id: &str| {
            let pools = cell.control(id).metrics().pools;
            pools
                .iter()
                .any(|pool| pool.pool.as_str() == "riga-b" && pool.stats.running == 6)
        };
        assert!(
            runs_all_tasks_of_other_zone("e1") || runs_all_tasks_of_other_zone("e2"),
            "the other zone owns the pool and counts its tasks as running"
        );
        cell.platform.faults().clear();
        for worker in &cell.workers {
            worker.faults().clear();
        }
        cell.network.reconnect_all();
        cell.until_succeeded("j").await;
        assert_eq!(cell.fleet.history().runs().len(), 6);
        cell.assert_no_violations();
    });
}

/// The tasks of a workspace in two pools together must not exceed its quota.
#[test]
fn pools_share_a_quota() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 3);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-b");
        cell.wait_until_ready().await;
        let branch = WorkspaceSettings {
            quota: Resources::new(6_000, 256 * 1024, 0),
            ..WorkspaceSettings::default()
        };
        let base = cell.any_control().settings().version;
        let change = SettingsChange::Workspace(workspace(), Some(branch));
        let version = cell
            .any_control()
            .change_settings(base, change)
            .await
            .expect("accepted");
        cell.until("all instances have the quota", |cell| {
            cell.instances
                .values()
                .all(|instance| instance.control.settings().version >= version)
        })
        .await;
        for (index, zone) in cell.zones.iter().enumerate() {
            let mut spec = job(&format!("j{index}"), 10, Some(1_000));
            spec.zone = Some(zone.clone());
            cell.submit("e1", spec).await;
        }
        let ended = |cell: &Cell, id: &str| {
            cell.job_state(id)
                .is_some_and(ragwortreel_model::JobState::is_final)
        };
        let mut most = 0;
        cell.until("both jobs end", |cell| {
            most = most.max(cell.running());
            ended(cell, "j0") && ended(cell, "j1")
        })
        .await;
        assert!(most <= 6, "{most} tasks ran at once");
        assert_eq!(cell.fleet.history().runs().len(), 20);
        cell.assert_no_violations();
    });
}

/// A planned stop releases pools and slots without waiting for leases to expire, and no task is interrupted.
#[test]
fn leaving_instance_releases_its_pool_and_slots() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 2);
        for id in ["e1", "e2"] {
            cell.start(id, "riga-a");
        }
        cell.wait_until_ready().await;
        let owner = cell.owner("riga-a").expect("an owner");
        cell.submit(&owner, job("j", 4, Some(8_000))).await;
        cell.until("four run", |cell| cell.running() == 4).await;
        cell.control(&owner).leave().await;
        cell.until("the other owns the pool", |cell| {
            cell.owner("riga-a").is_some_and(|now| now != owner)
        })
        .await;
        let left = valid_name(InstanceId::new, &owner);
        assert!(!cell.control(&owner).slot_members().contains(&left));
        assert!(!cell.control(&owner).is_ready());
        cell.kill(&owner);
        cell.until_succeeded("j").await;
        assert_eq!(cell.fleet.history().runs().len(), 4);
        cell.assert_no_violations();
    });
}

/// Guards against a job that waits forever although its workspace's quota is free: the scheduler reserves the measured
/// task size when it exceeds the declared one, so a pool must request more quota than the declared sizes when its tasks
/// do not fit.
#[test]
fn requested_quota_covers_reserved_task_sizes() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 4);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-b");
        cell.wait_until_ready().await;
        let mut long = job("long", 8, None);
        let mut next = job("next", 3, Some(500));
        long.zone = Some(cell.zones[0].clone());
        next.zone = Some(cell.zones[0].clone());
        cell.submit("e1", long).await;
        cell.until("eight run", |cell| cell.running() == 8).await;
        // Waits for usage reports, from which the task sizes are measured.
        sleep_ms(600).await;
        cell.submit("e1", next).await;
        cell.until_succeeded("next").await;
        cell.assert_no_violations();
    });
}

/// Guards against tasks that run twice: an owner in a disconnected zone still renews their leases while a second owner
/// takes over the pool and is killed. Even when the second one has certainly ended, the third must not start them.
#[test]
fn tasks_of_a_disconnected_owner_survive_two_takeovers() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 2);
        for (id, zone) in [("e1", "riga-a"), ("e2", "riga-a"), ("e3", "riga-b")] {
            cell.start(id, zone);
        }
        cell.wait_until_ready().await;
        let mut spec = job("j", 6, Some(90_000));
        spec.zone = Some(cell.zones[1].clone());
        cell.submit("e1", spec).await;
        cell.until("six run", |cell| cell.running() == 6).await;
        let (near_zone, far_zone) = (cell.zones[0].clone(), cell.zones[1].clone());
        cell.platform.faults().update(|faults| {
            faults.cut_zones.insert(far_zone);
        });
        for worker in &cell.workers[2..] {
            let near_zone = near_zone.clone();
            worker.faults().update(|faults| {
                faults.cut_zones.insert(near_zone);
            });
        }
        let owns = |cell: &Cell, id: &str| {
            let instance = cell.instances.get(id);
            let pools = instance.map(|instance| instance.control.metrics().pools);
            pools.is_some_and(|pools| pools.iter().any(|pool| pool.pool.as_str() == "riga-b"))
        };
        cell.until("the other zone owns the pool", |cell| {
            owns(cell, "e1") || owns(cell, "e2")
        })
        .await;
        let next = if owns(&cell, "e1") { "e1" } else { "e2" };
        cell.kill(next);
        cell.start(next, "riga-a");
        cell.until("owned again", |cell| owns(cell, "e1") || owns(cell, "e2"))
            .await;
        // Longer than the task lease.
        sleep_ms(14_000 / support::SPEED).await;
        cell.platform.faults().clear();
        for worker in &cell.workers {
            worker.faults().clear();
        }
        sleep_ms(5_000 / support::SPEED).await;
        assert_eq!(cell.running(), 6);
        assert_eq!(cell.fleet.history().runs().len(), 6);
        cell.assert_no_violations();
    });
}

/// The rows of instances that ended long ago must be removed. A paused process that resumes after the removal of its
/// row must release its pools and slots, because the other instances treat the missing row as proof that it has none.
#[test]
fn rows_of_ended_instances_are_removed() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 0);
        cell.timings.stale_row_ttl_ms = 6_000;
        for id in ["e1", "e2", "e3"] {
            cell.start(id, "riga-a");
        }
        cell.wait_until_ready().await;
        // The owner's row is kept while the row of its pool refers to it.
        let owner = cell.owner("riga-a").expect("an owner");
        let others: Vec<_> = cell
            .instances
            .keys()
            .filter(|id| **id != owner)
            .cloned()
            .collect();
        let (killed, other) = (others[0].clone(), others[1].clone());
        // A silent member that has not read the epoch in which the remaining one joined is kept until the platform
        // lists it as terminated (see the next test), so all three must have read the epoch before one is paused.
        cell.until("all members know the epoch of all three", |cell| {
            let mut controls = cell.instances.values().map(|found| &found.control);
            controls.all(|it| it.slot_members().len() == 3 && it.has_full_slot_share())
        })
        .await;
        cell.kill(&killed);
        cell.instances[&other].injector.pause();
        let is_gone =
            |cell: &Cell, id: &str| cell.platform.peek(&format!("instance/{id}")).is_none();
        cell.until("both rows removed", |cell| {
            is_gone(cell, &killed) && is_gone(cell, &other)
        })
        .await;
        assert_eq!(cell.owner("riga-a"), Some(owner.clone()));
        cell.instances[&other].injector.resume();
        cell.until("the resumed member joins again", |cell| {
            let control = cell.control(&other);
            control.metrics().fences >= 1 && control.is_ready() && !is_gone(cell, &other)
        })
        .await;
        // Once the platform lists the owner as terminated, the next owner records that it has ended and its row can be
        // removed.
        let address = cell.instances[&owner].address;
        cell.kill(&owner);
        cell.list_as_terminated(&owner, address);
        cell.until("the owner's row is removed", |cell| is_gone(cell, &owner))
            .await;
        assert_eq!(cell.owner("riga-a"), Some(other));
    });
}

/// A member that became silent before it read the epoch in which another member joined may still use its share of the
/// older epoch. The other member must keep it in the slots row however long it is silent, until the platform lists it
/// as terminated.
#[test]
fn silent_member_with_an_older_epoch_is_removed_once_terminated() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 0);
        for id in ["e1", "e2"] {
            cell.start(id, "riga-a");
        }
        cell.wait_until_ready().await;
        cell.until("the first two have their shares", |cell| {
            let mut controls = cell.instances.values().map(|found| &found.control);
            controls.all(|it| it.slot_members().len() == 2 && it.has_full_slot_share())
        })
        .await;
        cell.instances["e2"].injector.pause();
        cell.start("e3", "riga-a");
        cell.until("the third member joins", |cell| {
            cell.control("e3").slot_members().len() == 3
        })
        .await;
        cell.kill("e1");
        let lists = |cell: &Cell, id: &str| {
            let members = cell.control("e3").slot_members();
            members.contains(&valid_name(InstanceId::new, id))
        };
        cell.until("the killed member is removed", |cell| !lists(cell, "e1"))
            .await;
        let silent_until = cell.clock.now_ms() + 3 * cell.timings.lease_ms;
        cell.until("three leases later", |cell| {
            assert!(
                lists(cell, "e2"),
                "a member that may use an older share was removed"
            );
            cell.clock.now_ms() >= silent_until
        })
        .await;
        let address = cell.instances["e2"].address;
        cell.list_as_terminated("e2", address);
        cell.until("the terminated member is removed", |cell| {
            !lists(cell, "e2")
        })
        .await;
    });
}
