//! Members of a zone: partitions, restarts at the same address, slot epochs and quotas.

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
    support::{Cell, FastClock, job, name, workspace},
};

const BACKENDS: [&str; 3] = ["b1", "b2", "b3"];
const SLOTS: u32 = 8;
const ALL_SLOTS: u32 = 24;

/// What the instances use of each backend server.
///
/// It is checked with each change, before the instance reports its release, so a slot with two users is found however
/// short the time.
#[derive(Default)]
struct Usage {
    by_instance: BTreeMap<String, Used>,
    overused: Vec<String>,
}

#[derive(Default)]
struct Used {
    shares: SlotShares,
    /// Requests in flight that have not ended, on each backend server.
    in_flight: u32,
}

impl Used {
    fn slots(&self, backend: &str, now_ms: u64) -> u32 {
        let is_valid = now_ms < self.shares.valid_until_ms;
        let share = self.shares.by_backend.get(backend).filter(|_| is_valid);
        share.map_or(0, |share| share.slots).max(self.in_flight)
    }

    fn all_slots(&self, now_ms: u64) -> u32 {
        BACKENDS.iter().map(|id| self.slots(id, now_ms)).sum()
    }
}

impl Usage {
    fn check(&mut self, now_ms: u64) {
        for backend in BACKENDS {
            let slots = |(id, used): (&String, &Used)| (id.clone(), used.slots(backend, now_ms));
            let used: BTreeMap<_, _> = self.by_instance.iter().map(slots).collect();
            if used.values().sum::<u32>() > SLOTS {
                self.overused.push(format!("{backend}: {used:?}"));
            }
        }
    }
}

/// The request part of one process; it takes every slot that it may use.
struct Local {
    id: String,
    clock: Arc<FastClock>,
    usage: Arc<Mutex<Usage>>,
    gate: Arc<support::Gate>,
}

#[async_trait]
impl DataPlane for Local {
    async fn serve_forwarded(&self, _: ForwardedRequest) -> ForwardedResponse {
        ForwardedResponse::default()
    }

