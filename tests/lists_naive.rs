//! The same events for a naive version, in which each instance polls the platform and takes
//! what it reads, and operators write what they have, the last one winning.

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
use limpetdeck::lists::{Outcome, Step, Update};
use limpetdeck::platform::{Call, Reply};
use net::Net;
use serde_json::{Value, json};
use store::{Fate, Store};

/// Instances in each run.
const INSTANCES: u32 = 18;
/// Time between two polls of a naive instance.
const POLL_EVERY: Duration = Duration::from_secs(5);

/// What one instance reads from the platform, and when.
struct Answer {
    at: Duration,
    id: u32,
    version: Version,
}

/// Plays the answers to instances of both kinds. Returns for each kind the versions in force
/// at the end, and how often a version fell.
fn play(answers: &[Answer], end: Duration) -> ([Vec<Version>; 2], [usize; 2]) {
    let mut net = Net::new(INSTANCES, 3_000, 1);
    let mut naive = vec![0; INSTANCES as usize];
    (0..INSTANCES).for_each(|id| net.object(id, "services", 1, services(1, 1)));
    let mut fell = [0, 0];
    for answer in answers {
        net.run(answer.at.saturating_sub(net.now));
        let (before, naive_before) = (net.versions(), naive[answer.id as usize]);
        net.object(answer.id, "plans", answer.version, plans(answer.version, 20));
        naive[answer.id as usize] = answer.version;
        fell[0] += usize::from(answer.version < naive_before);
        let after = net.versions();
        fell[1] += before.iter().zip(&after).filter(|(old, new)| new.plans < old.plans).count();
    }
    net.run(end.saturating_sub(net.now));
    let ours = net.versions().iter().map(|versions| versions.plans).collect();
    ([naive, ours], fell)
}

/// All instances read a version, spread over the time between two polls.
fn all_read(version: Version, from: Duration) -> Vec<Answer> {
    let answers = (0..INSTANCES).map(|id| {
        let at = from + POLL_EVERY * id / INSTANCES;
        Answer { at, id, version }
    });
    answers.collect()
}

/// While nothing fails, both come to the same.
#[test]
fn nothing_fails() {
    let mut answers = all_read(1, Duration::ZERO);
    answers.extend(all_read(2, POLL_EVERY));
    let ([naive, ours], fell) = play(&answers, POLL_EVERY * 3);
    assert_eq!((&naive, fell), (&ours, [0, 0]));
    assert_eq!(ours, [2; INSTANCES as usize]);
}

/// The platform goes down after two instances have read the new version.
#[test]
fn platform_down() {
    let mut answers = all_read(1, Duration::ZERO);
    answers.extend(all_read(2, POLL_EVERY).into_iter().take(2));
    let ([naive, ours], _) = play(&answers, POLL_EVERY * 3);
    assert_eq!(naive.iter().filter(|&&version| version == 2).count(), 2);
    assert_eq!(ours, [2; INSTANCES as usize]);
}

/// Some reads are answered with an old state.
#[test]
fn old_answers() {
    let mut answers = all_read(2, Duration::ZERO);
    answers.extend(all_read(1, POLL_EVERY).into_iter().step_by(3));
    let ([naive, ours], fell) = play(&answers, POLL_EVERY * 3);
    println!("reverts_naive={} reverts={}", fell[0], fell[1]);
    assert_eq!(naive.iter().filter(|&&version| version == 1).count(), 6);
    assert_eq!(ours, [2; INSTANCES as usize]);
    assert_eq!(fell, [6, 0]);
}

/// Makes the next call of an update; answers the outcome once there is one.
fn step(update: &mut Update, store: &mut Store) -> Option<Outcome> {
    let call = match update.next(Duration::ZERO) {
        Step::Done(outcome) => return Some(outcome),
        Step::Wait(_) => panic!("no call fails here"),
        Step::Call(call) => call,
    };
    let result = store.call(&call, Fate::Answered);
    update.on_result(Duration::ZERO, result);
    None
}

/// A naive operator reads all customers, and later writes them with one more.
fn naive_read(store: &mut Store) -> Vec<Value> {
    let call = Call::Get { name: "plans".to_owned() };
    match store.call(&call, Fate::Answered) {
        Ok(Reply::Object(object)) => object.value["customers"].as_array().cloned().expect("a list"),
        _ => Vec::new(),
    }
}

fn naive_write(store: &mut Store, mut customers: Vec<Value>, name: &str) {
    customers.push(json!({ "name": name }));
    let value = json!({ "customers": customers });
    let call = Call::Put { name: "plans".to_owned(), if_version: None, value };
    store.call(&call, Fate::Answered).expect("written");
}

fn has(store: &Store, name: &str) -> bool {
    store.current().value["customers"].to_string().contains(&format!("\"name\":\"{name}\""))
}

/// In each interleaving of two operators, every change that was accepted is in force.
#[test]
fn operators_collide() {
    let (mut naive_lost, mut lost, mut accepted) = (0, 0, 0);
    for order in 0..16u32 {
        let turns: Vec<usize> = (0..4).map(|i| (order >> i & 1) as usize).collect();
        if turns.iter().sum::<usize>() != 2 {
            continue;
        }
        let (mut store, mut naive) = (Store::new("plans"), Store::new("plans"));
        let mut updates = ["a", "b"].map(|name| set_customer(name, None, NEVER, 1));
        let mut read = [None, None];
        for turn in turns {
            step(&mut updates[turn], &mut store);
            match read[turn].take() {
                None => read[turn] = Some(naive_read(&mut naive)),
                Some(customers) => naive_write(&mut naive, customers, ["a", "b"][turn]),
            }
        }
        for (name, update) in ["a", "b"].into_iter().zip(&mut updates) {
            naive_lost += u32::from(!has(&naive, name));
            let applied = matches!(step(update, &mut store), Some(Outcome::Applied { .. }));
            accepted += u32::from(applied);
            lost += u32::from(applied && !has(&store, name));
        }
    }
    println!("lost_naive={naive_lost} lost={lost} accepted={accepted}");
    assert_eq!((naive_lost, lost), (4, 0));
    assert_eq!(accepted, 8);
}
