//! JSON-RPC methods of an instance.

mod support;

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::rc::Rc;

use limpetdeck::instance::Status;
use limpetdeck::lists::ListVersions;
use limpetdeck::peer::MemberState;
use limpetdeck::rpc::Rpc;
use limpetdeck::steering::DrainedDomain;
use limpetdeck::{ctl, http};
use serde_json::Value;

fn call(rpc: &Rpc, body: &[u8]) -> Value {
    serde_json::from_str(&smol::block_on(rpc.handle_request(body))).expect("JSON")
}

fn status() -> Status {
    Status {
        instance: 7,
        incarnation: 1,
        failure_domain: "gt-centro-a".to_owned(),
        state: MemberState::Live,
        healthy: true,
        stale: false,
        isolated: false,
        versions: ListVersions { allowances: 1, plans: 2, services: 3 },
        refused_versions: ListVersions::default(),
        platform_answered_ms_ago: Some(12),
        live_instances: 3,
        open_flows: 5,
        refusals: BTreeMap::from([("not_in_plan".to_owned(), 4)]),
        drained_domains: vec![DrainedDomain {
            failure_domain: "gt-centro-b".to_owned(),
            era: 1,
            revision: 57,
            known_ms: 12_345,
        }],
    }
}

#[test]
fn status_result() {
    let rpc = Rpc::new().expect("methods");
    let body = br#"{"jsonrpc":"2.0","id":1,"method":"status"}"#;
    assert_eq!(call(&rpc, body)["result"], Value::Null);
    rpc.set_status(status());
    let returned: Status =
        serde_json::from_value(call(&rpc, body)["result"].take()).expect("a status");
    assert_eq!(returned, status());
}

#[test]
fn stop_request_taken_once() {
    let rpc = Rpc::new().expect("methods");
    assert!(!rpc.take_stop_request());
    let response = call(&rpc, br#"{"jsonrpc":"2.0","id":1,"method":"stop"}"#);
    assert_eq!(response["result"], Value::Bool(true));
    assert!(rpc.take_stop_request());
    assert!(!rpc.take_stop_request());
}

#[test]
fn unknown_method() {
    let rpc = Rpc::new().expect("methods");
    let response = call(&rpc, br#"{"jsonrpc":"2.0","id":1,"method":"restart"}"#);
    assert_eq!(response["error"]["code"], -32601);
    assert!(!rpc.take_stop_request());
}

/// Any body, also an altered or truncated request, gets a JSON-RPC response and never stops the
/// instance.
#[test]
fn arbitrary_bodies() {
    fn property(bytes: Vec<u8>, cut: usize, flip: usize) -> bool {
        let rpc = Rpc::new().expect("methods");
        let mut request = br#"{"jsonrpc":"2.0","id":1,"method":"status","params":[1]}"#.to_vec();
        let position = flip % request.len();
        request[position] = request[position].wrapping_add(1);
        request.truncate(cut % (request.len() + 1));
        [bytes, request].iter().all(|body| {
            let response = call(&rpc, body);
            response["jsonrpc"] == "2.0" && !rpc.take_stop_request()
        })
    }
    support::checker(2_000).quickcheck(property as fn(Vec<u8>, usize, usize) -> bool);
}

/// A status of an earlier release lacks the drained failure domains.
#[test]
fn earlier_status() {
    let mut earlier = serde_json::to_value(status()).expect("plain data");
    earlier.as_object_mut().expect("fields").remove("drained_domains");
    let read: Status = serde_json::from_value(earlier).expect("a status");
    assert_eq!(read, Status { drained_domains: Vec::new(), ..status() });
}

/// `limpetctl status` shows which failure domains are drained, also while the platform is down.
#[test]
fn drained_domains_shown() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    std::thread::spawn(move || {
        let rpc = Rc::new(Rpc::new().expect("methods"));
        rpc.set_status(status());
        let handler = move |req: http::Request| -> http::HandlerFuture {
            let rpc = Rc::clone(&rpc);
            Box::pin(async move {
                let body = rpc.handle_request(&req.body).await.into_bytes();
                http::Response::new(http::StatusCode::OK, "application/json", body)
            })
        };
        let ex = Rc::new(smol::LocalExecutor::new());
        listener.set_nonblocking(true).expect("a listener");
        let listener = listener.try_into().expect("a listener");
        smol::block_on(ex.run(http::serve(Rc::clone(&ex), listener, Rc::new(handler))));
    });
    let mut text = String::new();
    let args = ["status", "--instance", &address, "--platform", "127.0.0.1:1"];
    ctl::run(args.map(Into::into).to_vec(), &mut text).expect("a status");
    let line = "drained failure domain gt-centro-b: order 1.57, for 12.3 s, known to 1 of 1";
    assert!(text.contains(line), "{text}");
}
