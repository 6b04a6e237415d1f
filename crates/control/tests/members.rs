//! Members of a zone: partitions, restarts at the same address, slot epochs and quotas.

mod support;

use {
    ragwortreel_control::{SettingsChange, SlotShares},
    ragwortreel_model::{InstanceId, Resources, TeamSettings},
    ragwortreel_platform::{InstanceState, ListedInstance, ListedRole},
    ragwortreel_runtime::{block_on, sleep_ms},
    ragwortreel_standins::Outage,
    std::collections::BTreeMap,
    support::{Cell, job, name, team},
};

const SLOTS: usize = 24;

/// A simple division for the tests: slots go round the members.
fn holder(members: &[InstanceId], slot: usize) -> Option<&InstanceId> {
    members.get(slot % members.len().max(1))
}

/// Whether an instance would use a slot now.
fn uses(shares: &SlotShares, own: &InstanceId, slot: usize, now_ms: u64) -> bool {
    let others: Vec<_> = shares
        .members
        .iter()
        .filter(|id| *id != own)
        .cloned()
        .collect();
    let unreleased = shares.earlier.iter().any(|earlier| {
        holder(&earlier.members, slot).is_some_and(|id| earlier.unreleased.contains(id))
    });
    let withheld = holder(&others, slot).is_some_and(|id| shares.withheld_for.contains(id));
    holder(&shares.members, slot) == Some(own)
        && now_ms < shares.lease_until_ms
        && !unreleased
        && !withheld
}

/// The instances that would use each slot now.
fn users(cell: &Cell) -> Vec<Vec<String>> {
    use ragwortreel_model::Clock as _;
    let shares: BTreeMap<_, _> = (cell.instances.iter())
        .map(|(id, instance)| (id, (&instance.id, instance.control.slot_shares_input())))
        .collect();
    let now_ms = cell.clock.now_ms();
    let user = |slot| {
        let using = shares
            .iter()
            .filter(|(_, (own, shares))| uses(shares, own, slot, now_ms));
        using.map(|(id, _)| (*id).clone()).collect()
    };
    (0..SLOTS).map(user).collect()
}

/// Watches for a time that no slot has two users, until a condition holds.
async fn watch(cell: &Cell, what: &str, holds: impl Fn(&[Vec<String>]) -> bool) {
    cell.until(what, |cell| {
        let users = users(cell);
        assert!(
            users.iter().all(|users| users.len() <= 1),
            "{what}: {users:?}"
        );
        holds(&users)
    })
    .await;
}

async fn watch_for(cell: &Cell, what: &str, real_ms: u64) {
    let since = std::time::Instant::now();
    let limit = std::time::Duration::from_millis(real_ms);
    watch(cell, what, |_| since.elapsed() > limit).await;
}

fn all_used(users: &[Vec<String>]) -> bool {
    users.iter().all(|users| users.len() == 1)
}

async fn three_members() -> Cell {
    let mut cell = Cell::new(&["riga-a"], 0);
    for id in ["e1", "e2", "e3"] {
        cell.start(id, "riga-a");
    }
    watch(&cell, "all slots used", all_used).await;
    let members = |cell: &Cell| cell.any().slot_shares_input().members.len();
    cell.until("three members", |cell| members(cell) == 3).await;
    watch(&cell, "all slots used by three", all_used).await;
    cell.ready().await;
    cell
}

/// A dead member's slots must come back, and at no time may two members use one.
#[test]
fn slots_of_a_dead_member_come_back() {
    block_on(async {
        let mut cell = three_members().await;
        cell.kill("e2");
        watch(&cell, "all slots used by the others", all_used).await;
        cell.start("e2", "riga-a");
        let is_back = |users: &[Vec<String>]| all_used(users) && users[1] == ["e2"];
        watch(&cell, "the restarted member has its share", is_back).await;
    });
}

/// A paused member must not use slots that others took over, also right after it resumes.
#[test]
fn paused_member_loses_its_slots() {
    block_on(async {
        let cell = three_members().await;
        cell.instances["e2"].gate.pause();
        watch(&cell, "all slots used by the others", |users| {
            all_used(users) && !users.iter().any(|users| users[0] == "e2")
        })
        .await;
        cell.instances["e2"].gate.resume();
        watch(&cell, "it has a share again", |users| {
            all_used(users) && users.iter().any(|users| users[0] == "e2")
        })
        .await;
    });
}

