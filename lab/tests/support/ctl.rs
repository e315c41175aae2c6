//! Runs `limpetctl` and instances as processes against a simulated platform.

#![allow(dead_code, reason = "not every test file uses all helpers")]

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use limpetdeck::http::{self, Request};

/// Time between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of polls of a condition before the test fails.
const MAX_POLLS: u32 = 600;

/// Number of starts of a platform on one address each, which another process may get first.
const MAX_STARTS: u32 = 5;

/// A process that is killed when it is dropped.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a program and discards its output.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut command = Command::new(program_path(program));
        let command = command.args(args).stdout(Stdio::null()).stderr(Stdio::null());
        Self(command.spawn().expect("a process"))
    }

    /// Returns whether the process has exited by itself.
    pub fn has_exited(&mut self) -> bool {
        self.0.try_wait().expect("a state").is_some()
    }
}

/// Returns the path of a program of the workspace; `cargo test --workspace` builds all of them.
fn program_path(name: &str) -> PathBuf {
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_limpetdeck-lab"));
    let path = lab.with_file_name(name);
    assert!(path.exists(), "{name} is not built: run the tests with --workspace");
    path
}

/// Polls a condition until it holds; panics with `what` if it does not in time.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..MAX_POLLS {
        if holds() {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("{what} did not happen");
}

/// Returns an unused loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    listener.local_addr().expect("an address")
}

/// A simulated platform.
pub struct Platform {
    /// Address of its object API.
    pub address: SocketAddr,
    _process: Process,
}

impl Platform {
    /// Starts a platform without objects.
    pub fn start() -> Self {
        for _ in 0..MAX_STARTS {
            let address = free_address();
            let args = ["platform", "--listen", &address.to_string()];
            let mut process = Process::start("limpetdeck-lab", &args);
            // A connection alone says nothing: another process may have got the port, in which case
            // this one exits.
            wait_until("platform", || process.has_exited() || answers(address));
            if !process.has_exited() {
                return Self { address, _process: process };
            }
        }
        panic!("no platform in {MAX_STARTS} starts");
    }

    /// Sets the fault mode of the platform; `none` ends the fault.
    pub fn set_fault(&self, mode: &str) {
        let req = Request::post(format!("/faults?mode={mode}"), "");
        let call = http::call(self.address, req, Duration::from_secs(5));
        assert!(smol::block_on(call).expect("an answer").status.is_success());
    }

    /// Runs `limpetctl` against this platform and returns its exit code and output.
    pub fn ctl(&self, args: &[&str]) -> (i32, String) {
        let address = self.address.to_string();
        ctl(&[args, &["--platform", &address]].concat())
    }
}

/// Returns whether a server answers calls at an address.
fn answers(address: SocketAddr) -> bool {
    smol::block_on(http::call(address, Request::get("/"), Duration::from_secs(1))).is_ok()
}

/// Runs `limpetctl` and returns its exit code and output.
pub fn ctl(args: &[&str]) -> (i32, String) {
    let output = Command::new(program_path("limpetctl")).args(args).output().expect("a process");
    exit_code_and_text(&output)
}

/// Returns the exit code, and standard output followed by standard error.
fn exit_code_and_text(output: &Output) -> (i32, String) {
    let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    (output.status.code().expect("an exit code"), String::from_utf8(text).expect("text"))
}

/// Writes a file to the tests' temporary folder and returns its path.
pub fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut file = std::fs::File::create(&path).expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    path.display().to_string()
}

/// Returns the path of a sample file of the `recarga` deployment.
pub fn sample_path(name: &str) -> String {
    format!("{}/../sample_configs/recarga/{name}", env!("CARGO_MANIFEST_DIR"))
}
