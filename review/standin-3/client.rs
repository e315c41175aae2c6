//! A client that opens a flow for each request, as PROTOCOL.md says.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4, UdpSocket};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::journal::{Journal, Route};
use crate::wire::{ACK, FIN, Packet, RST, SYN};

const COPIES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const OPENING: Duration = Duration::from_millis(1_400);
const DEADLINE: Duration = Duration::from_millis(2_500);
/// Time after which a packet is sent again; it doubles up to the second value.
const AGAIN: Duration = Duration::from_millis(200);
const LONGEST_AGAIN: Duration = Duration::from_millis(1_600);
/// Pause between two requests on one flow.
const PAUSE: Duration = Duration::from_millis(40);

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The system reset the flow before it was open.
    Refused,
    /// The flow was not opened in time.
    Unopened,
    /// The system reset the open flow.
    ResetOpen,
    /// The server reset the flow.
    ResetByServer,
    /// No answer came in time.
    Unanswered,
    /// The server answered.
    Served(String),
}

/// A request with the times at which its opening packets were sent.
#[derive(Debug, Clone)]
pub struct Report {
    pub port: u16,
    pub sent: Vec<Instant>,
    pub outcome: Outcome,
    pub ended: Instant,
}

type Arrivals = Arc<Mutex<HashMap<u16, Sender<Vec<u8>>>>>;

/// A client host with one address.
#[derive(Debug, Clone)]
pub struct Client {
    ip: Ipv4Addr,
    socket: Arc<UdpSocket>,
    flows: Arrivals,
    next_port: Arc<Mutex<u16>>,
    journal: Journal,
}

impl Client {
    pub fn start(ip: Ipv4Addr, port: u16, journal: Journal) -> std::io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(SocketAddrV4::new(ip, port))?);
        let flows = Arrivals::default();
        let (reader, arrivals) = (Arc::clone(&socket), Arc::clone(&flows));
        thread::spawn(move || {
            let mut buf = [0; 2_048];
            loop {
                let Ok((len, _)) = reader.recv_from(&mut buf) else { continue };
                let Some((packet, _)) = Packet::decode(&buf[..len]) else { continue };
                if let Some(flow) = arrivals.lock().unwrap().get(&packet.dst.1) {
                    let _ = flow.send(buf[..len].to_vec());
                }
            }
        });
        Ok(Self { ip, socket, flows, next_port: Arc::new(Mutex::new(10_000)), journal })
    }

    /// Sends one request. `router` names the node that gets each packet.
    pub fn request(&self, route: Route, id: &str, router: impl Fn() -> SocketAddrV4) -> Report {
        self.requests(route, id, Instant::now(), router)
    }

    /// Sends requests on one flow until a time, with pauses between them, and at least one.
    pub fn requests(
        &self,
        route: Route,
        id: &str,
        until: Instant,
        router: impl Fn() -> SocketAddrV4,
    ) -> Report {
        let port = {
            let mut next = self.next_port.lock().unwrap();
            *next += 1;
            *next
        };
        let (tx, rx) = channel();
        self.flows.lock().unwrap().insert(port, tx);
        let (sent, outcome) = self.run(route, id, port, until, &rx, &router);
        self.flows.lock().unwrap().remove(&port);
        self.journal.note(format!("end {id} port {port}: {outcome:?}"));
        Report { port, sent, outcome, ended: Instant::now() }
    }

    fn run(
        &self,
        route: Route,
        id: &str,
        port: u16,
        until: Instant,
        rx: &Receiver<Vec<u8>>,
        router: &impl Fn() -> SocketAddrV4,
    ) -> (Vec<Instant>, Outcome) {
        let mut begin = Instant::now();
        let first_seq = u32::from(port).wrapping_mul(2_654_435_761);
        let src = (self.ip, port);
        let send = |packet: &Packet| {
            let _ = self.socket.send_to(&packet.encode(), router());
        };
        let mut sent = Vec::new();
        let (mut ack, mut echo) = (0, 0);
        let mut is_open = false;
        let mut next_try = begin;
        let mut again = AGAIN;
        let mut number = 0;
        let mut request = encode_request(route, id, number);
        let mut seq = first_seq.wrapping_add(1);
        loop {
            let now = Instant::now();
            if !is_open && sent.len() < COPIES.len() && now >= begin + COPIES[sent.len()] {
                let copies = sent.len() as u32;
                let syn = Packet {
                    echo: 0,
                    seq: first_seq,
                    ack: copies,
                    flags: SYN,
                    dst: route,
                    src,
                    data: vec![],
                };
                sent.push(now);
                send(&syn);
                self.journal.note(format!("open {id} port {port} to {route:?} copy {copies}"));
            }
            if !is_open && now >= begin + OPENING {
                return (sent, Outcome::Unopened);
            }
            if now >= begin + DEADLINE {
                return (sent, Outcome::Unanswered);
            }
            if is_open && now >= next_try {
                next_try = now + again;
                again = (again * 2).min(LONGEST_AGAIN);
                let data = request.clone().into_bytes();
                send(&Packet { echo, seq, ack, flags: ACK, dst: route, src, data });
            }
            let buf = match rx.recv_timeout(Duration::from_millis(10)) {
                Ok(buf) => buf,
                Err(RecvTimeoutError::Timeout) => continue,
                Err(RecvTimeoutError::Disconnected) => return (sent, Outcome::Unanswered),
            };
            let Some((packet, is_right)) = Packet::decode(&buf) else { continue };
            if packet.flags & RST != 0 {
                let distance = packet.seq.wrapping_sub(ack);
                let is_near = distance.min(distance.wrapping_neg()) <= 76_800;
                let outcome = match (Packet::is_system_reset(&buf), is_open) {
                    (true, false) => Outcome::Refused,
                    (true, true) if is_near => Outcome::ResetOpen,
                    (true, true) => continue,
                    (false, _) => Outcome::ResetByServer,
                };
                return (sent, outcome);
            }
            if !is_right {
                self.journal.violation(format!("MIXED {id} got {packet:?}"));
                continue;
            }
            if packet.flags & SYN != 0 {
                if !is_open {
                    is_open = true;
                    (ack, echo) = (packet.seq.wrapping_add(1), packet.echo);
                    next_try = Instant::now();
                }
                continue;
            }
            if !is_open {
                continue;
            }
            echo = packet.echo;
            if !packet.data.is_empty() && packet.seq == ack {
                ack = ack.wrapping_add(packet.data.len() as u32);
                seq = seq.wrapping_add(request.len() as u32);
                if Instant::now() < until {
                    send(&Packet { echo, seq, ack, flags: ACK, dst: route, src, data: vec![] });
                    number += 1;
                    request = encode_request(route, id, number);
                    begin = Instant::now();
                    next_try = begin + PAUSE;
                    again = AGAIN;
                    continue;
                }
                send(&Packet { echo, seq, ack, flags: FIN | ACK, dst: route, src, data: vec![] });
                let text = String::from_utf8_lossy(&packet.data);
                let body = text.split("\r\n\r\n").nth(1).unwrap_or("").to_owned();
                return (sent, Outcome::Served(body));
            }
        }
    }
}

fn encode_request(route: Route, id: &str, number: u32) -> String {
    format!("GET / HTTP/1.1\r\nHost: {}\r\nX-Limpetdeck-Request-Id: {id}.{number}\r\n\r\n", route.0)
}
