//! Signals that arrive while an instance starts.

use std::io::Write;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// Time after which the program has started and waits for its settings.
const START_TIME: Duration = Duration::from_secs(1);

fn has_exited(child: &mut Child) -> bool {
    child.try_wait().expect("a state").is_some()
}

/// Guards against a SIGHUP ending the program if it arrives before the settings have been read.
/// The settings come through a pipe, so that the program waits for them for as long as needed.
#[test]
fn early_sighup() {
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
    thread::sleep(START_TIME);
    kill_process(Pid::from_child(&child), Signal::HUP).expect("a process to signal");
    thread::sleep(START_TIME);
    let exited_early = has_exited(&mut child);
    // Invalid settings end the program with its exit code for them, 2.
    child.stdin.take().expect("a pipe").write_all(b"Zone = 1").ok();
    let status = child.wait().expect("an end");
    assert!(!exited_early, "the signal ended the program: {status}");
    assert_eq!(status.code(), Some(2), "{status}");
}
