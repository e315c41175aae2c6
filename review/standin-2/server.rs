//! A server of the users' services: packets over UDP and the health check over TCP at one address.

use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::wire::{ACK, FIN, Origin, Packet, RST, SYN};

/// Time after which a packet without acknowledgement is sent again, and its largest value.
const FIRST_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_millis(1_600);
const MAX_RETRIES: u32 = 8;

pub type FlowId = (SocketAddrV4, SocketAddrV4);

/// What a server has seen.
#[derive(Debug, Clone)]
pub enum Seen {
    /// It took an opening packet that came from a machine's address.
    Opening { flow: FlowId, copy: u32, node: SocketAddr },
    /// It has the end of a handshake.
    Opened,
    /// It began to run a request.
    Run { id: String },
    /// It got a packet that no client wrote so.
    Changed { node: SocketAddr },
}

struct Flow {
    client_seq: u32,
    server_seq: u32,
    echo: u32,
    open: bool,
    received: u32,
    /// The response without an acknowledgement: sequence number, bytes, next copy, copies.
    unacked: Option<(u32, Vec<u8>, Duration, u32)>,
    next_seq: u32,
    due: Vec<(Duration, Vec<u8>)>,
}

pub struct Server {
    pub id: u64,
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub state: &'static str,
    pub born: u64,
    pub max_flows: usize,
    pub work: Duration,
    socket: Option<UdpSocket>,
    health: Option<TcpListener>,
    checks: Vec<TcpStream>,
    flows: HashMap<FlowId, Flow>,
    sequence: u32,
    client_port: u16,
}

