//! Waiting work, ordered by rank.
//!
//! Jobs of one workspace, name, kind, priority and declared size wait in one lane, because their tasks are placed alike.
//! Lanes with the same need share a shape. When no worker has room for a shape it is closed, and none of its lanes is
//! tried again until room that may suffice has been freed. Lanes that wait for something else than room (quota, a
//! possible size) are in no shape and cost nothing.

use {
    crate::arena::Arena,
    ragwortreel_model::{JobKind, Priority, Resources, WaitReason},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// What the jobs of a lane have in common.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassKey {
    /// Index of the workspace.
    pub workspace: u32,
    /// Name of the jobs.
    pub name: Arc<str>,
    /// Kind of work.
    pub kind: JobKind,
    /// Order of importance.
    pub priority: Priority,
    /// Declared size of a task.
    pub declared: Resources,
    /// Declared run time, rounded; 0 when none is declared.
    pub declared_ms: u64,
    /// Tasks of a gang; 0 for other kinds.
    pub gang_tasks: u32,
}

/// Order in which lanes are served; the lowest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the lane is neither urgent nor has a service to start again.
    pub not_urgent: bool,
    /// Weighted share of the workspace with aging.
    pub score: u64,
    /// Time since which the lane waits for its turn in the workspace, in ms.
    pub waiting_since_ms: u64,
}

/// What lanes of a shape have in common for a search.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShapeKey {
    /// Room for one task.
    pub need: Resources,
    /// Whether the work may displace other work.
    pub urgent: bool,
    /// Estimated run time in ms.
    pub run_time_ms: u64,
    /// Tasks that must start together; 0 for single tasks.
    pub gang_tasks: u32,
}

/// Where a lane is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClassState {
    /// It has no queued job.
    Empty,
    /// It waits for room.
    Waiting {
        /// Its shape.
        shape: u32,
        /// Its rank in the shape.
        rank: Rank,
        /// Time from which its first job may gather room, in ms.
        reserve_from_ms: u64,
    },
    /// It waits for its workspace's quota.
    QuotaBlocked,
    /// It can never start unless sizes or quotas change.
    Unschedulable(WaitReason),
}

/// A queued job in a lane: submission in ms, sequence number, index.
pub type JobPosition = (u64, u64, u32);

/// Jobs that are placed alike.
#[derive(Debug, Clone)]
pub struct JobClass {
    /// What the jobs have in common.
    pub key: ClassKey,
    /// Shape of a task by the current estimates.
    pub shape: ShapeKey,
    /// Queued jobs, oldest first.
    pub jobs: BTreeSet<JobPosition>,
    /// Time up to which the lane's starts count as its turn, in ms; it ranks among its workspace's lanes as if its jobs
    /// had been submitted no earlier.
    pub virtual_time_ms: u64,
    /// Plans at which the lane was first in rank and did not start, since its last start.
    pub passed_over: u64,
    /// Tasks for which room is being made by checkpoints.
    pub preemptions: u32,
    /// Jobs, queued or not, that belong to the lane.
    pub members: u32,
    /// Queued tasks of all members.
    pub queued: u64,
    /// Where the lane is.
    pub state: ClassState,
}

/// Room for all tasks of a shape that must start together.
fn total_need(key: &ShapeKey) -> Resources {
    let tasks = u64::from(key.gang_tasks.max(1));
    let most = Resources::new(u64::MAX, u64::MAX, u64::MAX);
    key.need.checked_mul(tasks).unwrap_or(most)
}

impl JobClass {
    /// Room for all tasks that must start together.
    pub fn total_need(&self) -> Resources {
        total_need(&self.shape)
    }
}

/// Lanes with the same need.
#[derive(Debug, Clone)]
struct Shape {
    key: ShapeKey,
    classes: BTreeSet<(Rank, u32)>,
    /// Room for all tasks that must start together.
    total_need: Resources,
    active: bool,
    /// Rank of its first lane.
    first_rank: Option<Rank>,
    /// Rank under which it stands among the ready shapes.
    active_rank: Option<Rank>,
}

/// All lanes and shapes.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    classes: Arena<JobClass>,
    by_key: BTreeMap<ClassKey, u32>,
    shapes: Arena<Shape>,
    by_shape: BTreeMap<ShapeKey, u32>,
    active: BTreeSet<(Rank, u32)>,
    blocked: BTreeSet<(u64, u32)>,
    by_reserve_time: BTreeSet<(bool, u64, u32)>,
}

