//! The product's object store client against the emulated store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use limpetdeck::http;
use limpetdeck::platform::{Call, Platform, PlatformError, Position, Reply};
use limpetdeck::steering::{DOMAIN_DRAINS_PREFIX, ROUTES_PREFIX, RawRoutes, TARGETS_PREFIX};
use limpetdeck_lab::emulator::store::{ObjectStore, SharedStore, StoreMode, handler};
use limpetdeck_platform::ObjectStore as Client;
use limpetdeck_platform::emulator::routes_entry;
use serde_json::json;
use smol::LocalExecutor;
use smol::net::TcpListener;

type Outcome = Result<Reply, PlatformError>;
/// Preparation of the store, and the call that follows it.
type Step = (fn(&SharedStore), Call);

/// Runs the steps against a new store and returns the outcomes of the calls.
fn run_steps(steps: Vec<Step>) -> Vec<Outcome> {
    let ex = Rc::new(LocalExecutor::new());
    let store: SharedStore = Rc::new(RefCell::new(ObjectStore::new(1)));
    smol::block_on(ex.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
        let address = listener.local_addr().expect("an address");
        let server = http::serve(Rc::clone(&ex), listener, Rc::new(handler(&store, 0)));
        ex.spawn(server).detach();
        let client = Client::new(address);
        let mut outcomes = Vec::new();
        for (prepare, call) in steps {
            prepare(&store);
            outcomes.push(client.call(call).await);
        }
        outcomes
    }))
}

fn unchanged(_: &SharedStore) {}

fn put_routes(store: &SharedStore) {
    let routes = RawRoutes { version: 7, idle_timeout_ms: 9, ..RawRoutes::default() };
    store.borrow_mut().put(&format!("{ROUTES_PREFIX}main"), routes_entry(&routes));
}

fn list(prefix: &str) -> Call {
    Call::List { prefix: prefix.to_owned() }
}

fn watch(prefix: &str, after: u64) -> Call {
    let after = Position::new(0, after);
    Call::Watch { prefix: prefix.to_owned(), after, timeout: Duration::from_millis(200) }
}

#[test]
fn list_and_watch() {
    let outcomes =
        run_steps(vec![(put_routes, list(ROUTES_PREFIX)), (unchanged, watch(ROUTES_PREFIX, 1))]);
    let Ok(Reply::Changes(listed)) = &outcomes[0] else { panic!("{outcomes:?}") };
    assert_eq!((listed.revision, listed.objects.len()), (1, 1));
    assert_eq!(listed.objects[0].value["version"], 7);
    let Ok(Reply::Changes(changed)) = &outcomes[1] else { panic!("{outcomes:?}") };
    assert!(changed.objects.is_empty(), "{changed:?}");
}

#[test]
fn removed_target() {
    let outcomes = run_steps(vec![
        (|store| store.borrow_mut().put("targets/s-1f", json!({})), list(TARGETS_PREFIX)),
        (|store| store.borrow_mut().remove("targets/s-1f"), watch(TARGETS_PREFIX, 1)),
    ]);
    let Ok(Reply::Changes(changed)) = &outcomes[1] else { panic!("{outcomes:?}") };
    assert_eq!((changed.revision, changed.objects.len()), (2, 1));
    assert_eq!(changed.objects[0].name, "targets/1f");
    assert!(changed.objects[0].value.is_null());
}

/// An order to drain a failure domain is withdrawn as soon as its removal begins, before its object
/// is gone. Guards against an order that stays in force for the time between the two.
#[test]
fn withdrawn_order() {
    const ORDER: &str = "domain-drains/domain-a";
    let outcomes = run_steps(vec![
        (|store| store.borrow_mut().put(ORDER, json!({})), list(DOMAIN_DRAINS_PREFIX)),
        (|store| store.borrow_mut().mark_deleting(ORDER), watch(DOMAIN_DRAINS_PREFIX, 1)),
        (unchanged, list(DOMAIN_DRAINS_PREFIX)),
        (|store| store.borrow_mut().remove(ORDER), watch(DOMAIN_DRAINS_PREFIX, 2)),
        (|store| store.borrow_mut().put(ORDER, json!({})), list(DOMAIN_DRAINS_PREFIX)),
    ]);
    let orders = |outcome: &Outcome| {
        let Ok(Reply::Changes(changes)) = outcome else { panic!("{outcomes:?}") };
        let objects = changes.objects.iter();
        objects.map(|o| (o.name.clone(), o.value.is_null())).collect::<Vec<_>>()
    };
    for (outcome, withdrawn) in outcomes.iter().zip([false, true, true, true, false]) {
        assert_eq!(orders(outcome), [(ORDER.to_owned(), withdrawn)], "{outcomes:?}");
    }
}

