//! A server: takes flows over UDP, answers health checks over TCP.

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::journal::{Journal, Route, Taken};
use crate::wire::{ACK, FIN, Packet, RST, SYN};

/// Flows that a server holds at most.
pub const MAX_FLOWS: usize = 4_286;

/// What a server is.
#[derive(Debug, Clone)]
pub struct Identity {
    pub key: u64,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub born: u64,
}

impl Identity {
    pub fn name(&self) -> String {
        format!("i-{:010x}", self.key)
    }

    /// Returns the server's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"ConcurrencyLimit\":3,\"State\":\"{state}\",\"ColdRemainingMs\":0,\"Sequence\":1,\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }
}

#[derive(Debug)]
struct Flow {
    client_seq: u32,
    server_seq: u32,
    is_open: bool,
    received: u32,
    next: u32,
    answered: HashMap<u32, (u32, Vec<u8>)>,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    pub identity: Identity,
    /// Whether the case has let it drain.
    pub is_draining: AtomicBool,
    /// Whether it has left: it takes nothing more.
    pub is_gone: Arc<AtomicBool>,
}

type FlowKey = (Route, Route);

impl Server {
    /// Starts a server. `client_port` is the UDP port at which clients get packets.
    pub fn start(identity: Identity, client_port: u16, journal: Journal) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(identity.address)?;
        let listener = TcpListener::bind(identity.address)?;
        let is_gone = Arc::new(AtomicBool::new(false));
        let health_is_gone = Arc::clone(&is_gone);
        thread::spawn(move || answer_health(&listener, &health_is_gone));
        let mut worker = Worker {
            identity: identity.clone(),
            socket,
            client_port,
            journal,
            is_gone: Arc::clone(&is_gone),
            flows: HashMap::new(),
            ended: HashSet::new(),
            next_seq: identity.key as u32 ^ 0x1357_9bdf,
        };
        thread::spawn(move || worker.run());
        Ok(Self { identity, is_draining: AtomicBool::new(false), is_gone })
    }
}

fn answer_health(listener: &TcpListener, is_gone: &AtomicBool) {
    for mut stream in listener.incoming().flatten() {
        if is_gone.load(Ordering::Relaxed) {
            return;
        }
        thread::spawn(move || {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let mut buf = [0; 1_024];
            if stream.read(&mut buf).is_ok_and(|n| n > 0) {
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        });
    }
}

struct Worker {
    identity: Identity,
    socket: UdpSocket,
    client_port: u16,
    journal: Journal,
    is_gone: Arc<AtomicBool>,
    flows: HashMap<FlowKey, Flow>,
    ended: HashSet<FlowKey>,
    next_seq: u32,
}

impl Worker {
    fn run(&mut self) {
        let mut buf = [0; 2_048];
        loop {
            let Ok((len, _)) = self.socket.recv_from(&mut buf) else { continue };
            if len < 8 || self.is_gone.load(Ordering::Relaxed) {
                continue;
            }
            let key = u64::from_be_bytes(buf[..8].try_into().unwrap());
            if key != 0 && key != self.identity.key {
                continue;
            }
            let Some((packet, is_right)) = Packet::decode(&buf[8..len]) else { continue };
            if !is_right {
                self.journal.violation(format!("UNASKED {} got {packet:?}", self.identity.name()));
                continue;
            }
            self.receive(&packet);
        }
    }

    fn receive(&mut self, packet: &Packet) {
        let key = (packet.src, packet.dst);
        if packet.flags & SYN != 0 {
            return self.open(key, packet);
        }
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            self.ended.insert(key);
            return;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            if self.ended.contains(&key) && packet.data.is_empty() {
                return;
            }
            self.send(packet, RST, packet.ack, 0, Vec::new());
            return;
        };
        if !flow.is_open {
            if packet.ack != flow.server_seq.wrapping_add(1) {
                return;
            }
            flow.is_open = true;
        }
        if !packet.data.is_empty() {
            let is_new = packet.seq == flow.received;
            if is_new {
                flow.received = flow.received.wrapping_add(packet.data.len() as u32);
                let text = String::from_utf8_lossy(&packet.data).into_owned();
                let id = text.split("Request-Id: ").nth(1).and_then(|r| r.split('\r').next());
                let id = id.unwrap_or("?").to_owned();
                let name = self.identity.name();
                let body = format!("{name} {id}");
                let response = format!(
                    "HTTP/1.1 200 OK\r\nX-Limpetdeck-Response-Stamp: {id}\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                self.journal.note(format!("run {id} at {name} of {}", self.identity.service));
                let at = flow.next;
                flow.next = at.wrapping_add(response.len() as u32);
                flow.answered.insert(packet.seq, (at, response.into_bytes()));
            }
            let Some((seq, response)) = flow.answered.get(&packet.seq).cloned() else { return };
            let ack = flow.received;
            self.send(packet, ACK, seq, ack, response);
        }
        if packet.flags & FIN != 0 {
            let seq = packet.ack;
            let ack = packet.seq.wrapping_add(1);
            self.send(packet, FIN | ACK, seq, ack, Vec::new());
            self.flows.remove(&key);
            self.ended.insert(key);
        }
    }

    fn open(&mut self, key: FlowKey, packet: &Packet) {
        if packet.flags & ACK != 0 {
            return;
        }
        let known = self.flows.get(&key).is_some_and(|flow| flow.client_seq == packet.seq);
        if !known {
            if self.flows.len() >= MAX_FLOWS {
                let name = self.identity.name();
                let (port, copy) = (packet.src.1, packet.ack);
                self.journal.note(format!("{name} is full: nothing for {port}, copy {copy}"));
                return;
            }
            self.next_seq = self.next_seq.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let flow = Flow {
                client_seq: packet.seq,
                server_seq: self.next_seq,
                is_open: false,
                received: packet.seq.wrapping_add(1),
                next: self.next_seq.wrapping_add(1),
                answered: HashMap::new(),
            };
            self.flows.insert(key, flow);
            let at = self.journal.started.elapsed();
            let server = self.identity.name();
            let client_port = packet.src.1;
            self.journal.take(Taken { at, server, client_port });
        }
        let server_seq = self.flows[&key].server_seq;
        self.send(packet, SYN | ACK, server_seq, packet.seq.wrapping_add(1), Vec::new());
    }

    /// Answers a client's packet directly, with the echo that came with it.
    fn send(&self, to: &Packet, flags: u8, seq: u32, ack: u32, data: Vec<u8>) {
        let answer = Packet { echo: to.echo, seq, ack, flags, dst: to.src, src: to.dst, data };
        let client: Ipv4Addr = to.src.0;
        let _ = self.socket.send_to(&answer.encode(), SocketAddrV4::new(client, self.client_port));
    }
}