/// A member that resumes and renews its row before it reads the new epoch must not use its old share.
#[test]
fn dropped_member_cannot_renew_its_old_share() {
    block_on(async {
        let cell = three_members().await;
        // A member without a pool, so that only the change of the slot epoch fences it.
        let owner = cell.owner("riga-a").expect("an owner");
        let id = cell
            .instances
            .keys()
            .find(|id| **id != owner)
            .expect("another")
            .clone();
        let gate = &cell.instances[&id].gate;
        gate.hold_scans(true);
        sleep_ms(200).await;
        gate.pause();
        watch(&cell, "all slots used by the others", |users| {
            all_used(users) && !users.iter().any(|users| users[0] == id)
        })
        .await;
        gate.resume();
        watch_for(&cell, "while it cannot read the epoch", 800).await;
        gate.hold_scans(false);
        watch(&cell, "it has a share again", |users| {
            all_used(users) && users.iter().any(|users| users[0] == id)
        })
        .await;
    });
}

/// While the table is down the members confirm each other, so routing goes on.
#[test]
fn members_confirm_each_other_without_the_table() {
    block_on(async {
        let cell = three_members().await;
        cell.platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
        sleep_ms(1_000).await;
        let mut used = 0;
        for _ in 0..50 {
            let users = users(&cell);
            assert!(users.iter().all(|users| users.len() <= 1), "{users:?}");
            used += usize::from(all_used(&users));
            sleep_ms(10).await;
        }
        assert!(used > 0, "no member confirms");
        cell.platform.faults().clear();
        watch(&cell, "all used after the outage", all_used).await;
    });
}

/// A member that is silent to one other, but alive, may drop it; what it would inherit must stay unused.
#[test]
fn slots_are_withheld_for_a_silent_member() {
    block_on(async {
        let cell = three_members().await;
        let address = |id: &str| cell.instances[id].address;
        cell.network.cut(address("e1"), address("e2"));
        cell.network.cut(address("e2"), address("e1"));
        cell.platform
            .faults()
            .update(|faults| faults.outage = Some(Outage::Refuse));
        cell.until("e1 withholds for e2", |cell| {
            let shares = cell.control("e1").slot_shares_input();
            shares.withheld_for.contains(&name(InstanceId::new, "e2"))
        })
        .await;
        watch_for(&cell, "during the outage", 1_000).await;
        cell.platform.faults().clear();
        cell.network.heal();
        watch(&cell, "all used after the outage", all_used).await;
    });
}

/// Loss in one direction must show as such, and must not cost a live owner its pool.
#[test]
fn one_way_loss_is_told_apart() {
    block_on(async {
        let cell = three_members().await;
        let owner = cell.owner("riga-a").expect("an owner");
        let before = cell.control(&owner).figures().takeovers;
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
            link(cell, "e1", "e2").is_some_and(|link| link.calls_us && !link.answers)
        })
        .await;
        cell.until("e2 neither hears e1 nor has answers", |cell| {
            link(cell, "e2", "e1").is_some_and(|link| !link.calls_us && !link.answers)
        })
        .await;
        sleep_ms(1_000).await;
        assert_eq!(cell.owner("riga-a"), Some(owner.clone()));
        assert_eq!(cell.control(&owner).figures().takeovers, before);
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
            let pools = cell.control(id).figures().pools;
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

/// Two pools together must not run more of a team's tasks than its quota holds.
#[test]
fn pools_share_a_quota() {
    block_on(async {
        let mut cell = Cell::new(&["riga-a", "riga-b"], 3);
        cell.start("e1", "riga-a");
        cell.start("e2", "riga-b");
        cell.ready().await;
        let branch = TeamSettings {
            quota: Resources::new(6_000, 256 * 1024, 0),
            ..TeamSettings::default()
        };
        let base = cell.any().settings().version;
        let change = SettingsChange::Team(team(), Some(branch));
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
        assert!(
            !cell
                .control(&owner)
                .slot_shares_input()
                .members
                .contains(&left)
        );
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
            let pools = instance.map(|instance| instance.control.figures().pools);
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
        cell.timings.forget_ms = 6_000;
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
            control.figures().fences >= 1 && control.is_ready() && !is_gone(cell, &other)
        })
        .await;
        // Once the platform lists the owner as terminated, the next one settles it and its row is not needed any more.
        let address = cell.instances[&owner].address;
        cell.kill(&owner);
        cell.platform.put_instance(ListedInstance {
            id: name(InstanceId::new, &owner),
            zone: cell.zones[0].clone(),
            address,
            state: InstanceState::Terminated,
            role: ListedRole::Entry,
        });
        cell.until("the owner's row is removed", |cell| is_gone(cell, &owner))
            .await;
        assert_eq!(cell.owner("riga-a"), Some(other));
    });
}
