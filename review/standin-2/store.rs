//! The platform's store, as `PROTOCOL.md` describes it: objects by kind and name, lists, watches,
//! writes under a condition, and a history that is kept for `HistoryS`.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The time that the store takes for an answer (`SYSTEM.md`: 4 ms).
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// `HistoryS` of the settings.
pub const HISTORY: Duration = Duration::from_secs(20);
/// Objects on a page of a list, and bytes of them (`PROTOCOL.md`: "about 500 or 1 MB at most").
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: Arc<String>,
    status: Arc<String>,
}

struct Event {
    at: Instant,
    revision: u64,
    kind: String,
    name: String,
    deleted: bool,
    object: Object,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
    /// Watches from before this revision get 410.
    compacted: u64,
    /// Largest answer to a watch so far, in bytes and in events.
    largest_watch: (usize, usize),
    /// `Store-Era`; 0 if the deployment has no drills, and then there is no such header.
    era: u64,
    /// Whether the store is away: it takes no calls, and open connections have gone silent.
    is_away: bool,
    /// Rises when the store goes away: calls from before it get no answer.
    generation: u64,
    /// The copy that the store comes back from in a drill.
    copy: Option<(u64, BTreeMap<(String, String), Object>)>,
    /// Lists and watches of each kind so far.
    reads: BTreeMap<String, usize>,
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    /// Bytes of objects in one answer to a watch; none for no limit, as the pages name none.
    watch_bytes: Option<usize>,
}

impl Store {
    pub fn new(watch_bytes: Option<usize>) -> Arc<Self> {
        let state = State { revision: 500, ..State::default() };
        Arc::new(Self { state: Mutex::new(state), changed: Condvar::new(), watch_bytes })
    }

    /// Writes the spec of an object. The return is the acknowledgement.
    pub fn write(&self, kind: &str, name: &str, spec: String) -> u64 {
        let mut state = self.state.lock().unwrap();
        let revision = state.put(kind, name, spec);
        drop(state);
        self.changed.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
    }

    /// Lets the deployment have drills: all answers carry an era from now on.
    pub fn set_era(&self, era: u64) {
        self.state.lock().unwrap().era = era;
    }

    /// Takes the copy from which the store will come back.
    pub fn take_copy(&self) {
        let mut state = self.state.lock().unwrap();
        state.copy = Some((state.revision, state.objects.clone()));
    }

    /// Begins a drill: the store is away.
    pub fn go_away(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_away = true;
        state.generation += 1;
        drop(state);
        self.changed.notify_all();
    }

    /// Comes back from the copy, with the next era.
    pub fn come_back(&self) {
        let mut state = self.state.lock().unwrap();
        if let Some((revision, objects)) = state.copy.take() {
            (state.revision, state.objects) = (revision, objects);
            state.history.clear();
            state.compacted = revision;
        }
        state.era += 1;
        state.is_away = false;
    }

    /// Returns the number of lists and watches of a kind so far.
    pub fn reads(&self, kind: &str) -> usize {
        self.state.lock().unwrap().reads.get(kind).copied().unwrap_or_default()
    }

    pub fn largest_watch(&self) -> (usize, usize) {
        self.state.lock().unwrap().largest_watch
    }

