//! Compares the replicated lists with a naive design under the same events. In the naive
//! design each instance polls the platform and uses whatever it reads, and operators write
//! unconditionally, so the last write wins.

#[path = "support/contents.rs"]
mod contents;
#[path = "support/customer.rs"]
mod customer;
#[path = "support/net.rs"]
mod net;
#[path = "support/store.rs"]
mod store;

use std::time::Duration;

use contents::{plans, services};
use customer::{NEVER, set_customer};
use limpetdeck::ids::Version;
use limpetdeck::lists::{Update, UpdateOutcome, UpdateStep};
use limpetdeck::platform::{Call, Reply};
use net::Net;
use serde_json::{Value, json};
use store::{CallOutcome, Store};

/// Instances in each run.
const INSTANCES: u32 = 18;
/// Time between two polls of a naive instance.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// One read of the platform by an instance.
struct PlatformRead {
    at: Duration,
    id: u32,
    version: Version,
}

/// Runs the reads on instances of both designs. Returns for each design the active versions
/// at the end, and how often a version decreased.
fn run_reads(reads: &[PlatformRead], end: Duration) -> ([Vec<Version>; 2], [usize; 2]) {
    let mut net = Net::new(INSTANCES, 3_000, 1);
    let mut naive = vec![0; INSTANCES as usize];
    (0..INSTANCES).for_each(|id| net.deliver_object(id, "services", 1, services(1, 1)));
    let mut decreases = [0, 0];
    for read in reads {
        net.run(read.at.saturating_sub(net.now));
        let (before, naive_before) = (net.versions(), naive[read.id as usize]);
        net.deliver_object(read.id, "plans", read.version, plans(read.version, 20));
        naive[read.id as usize] = read.version;
        decreases[0] += usize::from(read.version < naive_before);
        let after = net.versions();
        decreases[1] +=
            before.iter().zip(&after).filter(|(old, new)| new.plans < old.plans).count();
    }
    net.run(end.saturating_sub(net.now));
    let replicated = net.versions().iter().map(|versions| versions.plans).collect();
    ([naive, replicated], decreases)
}

/// Returns a read of a version by each instance, spread over one polling interval.
fn all_read(version: Version, from: Duration) -> Vec<PlatformRead> {
    let reads = (0..INSTANCES).map(|id| {
        let at = from + POLL_INTERVAL * id / INSTANCES;
        PlatformRead { at, id, version }
    });
    reads.collect()
}

/// Without faults both designs end with the same versions.
#[test]
fn without_faults() {
    let mut reads = all_read(1, Duration::ZERO);
    reads.extend(all_read(2, POLL_INTERVAL));
    let ([naive, replicated], decreases) = run_reads(&reads, POLL_INTERVAL * 3);
    assert_eq!((&naive, decreases), (&replicated, [0, 0]));
    assert_eq!(replicated, [2; INSTANCES as usize]);
}

/// The platform goes down after two instances have read the new version.
#[test]
fn platform_down() {
    let mut reads = all_read(1, Duration::ZERO);
    reads.extend(all_read(2, POLL_INTERVAL).into_iter().take(2));
    let ([naive, replicated], _) = run_reads(&reads, POLL_INTERVAL * 3);
    assert_eq!(naive.iter().filter(|&&version| version == 2).count(), 2);
    assert_eq!(replicated, [2; INSTANCES as usize]);
}

/// A third of the reads return an old state.
#[test]
fn stale_reads() {
    let mut reads = all_read(2, Duration::ZERO);
    reads.extend(all_read(1, POLL_INTERVAL).into_iter().step_by(3));
    let ([naive, replicated], decreases) = run_reads(&reads, POLL_INTERVAL * 3);
    println!("reverts_naive={} reverts={}", decreases[0], decreases[1]);
    assert_eq!(naive.iter().filter(|&&version| version == 1).count(), 6);
    assert_eq!(replicated, [2; INSTANCES as usize]);
    assert_eq!(decreases, [6, 0]);
}

/// Makes the next call of an update, or returns its outcome.
fn step(update: &mut Update, store: &mut Store) -> Option<UpdateOutcome> {
    let call = match update.next(Duration::ZERO) {
        UpdateStep::Done(outcome) => return Some(outcome),
        UpdateStep::Wait(_) => panic!("no call fails here"),
        UpdateStep::Call(call) => call,
    };
    let result = store.call(&call, CallOutcome::Answered);
    update.on_result(Duration::ZERO, result);
    None
}

/// Reads all customers, as a naive operator does before it writes them with one more.
fn naive_read(store: &mut Store) -> Vec<Value> {
    let call = Call::Get { name: "plans".to_owned() };
    match store.call(&call, CallOutcome::Answered) {
        Ok(Reply::Object(object)) => object.value["customers"].as_array().cloned().expect("a list"),
        _ => Vec::new(),
    }
}

fn naive_write(store: &mut Store, mut customers: Vec<Value>, name: &str) {
    customers.push(json!({ "name": name }));
    let value = json!({ "customers": customers });
    let call = Call::Put { name: "plans".to_owned(), if_version: None, value };
    store.call(&call, CallOutcome::Answered).expect("written");
}

fn has(store: &Store, name: &str) -> bool {
    store.current().value["customers"].to_string().contains(&format!("\"name\":\"{name}\""))
}

/// In each interleaving of two operators, every change reported as applied is in the object.
/// Naive writes lose a change whenever both operators read before either writes.
#[test]
fn concurrent_operators() {
    let (mut naive_lost, mut lost, mut accepted) = (0, 0, 0);
    for order in 0..16u32 {
        let order_of_calls: Vec<usize> = (0..4).map(|i| (order >> i & 1) as usize).collect();
        if order_of_calls.iter().sum::<usize>() != 2 {
            continue;
        }
        let (mut store, mut naive) = (Store::new("plans"), Store::new("plans"));
        let mut updates = ["a", "b"].map(|name| set_customer(name, None, NEVER, 1));
        let mut read = [None, None];
        for operator in order_of_calls {
            step(&mut updates[operator], &mut store);
            match read[operator].take() {
                None => read[operator] = Some(naive_read(&mut naive)),
                Some(customers) => naive_write(&mut naive, customers, ["a", "b"][operator]),
            }
        }
        for (name, update) in ["a", "b"].into_iter().zip(&mut updates) {
            naive_lost += u32::from(!has(&naive, name));
            let applied = matches!(step(update, &mut store), Some(UpdateOutcome::Applied { .. }));
            accepted += u32::from(applied);
            lost += u32::from(applied && !has(&store, name));
        }
    }
    println!("lost_naive={naive_lost} lost={lost} accepted={accepted}");
    assert_eq!((naive_lost, lost), (4, 0));
    assert_eq!(accepted, 8);
}