    fn apply_shares(&self, shares: &SlotShares) {
        let mut usage = self.usage.lock().unwrap();
        if !self.gate.is_killed() {
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

/// A zone with backend servers, whose instances' use is recorded.
struct Members {
    cell: Cell,
    usage: Arc<Mutex<Usage>>,
}

impl Members {
    fn new() -> Self {
        let cell = Cell::new(&["riga-a"], 0);
        for (id, port) in BACKENDS.iter().zip(2_000..) {
            cell.platform.put_instance(ListedInstance {
                id: name(InstanceId::new, id),
                zone: cell.zones[0].clone(),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
                state: InstanceState::Live,
                role: ListedRole::Backend {
                    workspace: workspace(),
                    service: name(ServiceName::new, "quotes"),
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
        instance.control.set_data_plane(Arc::new(Local {
            id: id.to_owned(),
            clock: Arc::clone(&self.cell.clock),
            usage: Arc::clone(&self.usage),
            gate: Arc::clone(&instance.gate),
        }));
    }

    /// Ends a process, and with it its requests.
    fn kill(&mut self, id: &str) {
        self.cell.kill(id);
        self.usage.lock().unwrap().by_instance.remove(id);
    }

    fn set_in_flight(&self, id: &str, in_flight: u32) {
        let mut usage = self.usage.lock().unwrap();
        let used = usage.by_instance.get_mut(id).expect("has a share");
        used.in_flight = in_flight;
    }

    /// Slots that each instance uses now, over all backend servers.
    fn used(&self, what: &str) -> BTreeMap<String, u32> {
        let now_ms = self.cell.clock.now_ms();
        let mut usage = self.usage.lock().unwrap();
        usage.check(now_ms);
        assert!(usage.overused.is_empty(), "{what}: {:?}", usage.overused);
        let used = usage.by_instance.iter();
        used.map(|(id, used)| (id.clone(), used.all_slots(now_ms)))
            .collect()
    }

    fn has_lease(&self, id: &str) -> bool {
        let now_ms = self.cell.clock.now_ms();
        let usage = self.usage.lock().unwrap();
        now_ms < usage.by_instance[id].shares.valid_until_ms
    }

    /// Watches that no slot has two users, until a condition holds.
    async fn watch(&self, what: &str, holds: impl Fn(&BTreeMap<String, u32>) -> bool) {
        let holds = |_: &Cell| holds(&self.used(what));
        self.cell.until(what, holds).await;
    }

    async fn watch_for(&self, what: &str, real_ms: u64) {
        let since = std::time::Instant::now();
        let limit = std::time::Duration::from_millis(real_ms);
        self.watch(what, |_| since.elapsed() > limit).await;
    }

    fn address(&self, id: &str) -> SocketAddr {
        self.cell.instances[id].address
    }

    fn cut(&self, one: &str, two: &str) {
        let (one, two) = (self.address(one), self.address(two));
        self.cell.network.cut(one, two);
        self.cell.network.cut(two, one);
    }

    fn set_outage(&self) {
        self.cell
            .platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
    }
}

fn all_used(used: &BTreeMap<String, u32>) -> bool {
    used.values().sum::<u32>() == ALL_SLOTS
}

async fn three_members() -> Members {
    let mut members = Members::new();
    for id in ["e1", "e2", "e3"] {
        members.start(id);
    }
    members.watch("all slots used", all_used).await;
    let count = |cell: &Cell| cell.any().slot_members().len();
    members
        .cell
        .until("three members", |cell| count(cell) == 3)
        .await;
    let by_three = |used: &BTreeMap<_, _>| all_used(used) && used.values().all(|used| *used > 0);
    members.watch("all slots used by three", by_three).await;
    members.cell.ready().await;
    members
}

/// A dead member's slots must come back, and at no time may two members use one.
#[test]
fn slots_of_a_dead_member_come_back() {
    block_on(async {
        let mut members = three_members().await;
        members.kill("e2");
        members
            .watch("all slots used by the others", all_used)
            .await;
        members.start("e2");
        let is_back = |used: &BTreeMap<String, u32>| {
            all_used(used) && used.get("e2").is_some_and(|used| *used > 0)
        };
        members
            .watch("the restarted member has its share", is_back)
            .await;
    });
}

/// A paused member must not use slots that others took over, also right after it resumes.
#[test]
fn paused_member_loses_its_slots() {
    block_on(async {
        let members = three_members().await;
        members.cell.instances["e2"].gate.pause();
        members
            .watch("all slots used by the others", |used| {
                all_used(used) && used["e2"] == 0
            })
            .await;
        members.cell.instances["e2"].gate.resume();
        members
            .watch("it has a share again", |used| {
                all_used(used) && used["e2"] > 0
            })
            .await;
    });
}

/// A member that resumes and renews its row before it reads the new epoch must not use its old share.
#[test]
fn dropped_member_cannot_renew_its_old_share() {
    block_on(async {
        let members = three_members().await;
        // A member without a pool, so that only the change of the slot epoch fences it.
        let owner = members.cell.owner("riga-a").expect("an owner");
        let ids = members.cell.instances.keys();
        let id = ids
            .clone()
            .find(|id| **id != owner)
            .expect("another")
            .clone();
        let gate = &members.cell.instances[&id].gate;
        gate.hold_scans(true);
        sleep_ms(200).await;
        gate.pause();
        let is_taken_over = |used: &BTreeMap<String, u32>| all_used(used) && used[&id] == 0;
        members
            .watch("all slots used by the others", is_taken_over)
            .await;
        gate.resume();
        members
            .watch_for("while it cannot read the epoch", 800)
            .await;
        gate.hold_scans(false);
        let is_back = |used: &BTreeMap<String, u32>| all_used(used) && used[&id] > 0;
        members.watch("it has a share again", is_back).await;
    });
}

/// While the table is down the members confirm each other, so routing goes on.
#[test]
fn members_confirm_each_other_without_the_table() {
    block_on(async {
        let members = three_members().await;
        members.set_outage();
        sleep_ms(1_000).await;
        let mut used = 0;
        for _ in 0..50 {
            used += usize::from(all_used(&members.used("during the outage")));
            sleep_ms(10).await;
        }
        assert!(used > 0, "no member confirms");
        members.cell.platform.faults().clear();
        members.watch("all used after the outage", all_used).await;
    });
}

/// A member that is silent to one other, but alive, may drop it; what it would inherit must stay unused.
#[test]
fn slots_are_withheld_for_a_silent_member() {
    block_on(async {
        let members = three_members().await;
        let before = members.used("before")["e1"];
        members.cut("e1", "e2");
        members.set_outage();
        members
            .watch("e1 withholds for e2", |used| {
                used["e1"] < before && members.has_lease("e1")
            })
            .await;
        members.watch_for("during the outage", 1_000).await;
        members.cell.platform.faults().clear();
        members.cell.network.heal();
        members.watch("all used after the outage", all_used).await;
    });
}

/// Two members without the table confirm each other, while the third one removes both; withholding only the gain from
/// one's own removal would leave slots with two users.
#[test]
fn silent_member_may_remove_all_others() {
    block_on(async {
        let members = three_members().await;
        for id in ["e1", "e2"] {
            members.cut(id, "e3");
            members.cell.instances[id].gate.cut_table(true);
        }
        members
            .watch("e3 uses all", |used| used["e3"] == ALL_SLOTS)
            .await;
        members.watch_for("after the removal", 500).await;
        for id in ["e1", "e2"] {
            members.cell.instances[id].gate.cut_table(false);
        }
        members.cell.network.heal();
        let by_three =
            |used: &BTreeMap<_, _>| all_used(used) && used.values().all(|used| *used > 0);
        members.watch("all used by three", by_three).await;
    });
}

/// A member that reads two epochs at once must report the newest one, and must not report a release while it uses
/// more than its share of it.
#[test]
fn member_that_missed_an_epoch_reports_the_newest() {
    block_on(async {
        let mut members = Members::new();
        members.start("e1");
        members.watch("e1 uses all", all_used).await;
        members.set_in_flight("e1", SLOTS);
        let gate = Arc::clone(&members.cell.instances["e1"].gate);
        gate.cut_table(true);
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
        gate.cut_table(false);
        members
            .cell
            .until("e1 reads the newest", |_| joined("e1"))
            .await;
        // Its share of the second epoch is four slots, of the third at most three.
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
        members.watch_for("while requests are in flight", 500).await;
        members.set_in_flight("e1", 0);
        let by_three =
            |used: &BTreeMap<_, _>| all_used(used) && used.values().all(|used| *used > 0);
        members.watch("all used by three", by_three).await;
    });
}

/// A member whose row stands still because it alone cannot reach the table answers over the entry link, so it must not
/// be removed.
#[test]
fn member_that_answers_is_not_removed() {
    block_on(async {
        let members = three_members().await;
        let epoch = members.cell.control("e1").metrics().slot_epoch;
        members.cell.instances["e2"].gate.cut_table(true);
        members.watch_for("without the table", 2_000).await;
        let figures = members.cell.control("e1").metrics();
        assert_eq!(figures.slot_epoch, epoch);
        assert!(members.used("without the table")["e2"] > 0);
    });
}

/// Loss in one direction must show as such, and must not cost a live owner its pool.
#[test]
fn one_way_loss_is_told_apart() {
    block_on(async {
        let cell = three_members().await.cell;
        let owner = cell.owner("riga-a").expect("an owner");
        let before = cell.control(&owner).metrics().takeovers;
        cell.network
            .cut(cell.instances["e1"].address, cell.instances["e2"].address);
        let link = |cell: &Cell, from: &str, to: &str| {
            let members = cell.control(from).members();
            members
                .into_iter()
                .find(|member| member.instance.as_str() == to)
                .map(|member| member.link)
        };
        cell.until("e1 hears e2 but has no answers", |cell| {
            link(cell, "e1", "e2")
                .is_some_and(|link| link.sends_heartbeats && !link.answers_heartbeats)
        })
        .await;
        cell.until("e2 neither hears e1 nor has answers", |cell| {
            link(cell, "e2", "e1")
                .is_some_and(|link| !link.sends_heartbeats && !link.answers_heartbeats)
        })
        .await;
        sleep_ms(1_000).await;
        assert_eq!(cell.owner("riga-a"), Some(owner.clone()));
        assert_eq!(cell.control(&owner).metrics().takeovers, before);
    });
}

/// A process that takes the place of another at the same address must not be taken for it.
#[test]
fn restart_at_the_same_address_has_a_new_incarnation() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 2);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-a");
        cell.ready().await;
        let owner = cell.owner("riga-a").expect("an owner");
        cell.submit(&owner, job("j", 4, Some(10_000))).await;
        cell.until("four run", |cell| cell.running() == 4).await;
        cell.kill(&owner);
        cell.start(&owner, "riga-a");
        cell.until("a new owner", |cell| cell.owner("riga-a").is_some())
            .await;
        cell.until_succeeded("j").await;
        assert_eq!(cell.fleet.history().runs().len(), 4);
        cell.assert_sound();
    });
}

/// A zone that is cut off keeps its tasks; whoever owns its pool afterwards must not double them.
#[test]
fn cut_off_zone_keeps_its_tasks() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 2);
        // A new owner's first checks come before its next scan, so it must not judge by what it read before.
        cell.timings.scan_ms = 250;
        for (id, zone) in [
            ("e1", "riga-a"),
            ("e2", "riga-a"),
            ("e3", "riga-b"),
            ("e4", "riga-b"),
        ] {
            cell.start(id, zone);
        }
        cell.ready().await;
        let mut spec = job("j", 6, Some(60_000));
        spec.zone = Some(cell.zones[1].clone());
        cell.submit("e1", spec).await;
        cell.until("six run", |cell| cell.running() == 6).await;
        let (near, far) = (cell.zones[0].clone(), cell.zones[1].clone());
        cell.platform.faults().update(|faults| {
            faults.cut_zones.insert(far);
        });
        for worker in &cell.workers[2..] {
            let near = near.clone();
            worker.faults().update(|faults| {
                faults.cut_zones.insert(near);
            });
        }
        for from in ["e1", "e2"] {
            for to in ["e3", "e4"] {
                let (one, two) = (cell.instances[from].address, cell.instances[to].address);
                cell.network.cut(one, two);
                cell.network.cut(two, one);
            }
        }
        // Longer than the lease of the tasks and the takeover by the other zone.
        sleep_ms(22_000 / support::SPEED).await;
        assert_eq!(cell.running(), 6);
        let took = |id: &str| {
            let pools = cell.control(id).metrics().pools;
            pools
                .iter()
                .any(|pool| pool.pool.as_str() == "riga-b" && pool.stats.running == 6)
        };
        assert!(
            took("e1") || took("e2"),
            "the other zone owns the pool and counts its tasks as running"
        );
        cell.platform.faults().clear();
        for worker in &cell.workers {
            worker.faults().clear();
        }
        cell.network.heal();
        cell.until_succeeded("j").await;
        assert_eq!(cell.fleet.history().runs().len(), 6);
        cell.assert_sound();
    });
}

