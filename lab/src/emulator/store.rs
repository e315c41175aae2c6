//! The platform's store on loopback, with its faults.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use limpetdeck::http::{HandlerFuture, Request, Response};
use limpetdeck::platform::{Object, Revision};
use limpetdeck_platform::emulator::{StoreCall, conflict, events, page, read_call, stored, tell};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::Value;

use crate::platform::Store;

/// Objects on one page of a list.
const PAGE: usize = 500;
/// Time between two looks of a waiting watch.
const WATCH_STEP: Duration = Duration::from_millis(20);
/// Time for which a call without an answer is left open.
const NEVER: Duration = Duration::from_secs(60);

/// How the store treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum StoreMode {
    /// Answers at once.
    #[default]
    Well,
    /// Answers nothing and does nothing.
    Silent,
    /// Refuses with a status, and does nothing.
    Refuses(u16),
    /// Answers late.
    Late(Duration),
    /// Does writes without an answer.
    LosesAnswers,
    /// Does writes late and without an answer.
    WritesLate(Duration),
}

/// The store.
#[derive(Debug)]
pub struct ObjectStore {
    objects: Store,
    /// Changes before this revision are forgotten.
    history: Revision,
    /// Mode for each instance; the operator and the servers use that of the first one.
    modes: Vec<StoreMode>,
}

/// The store as its callers share it.
pub type SharedStore = Rc<RefCell<ObjectStore>>;

impl ObjectStore {
    /// Makes an empty store for a number of instances.
    pub fn new(instances: usize) -> Self {
        let modes = vec![StoreMode::Well; instances];
        Self { objects: Store::default(), history: 0, modes }
    }

    /// Sets how the calls of an instance are treated.
    pub fn set_mode(&mut self, instance: usize, mode: StoreMode) {
        self.modes[instance] = mode;
    }

    /// Tells whether nobody gets an answer.
    pub fn is_down(&self) -> bool {
        self.modes.iter().all(|mode| *mode == StoreMode::Silent)
    }

    /// Forgets the history.
    pub fn compact(&mut self) {
        self.history = self.objects.revision();
    }

    /// Writes an object; writing what it says already changes nothing.
    pub fn put(&mut self, name: &str, value: Value) {
        if self.objects.get(name).is_some_and(|known| known.value == value) {
            return;
        }
        if let Err(e) = self.objects.put(name, None, value) {
            log::error!(name = name, problem = format!("{e:?}").as_str(); "object_unwritten");
        }
    }

    /// Takes an object off.
    pub fn remove(&mut self, name: &str) {
        if self.objects.get(name).is_some() {
            self.put(name, Value::Null);
        }
    }

    fn object(&self, name: &str) -> Option<Object> {
        let revision = self.objects.revision_of(name)?;
        let known = self.objects.get(name)?;
        Some(Object { version: revision, ..known.clone() })
    }

    fn since(&self, prefix: &str, after: Revision) -> Vec<Object> {
        let mut changed = self.objects.since(prefix, after).objects;
        for object in &mut changed {
            object.version = self.objects.revision_of(&object.name).unwrap_or(after);
        }
        changed.sort_by_key(|object| object.version);
        changed
    }

    fn list(&self, prefix: &str, after: &str) -> Response {
        let mut rest = self.objects.list(prefix).objects;
        rest.retain(|object| object.name.as_str() > after);
        let more = rest.len() > PAGE;
        let listed = rest.into_iter().take(PAGE).filter_map(|o| self.object(&o.name));
        page(&listed.collect::<Vec<_>>(), more, self.objects.revision())
    }

    fn write(&mut self, name: &str, if_revision: Option<Revision>, value: Value) -> Response {
        match self.object(name) {
            Some(known) if if_revision.is_some_and(|wanted| wanted != known.version) => {
                conflict(&known)
            }
            None if if_revision.is_some() => tell(404),
            _ => {
                self.put(name, value);
                self.object(name).map_or_else(|| tell(200), |object| stored(&object))
            }
        }
    }

    fn run(&mut self, call: StoreCall) -> Response {
        match call {
            StoreCall::List { prefix, after } => self.list(prefix, &after),
            StoreCall::Get { name } => {
                self.object(&name).map_or_else(|| tell(404), |object| stored(&object))
            }
            StoreCall::Create { name, value } => match self.object(&name) {
                Some(known) => conflict(&known),
                None => self.write(&name, None, value),
            },
            StoreCall::Replace { name, if_revision, value } => {
                self.write(&name, if_revision, value)
            }
            StoreCall::Delete { name } => {
                self.remove(&name);
                tell(200)
            }
            // Watches wait, which the caller of this does.
            StoreCall::Watch { .. } => tell(500),
        }
    }
}

/// Returns what answers the calls of an instance.
pub fn handler(store: &SharedStore, instance: usize) -> impl Fn(Request) -> HandlerFuture + use<> {
    let store = Rc::clone(store);
    move |req| Box::pin(answer(Rc::clone(&store), instance, req))
}

async fn answer(store: SharedStore, instance: usize, req: Request) -> Response {
    let Some(call) = read_call(&req) else { return tell(404) };
    let mode = store.borrow().modes[instance];
    match mode {
        StoreMode::Silent => no_answer().await,
        StoreMode::Refuses(status) => tell(status),
        StoreMode::LosesAnswers if call.writes() => {
            store.borrow_mut().run(call);
            no_answer().await
        }
        StoreMode::WritesLate(delay) if call.writes() => {
            smol::Timer::after(delay).await;
            store.borrow_mut().run(call);
            no_answer().await
        }
        StoreMode::Late(delay) => {
            // The answer is old by the time it comes.
            let answer = done(store, instance, call).await;
            smol::Timer::after(delay).await;
            answer
        }
        StoreMode::Well | StoreMode::LosesAnswers | StoreMode::WritesLate(_) => {
            done(store, instance, call).await
        }
    }
}

async fn done(store: SharedStore, instance: usize, call: StoreCall) -> Response {
    let StoreCall::Watch { prefix, after, wait } = call else {
        return store.borrow_mut().run(call);
    };
    let mut left = wait;
    loop {
        {
            let store = store.borrow();
            if after < store.history {
                return tell(410);
            }
            let changes = store.since(prefix, after);
            if !changes.is_empty() || left.is_zero() {
                return events(&changes, store.objects.revision());
            }
        }
        smol::Timer::after(WATCH_STEP).await;
        left = left.saturating_sub(WATCH_STEP);
        let mode = store.borrow().modes[instance];
        match mode {
            StoreMode::Silent => return no_answer().await,
            StoreMode::Refuses(status) => return tell(status),
            _ => {}
        }
    }
}

async fn no_answer() -> Response {
    smol::Timer::after(NEVER).await;
    tell(503)
}

/// Makes the source of a part's random numbers.
pub fn fork(rng: &mut SmallRng) -> SmallRng {
    SmallRng::from_rng(rng)
}