impl Server {
    pub fn new(
        id: u64,
        service: &str,
        zone: &str,
        address: SocketAddrV4,
        client_port: u16,
    ) -> Self {
        Self {
            id,
            name: format!("i-{id:08x}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            state: "ready",
            born: 0,
            max_flows: 4_286,
            work: Duration::from_millis(10),
            socket: None,
            health: None,
            checks: Vec::new(),
            flows: HashMap::new(),
            sequence: id as u32,
            client_port,
        }
    }

    /// Starts the process: it holds and knows nothing of before.
    pub fn start(&mut self) {
        let socket = UdpSocket::bind(self.address).expect("the server's address is free");
        socket.set_nonblocking(true).unwrap();
        let health = TcpListener::bind(self.address).expect("the server's address is free");
        health.set_nonblocking(true).unwrap();
        (self.socket, self.health) = (Some(socket), Some(health));
        self.flows.clear();
        self.state = "ready";
        self.born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    }

    /// Ends the process at once.
    pub fn crash(&mut self) {
        (self.socket, self.health) = (None, None);
        self.checks.clear();
        self.flows.clear();
    }

    pub fn is_running(&self) -> bool {
        self.socket.is_some()
    }

    pub fn open_flows(&self) -> usize {
        self.flows.values().filter(|flow| flow.open).count()
    }

    pub fn holds(&self, flow: FlowId) -> bool {
        self.flows.get(&flow).is_some_and(|flow| flow.open)
    }

    /// Returns the entry that the server writes into the store.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","ConcurrencyLimit":3,"State":"{}","ColdRemainingMs":0,"Sequence":1,"born":{}}}"#,
            self.service, self.address, self.zone, self.state, self.born
        )
    }

    /// Answers health checks, reads packets and sends what is due.
    pub fn tick(&mut self, now: Duration) -> Vec<Seen> {
        let mut seen = Vec::new();
        self.answer_checks();
        let Some(socket) = self.socket.take() else { return seen };
        let mut buf = [0; 2_048];
        while let Ok((len, node)) = socket.recv_from(&mut buf) {
            if len < 8 {
                continue;
            }
            let intended = u64::from_be_bytes(buf[..8].try_into().unwrap());
            let Some((packet, origin)) = Packet::decode(&buf[8..len]) else { continue };
            if intended != 0 && intended != self.id {
                continue;
            }
            if origin != Origin::Endpoint {
                seen.push(Seen::Changed { node });
                continue;
            }
            for reply in self.receive(now, &packet, node, &mut seen) {
                self.send(&socket, &reply);
            }
        }
        let due = self.due(now);
        due.iter().for_each(|packet| self.send(&socket, packet));
        self.socket = Some(socket);
        seen
    }

    fn send(&self, socket: &UdpSocket, packet: &Packet) {
        let to = SocketAddrV4::new(*packet.dst.ip(), self.client_port);
        let _ = socket.send_to(&packet.encode(), to);
    }

    fn answer_checks(&mut self) {
        let Some(health) = &self.health else { return };
        while let Ok((stream, _)) = health.accept() {
            let _ = stream.set_nonblocking(true);
            self.checks.push(stream);
        }
        let status = if self.state == "ready" { "200 OK" } else { "503 Leaving" };
        self.checks.retain_mut(|stream| {
            let mut buf = [0; 1_024];
            match stream.read(&mut buf) {
                Ok(0) => false,
                Ok(_) => {
                    let head = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
                    stream.write_all(head.as_bytes()).is_ok()
                }
                Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
            }
        });
    }

    fn receive(
        &mut self,
        now: Duration,
        packet: &Packet,
        node: SocketAddr,
        seen: &mut Vec<Seen>,
    ) -> Vec<Packet> {
        let id = (packet.src, packet.dst);
        if packet.flags & (SYN | ACK) == SYN | ACK {
            return Vec::new();
        }
        if packet.flags & SYN != 0 {
            return self.open(packet, id, node, seen);
        }
        if packet.flags & RST != 0 {
            self.flows.remove(&id);
            return Vec::new();
        }
        let Some(flow) = self.flows.get_mut(&id) else {
            // A packet of a flow that it does not hold.
            return vec![reply(id, RST, packet.ack, 0, packet.echo, Vec::new())];
        };
        flow.echo = packet.echo;
        if !flow.open {
            if packet.ack != flow.server_seq.wrapping_add(1) {
                return Vec::new();
            }
            flow.open = true;
            seen.push(Seen::Opened);
        }
        if flow
            .unacked
            .as_ref()
            .is_some_and(|(seq, data, ..)| packet.ack == seq.wrapping_add(data.len() as u32))
        {
            flow.unacked = None;
        }
        if packet.flags & FIN != 0 {
            self.flows.remove(&id);
            let ack = packet.seq.wrapping_add(packet.data.len() as u32 + 1);
            return vec![reply(id, ACK | FIN, packet.ack, ack, packet.echo, Vec::new())];
        }
        if packet.data.is_empty() {
            return Vec::new();
        }
        if packet.seq == flow.received {
            flow.received = flow.received.wrapping_add(packet.data.len() as u32);
            let text = String::from_utf8_lossy(&packet.data).into_owned();
            let request = text
                .lines()
                .find_map(|line| line.strip_prefix("X-Limpetdeck-Request-Id: "))
                .unwrap_or_default()
                .to_owned();
            seen.push(Seen::Run { id: request.clone() });
            let body = format!("done {request} by {}", self.name);
            let response = format!(
                "HTTP/1.1 200 OK\r\nX-Limpetdeck-Response-Stamp: {request}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            flow.due.push((now + self.work, response.into_bytes()));
        }
        let (seq, ack, echo) = (flow.next_seq, flow.received, flow.echo);
        vec![reply(id, ACK, seq, ack, echo, Vec::new())]
    }

    fn open(
        &mut self,
        packet: &Packet,
        id: FlowId,
        node: SocketAddr,
        seen: &mut Vec<Seen>,
    ) -> Vec<Packet> {
        let known = self.flows.get(&id).filter(|flow| flow.client_seq == packet.seq);
        if known.is_none() {
            if self.flows.len() >= self.max_flows {
                // It sends nothing if it is full.
                return Vec::new();
            }
            self.sequence = self.sequence.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let flow = Flow {
                client_seq: packet.seq,
                server_seq: self.sequence,
                echo: packet.echo,
                open: false,
                received: packet.seq.wrapping_add(1),
                unacked: None,
                next_seq: self.sequence.wrapping_add(1),
                due: Vec::new(),
            };
            self.flows.insert(id, flow);
            seen.push(Seen::Opening { flow: id, copy: packet.ack, node });
        }
        let flow = &self.flows[&id];
        vec![reply(id, SYN | ACK, flow.server_seq, flow.received, packet.echo, Vec::new())]
    }

    fn due(&mut self, now: Duration) -> Vec<Packet> {
        let mut out = Vec::new();
        let is_draining = self.state == "draining";
        let mut ended = Vec::new();
        for (&id, flow) in &mut self.flows {
            if flow.unacked.is_none()
                && let Some(at) = flow.due.iter().position(|(due, _)| now >= *due)
            {
                let (_, data) = flow.due.remove(at);
                let seq = flow.next_seq;
                flow.next_seq = seq.wrapping_add(data.len() as u32);
                out.push(reply(id, ACK, seq, flow.received, flow.echo, data.clone()));
                flow.unacked = Some((seq, data, now + FIRST_RETRY, 0));
                if is_draining {
                    out.push(reply(id, ACK | FIN, flow.next_seq, flow.received, flow.echo, vec![]));
                }
            }
            if let Some((seq, data, next, copies)) = &mut flow.unacked
                && now >= *next
            {
                *copies += 1;
                if *copies > MAX_RETRIES {
                    ended.push(id);
                    continue;
                }
                *next = now + (FIRST_RETRY * 2u32.pow(*copies)).min(MAX_RETRY);
                out.push(reply(id, ACK, *seq, flow.received, flow.echo, data.clone()));
            }
        }
        ended.iter().for_each(|id| drop(self.flows.remove(id)));
        out
    }
}

fn reply(id: FlowId, flags: u8, seq: u32, ack: u32, echo: u32, data: Vec<u8>) -> Packet {
    Packet { echo, seq, ack, flags, src: id.1, dst: id.0, data }
}
