//! Operators' commands and reports.

use {
    crate::{burn::BurnCounter, jobs, telemetry::Telemetry},
    async_trait::async_trait,
    ragwortreel_caller::{Admin, DrainTarget, Refusal, RefusalKind},
    ragwortreel_control::Control,
    ragwortreel_model::InstanceId,
    ragwortreel_runtime::Stop,
    std::sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Commands and reports of a daemon.
pub struct DaemonAdmin {
    instance: InstanceId,
    control: Control,
    telemetry: Arc<Telemetry>,
    burn: Arc<BurnCounter>,
    can_route: Arc<AtomicBool>,
    stop: Stop,
}

impl DaemonAdmin {
    /// Makes the commands and reports.
    #[must_use]
    pub fn new(
        instance: InstanceId,
        control: Control,
        telemetry: Arc<Telemetry>,
        burn: Arc<BurnCounter>,
        can_route: Arc<AtomicBool>,
        stop: Stop,
    ) -> Self {
        Self {
            instance,
            control,
            telemetry,
            burn,
            can_route,
            stop,
        }
    }
}

#[async_trait]
impl Admin for DaemonAdmin {
    async fn drain(&self, target: DrainTarget) -> Result<(), Refusal> {
        match target {
            DrainTarget::Worker(worker) => self
                .control
                .drain_worker(&worker, true)
                .await
                .map_err(|err| jobs::refusal(&err)),
            DrainTarget::Instance(instance) if instance == self.instance => {
                self.stop.request();
                Ok(())
            }
            DrainTarget::Instance(instance) => {
                let problem = format!(
                    "this is instance {}, send the command to {instance}",
                    self.instance
                );
                Err(Refusal::new(RefusalKind::NotFound, problem))
            }
        }
    }

    fn burn(&self) -> Vec<u8> {
        serde_json::to_vec(&self.burn.counts()).unwrap_or_default()
    }

    fn metrics(&self) -> Vec<u8> {
        self.telemetry.text()
    }

    fn ready(&self) -> Result<(), String> {
        if self.stop.is_requested() {
            return Err("the instance is stopping".to_owned());
        }
        if !self.control.is_ready() {
            return Err("the newest settings were not read from the table service yet".to_owned());
        }
        if self.control.settings().version == 0 {
            return Err("the cell has no settings yet".to_owned());
        }
        if !self.can_route.load(Ordering::Acquire) {
            return Err("the instance has no slots of backend servers yet".to_owned());
        }
        Ok(())
    }
}
