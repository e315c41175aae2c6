//! The instance processes: start, signals, end and resource usage.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use limpetdeck_platform::NodeSettings;
use limpetdeck_platform::emulator::settings_file;
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::{Pid, Signal, kill_process};

/// Peer key shared by the instances.
const PEER_KEY: &str = "3b0c9e27d5f8416aa04be7c2916d35f03b0c9e27d5f8416aa04be7c2916d35f0";
/// Delay of a restart, as on the platform.
pub const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time after its start by which a process handles signals, even on a busy machine; usually it
/// takes a few milliseconds.
const SIGNAL_HANDLER_DELAY: Duration = Duration::from_millis(50);

/// Shortest time for which a process that lacks processor time stands still.
const MIN_STALL: Duration = Duration::from_millis(60);
/// Time for which it runs between two stalls, in milliseconds.
const RUN_MS: Range<u64> = 30..400;

/// State of an instance's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    /// Stopped by SIGSTOP; resumed at this time.
    Paused(Duration),
    /// Stopped for lack of processor time, which is no fault; resumed at this time.
    Stalled(Duration),
    /// Got SIGTERM; killed at this time.
    Terminating(Duration),
    /// Not running; started at this time.
    Down(Duration),
}

/// An instance that is run as a process.
#[derive(Debug)]
pub struct Instance {
    /// Index of the failure domain.
    pub domain: usize,
    /// Settings, as written to the settings file.
    pub settings: NodeSettings,
    /// Number of starts so far.
    pub starts: u32,
    /// End of the last fault that hit the instance; may lie in the future.
    pub last_fault: Duration,
    /// Time of the last start.
    pub started_at: Duration,
    /// Whether the program is an earlier release, which knows no orders to drain failure domains.
    pub earlier_release: bool,
    /// File with the output of the process.
    pub log_path: PathBuf,
    announce_address: SocketAddr,
    program: PathBuf,
    settings_path: PathBuf,
    state: State,
    /// End of a lack of processor time, and the next stall.
    starved: (Duration, Duration),
    longest_stall: Duration,
    child: Option<Child>,
}

impl Instance {
    /// Creates an instance that is started at the next tick.
    pub fn new(
        program: &Path,
        dir: &Path,
        domain: usize,
        settings: NodeSettings,
        announce_address: SocketAddr,
        earlier_release: bool,
    ) -> Self {
        let name = settings.packet_address.ip();
        Self {
            domain,
            settings,
            starts: 0,
            last_fault: Duration::ZERO,
            started_at: Duration::ZERO,
            earlier_release,
            log_path: dir.join(format!("{name}.log")),
            announce_address,
            program: program.to_owned(),
            settings_path: dir.join(format!("{name}.toml")),
            state: State::Down(Duration::ZERO),
            starved: (Duration::ZERO, Duration::ZERO),
            longest_stall: MIN_STALL,
            child: None,
        }
    }

    /// Returns whether the process runs, is not paused and was not told to terminate.
    pub fn is_running(&self) -> bool {
        matches!(self.state, State::Running | State::Stalled(_))
    }

    /// Returns whether the process was told to terminate and still runs.
    pub fn is_terminating(&self) -> bool {
        matches!(self.state, State::Terminating(_))
    }

    /// Returns whether the process is paused.
    pub fn is_paused(&self) -> bool {
        matches!(self.state, State::Paused(_))
    }

    /// Writes the settings file atomically.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write_settings(&self) -> io::Result<()> {
        let temporary = self.settings_path.with_extension("next");
        fs::write(&temporary, settings_file(&self.settings))?;
        fs::rename(temporary, &self.settings_path)
    }

    /// Advances time. Returns the exit status if the process has ended on its own.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn tick(&mut self, now: Duration, rng: &mut SmallRng) -> io::Result<Option<ExitStatus>> {
        let status = match &mut self.child {
            Some(child) => child.try_wait()?,
            None => None,
        };
        if status.is_some() {
            self.child = None;
            let told_to_end =
                !matches!(self.state, State::Running | State::Paused(_) | State::Stalled(_));
            self.restart_after(now, RESTART_DELAY);
            return Ok(status.filter(|_| !told_to_end));
        }
        match self.state {
            State::Paused(until) if now >= until => {
                self.signal(Signal::CONT);
                self.state = State::Running;
                self.last_fault = now;
            }
            State::Stalled(until) if now >= until => {
                self.signal(Signal::CONT);
                self.state = State::Running;
                self.starved.1 = now + Duration::from_millis(rng.random_range(RUN_MS));
            }
            State::Running if now >= self.starved.1 && now < self.starved.0 => {
                self.signal(Signal::STOP);
                self.state = State::Stalled(now + rng.random_range(MIN_STALL..=self.longest_stall));
            }
            State::Terminating(until) if now >= until => self.kill(now, RESTART_DELAY),
            State::Down(until) if now >= until => self.start(now)?,
            _ => {}
        }
        Ok(None)
    }

    /// Kills the process and restarts it after a delay.
    pub fn kill(&mut self, now: Duration, delay: Duration) {
        if let Some(mut child) = self.child.take() {
            let killed = child.kill().and_then(|()| child.wait());
            if let Err(e) = killed {
                log::error!(problem = e.to_string().as_str(); "not_killed");
            }
        }
        self.restart_after(now, delay);
    }

    /// Tells the process to terminate; it is killed after its grace period.
    pub fn terminate(&mut self, now: Duration) {
        if self.is_running() {
            self.signal(Signal::CONT);
            self.signal(Signal::TERM);
            self.state = State::Terminating(now + self.settings.grace);
        }
    }

    /// Stalls the process again and again, as if its machine had too little processor time.
    pub fn starve(&mut self, until: Duration, longest_stall: Duration) {
        self.starved.0 = until;
        self.longest_stall = longest_stall;
    }

    /// Pauses the process for a time.
    pub fn pause(&mut self, now: Duration, time: Duration) {
        if self.state == State::Running {
            self.signal(Signal::STOP);
            self.state = State::Paused(now + time);
            self.last_fault = now + time;
        }
    }

    /// Sends SIGHUP to have the settings reloaded. Does nothing just after a start, as the signal
    /// ends a process that has not installed its handler yet.
    pub fn signal_reload(&self, now: Duration) {
        if self.state == State::Running && now >= self.started_at + SIGNAL_HANDLER_DELAY {
            self.signal(Signal::HUP);
        }
    }

    /// Returns the resident memory in kilobytes and the number of open file descriptors.
    pub fn resources(&self) -> Option<(u64, usize)> {
        let pid = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let memory = line.split_whitespace().nth(1)?.parse().ok()?;
        Some((memory, fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count()))
    }

    fn start(&mut self, now: Duration) -> io::Result<()> {
        self.write_settings()?;
        let log: File = OpenOptions::new().create(true).append(true).open(&self.log_path)?;
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings_path)
            .args(["--announce", &self.announce_address.to_string()])
            .env("PEER_KEY", PEER_KEY)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.starts += 1;
        self.state = State::Running;
        self.last_fault = now;
        self.started_at = now;
        Ok(())
    }

    fn restart_after(&mut self, now: Duration, delay: Duration) {
        self.state = State::Down(now + delay);
        self.last_fault = now + delay;
    }

    fn signal(&self, signal: Signal) {
        let Some(child) = &self.child else { return };
        if let Err(e) = kill_process(Pid::from_child(child), signal) {
            log::error!(problem = e.to_string().as_str(); "signal_unsent");
        }
    }
}