/// Two pools together must not run more of a workspace's tasks than its quota holds.
#[test]
fn pools_share_a_quota() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 3);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-b");
        cell.ready().await;
        let branch = WorkspaceSettings {
            quota: Resources::new(6_000, 256 * 1024, 0),
            ..WorkspaceSettings::default()
        };
        let base = cell.any().settings().version;
        let change = SettingsChange::Workspace(workspace(), Some(branch));
        let version = cell
            .any()
            .change_settings(base, change)
            .await
            .expect("accepted");
        cell.until("in force", |cell| {
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
        cell.assert_sound();
    });
}

/// A planned stop hands over pools and slots without waiting for leases to expire, and no task notices.
#[test]
fn leaving_instance_hands_over() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 2);
        for id in ["e1", "e2"] {
            cell.start(id, "riga-a");
        }
        cell.ready().await;
        let owner = cell.owner("riga-a").expect("an owner");
        cell.submit(&owner, job("j", 4, Some(8_000))).await;
        cell.until("four run", |cell| cell.running() == 4).await;
        cell.control(&owner).leave().await;
        cell.until("the other owns the pool", |cell| {
            cell.owner("riga-a").is_some_and(|now| now != owner)
        })
        .await;
        let left = name(InstanceId::new, &owner);
        assert!(!cell.control(&owner).slot_members().contains(&left));
        assert!(!cell.control(&owner).is_ready());
        cell.kill(&owner);
        cell.until_succeeded("j").await;
        assert_eq!(cell.fleet.history().runs().len(), 4);
        cell.assert_sound();
    });
}

