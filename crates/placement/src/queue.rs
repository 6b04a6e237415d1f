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
pub struct LaneKey {
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
    pub since_ms: u64,
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
pub enum Place {
    /// It has no queued job.
    Idle,
    /// It waits for room.
    Listed {
        /// Its shape.
        shape: u32,
        /// Its rank in the shape.
        rank: Rank,
        /// Time from which its first job may gather room, in ms.
        gather_ms: u64,
    },
    /// It waits for its workspace's quota.
    QuotaBlocked,
    /// It can never start unless sizes or quotas change.
    Parked(WaitReason),
}

/// A queued job in a lane: submission in ms, sequence number, index.
pub type JobPosition = (u64, u64, u32);

/// Jobs that are placed alike.
#[derive(Debug, Clone)]
pub struct Lane {
    /// What the jobs have in common.
    pub key: LaneKey,
    /// Shape of a task by the current estimates.
    pub shape: ShapeKey,
    /// Queued jobs, oldest first.
    pub jobs: BTreeSet<JobPosition>,
    /// Time up to which the lane's starts count as its turn, in ms; it ranks among its workspace's lanes as if its jobs
    /// had been submitted no earlier.
    pub served_until_ms: u64,
    /// Plans at which the lane was first in rank and did not start, since its last start.
    pub passed_over: u64,
    /// Tasks for which room is being made by checkpoints.
    pub claims: u32,
    /// Jobs, queued or not, that belong to the lane.
    pub members: u32,
    /// Queued tasks of all members.
    pub queued: u64,
    /// Where the lane is.
    pub place: Place,
}

/// Room for all tasks of a shape that must start together.
fn whole(key: &ShapeKey) -> Resources {
    let tasks = u64::from(key.gang_tasks.max(1));
    let most = Resources::new(u64::MAX, u64::MAX, u64::MAX);
    key.need.checked_mul(tasks).unwrap_or(most)
}

impl Lane {
    /// Room for all tasks that must start together.
    pub fn whole(&self) -> Resources {
        whole(&self.shape)
    }
}

/// Lanes with the same need.
#[derive(Debug, Clone)]
struct Shape {
    key: ShapeKey,
    lanes: BTreeSet<(Rank, u32)>,
    /// Room for all tasks that must start together.
    whole: Resources,
    open: bool,
    /// Rank of its first lane.
    best: Option<Rank>,
    /// Rank under which it stands among the ready shapes.
    ready_at: Option<Rank>,
}

/// All lanes and shapes.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    lanes: Arena<Lane>,
    by_key: BTreeMap<LaneKey, u32>,
    shapes: Arena<Shape>,
    by_shape: BTreeMap<ShapeKey, u32>,
    ready: BTreeSet<(Rank, u32)>,
    closed: BTreeSet<(u64, u32)>,
    waiting: BTreeSet<(bool, u64, u32)>,
}

impl Queue {
    /// The lane at an index.
    pub fn lane(&self, ix: u32) -> &Lane {
        &self.lanes[ix]
    }

    /// The lane at an index, for changes that do not affect its place.
    pub fn lane_mut(&mut self, ix: u32) -> &mut Lane {
        &mut self.lanes[ix]
    }

    /// All lanes.
    pub fn lanes(&self) -> impl Iterator<Item = (u32, &Lane)> {
        self.lanes.iter()
    }

    /// Adds a member to the lane of a key, which is made when missing; returns it and whether it is new.
    pub fn join(&mut self, key: LaneKey) -> (u32, bool) {
        if let Some(&ix) = self.by_key.get(&key) {
            self.lanes[ix].members += 1;
            return (ix, false);
        }
        let shape = ShapeKey {
            need: key.declared,
            urgent: key.priority == Priority::Urgent,
            run_time_ms: key.declared_ms,
            gang_tasks: key.gang_tasks,
        };
        let ix = self.lanes.insert(Lane {
            key: key.clone(),
            shape,
            jobs: BTreeSet::new(),
            served_until_ms: 0,
            passed_over: 0,
            claims: 0,
            members: 1,
            queued: 0,
            place: Place::Idle,
        });
        self.by_key.insert(key, ix);
        (ix, true)
    }

