//! Queue of waiting jobs, ordered by rank.
//!
//! Jobs with the same workspace, name, kind, priority, declared size and run time (and, for gangs, number of tasks)
//! form a job class, because their tasks are placed in the same way. Classes with the same current need, run time,
//! urgency and gang size share a shape. A shape is blocked when a search finds no worker with room for it, and its
//! classes are not searched for again until freed resources may suffice. Classes that wait for anything but room
//! (quota, or workers of sufficient size) belong to no shape and cost no search time.

use {
    crate::arena::Arena,
    ragwortreel_model::{JobKind, Priority, Resources, WaitReason},
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Properties that all jobs of a class share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassKey {
    /// Index of the workspace.
    pub workspace: u32,
    /// Name of the jobs.
    pub name: Arc<str>,
    /// Kind of the jobs.
    pub kind: JobKind,
    /// Priority of the jobs.
    pub priority: Priority,
    /// Declared resources of one task.
    pub declared: Resources,
    /// Declared run time in ms, rounded; 0 if none is declared.
    pub declared_ms: u64,
    /// Number of tasks of a gang; 0 for other kinds.
    pub gang_tasks: u32,
}

/// Order in which job classes are served; the lowest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the first job of the class may not preempt: it is neither urgent nor a service with lost tasks.
    pub cannot_preempt: bool,
    /// Weighted share of the workspace plus an aging term: the time from which the wait counts, scaled to a share. The
    /// longer the wait, the lower the score.
    pub score: u64,
    /// Virtual time of the class or submission of its oldest job, whichever is later, in ms; orders the workspace's
    /// classes.
    pub waiting_since_ms: u64,
}

/// Properties on which a search for workers depends; classes with equal ones share a shape.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShapeKey {
    /// Resources to allocate to one task.
    pub need: Resources,
    /// Whether the jobs are urgent and may preempt others.
    pub urgent: bool,
    /// Estimated run time, in ms.
    pub run_time_ms: u64,
    /// Number of tasks that must start together; 0 for single tasks.
    pub gang_tasks: u32,
}

/// Scheduling state of a job class.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClassState {
    /// The class has no queued job.
    Empty,
    /// The class waits for room on workers.
    Waiting {
        /// Index of the shape.
        shape: u32,
        /// Rank of the class among all classes, by which the classes of the shape are ordered.
        rank: Rank,
        /// Time from which the first job may get the reservation, in ms.
        reserve_from_ms: u64,
    },
    /// The next start would exceed the workspace's quota.
    QuotaBlocked,
    /// No task can start unless worker sizes or quotas change.
    Unschedulable(WaitReason),
}

/// Position of a job in its class: time of submission in ms, submission number, job index.
pub type JobPosition = (u64, u64, u32);

/// A set of jobs that are placed in the same way, served in the order of submission.
#[derive(Debug, Clone)]
pub struct JobClass {
    /// Properties that all jobs share.
    pub key: ClassKey,
    /// Search properties by the current estimates.
    pub shape: ShapeKey,
    /// Queued jobs, oldest first.
    pub jobs: BTreeSet<JobPosition>,
    /// Virtual time of fair queueing within the workspace, in ms: each start advances it, and the class ranks as if its
    /// jobs had been submitted no earlier.
    pub virtual_time_ms: u64,
    /// Number of times, since a task of the class last started, that the reservation was planned while the class was
    /// the first in rank of the blocked classes of single tasks.
    pub passed_over: u64,
    /// Number of tasks for which runs are being preempted.
    pub preemptions: u32,
    /// Number of jobs, queued or not, and of preemptions that refer to the class; the class is removed with the last
    /// one.
    pub members: u32,
    /// Number of queued tasks of all jobs.
    pub queued: u64,
    /// Scheduling state of the class.
    pub state: ClassState,
}

/// Returns the resources of all tasks that must start together.
fn total_need(key: &ShapeKey) -> Resources {
    let tasks = u64::from(key.gang_tasks.max(1));
    let most = Resources::new(u64::MAX, u64::MAX, u64::MAX);
    key.need.checked_mul(tasks).unwrap_or(most)
}

impl JobClass {
    /// Returns the resources of all tasks that must start together.
    pub fn total_need(&self) -> Resources {
        total_need(&self.shape)
    }
}

/// Job classes with the same search properties.
#[derive(Debug, Clone)]
struct Shape {
    key: ShapeKey,
    classes: BTreeSet<(Rank, u32)>,
    /// Resources of all tasks that must start together.
    total_need: Resources,
    /// Whether the classes are searched for; `false` while the shape is blocked.
    active: bool,
    /// Rank of the first class.
    first_rank: Option<Rank>,
    /// Rank under which the shape is stored in `Queue::active`.
    active_rank: Option<Rank>,
}

/// All job classes and shapes of a pool.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    classes: Arena<JobClass>,
    by_key: BTreeMap<ClassKey, u32>,
    shapes: Arena<Shape>,
    by_shape: BTreeMap<ShapeKey, u32>,
    /// Shapes that are not blocked, by the rank of their first class.
    active: BTreeSet<(Rank, u32)>,
    /// Blocked shapes by the processors of one task, in millicores.
    blocked: BTreeSet<(u64, u32)>,
    /// Waiting classes, those that may preempt first, by the time from which they may get the reservation.
    by_reserve_time: BTreeSet<(bool, u64, u32)>,
}

