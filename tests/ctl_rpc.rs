//! JSON-RPC methods of an instance.

mod support;

use std::collections::BTreeMap;

use limpetdeck::instance::Status;
use limpetdeck::lists::ListVersions;
use limpetdeck::peer::MemberState;
use limpetdeck::rpc::Rpc;
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
        drained_domains: Vec::new(),
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