    /// Removes a member; returns the lane's key when it was the last one and the lane is gone.
    pub fn leave(&mut self, ix: u32) -> Option<LaneKey> {
        self.lanes[ix].members -= 1;
        if self.lanes[ix].members > 0 {
            return None;
        }
        self.set_place(ix, Place::Idle);
        let lane = self.lanes.remove(ix)?;
        self.by_key.remove(&lane.key);
        Some(lane.key)
    }

    /// Moves a lane; `Listed` is reached through [`Self::list`].
    pub fn set_place(&mut self, ix: u32, place: Place) {
        if let Place::Listed {
            shape,
            rank,
            gather_ms,
        } = self.lanes[ix].place
        {
            self.waiting.remove(&(rank.not_urgent, gather_ms, ix));
            self.shapes[shape].lanes.remove(&(rank, ix));
            self.refresh(shape);
            if self.shapes[shape].lanes.is_empty() {
                self.remove_shape(shape);
            }
        }
        self.lanes[ix].place = place;
    }

    /// Changes the shape of a lane; [`Self::list`] then moves it.
    pub fn set_shape(&mut self, ix: u32, shape: ShapeKey) {
        self.lanes[ix].shape = shape;
    }

    /// Lists a lane in its shape.
    pub fn list(&mut self, ix: u32, rank: Rank, gather_ms: u64) {
        let key = self.lanes[ix].shape;
        if let Place::Listed {
            shape,
            rank: old,
            gather_ms: old_ms,
        } = self.lanes[ix].place
            && self.shapes[shape].key == key
        {
            if (old, old_ms) == (rank, gather_ms) {
                return;
            }
            if (old.not_urgent, old_ms) != (rank.not_urgent, gather_ms) {
                self.waiting.remove(&(old.not_urgent, old_ms, ix));
            }
            self.shapes[shape].lanes.remove(&(old, ix));
            self.insert(ix, shape, rank, gather_ms);
            return;
        }
        self.set_place(ix, Place::Idle);
        let shape = self.shape_of(key);
        self.insert(ix, shape, rank, gather_ms);
    }

    fn insert(&mut self, ix: u32, shape: u32, rank: Rank, gather_ms: u64) {
        self.waiting.insert((rank.not_urgent, gather_ms, ix));
        self.shapes[shape].lanes.insert((rank, ix));
        self.lanes[ix].place = Place::Listed {
            shape,
            rank,
            gather_ms,
        };
        self.refresh(shape);
    }

    fn shape_of(&mut self, key: ShapeKey) -> u32 {
        if let Some(&ix) = self.by_shape.get(&key) {
            return ix;
        }
        let ix = self.shapes.insert(Shape {
            key,
            lanes: BTreeSet::new(),
            whole: whole(&key),
            open: true,
            best: None,
            ready_at: None,
        });
        self.by_shape.insert(key, ix);
        ix
    }

    fn remove_shape(&mut self, ix: u32) {
        if let Some(shape) = self.shapes.remove(ix) {
            self.by_shape.remove(&shape.key);
            self.closed.remove(&(shape.key.need.milli_cores, ix));
        }
    }

    /// Brings a shape's entry among the ready shapes up to date.
    fn refresh(&mut self, ix: u32) {
        let shape = &mut self.shapes[ix];
        shape.best = shape.lanes.first().map(|&(rank, _)| rank);
        let wanted = shape.best.filter(|_| shape.open);
        let old = std::mem::replace(&mut shape.ready_at, wanted);
        if old == wanted {
            return;
        }
        if let Some(old) = old {
            self.ready.remove(&(old, ix));
        }
        if let Some(new) = wanted {
            self.ready.insert((new, ix));
        }
    }