/// The scheduler reserves learned sizes above the declared ones; the part of the quota that a pool asks for must follow,
/// or a job waits for ever although the quota is free.
#[test]
fn quota_follows_learned_sizes() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 4);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-b");
        cell.ready().await;
        let mut long = job("long", 8, None);
        let mut next = job("next", 3, Some(500));
        long.zone = Some(cell.zones[0].clone());
        next.zone = Some(cell.zones[0].clone());
        cell.submit("e1", long).await;
        cell.until("eight run", |cell| cell.running() == 8).await;
        // Reports of usage have come in, from which sizes are learned.
        sleep_ms(600).await;
        cell.submit("e1", next).await;
        cell.until_succeeded("next").await;
        cell.assert_sound();
    });
}

/// An earlier owner in a zone that is cut off goes on renewing its tasks, also when the next owner dies and is proven
/// gone; the owner after that must not start them again.
#[test]
fn cut_off_owner_outlasts_the_next_one() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 2);
        for (id, zone) in [("e1", "riga-a"), ("e2", "riga-a"), ("e3", "riga-b")] {
            cell.start(id, zone);
        }
        cell.ready().await;
        let mut spec = job("j", 6, Some(90_000));
        spec.zone = Some(cell.zones[1].clone());
        cell.submit("e1", spec).await;
        cell.until("six run", |cell| cell.running() == 6).await;
        let (near, far) = (cell.zones[0].clone(), cell.zones[1].clone());
        cell.platform.faults().update(|faults| {
            faults.cut_zones.insert(far);
        });
        for worker in &cell.workers[2..] {
            let near = near.clone();
            worker.faults().update(|faults| {
                faults.cut_zones.insert(near);
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
        // Longer than a task's lease.
        sleep_ms(14_000 / support::SPEED).await;
        cell.platform.faults().clear();
        for worker in &cell.workers {
            worker.faults().clear();
        }
        sleep_ms(5_000 / support::SPEED).await;
        assert_eq!(cell.running(), 6);
        assert_eq!(cell.fleet.history().runs().len(), 6);
        cell.assert_sound();
    });
}

