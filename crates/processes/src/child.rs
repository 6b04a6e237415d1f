//! Child process of one entry instance.

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

/// Command that starts an entry instance.
#[derive(Debug, Clone)]
pub struct Program {
    /// Path of the executable file.
    pub path: PathBuf,
    /// Arguments that precede `--settings FILE`.
    pub args: Vec<String>,
}

/// Entry instance with its addresses and files, and its child process while it is started.
#[derive(Debug)]
pub(crate) struct EntryProcess {
    pub addresses: EntryAddresses,
    settings_file: PathBuf,
    log_file: PathBuf,
    child: Option<Child>,
}

impl EntryProcess {
    pub fn new(addresses: EntryAddresses, settings_file: PathBuf, log_file: PathBuf) -> Self {
        Self {
            addresses,
            settings_file,
            log_file,
            child: None,
        }
    }

    /// Starts the process and appends its standard error to the log file.
    pub fn start(&mut self, program: &Program) -> io::Result<()> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_file)?;
        let child = Command::new(&program.path)
            .args(&program.args)
            .arg("--settings")
            .arg(&self.settings_file)
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

    /// Kills the process with SIGKILL and waits for it; has no effect when it is not started.
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
        let pid = pid.ok_or_else(|| {
            io::Error::other("cannot send a signal: the entry instance is not running")
        })?;
        Ok(kill_process(pid, signal)?)
    }

    /// Whether the process has exited or is not started, so that it can be started again.
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

impl Drop for EntryProcess {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}