    /// Serves calls at an address.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&store);
                thread::spawn(move || {
                    let _ = store.serve_connection(stream);
                });
            }
        });
    }

    fn serve_connection(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let mut words = line.split_whitespace();
            let method = words.next().unwrap_or_default().to_owned();
            let path = words.next().unwrap_or_default().to_owned();
            let mut length = 0;
            loop {
                let mut header = String::new();
                reader.read_line(&mut header)?;
                let header = header.trim_end().to_ascii_lowercase();
                if header.is_empty() {
                    break;
                }
                if let Some(value) = header.strip_prefix("content-length:") {
                    length = value.trim().parse().unwrap_or(0);
                }
            }
            let mut body = vec![0; length];
            reader.read_exact(&mut body)?;
            let generation = {
                let state = self.state.lock().unwrap();
                if state.is_away {
                    return Ok(());
                }
                state.generation
            };
            let (status, body) = self.answer(&method, &path, &String::from_utf8_lossy(&body));
            thread::sleep(ANSWER_TIME);
            let era = {
                let state = self.state.lock().unwrap();
                if state.generation != generation {
                    drop(state);
                    // The connection is silent for good: the machine at its other end is gone.
                    thread::sleep(Duration::from_secs(120));
                    return Ok(());
                }
                state.era
            };
            let era = if era > 0 { format!("Store-Era: {era}\r\n") } else { String::new() };
            let reason = if status < 300 { "OK" } else { "Refused" };
            let head = format!(
                "HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\n{era}Content-Length: {}\r\n\r\n",
                body.len()
            );
            out.write_all(head.as_bytes())?;
            out.write_all(body.as_bytes())?;
        }
    }

    fn answer(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let Some(rest) = path.strip_prefix("/limpetdeck/objects/") else {
            return (404, "{}".to_owned());
        };
        let query =
            |key: &str| query.split('&').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
        let mut parts = rest.split('/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        if (method, name) == ("GET", None) {
            *self.state.lock().unwrap().reads.entry(kind.to_owned()).or_default() += 1;
        }
        match (method, name) {
            ("GET", None) => match query("Watch").and_then(|at| at.parse().ok()) {
                Some(at) => {
                    let wait = query("WaitMs").and_then(|ms| ms.parse().ok()).unwrap_or(0);
                    self.watch(kind, at, Duration::from_millis(wait))
                }
                None => self.list(kind, query("after").unwrap_or_default()),
            },
            ("GET", Some(name)) => {
                let state = self.state.lock().unwrap();
                match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    Some(object) => (200, to_json(name, object)),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST" | "PUT", _) => self.put(method, kind, name, parts.next(), body),
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }

    fn put(
        &self,
        method: &str,
        kind: &str,
        name: Option<&str>,
        part: Option<&str>,
        body: &str,
    ) -> (u16, String) {
        let meta = member(body, "meta").unwrap_or("{}");
        let text = |raw: &str| raw.trim().trim_matches('"').to_owned();
        let name = match name {
            Some(name) => name.to_owned(),
            None => member(meta, "Name").map(text).unwrap_or_default(),
        };
        let condition: Option<u64> = member(meta, "Revision").and_then(|r| r.trim().parse().ok());
        let mut state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.clone());
        match state.objects.get(&key) {
            Some(known) if method == "POST" => return (409, to_json(&name, known)),
            Some(known) if condition.is_some_and(|revision| revision != known.revision) => {
                return (409, to_json(&name, known));
            }
            None if method == "PUT" => return (404, "{}".to_owned()),
            _ => {}
        }
        if part != Some("status") {
            state.put(kind, &name, member(body, "spec").unwrap_or("null").to_owned());
        }
        let answer = to_json(&name, &state.objects[&key]);
        drop(state);
        self.changed.notify_all();
        (200, answer)
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.state.lock().unwrap();
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for ((of, name), object) in &state.objects {
            if of != kind || (!after.is_empty() && name.as_str() <= after) {
                continue;
            }
            let item = to_json(name, object);
            if items.len() >= PAGE_ITEMS || (!items.is_empty() && bytes + item.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += item.len();
            items.push(item);
        }
        let items = items.join(",");
        let revision = state.revision;
        (200, format!(r#"{{"items":[{items}],"More":{more},"StoreRevision":{revision}}}"#))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        let generation = state.generation;
        loop {
            if state.generation != generation {
                // There will be no answer.
                return (503, "{}".to_owned());
            }
            state.drop_history();
            if after < state.compacted || after > state.revision {
                return (410, "{}".to_owned());
            }
            let mut revision = state.revision;
            let mut events: Vec<String> = Vec::new();
            let mut bytes = 0;
            let new = state.history.iter().filter(|e| e.kind == kind && e.revision > after);
            for event in new {
                let json = format!(
                    r#"{{"Deleted":{},"Object":{}}}"#,
                    event.deleted,
                    to_json(&event.name, &event.object)
                );
                let is_full = self.watch_bytes.is_some_and(|limit| bytes + json.len() > limit);
                if is_full && !events.is_empty() {
                    break;
                }
                bytes += json.len();
                events.push(json);
                revision = if self.watch_bytes.is_some() { event.revision } else { revision };
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                if events.is_empty() {
                    revision = state.revision;
                }
                state.largest_watch = state.largest_watch.max((bytes, events.len()));
                let events = events.join(",");
                return (200, format!(r#"{{"events":[{events}],"StoreRevision":{revision}}}"#));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: String) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        // A PUT that changes nothing does not increase the revision.
        if let Some(known) = known.filter(|known| *known.spec == spec) {
            return known.revision;
        }
        let created = known.map_or(self.revision + 1, |known| known.created);
        self.revision += 1;
        let status = Arc::new("null".to_owned());
        let object = Object { revision: self.revision, created, spec: Arc::new(spec), status };
        self.objects.insert(key, object.clone());
        self.record(kind, name, false, object);
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            self.record(kind, name, true, object);
        }
    }

    fn record(&mut self, kind: &str, name: &str, deleted: bool, object: Object) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        let (at, revision) = (Instant::now(), self.revision);
        self.history.push(Event { at, revision, kind, name, deleted, object });
    }

    fn drop_history(&mut self) {
        let now = Instant::now();
        let old = self.history.iter().take_while(|event| now > event.at + HISTORY).count();
        if let Some(last) = self.history.drain(..old).next_back() {
            self.compacted = last.revision;
        }
    }
}

fn to_json(name: &str, object: &Object) -> String {
    let Object { revision, created, spec, status } = object;
    format!(
        r#"{{"meta":{{"Name":"{name}","Revision":{revision},"Created":{created},"Finalizers":[],"Deleting":false}},"spec":{spec},"status":{status}}}"#
    )
}

/// Returns the text of a member of a JSON object.
fn member<'a>(json: &'a str, name: &str) -> Option<&'a str> {
    let bytes = json.as_bytes();
    let mut at = json.find('{')? + 1;
    loop {
        at += json[at..].find('"')?;
        let end = value_end(bytes, at)?;
        let key = &json[at + 1..end - 1];
        at = end + json[end..].find(':')? + 1;
        while bytes.get(at)?.is_ascii_whitespace() {
            at += 1;
        }
        let end = value_end(bytes, at)?;
        if key == name {
            return Some(&json[at..end]);
        }
        at = end;
    }
}

/// Returns the end of the JSON value that begins at a position.
fn value_end(bytes: &[u8], from: usize) -> Option<usize> {
    let (mut depth, mut at, mut quoted) = (0, from, false);
    while at < bytes.len() {
        match bytes[at] {
            b'\\' if quoted => at += 1,
            b'"' => {
                quoted = !quoted;
                if !quoted && depth == 0 {
                    return Some(at + 1);
                }
            }
            _ if quoted => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return Some(at),
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return Some(at + 1);
                }
            }
            b',' if depth == 0 => return Some(at),
            _ => {}
        }
        at += 1;
    }
    Some(at)
}