/// Rows of instances that ended long ago must not pile up, and a process that returns to find its row removed must
/// give up what it held, because the others take the missing row for the proof that it holds nothing.
#[test]
fn old_rows_are_removed() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 0);
        cell.timings.stale_row_ttl_ms = 6_000;
        for id in ["e1", "e2", "e3"] {
            cell.start(id, "riga-a");
        }
        cell.ready().await;
        // The owner's row stays while its pool's row names it.
        let owner = cell.owner("riga-a").expect("an owner");
        let others: Vec<_> = cell
            .instances
            .keys()
            .filter(|id| **id != owner)
            .cloned()
            .collect();
        let (killed, other) = (others[0].clone(), others[1].clone());
        // A silent member that has not learned of the remaining one stays until the platform lists it as terminated
        // (see the next test), so all three learn of each other before one is paused.
        cell.until("all members know the epoch of all three", |cell| {
            let mut controls = cell.instances.values().map(|found| &found.control);
            controls.all(|it| it.slot_members().len() == 3 && it.has_full_slot_share())
        })
        .await;
        cell.kill(&killed);
        cell.instances[&other].gate.pause();
        let is_gone =
            |cell: &Cell, id: &str| cell.platform.peek(&format!("instance/{id}")).is_none();
        cell.until("both rows removed", |cell| {
            is_gone(cell, &killed) && is_gone(cell, &other)
        })
        .await;
        assert_eq!(cell.owner("riga-a"), Some(owner.clone()));
        cell.instances[&other].gate.resume();
        cell.until("it joins again", |cell| {
            let control = cell.control(&other);
            control.metrics().fences >= 1 && control.is_ready() && !is_gone(cell, &other)
        })
        .await;
        // Once the platform lists the owner as terminated, the next one settles it and its row is not needed any more.
        let address = cell.instances[&owner].address;
        cell.kill(&owner);
        cell.list_as_terminated(&owner, address);
        cell.until("the owner's row is removed", |cell| is_gone(cell, &owner))
            .await;
        assert_eq!(cell.owner("riga-a"), Some(other));
    });
}

/// A member that fell silent before it learned of another one may still use the shares of the older epoch, so the other
/// must keep it in the slots row however long it is silent; the platform's word that it ended must be enough to remove it.
#[test]
fn silent_member_that_never_learned_of_the_other_goes_by_the_list() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a"], 0);
        for id in ["e1", "e2"] {
            cell.start(id, "riga-a");
        }
        cell.ready().await;
        cell.until("the first two share", |cell| {
            let mut controls = cell.instances.values().map(|found| &found.control);
            controls.all(|it| it.slot_members().len() == 2 && it.has_full_slot_share())
        })
        .await;
        cell.instances["e2"].gate.pause();
        cell.start("e3", "riga-a");
        cell.until("the third one joins", |cell| {
            cell.control("e3").slot_members().len() == 3
        })
        .await;
        cell.kill("e1");
        let lists = |cell: &Cell, id: &str| {
            let members = cell.control("e3").slot_members();
            members.contains(&name(InstanceId::new, id))
        };
        cell.until("the killed one is removed", |cell| !lists(cell, "e1"))
            .await;
        let silent_until = cell.clock.now_ms() + 3 * cell.timings.lease_ms;
        cell.until("three leases later", |cell| {
            assert!(lists(cell, "e2"), "a member that may use an older share");
            cell.clock.now_ms() >= silent_until
        })
        .await;
        let address = cell.instances["e2"].address;
        cell.list_as_terminated("e2", address);
        cell.until("the listed one is removed", |cell| !lists(cell, "e2"))
            .await;
    });
}
