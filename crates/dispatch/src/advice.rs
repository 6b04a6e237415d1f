//! Calls for advice, spread over the instances of the cell.

use {
    crate::{
        events::{ADVICE_ANSWERED, ADVICE_FAILED, BAD_ROW, MEMBER_LOST},
        rows::{MAIN_PARTITION, MEMBERS_TABLE, MemberRow},
        term::Term,
    },
    ragwortreel_entry::{
        HelperPeer,
        generated::{AdviseRequest, JobStatesRequest},
    },
    ragwortreel_model::{InstanceId, WorkerId},
    ragwortreel_runtime::{boot_ms, lock, log_event, sleep_ms},
    ragwortreel_workflow::{AdviceRequest, AssignedCall},
    std::{sync::Arc, time::Duration},
};

/// Time beyond a call's cost that it may take, in ms; the answer crosses two links.
const EXTRA_MS: f64 = 700.0;
/// Time after which an instance that did not answer is asked again, in ms.
const MEMBER_PAUSE_MS: u64 = 1_000;
/// Time between two readings of the cell's members, in ms.
const MEMBERS_MS: u64 = 2_000;

type Allowed = Vec<(WorkerId, Arc<str>)>;

/// What came of a call through an instance.
enum Called {
    /// The service answered.
    Answered(Allowed),
    /// The service did not answer.
    Failed(String),
    /// The instance did not answer.
    MemberLost(String),
}

impl Term {
    /// Keeps the list of instances that can make calls up to date.
    pub(crate) async fn follow_members(self: Arc<Self>) {
        let me = self.cell.cfg.instance.clone();
        lock(&self.broker).add_instance(me);
        self.assign_advice();
        while !self.is_over() {
            match self
                .cell
                .deps
                .feed
                .part(MEMBERS_TABLE, MAIN_PARTITION)
                .await
            {
                Ok(members) => {
                    self.cell.health.answered("read members");
                    let mut strong = Vec::new();
                    for row in members.rows {
                        strong.extend(self.add_member(&row.key, row.value.as_deref()));
                    }
                    self.assign_advice();
                    if !self.cell.cfg.leader_capacity.is_sufficient()
                        && self.is_any_reachable(strong).await
                    {
                        return self.release("a stronger instance can lead").await;
                    }
                }
                Err(err) => self.cell.health.failed("read members", &err),
            }
            sleep_ms(MEMBERS_MS).await;
        }
    }

    /// Takes over a member's row; returns a connection to it if it can lead.
    fn add_member(
        self: &Arc<Self>,
        name: &str,
        value: Option<&str>,
    ) -> Option<Arc<dyn HelperPeer>> {
        let row = value.map(serde_json::from_str::<MemberRow>);
        let (Ok(instance), Some(Ok(row))) = (InstanceId::new(name), row) else {
            log_event!(self.cell.deps.log, BAD_ROW; "row" => name.to_owned());
            return None;
        };
        if instance == self.cell.cfg.instance {
            return None;
        }
        let mut helpers = lock(&self.helpers);
        let known = helpers.get(&instance);
        if let Some((_, peer)) = known.filter(|(address, _)| *address == row.address) {
            return row.can_lead.then(|| Arc::clone(peer));
        }
        let peer = self.cell.deps.helpers.connect_helper(row.address);
        lock(&self.broker).add_instance(instance.clone());
        helpers.insert(instance, (row.address, Arc::clone(&peer)));
        row.can_lead.then_some(peer)
    }

    /// Whether one of some instances answers, so that it can take over from this weak one.
    async fn is_any_reachable(&self, peers: Vec<Arc<dyn HelperPeer>>) -> bool {
        for peer in peers {
            if peer.job_states(JobStatesRequest::default()).await.is_ok() {
                return true;
            }
        }
        false
    }

    /// Queues a call for advice.
    pub(crate) fn queue_advice(&self, request: AdviceRequest) {
        if let Err(request) = lock(&self.broker).push(request) {
            self.no_advice(&request, "too many calls wait");
        }
    }

