//! The platform's metadata store: lists, watches and writes over HTTP/1.1, as PROTOCOL.md says.

use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(4);
const PAGE: usize = 500;

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    kinds: HashMap<String, BTreeMap<String, Object>>,
    /// All changes: revision, kind, name, the object, and whether it was deleted.
    events: Vec<(u64, String, String, String, bool)>,
    /// Connections that were opened before this moment say nothing any more.
    silent_before: Option<Instant>,
    /// Watches that wait now, by kind.
    watches: HashMap<String, usize>,
}

/// A store that many threads use.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts a store at an address.
    pub fn start(address: SocketAddrV4) -> std::io::Result<Self> {
        let state = State { revision: 100, ..State::default() };
        let store = Self { shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let listener = TcpListener::bind(address)?;
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream, Instant::now()));
            }
        });
        Ok(store)
    }

    /// Writes an object for the operator or a server. Returns when the store has acknowledged it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.shared.0.lock().unwrap();
        write(&mut state, kind, name, spec);
        self.shared.1.notify_all();
        Instant::now()
    }

    /// Removes an object for the operator or a server.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let known = state.kinds.get_mut(kind).and_then(|objects| objects.remove(name));
        let Some(object) = known else { return };
        state.revision += 1;
        let (revision, text) = (state.revision, encode(name, &object));
        state.events.push((revision, kind.to_owned(), name.to_owned(), text, true));
        self.shared.1.notify_all();
    }

    /// Lets all connections that are open now go silent for good; new ones work.
    pub fn silence_open_connections(&self) -> Instant {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        state.silent_before = Some(now);
        self.shared.1.notify_all();
        now
    }

    /// Returns the number of watches of a kind that wait now.
    pub fn waiting_watches(&self, kind: &str) -> usize {
        self.shared.0.lock().unwrap().watches.get(kind).copied().unwrap_or(0)
    }

    fn is_silent(&self, born: Instant) -> bool {
        self.shared.0.lock().unwrap().silent_before.is_some_and(|at| born <= at)
    }

    fn serve(&self, mut stream: TcpStream, born: Instant) {
        let mut buf = Vec::new();
        loop {
            let Some((head, body)) = read_request(&mut stream, &mut buf) else { return };
            let (status, answer) = self.answer(&head, &body, born);
            thread::sleep(ANSWER);
            if self.is_silent(born) {
                // The connection stays open, and nothing comes any more.
                loop {
                    thread::sleep(Duration::from_secs(3_600));
                }
            }
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 0\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &str, body: &str, born: Instant) -> (u16, String) {
        let mut words = head.split_whitespace();
        let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|q| q.split_once('=')).collect();
        let Some(rest) = path.strip_prefix("/limpetdeck/objects/") else {
            return (404, "{}".to_owned());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        match method {
            "GET" if name.is_empty() && query.contains_key("Watch") => {
                let number = |key| query.get(key).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
                self.watch(kind, number("Watch"), Duration::from_millis(number("WaitMs")), born)
            }
            "GET" if name.is_empty() => self.list(kind, query.get("after").unwrap_or(&"")),
            "GET" => {
                let state = self.shared.0.lock().unwrap();
                let object = state.kinds.get(kind).and_then(|objects| objects.get(name));
                object.map_or((404, "{}".to_owned()), |object| (200, encode(name, object)))
            }
            _ => self.change(method, kind, name, body),
        }
    }

    fn change(&self, method: &str, kind: &str, name: &str, body: &str) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        let name = if method == "POST" { text_after(body, "\"Name\":") } else { name.to_owned() };
        let known = state.kinds.get(kind).and_then(|objects| objects.get(&name)).cloned();
        if method == "DELETE" {
            let Some(object) = known else { return (404, "{}".to_owned()) };
            state.revision += 1;
            let revision = state.revision;
            if let Some(objects) = state.kinds.get_mut(kind) {
                objects.remove(&name);
            }
            let text = encode(&name, &object);
            state.events.push((revision, kind.to_owned(), name, text, true));
            self.shared.1.notify_all();
            return (200, "{}".to_owned());
        }
        match (method, &known) {
            ("POST", Some(object)) => return (409, encode(&name, object)),
            ("PUT", None) => return (404, "{}".to_owned()),
            ("PUT", Some(object)) => {
                let wanted = body.split_once("\"Revision\":").map(|(_, rest)| digits(rest));
                if wanted.is_some_and(|wanted| wanted != object.revision) {
                    return (409, encode(&name, object));
                }
            }
            _ => {}
        }
        let spec = value_after(body, "\"spec\":").unwrap_or("null".to_owned());
        write(&mut state, kind, &name, &spec);
        let text = encode(&name, &state.kinds[kind][&name]);
        self.shared.1.notify_all();
        (200, text)
    }

    fn list(&self, kind: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let empty = BTreeMap::new();
        let objects = state.kinds.get(kind).unwrap_or(&empty);
        let rest: Vec<_> = objects.iter().filter(|(name, _)| name.as_str() > after).collect();
        let page: Vec<_> =
            rest.iter().take(PAGE).map(|(name, object)| encode(name, object)).collect();
        let more = rest.len() > PAGE;
        let (items, revision) = (page.join(","), state.revision);
        (200, format!("{{\"items\":[{items}],\"More\":{more},\"StoreRevision\":{revision}}}"))
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration, born: Instant) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        if after > state.revision {
            return (410, "{}".to_owned());
        }
        loop {
            let found = state.events.iter().filter(|e| e.0 > after && e.1 == kind);
            let found: Vec<_> =
                found.map(|e| format!("{{\"Deleted\":{},\"Object\":{}}}", e.4, e.3)).collect();
            let now = Instant::now();
            let is_silent = state.silent_before.is_some_and(|at| born <= at);
            if !found.is_empty() || now >= until || is_silent {
                let (events, revision) = (found.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}"));
            }
            *state.watches.entry(kind.to_owned()).or_default() += 1;
            state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
            *state.watches.entry(kind.to_owned()).or_default() -= 1;
        }
    }
}

