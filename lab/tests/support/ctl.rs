//! The operators' command as a real process, against a platform stand-in.

#![allow(dead_code, reason = "not every user needs all of it")]

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

use limpetdeck::http::{self, Request};

/// Time between two looks at something that is awaited.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Looks after which something awaited is given up.
const MOST_LOOKS: u32 = 600;

/// A process that ends with the test.
pub struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    /// Starts a program without output.
    pub fn start(program: &str, args: &[&str]) -> Self {
        let mut command = Command::new(program_path(program));
        let command = command.args(args).stdout(Stdio::null()).stderr(Stdio::null());
        Self(command.spawn().expect("a process"))
    }

    /// Tells whether the process has ended by itself.
    pub fn ended(&mut self) -> bool {
        self.0.try_wait().expect("a state").is_some()
    }
}

/// Finds a program of the workspace; `cargo test --workspace` builds all of them.
fn program_path(name: &str) -> PathBuf {
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_limpetdeck-lab"));
    let path = lab.with_file_name(name);
    assert!(path.exists(), "{name} is not built: run the tests with --workspace");
    path
}

/// Waits until something holds.
pub fn await_true(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..MOST_LOOKS {
        if holds() {
            return;
        }
        std::thread::sleep(LOOK_AGAIN);
    }
    panic!("{what} did not happen");
}

/// Returns an address on loopback that nobody uses.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    listener.local_addr().expect("an address")
}

/// A platform stand-in.
pub struct Platform {
    /// Address of its object API.
    pub address: SocketAddr,
    _process: Process,
}

impl Platform {
    /// Starts a platform without objects.
    pub fn start() -> Self {
        let address = free_address();
        let process =
            Process::start("limpetdeck-lab", &["platform", "--listen", &address.to_string()]);
        await_true("platform", || TcpStream::connect(address).is_ok());
        Self { address, _process: process }
    }

    /// Lets the platform misbehave.
    pub fn fault(&self, mode: &str) {
        let req = Request::post(format!("/faults?mode={mode}"), "");
        let call = http::call(self.address, req, Duration::from_secs(5));
        assert!(smol::block_on(call).expect("an answer").status.is_success());
    }

    /// Runs `limpetctl` on this platform, and returns its exit code and all it printed.
    pub fn ctl(&self, args: &[&str]) -> (i32, String) {
        let address = self.address.to_string();
        ctl(&[args, &["--platform", &address]].concat())
    }
}

/// Runs `limpetctl`, and returns its exit code and all it printed.
pub fn ctl(args: &[&str]) -> (i32, String) {
    let output = Command::new(program_path("limpetctl")).args(args).output().expect("a process");
    printed(&output)
}

fn printed(output: &Output) -> (i32, String) {
    let text = [output.stdout.as_slice(), output.stderr.as_slice()].concat();
    (output.status.code().expect("an exit code"), String::from_utf8(text).expect("text"))
}

/// Writes a file for this test, and returns its path.
pub fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    let mut file = std::fs::File::create(&path).expect("a file");
    file.write_all(text.as_bytes()).expect("written");
    path.display().to_string()
}

/// Returns the path of a sample of the first deployment.
pub fn sample(name: &str) -> String {
    format!("{}/../sample_configs/recarga/{name}", env!("CARGO_MANIFEST_DIR"))
}