    fn no_advice(&self, request: &AdviceRequest, problem: &str) {
        log_event!(self.cell.deps.log, ADVICE_FAILED; "step" => request.step.to_string(),
            "workers" => request.workers.len(), "problem" => problem.to_owned());
        lock(&self.scheduler).advice_received(&request.step, &request.workers, None, boot_ms());
        self.wake();
    }

    /// Hands waiting calls to free instances.
    pub(crate) fn assign_advice(self: &Arc<Self>) {
        loop {
            let assigned = lock(&self.broker).assign_next();
            let Some(assigned) = assigned else {
                return;
            };
            self.spawn_task("advice", Arc::clone(self).call(assigned))
                .detach();
        }
    }

    async fn call(self: Arc<Self>, assigned: AssignedCall) {
        let AssignedCall { instance, request } = assigned;
        let begun_ms = boot_ms();
        let called = self.call_through(&instance, &request).await;
        let result = match &called {
            Called::Answered(_) => "answered",
            Called::Failed(_) => "failed",
            Called::MemberLost(_) => "instance-lost",
        };
        let took_ms = boot_ms().saturating_sub(begun_ms);
        self.cell.deps.metrics.advice(result, took_ms);
        match called {
            Called::Answered(allowed) => {
                lock(&self.broker).call_finished(&instance);
                log_event!(self.cell.deps.log, ADVICE_ANSWERED;
                    "step" => request.step.to_string(), "asked" => request.workers.len(),
                    "allowed" => allowed.len(), "took_ms" => took_ms,
                    "through" => instance.to_string());
                let mut scheduler = lock(&self.scheduler);
                scheduler.advice_received(
                    &request.step,
                    &request.workers,
                    Some(allowed),
                    boot_ms(),
                );
                drop(scheduler);
                self.wake();
            }
            Called::Failed(problem) => {
                lock(&self.broker).call_finished(&instance);
                self.no_advice(&request, &problem);
            }
            Called::MemberLost(problem) => {
                lock(&self.broker).remove_instance(&instance);
                log_event!(self.cell.deps.log, MEMBER_LOST; "instance" => instance.to_string(),
                    "problem" => problem);
                self.queue_advice(request);
                self.assign_advice();
                sleep_ms(MEMBER_PAUSE_MS).await;
                lock(&self.broker).add_instance(instance);
            }
        }
        self.assign_advice();
    }

    async fn call_through(&self, instance: &InstanceId, request: &AdviceRequest) -> Called {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a call takes seconds at most"
        )]
        let limit_ms = (request.cost_ms + EXTRA_MS) as u64;
        let step = request.step.to_string();
        if *instance == self.cell.cfg.instance {
            let limit = Duration::from_millis(limit_ms);
            let advice = &self.cell.deps.advice;
            return match advice.advise(&step, &request.workers, limit).await {
                Ok(allowed) => Called::Answered(allowed),
                Err(err) => Called::Failed(err.to_string()),
            };
        }
        let helper = lock(&self.helpers).get(instance).cloned();
        let Some((_, helper)) = helper else {
            return Called::MemberLost("no connection".to_owned());
        };
        let req = AdviseRequest {
            step,
            workers: (request.workers.iter())
                .map(|worker| worker.as_str().to_owned())
                .collect(),
            timeout_ms: limit_ms,
        };
        match helper.advise(req).await {
            Ok(reply) if reply.answered => {
                let allowed = reply.allowed.into_iter().filter_map(|it| {
                    // A name that cannot be a worker's was not among those asked about.
                    let worker = WorkerId::new(&it.worker).ok()?;
                    Some((worker, Arc::from(it.ticket)))
                });
                Called::Answered(allowed.collect())
            }
            Ok(reply) => Called::Failed(reply.problem),
            Err(err) => Called::MemberLost(err.to_string()),
        }
    }
}
