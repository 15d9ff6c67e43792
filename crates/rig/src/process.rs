//! A process of the program: started, signalled and ended by its id, and by no other way.

use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;

/// Set for a process that is to end with the one that started it, however that ends.
const WITH_PARENT: &str = "BEACONSHORE_ENDS_WITH_PARENT";

/// What is started, and where its files go.
#[derive(Clone, Debug)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// An operator's file for each.
    pub operator: Option<PathBuf>,
    /// Folder that gets each process's log; without one, logs are not kept.
    pub logs: Option<PathBuf>,
}

/// A process; it is killed when this is dropped.
pub struct Process {
    child: Child,
    /// Whether it was told to end.
    pub told: bool,
}

impl Program {
    /// Starts a process with this configuration; its file goes to the folder.
    pub fn start(&self, config: &Value, number: usize, folder: &Path) -> io::Result<Process> {
        let file = folder.join(format!("n{number}.json"));
        fs::write(&file, config.to_string())?;
        let stderr = match &self.logs {
            Some(logs) => {
                let log = logs.join(format!("n{number}.log"));
                Stdio::from(File::options().append(true).create(true).open(log)?)
            }
            None => Stdio::null(),
        };
        let mut command = Command::new(&self.path);
        command.env("RELAY_CONFIG", &file).env(WITH_PARENT, "1");
        for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_NAME", "BEACONSHORE_OPERATOR"] {
            command.env_remove(name);
        }
        if let Some(file) = &self.operator {
            command.env("BEACONSHORE_OPERATOR", file);
        }
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(stderr).spawn()?;
        Ok(Process { child, told: false })
    }
}

impl Process {
    fn signal(&self, signal: Signal) {
        if let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw) {
            // One that has ended and was not waited for still holds its id: no other process can be hit.
            let _ = kill_process(pid, signal);
        }
    }

    /// SIGTERM: it is to finish and end.
    pub fn send_off(&mut self) {
        self.told = true;
        self.signal(Signal::TERM);
    }

    /// SIGHUP: it is to read its configuration again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// SIGSTOP: it stands still.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT: it goes on.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// Its resident memory in kilobytes, where the system tells it.
    pub fn resident_kb(&self) -> Option<f64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let kilobytes = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        kilobytes.trim().strip_suffix(" kB")?.trim().parse().ok()
    }

    /// Its end, if it has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