impl Queue {
    /// Returns the job class at an index; panics if there is none.
    pub fn class(&self, ix: u32) -> &JobClass {
        &self.classes[ix]
    }

    /// Returns the job class at an index, for changes that affect neither its state nor its shape.
    pub fn class_mut(&mut self, ix: u32) -> &mut JobClass {
        &mut self.classes[ix]
    }

    /// Iterates over all job classes with their indexes.
    pub fn classes(&self) -> impl Iterator<Item = (u32, &JobClass)> {
        self.classes.iter()
    }

    /// Adds a member to the class of a key, which is created if missing; returns its index and whether it is new.
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

    /// Removes a member from a class. Removes the class with its last member and then returns its key.
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

    /// Changes the state of a class; [`Self::enqueue`] sets [`ClassState::Waiting`].
    pub fn set_state(&mut self, ix: u32, state: ClassState) {
        if let ClassState::Waiting {
            shape,
            rank,
            reserve_from_ms,
        } = self.classes[ix].state
        {
            self.by_reserve_time
                .remove(&(rank.cannot_preempt, reserve_from_ms, ix));
            self.shapes[shape].classes.remove(&(rank, ix));
            self.update_active(shape);
            if self.shapes[shape].classes.is_empty() {
                self.remove_shape(shape);
            }
        }
        self.classes[ix].state = state;
    }

    /// Changes the search properties of a class; the next [`Self::enqueue`] moves it to the matching shape.
    pub fn set_shape(&mut self, ix: u32, shape: ShapeKey) {
        self.classes[ix].shape = shape;
    }

    /// Adds a class to the shape of its search properties, or updates its rank there.
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
            if (old.cannot_preempt, old_ms) != (rank.cannot_preempt, reserve_from_ms) {
                self.by_reserve_time
                    .remove(&(old.cannot_preempt, old_ms, ix));
            }
            self.shapes[shape].classes.remove(&(old, ix));
            self.insert(ix, shape, rank, reserve_from_ms);
            return;
        }
        self.set_state(ix, ClassState::Empty);
        let shape = self.find_or_add_shape(key);
        self.insert(ix, shape, rank, reserve_from_ms);
    }

    fn insert(&mut self, ix: u32, shape: u32, rank: Rank, reserve_from_ms: u64) {
        self.by_reserve_time
            .insert((rank.cannot_preempt, reserve_from_ms, ix));
        self.shapes[shape].classes.insert((rank, ix));
        self.classes[ix].state = ClassState::Waiting {
            shape,
            rank,
            reserve_from_ms,
        };
        self.update_active(shape);
    }

    fn find_or_add_shape(&mut self, key: ShapeKey) -> u32 {
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

    /// Updates a shape's entry in `active`.
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

    /// Returns the first class in rank of the active shapes.
    pub fn first(&self) -> Option<u32> {
        let &(_, shape) = self.active.first()?;
        self.shapes[shape].classes.first().map(|&(_, class)| class)
    }

    /// Blocks a class's shape until resources are freed, and returns the shape.
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

    /// Returns whether the class belongs to a blocked shape.
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

    /// Unblocks the shape of a class.
    pub fn unblock_class(&mut self, class: u32) {
        if let ClassState::Waiting { shape, .. } = self.classes[class].state {
            self.unblock(shape);
        }
    }

    /// Returns the first blocked shape in rank, outside `searched_shapes`, that may fit on a worker with `free` in a
    /// pool with `pool_free`.
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

    /// Unblocks a shape if it comes before all active ones.
    pub fn unblock_if_first(&mut self, rank: Rank, shape: u32) {
        let is_first = self.active.first().is_none_or(|&(first, _)| rank < first);
        if is_first {
            self.unblock(shape);
        }
    }

    /// Unblocks the shapes that may fit on a worker with `free` in a pool with `pool_free`.
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

    /// Unblocks all shapes.
    pub fn unblock_all(&mut self) {
        for (_, shape) in std::mem::take(&mut self.blocked) {
            self.unblock(shape);
        }
    }

    /// Returns the first class of single tasks in rank whose shape is blocked. Takes time in proportion to the number
    /// of shapes.
    pub fn first_blocked_single(&self) -> Option<u32> {
        let blocked = self.shapes.iter().map(|(_, shape)| shape);
        let blocked = blocked.filter(|shape| !shape.active && shape.key.gang_tasks == 0);
        let first = blocked.filter_map(|shape| shape.classes.first()).min();
        first.map(|&(_, class)| class)
    }

    /// Iterates over the classes that wait for room: those that may preempt first, then by the time from which they may
    /// get the reservation.
    pub fn waiting_by_reserve_time(&self) -> impl Iterator<Item = u32> {
        self.by_reserve_time.iter().map(|&(_, _, class)| class)
    }
}