fn write(state: &mut State, kind: &str, name: &str, spec: &str) {
    let objects = state.kinds.entry(kind.to_owned()).or_default();
    if objects.get(name).is_some_and(|object| object.spec == spec) {
        return;
    }
    state.revision += 1;
    let created = objects.get(name).map_or(state.revision, |object| object.created);
    let object = Object { revision: state.revision, created, spec: spec.to_owned() };
    let text = encode(name, &object);
    objects.insert(name.to_owned(), object);
    state.events.push((state.revision, kind.to_owned(), name.to_owned(), text, false));
}

fn encode(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"Name\":\"{name}\",\"Revision\":{},\"Created\":{},\"Finalizers\":[],\"Deleting\":false}},\"spec\":{},\"status\":null}}",
        object.revision, object.created, object.spec
    )
}

fn digits(text: &str) -> u64 {
    let text = text.trim_start();
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    text[..end].parse().unwrap_or(0)
}

fn text_after(body: &str, key: &str) -> String {
    let rest = body.split_once(key).map_or("", |(_, rest)| rest).trim_start();
    rest.trim_start_matches('"').split('"').next().unwrap_or("").to_owned()
}

/// Returns the JSON value that follows a key.
fn value_after(body: &str, key: &str) -> Option<String> {
    let (_, rest) = body.split_once(key)?;
    let (mut depth, mut in_text, mut escaped) = (0, false, false);
    for (at, c) in rest.char_indices() {
        match c {
            _ if escaped => escaped = false,
            '\\' if in_text => escaped = true,
            '"' => in_text = !in_text,
            '{' | '[' if !in_text => depth += 1,
            '}' | ']' | ',' if !in_text && depth == 0 => return Some(rest[..at].to_owned()),
            '}' | ']' if !in_text => depth -= 1,
            _ => {}
        }
    }
    None
}

/// Reads one request: its first line, and its body.
fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(String, String)> {
    let mut part = [0; 8_192];
    loop {
        if let Some(end) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            let total = end + 4 + length.unwrap_or(0);
            if buf.len() >= total {
                let body = String::from_utf8_lossy(&buf[end + 4..total]).into_owned();
                buf.drain(..total);
                return Some((head.lines().next().unwrap_or("").to_owned(), body));
            }
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(n) => buf.extend_from_slice(&part[..n]),
        }
    }
}
