//! The platform's object store, with injected faults.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use limpetdeck::hash::HashSet;
use limpetdeck::http::{HandlerFuture, Request, Response};
use limpetdeck::platform::{Era, Object, Revision};
use limpetdeck_platform::emulator::{
    MarkedObject, StoreCall, conflict_response, decode_call, events_response, object_response,
    page_response, status_response, with_era,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;

use crate::platform::Store;

/// Maximum number of objects on one page of a List response.
const PAGE_OBJECTS: usize = 500;
/// Interval at which an open watch checks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a call without a response is left open.
const HANG_TIME: Duration = Duration::from_secs(60);

/// How the store treats calls. The names go to the soak test's log through `Debug`.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StoreMode {
    /// Responds at once.
    #[default]
    Well,
    /// Neither executes calls nor responds.
    Silent,
    /// Refuses calls with a status, without executing them.
    Refuses(u16),
    /// Executes calls at once and responds after a delay.
    Late(Duration),
    /// Executes writes without a response.
    LosesAnswers,
    /// Executes writes after a delay, without a response.
    WritesLate(Duration),
}

/// What the store holds.
#[derive(Debug, Clone, Default)]
struct Contents {
    objects: Store,
    /// Names of the objects whose removal has begun.
    deleting: HashSet<String>,
}

/// The emulated store.
#[derive(Debug)]
pub struct ObjectStore {
    contents: Contents,
    /// Revision of the last compaction; earlier changes are no longer available.
    compacted_revision: Revision,
    /// Number of restores from a copy.
    era: Era,
    copy: Option<Contents>,
    /// Instances that have watched or polled since the last look.
    watching: HashSet<usize>,
    /// Mode for the calls of each instance. Writes by the operator and the servers bypass the
    /// modes.
    modes: Vec<StoreMode>,
}

/// The store, shared by its HTTP handlers and the emulated components.
pub type SharedStore = Rc<RefCell<ObjectStore>>;

impl ObjectStore {
    /// Creates an empty store for a number of instances.
    pub fn new(instances: usize) -> Self {
        let modes = vec![StoreMode::Well; instances];
        Self {
            contents: Contents::default(),
            compacted_revision: 0,
            era: 0,
            copy: None,
            watching: HashSet::default(),
            modes,
        }
    }

    /// Sets the mode for the calls of an instance.
    pub fn set_mode(&mut self, instance: usize, mode: StoreMode) {
        self.modes[instance] = mode;
    }

    /// Returns the instances that have watched or polled since the last call of this method, in
    /// ascending order.
    pub fn take_watching(&mut self) -> Vec<usize> {
        let mut watching: Vec<_> = self.watching.drain().collect();
        watching.sort_unstable();
        watching
    }

    /// Returns the mode for the calls of an instance.
    pub fn mode(&self, instance: usize) -> StoreMode {
        self.modes[instance]
    }

    /// Returns whether all instances are in [`StoreMode::Silent`].
    pub fn is_down(&self) -> bool {
        self.modes.iter().all(|mode| *mode == StoreMode::Silent)
    }

    /// Compacts the history: watches from earlier revisions get status 410.
    pub fn compact(&mut self) {
        self.compacted_revision = self.contents.objects.revision();
    }

    /// Copies all objects, for a later restore.
    pub fn take_copy(&mut self) {
        self.copy = Some(self.contents.clone());
    }

    /// Replaces all objects by the copy, if there is one. Later writes get revisions that were
    /// given out before, and no watch can continue from a revision that the copy does not have.
    pub fn restore_copy(&mut self) {
        if let Some(copy) = self.copy.take() {
            self.contents = copy;
            self.era += 1;
        }
    }

    /// Writes an object. An equal value does not change its revision.
    pub fn put(&mut self, name: &str, value: Value) {
        let unmarked = self.contents.deleting.remove(name);
        let current = self.contents.objects.get(name);
        if unmarked || current.is_none_or(|current| current.value != value) {
            self.write_value(name, value);
        }
    }

    /// Marks an object as being deleted, as the platform does before it removes the object.
    pub fn mark_deleting(&mut self, name: &str) {
        let current = self.contents.objects.get(name);
        if let Some(value) = current.map(|current| current.value.clone()) {
            self.contents.deleting.insert(name.to_owned());
            self.write_value(name, value);
        }
    }

    /// Returns whether an object exists and its removal has not begun.
    pub fn has(&self, name: &str) -> bool {
        self.contents.objects.get(name).is_some() && !self.contents.deleting.contains(name)
    }

    fn write_value(&mut self, name: &str, value: Value) {
        if let Err(e) = self.contents.objects.put(name, None, value) {
            log::error!(name = name, problem = format!("{e:?}").as_str(); "object_unwritten");
        }
    }

    /// Deletes an object, if it exists.
    pub fn remove(&mut self, name: &str) {
        if self.contents.objects.get(name).is_some() {
            self.put(name, Value::Null);
        }
    }

    fn object(&self, name: &str) -> Option<Object> {
        let revision = self.contents.objects.revision_of(name)?;
        let current = self.contents.objects.get(name)?;
        Some(Object { version: revision, ..current.clone() })
    }