impl Queue {
    /// The lane at an index.
    pub fn class(&self, ix: u32) -> &JobClass {
        &self.classes[ix]
    }

    /// The lane at an index, for changes that do not affect its place.
    pub fn class_mut(&mut self, ix: u32) -> &mut JobClass {
        &mut self.classes[ix]
    }

    /// All lanes.
    pub fn classes(&self) -> impl Iterator<Item = (u32, &JobClass)> {
        self.classes.iter()
    }

    /// Adds a member to the lane of a key, which is made when missing; returns it and whether it is new.
    pub fn add_member(&mut self, key: ClassKey) -> (u32, bool) {
        if let Some(&ix) = self.by_key.get(&key) {
            self.classes[ix].members += 1;
            return (ix, false);
        }
        let shape = ShapeKey {
            need: key.declared,
            urgent: key.priority == Priority::Urgent,
            run_time_ms: key.declared_ms,
            gang_tasks: key.gang_tasks,
        };
        let ix = self.classes.insert(JobClass {
            key: key.clone(),
            shape,
            jobs: BTreeSet::new(),
            virtual_time_ms: 0,
            passed_over: 0,
            preemptions: 0,
            members: 1,
            queued: 0,
            state: ClassState::Empty,
        });
        self.by_key.insert(key, ix);
        (ix, true)
    }

    /// Removes a member; returns the lane's key when it was the last one and the lane is gone.
    pub fn remove_member(&mut self, ix: u32) -> Option<ClassKey> {
        self.classes[ix].members -= 1;
        if self.classes[ix].members > 0 {
            return None;
        }
        self.set_state(ix, ClassState::Empty);
        let class = self.classes.remove(ix)?;
        self.by_key.remove(&class.key);
        Some(class.key)
    }

    /// Moves a lane; `Listed` is reached through [`Self::list`].
    pub fn set_state(&mut self, ix: u32, state: ClassState) {
        if let ClassState::Waiting {
            shape,
            rank,
            reserve_from_ms,
        } = self.classes[ix].state
        {
            self.by_reserve_time
                .remove(&(rank.not_urgent, reserve_from_ms, ix));
            self.shapes[shape].classes.remove(&(rank, ix));
            self.update_active(shape);
            if self.shapes[shape].classes.is_empty() {
                self.remove_shape(shape);
            }
        }
        self.classes[ix].state = state;
    }

    /// Changes the shape of a lane; [`Self::list`] then moves it.
    pub fn set_shape(&mut self, ix: u32, shape: ShapeKey) {
        self.classes[ix].shape = shape;
    }

    /// Lists a lane in its shape.
    pub fn enqueue(&mut self, ix: u32, rank: Rank, reserve_from_ms: u64) {
        let key = self.classes[ix].shape;
        if let ClassState::Waiting {
            shape,
            rank: old,
            reserve_from_ms: old_ms,
        } = self.classes[ix].state
            && self.shapes[shape].key == key
        {
            if (old, old_ms) == (rank, reserve_from_ms) {
                return;
            }
            if (old.not_urgent, old_ms) != (rank.not_urgent, reserve_from_ms) {
                self.by_reserve_time.remove(&(old.not_urgent, old_ms, ix));
            }
            self.shapes[shape].classes.remove(&(old, ix));
            self.insert(ix, shape, rank, reserve_from_ms);
            return;
        }
        self.set_state(ix, ClassState::Empty);
        let shape = self.shape_of(key);
        self.insert(ix, shape, rank, reserve_from_ms);
    }

    fn insert(&mut self, ix: u32, shape: u32, rank: Rank, reserve_from_ms: u64) {
        self.by_reserve_time
            .insert((rank.not_urgent, reserve_from_ms, ix));
        self.shapes[shape].classes.insert((rank, ix));
        self.classes[ix].state = ClassState::Waiting {
            shape,
            rank,
            reserve_from_ms,
        };
        self.update_active(shape);
    }

    fn shape_of(&mut self, key: ShapeKey) -> u32 {
        if let Some(&ix) = self.by_shape.get(&key) {
            return ix;
        }
        let ix = self.shapes.insert(Shape {
            key,
            classes: BTreeSet::new(),
            total_need: total_need(&key),
            active: true,
            first_rank: None,
            active_rank: None,
        });
        self.by_shape.insert(key, ix);
        ix
    }

    fn remove_shape(&mut self, ix: u32) {
        if let Some(shape) = self.shapes.remove(ix) {
            self.by_shape.remove(&shape.key);
            self.blocked.remove(&(shape.key.need.milli_cores, ix));
        }
    }