#[test]
fn history_gone() {
    let outcomes = run_steps(vec![
        (put_routes, list(ROUTES_PREFIX)),
        (
            |store| {
                store.borrow_mut().put("routes/main", json!({}));
                store.borrow_mut().compact();
            },
            watch(ROUTES_PREFIX, 1),
        ),
    ]);
    assert!(matches!(outcomes[1], Err(PlatformError::HistoryGone)), "{outcomes:?}");
}

/// After a restore the revisions of the copy go on in a new era, and no watch continues from a
/// revision that was lost.
#[test]
fn restore() {
    let outcomes = run_steps(vec![
        (put_routes, list(ROUTES_PREFIX)),
        (
            |store| {
                let mut store = store.borrow_mut();
                store.take_copy();
                store.put("routes/main", json!({}));
                store.restore_copy();
            },
            watch(ROUTES_PREFIX, 2),
        ),
        (unchanged, list(ROUTES_PREFIX)),
    ]);
    assert!(matches!(outcomes[1], Err(PlatformError::HistoryGone)), "{outcomes:?}");
    let Ok(Reply::Changes(listed)) = &outcomes[2] else { panic!("{outcomes:?}") };
    assert_eq!(listed.position(), Position::new(1, 1));
    assert_eq!(listed.objects[0].value["version"], 7);
}

/// A refused call has no effect. One whose response is lost may have taken effect.
#[test]
fn refused_and_lost() {
    let put = || Call::Put { name: "instances/1".to_owned(), if_version: None, value: json!(1) };
    let get = || Call::Get { name: "instances/1".to_owned() };
    let outcomes = run_steps(vec![
        (|store| store.borrow_mut().set_mode(0, StoreMode::Refuses(503)), put()),
        (|store| store.borrow_mut().set_mode(0, StoreMode::Well), get()),
        (|store| store.borrow_mut().set_mode(0, StoreMode::LosesAnswers), put()),
        (|store| store.borrow_mut().set_mode(0, StoreMode::Well), get()),
    ]);
    assert!(matches!(outcomes[0], Err(PlatformError::Refused(_))), "{outcomes:?}");
    assert!(matches!(outcomes[1], Err(PlatformError::NotFound)), "{outcomes:?}");
    assert!(matches!(outcomes[2], Err(PlatformError::NoAnswer(_))), "{outcomes:?}");
    assert!(matches!(outcomes[3], Ok(Reply::Object(_))), "{outcomes:?}");
}

#[test]
fn conflicting_write() {
    let put =
        |if_version| Call::Put { name: "instances/1".to_owned(), if_version, value: json!(2) };
    let outcomes = run_steps(vec![
        (unchanged, put(Some(0))),
        (unchanged, put(Some(0))),
        (unchanged, put(Some(1))),
        (unchanged, put(Some(1))),
    ]);
    let conflicts = |outcome: &Outcome| matches!(outcome, Err(PlatformError::Conflict(_)));
    assert!(matches!(outcomes[0], Ok(Reply::Written(1))), "{outcomes:?}");
    assert!(conflicts(&outcomes[1]), "{outcomes:?}");
    // A write of the same content is no change, so the revision stays.
    assert!(matches!(outcomes[2], Ok(Reply::Written(1))), "{outcomes:?}");
    assert!(matches!(outcomes[3], Ok(Reply::Written(1))), "{outcomes:?}");
}