    fn marked(&self, object: Object) -> MarkedObject {
        let deleting = self.contents.deleting.contains(&object.name);
        (object, deleting)
    }

    fn changes_since(&self, prefix: &str, after: Revision) -> Vec<MarkedObject> {
        let objects = &self.contents.objects;
        let mut changed = objects.changed_since(prefix, after).objects;
        for object in &mut changed {
            object.version = objects.revision_of(&object.name).unwrap_or(after);
        }
        changed.sort_by_key(|object| object.version);
        changed.into_iter().map(|object| self.marked(object)).collect()
    }

    fn list(&self, prefix: &str, after: &str) -> Response {
        let mut rest = self.contents.objects.list(prefix).objects;
        rest.retain(|object| object.name.as_str() > after);
        let more = rest.len() > PAGE_OBJECTS;
        let listed = rest.into_iter().take(PAGE_OBJECTS).filter_map(|o| self.object(&o.name));
        let listed: Vec<_> = listed.map(|object| self.marked(object)).collect();
        page_response(&listed, more, self.contents.objects.revision())
    }

    fn write(&mut self, name: &str, if_revision: Option<Revision>, value: Value) -> Response {
        match self.object(name) {
            Some(current) if if_revision.is_some_and(|wanted| wanted != current.version) => {
                conflict_response(&current)
            }
            None if if_revision.is_some() => status_response(404),
            _ => {
                self.put(name, value);
                self.object(name)
                    .map_or_else(|| status_response(200), |object| object_response(&object))
            }
        }
    }

    fn execute(&mut self, call: StoreCall) -> Response {
        let era = self.era;
        with_era(self.execute_call(call), era)
    }

    fn execute_call(&mut self, call: StoreCall) -> Response {
        match call {
            StoreCall::List { prefix, after } => self.list(prefix, &after),
            StoreCall::Get { name } => self
                .object(&name)
                .map_or_else(|| status_response(404), |object| object_response(&object)),
            StoreCall::Create { name, value } => match self.object(&name) {
                Some(current) => conflict_response(&current),
                None => self.write(&name, None, value),
            },
            StoreCall::Replace { name, if_revision, value } => {
                self.write(&name, if_revision, value)
            }
            StoreCall::Delete { name } => {
                self.remove(&name);
                status_response(200)
            }
            // Watches are handled in `respond`, because they wait.
            StoreCall::Watch { .. } => status_response(500),
        }
    }
}

/// Returns the HTTP handler for the calls of an instance.
pub fn handler(store: &SharedStore, instance: usize) -> impl Fn(Request) -> HandlerFuture + use<> {
    let store = Rc::clone(store);
    move |req| Box::pin(handle(Rc::clone(&store), instance, req))
}

async fn handle(store: SharedStore, instance: usize, req: Request) -> Response {
    let Some(call) = decode_call(&req) else { return status_response(404) };
    let mode = store.borrow().modes[instance];
    match mode {
        StoreMode::Silent => hang().await,
        StoreMode::Refuses(status) => status_response(status),
        StoreMode::LosesAnswers if call.is_write() => {
            store.borrow_mut().execute(call);
            hang().await
        }
        StoreMode::WritesLate(delay) if call.is_write() => {
            smol::Timer::after(delay).await;
            store.borrow_mut().execute(call);
            hang().await
        }
        StoreMode::Late(delay) => {
            // Executed before the delay, so that the response is outdated when it is sent.
            let response = respond(store, instance, call).await;
            smol::Timer::after(delay).await;
            response
        }
        StoreMode::Well | StoreMode::LosesAnswers | StoreMode::WritesLate(_) => {
            respond(store, instance, call).await
        }
    }
}

async fn respond(store: SharedStore, instance: usize, call: StoreCall) -> Response {
    let StoreCall::Watch { prefix, after, timeout } = call else {
        return store.borrow_mut().execute(call);
    };
    store.borrow_mut().watching.insert(instance);
    let mut remaining = timeout;
    let era = store.borrow().era;
    loop {
        {
            let store = store.borrow();
            if store.era != era {
                return with_era(status_response(503), store.era);
            }
            if after < store.compacted_revision || after > store.contents.objects.revision() {
                return with_era(status_response(410), era);
            }
            let changes = store.changes_since(prefix, after);
            if !changes.is_empty() || remaining.is_zero() {
                return with_era(events_response(&changes, store.contents.objects.revision()), era);
            }
        }
        smol::Timer::after(WATCH_POLL_INTERVAL).await;
        remaining = remaining.saturating_sub(WATCH_POLL_INTERVAL);
        let mode = store.borrow().modes[instance];
        match mode {
            StoreMode::Silent => return hang().await,
            StoreMode::Refuses(status) => return status_response(status),
            _ => {}
        }
    }
}

async fn hang() -> Response {
    smol::Timer::after(HANG_TIME).await;
    status_response(503)
}

/// Creates a random number generator for one component, seeded from another generator.
pub fn fork_rng(rng: &mut SmallRng) -> SmallRng {
    SmallRng::from_rng(rng)
}
