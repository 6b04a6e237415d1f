//! Calls to the advice service, distributed over the instances of the cell.
//!
//! The advice service determines the workers that may run a step. For each it issues a ticket, which the worker
//! requires to start a task of the step.

use {
    crate::{
        events::{ADVICE_ANSWERED, ADVICE_FAILED, INSTANCE_UNREACHABLE, INVALID_ROW},
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

/// Time that a call may take beyond its expected duration, in ms; the response crosses two network links.
const CALL_MARGIN_MS: f64 = 700.0;
/// Delay before an instance that did not answer gets calls again, in ms.
const UNREACHABLE_RETRY_MS: u64 = 1_000;
/// Interval between two reads of the rows of the cell's instances, in ms.
const MEMBERS_POLL_MS: u64 = 2_000;

/// Workers that may run a step, with their tickets.
type AllowedWorkers = Vec<(WorkerId, Arc<str>)>;

/// Outcome of an advice call through an instance.
enum CallOutcome {
    /// The advice service answered.
    Answered(AllowedWorkers),
    /// The advice service failed or did not answer.
    Failed(String),
    /// The instance that should make the call did not answer.
    InstanceUnreachable(String),
}

impl Term {
    /// Keeps the list of instances that can make advice calls up to date. A leader with low capacity releases
    /// leadership when an instance with full capacity answers.
    pub(crate) async fn poll_members(self: Arc<Self>) {
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
                    self.cell.health.record_success("read members");
                    let mut capable_peers = Vec::new();
                    for row in members.rows {
                        capable_peers.extend(self.add_member(&row.key, row.value.as_deref()));
                    }
                    self.assign_advice();
                    if !self.cell.cfg.leader_capacity.is_sufficient()
                        && self.is_any_reachable(capable_peers).await
                    {
                        return self
                            .release("an instance with full leader capacity answers")
                            .await;
                    }
                }
                Err(err) => self.cell.health.record_failure("read members", &err),
            }
            sleep_ms(MEMBERS_POLL_MS).await;
        }
    }

    /// Records an instance by its row and connects to a new address; returns the connection if the instance has full
    /// leader capacity.
    fn add_member(
        self: &Arc<Self>,
        name: &str,
        value: Option<&str>,
    ) -> Option<Arc<dyn HelperPeer>> {
        let row = value.map(serde_json::from_str::<MemberRow>);
        let (Ok(instance), Some(Ok(row))) = (InstanceId::new(name), row) else {
            log_event!(self.cell.deps.log, INVALID_ROW; "row" => name.to_owned());
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

    /// Whether one of these instances answers, so that it can take over from this leader with low capacity.
    async fn is_any_reachable(&self, peers: Vec<Arc<dyn HelperPeer>>) -> bool {
        for peer in peers {
            if peer.job_states(JobStatesRequest::default()).await.is_ok() {
                return true;
            }
        }
        false
    }

    /// Queues an advice call, or fails it when the queue is full.
    pub(crate) fn queue_advice(&self, request: AdviceRequest) {
        if let Err(request) = lock(&self.broker).push(request) {
            self.fail_advice(&request, "the queue of advice calls is full");
        }
    }

    fn fail_advice(&self, request: &AdviceRequest, problem: &str) {
        log_event!(self.cell.deps.log, ADVICE_FAILED; "step" => request.step.to_string(),
            "workers" => request.workers.len(), "problem" => problem.to_owned());
        lock(&self.scheduler).advice_received(&request.step, &request.workers, None, boot_ms());
        self.wake();
    }

    /// Assigns queued calls to idle instances.
    pub(crate) fn assign_advice(self: &Arc<Self>) {
        loop {
            let assigned = lock(&self.broker).assign_next();
            let Some(assigned) = assigned else {
                return;
            };
            self.spawn_task("advice", Arc::clone(self).call_and_apply(assigned))
                .detach();
        }
    }

    async fn call_and_apply(self: Arc<Self>, assigned: AssignedCall) {
        let AssignedCall { instance, request } = assigned;
        let started_ms = boot_ms();
        let outcome = self.call_through(&instance, &request).await;
        let result = match &outcome {
            CallOutcome::Answered(_) => "answered",
            CallOutcome::Failed(_) => "failed",
            CallOutcome::InstanceUnreachable(_) => "instance-lost",
        };
        let took_ms = boot_ms().saturating_sub(started_ms);
        self.cell.deps.metrics.record_advice(result, took_ms);
        match outcome {
            CallOutcome::Answered(allowed) => {
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
            CallOutcome::Failed(problem) => {
                lock(&self.broker).call_finished(&instance);
                self.fail_advice(&request, &problem);
            }
            CallOutcome::InstanceUnreachable(problem) => {
                lock(&self.broker).remove_instance(&instance);
                log_event!(self.cell.deps.log, INSTANCE_UNREACHABLE; "instance" => instance.to_string(),
                    "problem" => problem);
                self.queue_advice(request);
                self.assign_advice();
                sleep_ms(UNREACHABLE_RETRY_MS).await;
                lock(&self.broker).add_instance(instance);
            }
        }
        self.assign_advice();
    }

    async fn call_through(&self, instance: &InstanceId, request: &AdviceRequest) -> CallOutcome {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a call takes seconds at most"
        )]
        let limit_ms = (request.cost_ms + CALL_MARGIN_MS) as u64;
        let step = request.step.to_string();
        if *instance == self.cell.cfg.instance {
            let limit = Duration::from_millis(limit_ms);
            let advice = &self.cell.deps.advice;
            return match advice.advise(&step, &request.workers, limit).await {
                Ok(allowed) => CallOutcome::Answered(allowed),
                Err(err) => CallOutcome::Failed(err.to_string()),
            };
        }
        let helper = lock(&self.helpers).get(instance).cloned();
        let Some((_, helper)) = helper else {
            return CallOutcome::InstanceUnreachable("no connection to the instance".to_owned());
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
                    // A worker with an invalid name is not one of those in the request.
                    let worker = WorkerId::new(&it.worker).ok()?;
                    Some((worker, Arc::from(it.ticket)))
                });
                CallOutcome::Answered(allowed.collect())
            }
            Ok(reply) => CallOutcome::Failed(reply.problem),
            Err(err) => CallOutcome::InstanceUnreachable(err.to_string()),
        }
    }
}
