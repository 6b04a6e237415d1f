//! One entry instance in a process of its own.

use {
    ragwortreel::{
        cell_plan::EntryAddresses,
        telemetry::{ProcessUsage, process_usage},
    },
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::File,
        io,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
    },
};

/// How an entry instance is started.
#[derive(Debug, Clone)]
pub struct Program {
    /// The executable file.
    pub path: PathBuf,
    /// Arguments before `--settings FILE`.
    pub args: Vec<String>,
}

/// An entry instance's process.
#[derive(Debug)]
pub(crate) struct Entry {
    pub addresses: EntryAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Entry {
    pub fn new(addresses: EntryAddresses, settings: PathBuf, log: PathBuf) -> Self {
        Self {
            addresses,
            settings,
            log,
            child: None,
        }
    }

    pub fn start(&mut self, program: &Program) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&program.path)
            .args(&program.args)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// Ends the process at once.
    pub fn kill(&mut self) -> io::Result<()> {
        let Some(mut child) = self.child.take() else {
            return Ok(());
        };
        child.kill()?;
        child.wait().map(drop)
    }

    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = self
            .child
            .as_ref()
            .and_then(|child| i32::try_from(child.id()).ok())
            .and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| io::Error::other("the process was not started"))?;
        Ok(kill_process(pid, signal)?)
    }

    /// Whether the process has ended; then it can be started again.
    pub fn has_ended(&mut self) -> io::Result<bool> {
        let Some(child) = &mut self.child else {
            return Ok(true);
        };
        if child.try_wait()?.is_none() {
            return Ok(false);
        }
        self.child = None;
        Ok(true)
    }

    pub fn usage(&self) -> Option<ProcessUsage> {
        process_usage(&Path::new("/proc").join(self.child.as_ref()?.id().to_string()))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}
