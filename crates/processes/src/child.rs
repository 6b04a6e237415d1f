//! One entry instance in a process of its own.

use {
    ragwortreel::cell::EntryAddresses,
    rustix::process::{Pid, Signal, kill_process},
    std::{
        fs::{self, File},
        io,
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
    },
};

/// Clock ticks a second in `/proc/PID/stat`; fixed at 100 on Linux.
const TICKS_PER_S: f64 = 100.0;
/// Page size that `/proc/PID/statm` counts in, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

/// How an entry instance is started.
#[derive(Debug, Clone)]
pub struct Program {
    /// The executable file.
    pub path: PathBuf,
    /// Arguments before `--settings FILE`.
    pub args: Vec<String>,
}

/// What a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time in s.
    pub cpu_seconds: f64,
    /// Resident memory in bytes.
    pub resident_bytes: f64,
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

    pub fn usage(&self) -> Option<Usage> {
        usage(&Path::new("/proc").join(self.child.as_ref()?.id().to_string()))
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn usage(dir: &Path) -> Option<Usage> {
    let stat = fs::read_to_string(dir.join("stat")).ok()?;
    // The command's name is in parentheses and may hold spaces; utime and stime are the 12th and 13th field after it.
    let (_, rest) = stat.rsplit_once(") ")?;
    let fields: Vec<&str> = rest.split(' ').collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let statm = fs::read_to_string(dir.join("statm")).ok()?;
    let pages: f64 = statm.split(' ').nth(1)?.parse().ok()?;
    Some(Usage {
        cpu_seconds: ticks / TICKS_PER_S,
        resident_bytes: pages * PAGE_BYTES,
    })
}
