//! A signal that comes while an instance is only starting.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// Time in which the program begins and waits for its settings.
const BEGINS: Duration = Duration::from_secs(1);

fn ended(child: &mut Child) -> bool {
    child.try_wait().expect("a state").is_some()
}

/// Settings come through a pipe, so that the program waits for them for as long as wanted.
#[test]
fn new_settings() {
    let lab = PathBuf::from(env!("CARGO_BIN_EXE_limpetdeck-lab"));
    let node = lab.with_file_name("limpetdeck-node");
    assert!(node.exists(), "limpetdeck-node is not built: run the tests with --workspace");
    let mut child = Command::new(node)
        .args(["--settings", "/dev/stdin", "--check"])
        .env("PEER_KEY", "07".repeat(32))
        .stdin(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("a process");
    thread::sleep(BEGINS);
    kill_process(Pid::from_child(&child), Signal::HUP).expect("a process to signal");
    thread::sleep(BEGINS);
    let early = ended(&mut child);
    // Settings that are none end the program with its own code.
    child.stdin.take().expect("a pipe").write_all(b"Zone = 1").ok();
    let status = child.wait().expect("an end");
    assert!(!early, "the signal ended it: {status}");
    assert_eq!(status.code(), Some(2), "{status}");
}