    /// The lane to serve next.
    pub fn first(&self) -> Option<u32> {
        let &(_, shape) = self.ready.first()?;
        self.shapes[shape].lanes.first().map(|&(_, lane)| lane)
    }

    /// Sets a lane's shape aside until room is freed, and returns it.
    pub fn close(&mut self, lane: u32) -> Option<u32> {
        let Place::Listed { shape, .. } = self.lanes[lane].place else {
            return None;
        };
        self.shapes[shape].open = false;
        let cpu = self.shapes[shape].key.need.milli_cores;
        self.closed.insert((cpu, shape));
        self.refresh(shape);
        Some(shape)
    }

    /// Whether the lane waits in a shape that has been set aside.
    pub fn is_closed(&self, lane: u32) -> bool {
        match self.lanes[lane].place {
            Place::Listed { shape, .. } => !self.shapes[shape].open,
            _ => false,
        }
    }

    fn open(&mut self, shape: u32) {
        let cpu = self.shapes[shape].key.need.milli_cores;
        self.closed.remove(&(cpu, shape));
        self.shapes[shape].open = true;
        self.refresh(shape);
    }

    /// Opens the shape of a lane.
    pub fn reopen(&mut self, lane: u32) {
        if let Place::Listed { shape, .. } = self.lanes[lane].place {
            self.open(shape);
        }
    }

    /// The first closed shape in rank that may fit now that a worker has `free` and the pool has `pool_free`, among
    /// those that are not `tried`.
    pub fn best_closed(
        &self,
        free: &Resources,
        pool_free: &Resources,
        tried: &BTreeSet<u32>,
    ) -> Option<(Rank, u32)> {
        let range = self.closed.range(..=(free.milli_cores, u32::MAX));
        let fits = range.filter_map(|&(_, ix)| {
            let shape = &self.shapes[ix];
            let fits = shape.key.need.fits_in(free) && shape.whole.fits_in(pool_free);
            shape.best.filter(|_| fits).map(|rank| (rank, ix))
        });
        fits.filter(|(_, ix)| !tried.contains(ix)).min()
    }

    /// Opens a shape if it comes before all open ones.
    pub fn open_if_first(&mut self, rank: Rank, shape: u32) {
        let is_first = self.ready.first().is_none_or(|&(first, _)| rank < first);
        if is_first {
            self.open(shape);
        }
    }

    /// Opens the closed shapes that may fit now that a worker has `free` and the pool has `pool_free`.
    pub fn open_fitting(&mut self, free: &Resources, pool_free: &Resources) {
        let range = self.closed.range(..=(free.milli_cores, u32::MAX));
        let fits = |ix: &u32| {
            let shape = &self.shapes[*ix];
            shape.key.need.fits_in(free) && shape.whole.fits_in(pool_free)
        };
        let shapes = range.map(|&(_, ix)| ix).filter(fits);
        for shape in shapes.collect::<Vec<u32>>() {
            self.open(shape);
        }
    }

    /// Opens all shapes.
    pub fn open_all(&mut self) {
        for (_, shape) in std::mem::take(&mut self.closed) {
            self.open(shape);
        }
    }

    /// The first lane in rank, gangs aside, whose shape has been set aside; takes time in proportion to the shapes.
    pub fn first_closed_single(&self) -> Option<u32> {
        let closed = self.shapes.iter().map(|(_, shape)| shape);
        let closed = closed.filter(|shape| !shape.open && shape.key.gang_tasks == 0);
        let first = closed.filter_map(|shape| shape.lanes.first()).min();
        first.map(|&(_, lane)| lane)
    }

    /// Lanes that wait for room, urgent first, then by the time from which they may gather room.
    pub fn waiting(&self) -> impl Iterator<Item = u32> {
        self.waiting.iter().map(|&(_, _, lane)| lane)
    }
}
