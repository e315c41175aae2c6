//! JSON-RPC of an instance.

mod support;

use std::collections::BTreeMap;

use limpetdeck::instance::Status;
use limpetdeck::lists::Versions;
use limpetdeck::peer::MemberState;
use limpetdeck::rpc::Rpc;
use serde_json::Value;

fn ask(rpc: &Rpc, body: &[u8]) -> Value {
    serde_json::from_str(&smol::block_on(rpc.answer(body))).expect("JSON")
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
        versions: Versions { allowances: 1, plans: 2, services: 3 },
        refused_versions: Versions::default(),
        platform_answered_ms_ago: Some(12),
        live_instances: 3,
        open_flows: 5,
        refusals: BTreeMap::from([("not_in_plan".to_owned(), 4)]),
    }
}

#[test]
fn status_told() {
    let rpc = Rpc::new().expect("methods");
    let body = br#"{"jsonrpc":"2.0","id":1,"method":"status"}"#;
    assert_eq!(ask(&rpc, body)["result"], Value::Null);
    rpc.set_status(status());
    let told: Status = serde_json::from_value(ask(&rpc, body)["result"].take()).expect("a status");
    assert_eq!(told, status());
}

#[test]
fn stop_once() {
    let rpc = Rpc::new().expect("methods");
    assert!(!rpc.take_stop());
    let answer = ask(&rpc, br#"{"jsonrpc":"2.0","id":1,"method":"stop"}"#);
    assert_eq!(answer["result"], Value::Bool(true));
    assert!(rpc.take_stop());
    assert!(!rpc.take_stop());
}

#[test]
fn unknown_method() {
    let rpc = Rpc::new().expect("methods");
    let answer = ask(&rpc, br#"{"jsonrpc":"2.0","id":1,"method":"restart"}"#);
    assert_eq!(answer["error"]["code"], -32601);
    assert!(!rpc.take_stop());
}

/// Whatever comes, there is an answer in JSON, and nothing stops the instance.
#[test]
fn any_bytes() {
    fn property(bytes: Vec<u8>, cut: usize, flip: usize) -> bool {
        let rpc = Rpc::new().expect("methods");
        let mut request = br#"{"jsonrpc":"2.0","id":1,"method":"status","params":[1]}"#.to_vec();
        let place = flip % request.len();
        request[place] = request[place].wrapping_add(1);
        request.truncate(cut % (request.len() + 1));
        [bytes, request].iter().all(|body| {
            let answer = ask(&rpc, body);
            answer["jsonrpc"] == "2.0" && !rpc.take_stop()
        })
    }
    support::checker(2_000).quickcheck(property as fn(Vec<u8>, usize, usize) -> bool);
}