    /// Brings a shape's entry among the ready shapes up to date.
    fn update_active(&mut self, ix: u32) {
        let shape = &mut self.shapes[ix];
        shape.first_rank = shape.classes.first().map(|&(rank, _)| rank);
        let wanted = shape.first_rank.filter(|_| shape.active);
        let old = std::mem::replace(&mut shape.active_rank, wanted);
        if old == wanted {
            return;
        }
        if let Some(old) = old {
            self.active.remove(&(old, ix));
        }
        if let Some(new) = wanted {
            self.active.insert((new, ix));
        }
    }

    /// The lane to serve next.
    pub fn first(&self) -> Option<u32> {
        let &(_, shape) = self.active.first()?;
        self.shapes[shape].classes.first().map(|&(_, class)| class)
    }

    /// Sets a lane's shape aside until room is freed, and returns it.
    pub fn block(&mut self, class: u32) -> Option<u32> {
        let ClassState::Waiting { shape, .. } = self.classes[class].state else {
            return None;
        };
        self.shapes[shape].active = false;
        let cpu = self.shapes[shape].key.need.milli_cores;
        self.blocked.insert((cpu, shape));
        self.update_active(shape);
        Some(shape)
    }

    /// Whether the lane waits in a shape that has been set aside.
    pub fn is_blocked(&self, class: u32) -> bool {
        match self.classes[class].state {
            ClassState::Waiting { shape, .. } => !self.shapes[shape].active,
            _ => false,
        }
    }

    fn unblock(&mut self, shape: u32) {
        let cpu = self.shapes[shape].key.need.milli_cores;
        self.blocked.remove(&(cpu, shape));
        self.shapes[shape].active = true;
        self.update_active(shape);
    }

    /// Opens the shape of a lane.
    pub fn unblock_class(&mut self, class: u32) {
        if let ClassState::Waiting { shape, .. } = self.classes[class].state {
            self.unblock(shape);
        }
    }

    /// The first closed shape in rank that may fit now that a worker has `free` and the pool has `pool_free`, among
    /// those that are not `tried`.
    pub fn first_blocked(
        &self,
        free: &Resources,
        pool_free: &Resources,
        searched_shapes: &BTreeSet<u32>,
    ) -> Option<(Rank, u32)> {
        let range = self.blocked.range(..=(free.milli_cores, u32::MAX));
        let fits = range.filter_map(|&(_, ix)| {
            let shape = &self.shapes[ix];
            let fits = shape.key.need.fits_in(free) && shape.total_need.fits_in(pool_free);
            shape.first_rank.filter(|_| fits).map(|rank| (rank, ix))
        });
        fits.filter(|(_, ix)| !searched_shapes.contains(ix)).min()
    }

    /// Opens a shape if it comes before all open ones.
    pub fn unblock_if_first(&mut self, rank: Rank, shape: u32) {
        let is_first = self.active.first().is_none_or(|&(first, _)| rank < first);
        if is_first {
            self.unblock(shape);
        }
    }

    /// Opens the closed shapes that may fit now that a worker has `free` and the pool has `pool_free`.
    pub fn unblock_fitting(&mut self, free: &Resources, pool_free: &Resources) {
        let range = self.blocked.range(..=(free.milli_cores, u32::MAX));
        let fits = |ix: &u32| {
            let shape = &self.shapes[*ix];
            shape.key.need.fits_in(free) && shape.total_need.fits_in(pool_free)
        };
        let shapes = range.map(|&(_, ix)| ix).filter(fits);
        for shape in shapes.collect::<Vec<u32>>() {
            self.unblock(shape);
        }
    }

    /// Opens all shapes.
    pub fn unblock_all(&mut self) {
        for (_, shape) in std::mem::take(&mut self.blocked) {
            self.unblock(shape);
        }
    }

    /// The first lane in rank, gangs aside, whose shape has been set aside; takes time in proportion to the shapes.
    pub fn first_blocked_single(&self) -> Option<u32> {
        let blocked = self.shapes.iter().map(|(_, shape)| shape);
        let blocked = blocked.filter(|shape| !shape.active && shape.key.gang_tasks == 0);
        let first = blocked.filter_map(|shape| shape.classes.first()).min();
        first.map(|&(_, class)| class)
    }

    /// Lanes that wait for room, urgent first, then by the time from which they may gather room.
    pub fn waiting_by_reserve_time(&self) -> impl Iterator<Item = u32> {
        self.by_reserve_time.iter().map(|&(_, _, class)| class)
    }
}
