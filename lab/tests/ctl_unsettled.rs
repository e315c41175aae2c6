//! `limpetctl` when the answer of an instance is lost.

#[path = "support/ctl.rs"]
mod ctl;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

/// Starts an instance that tells its status, and is silent when it is asked to stop.
fn silent_instance() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let mut buf = [0; 4_096];
            let len = stream.read(&mut buf).expect("a request");
            if !String::from_utf8_lossy(&buf[..len]).contains("status") {
                // The request has arrived, and its answer never comes.
                std::mem::forget(stream);
                continue;
            }
            let versions = r#"{"services":1,"plans":0,"allowances":0,"targets":0}"#;
            let body = format!(
                r#"{{"jsonrpc":"2.0","id":1,"result":{{"instance":3,"incarnation":1,"failure_domain":"a","state":"Live","healthy":true,"stale":false,"isolated":false,"versions":{versions},"refused_versions":{versions},"platform_answered_ms_ago":1,"live_instances":1,"open_flows":0,"refusals":{{}}}}}}"#
            );
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).expect("sent");
            stream.write_all(body.as_bytes()).expect("sent");
        }
    });
    address
}

/// The command does not claim that nothing has happened: the instance may be stopping.
#[test]
fn lost_answer() {
    let address = silent_instance().to_string();
    let (code, text) = ctl::ctl(&["instances", "stop", "3", "--instance", &address]);
    assert_eq!(code, 4, "{text}");
    assert!(text.contains("outcome unknown"), "{text}");
    assert!(!text.contains("nothing was written"), "{text}");
}

/// A second address is not passed over in silence.
#[test]
fn several_addresses() {
    let address = ctl::free_address().to_string();
    let args = ["instances", "stop", "3", "--instance", &address, "--instance", &address];
    let (code, text) = ctl::ctl(&args);
    assert_eq!(code, 2, "{text}");
    assert!(text.contains("one --instance"), "{text}");
}
