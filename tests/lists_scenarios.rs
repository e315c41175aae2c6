//! Scripted races between operators and between instances.
//!
//! Commands for operators: `NAME [only-at N]` starts an update that sets the customer NAME,
//! and `NAME OUTCOME` makes its next call, which is answered, answer-lost, request-lost,
//! delayed or stale. `deliver` executes a delayed write, `overwrite` writes without a history,
//! and `show` prints the object.
//!
//! Commands for instances: `object I LIST N` delivers version N of a list from the platform to
//! instance I, `malformed I LIST N` one that cannot be decoded. `run MS` advances time. `cut I
//! GROUP` moves instance I into a network partition; `pause I`, `wake I` and `restart I` pause,
//! resume and restart it. `add` adds an instance, and `show` prints all instances.

#[path = "support/contents.rs"]
mod contents;
#[path = "support/customer.rs"]
mod customer;
#[path = "support/net.rs"]
mod net;
#[path = "support/store.rs"]
mod store;

use std::collections::BTreeMap;
use std::time::Duration;

use contents::{plans, services};
use customer::{NEVER, set_customer};
use limpetdeck::lists::{ListKind, OperationLog, Update, UpdateOutcome, UpdateStep};
use limpetdeck::platform::Call;
use net::Net;
use serde_json::{Value, json};
use store::{CallOutcome, Store};

fn step_text(step: &UpdateStep) -> String {
    match step {
        UpdateStep::Call(Call::Put { if_version, .. }) => {
            format!("put at {}", if_version.expect("a condition"))
        }
        UpdateStep::Call(_) => "get".to_owned(),
        UpdateStep::Wait(_) => "wait".to_owned(),
        UpdateStep::Done(UpdateOutcome::Applied { version, .. }) => format!("applied as {version}"),
        UpdateStep::Done(UpdateOutcome::Conflict { ours, theirs, version }) => {
            let (ours, theirs) = (customer_names(ours), customer_names(theirs));
            format!("conflict with {version}, ours: {ours}; theirs: {theirs}")
        }
        UpdateStep::Done(other) => format!("{other:?}"),
    }
}

/// Returns the names of the customers in diff lines.
fn customer_names(lines: &[String]) -> String {
    let names = lines.iter().filter(|line| line.contains(".name"));
    names.map(|line| line.split(['.', ' ']).nth(2).expect("a name")).collect::<Vec<_>>().join(" ")
}

fn next_step(operator: &mut (Update, Duration)) -> UpdateStep {
    loop {
        match operator.0.next(operator.1) {
            UpdateStep::Wait(until) => operator.1 = until,
            step => return step,
        }
    }
}

fn call_outcome(text: &str) -> CallOutcome {
    match text {
        "answered" => CallOutcome::Answered,
        "answer-lost" => CallOutcome::AnswerLost,
        "request-lost" => CallOutcome::RequestLost,
        "delayed" => CallOutcome::Delayed,
        "stale" => CallOutcome::Stale,
        other => panic!("unknown outcome {other:?}"),
    }
}

fn show_object(store: &Store) -> String {
    let object = store.current();
    let (value, operation_log) =
        OperationLog::split(object.value.clone()).expect("an operation log");
    let customers = value["customers"].as_array().cloned().unwrap_or_default();
    let customers: Vec<_> = customers.iter().filter_map(|c| c["name"].as_str()).collect();
    let history: Vec<_> =
        operation_log.history.iter().map(|made| format!("{}={}", made.version, made.id)).collect();
    format!("version {}: {}; made by {}\n", object.version, customers.join(" "), history.join(" "))
}

fn run_operator_command(
    line: &str,
    store: &mut Store,
    operators: &mut BTreeMap<String, (Update, Duration)>,
) -> String {
    let words: Vec<_> = line.split_whitespace().collect();
    match words[..] {
        ["show"] => return show_object(store),
        ["deliver"] => store.deliver(0),
        ["overwrite"] => {
            let name = "plans".to_owned();
            let call = Call::Put { name, if_version: None, value: json!({ "customers": [] }) };
            store.call(&call, CallOutcome::Answered).expect("written");
        }
        [name] => {
            let update = set_customer(name, None, NEVER, 1);
            operators.insert(name.to_owned(), (update, Duration::ZERO));
        }
        [name, "only-at", version] => {
            let expected_version = Some(version.parse().expect("a version"));
            let update = set_customer(name, expected_version, NEVER, 1);
            operators.insert(name.to_owned(), (update, Duration::ZERO));
        }
        [name, text] => {
            let operator = operators.get_mut(name).expect("an operator");
            let UpdateStep::Call(call) = next_step(operator) else {
                panic!("{name} makes no call")
            };
            let made = step_text(&UpdateStep::Call(call.clone()));
            let result = store.call(&call, call_outcome(text));
            operator.0.on_result(operator.1, result);
            return format!("{name}: {made}, {text}; next: {}\n", step_text(&next_step(operator)));
        }
        _ => panic!("unknown line {line:?}"),
    }
    String::new()
}

#[test]
fn operators() {
    datadriven::walk("tests/scenarios/lists_update", |f| {
        let (mut store, mut operators) = (Store::new("plans"), BTreeMap::new());
        f.run(|case| {
            let lines = case.input.lines();
            lines
                .map(|line| run_operator_command(line, &mut store, &mut operators))
                .collect::<String>()
        });
    });
}

fn number(text: &str) -> u32 {
    text.parse().expect("a number")
}

fn content(list: &str, version: u64) -> Value {
    match list {
        "plans" => plans(version, 5),
        "services" => services(version, 2),
        other => panic!("unknown list {other:?}"),
    }
}

fn run_instance_command(line: &str, net: &mut Net) -> String {
    let words: Vec<_> = line.split_whitespace().collect();
    match words[..] {
        ["object", id, list, version] => {
            let version = u64::from(number(version));
            net.deliver_object(number(id), list, version, content(list, version));
        }
        ["malformed", id, list, version] => {
            net.deliver_object(number(id), list, u64::from(number(version)), json!([1]));
        }
        ["run", ms] => net.run(Duration::from_millis(u64::from(number(ms)))),
        ["cut", id, group] => net.set_partition(number(id), number(group)),
        ["pause", id] => net.set_running(number(id), false),
        ["wake", id] => net.set_running(number(id), true),
        ["restart", id] => net.restart(number(id)),
        ["add"] => {
            net.add();
        }
        ["show"] => return show_net(net),
        _ => panic!("unknown line {line:?}"),
    }
    String::new()
}

fn show_net(net: &mut Net) -> String {
    let instances = net.versions().len() as u32;
    let lines = (0..instances).map(|id| {
        let lists = net.lists(id);
        let versions = lists.versions();
        let ready = if lists.is_ready() { "ready" } else { "not ready" };
        let customers = lists.content(ListKind::Plans).entries().len();
        let (services, plans) = (versions.services, versions.plans);
        format!("{id}: services {services}, plans {plans} ({customers} customers), {ready}\n")
    });
    lines.collect()
}

#[test]
fn instances() {
    datadriven::walk("tests/scenarios/lists_spread", |f| {
        let mut net = None;
        f.run(|case| {
            let count = case.args.get("instances").map(|values| number(&values[0]));
            let net = net.get_or_insert_with(|| Net::new(count.expect("instances"), 3_000, 1));
            case.input.lines().map(|line| run_instance_command(line, net)).collect::<String>()
        });
    });
}
