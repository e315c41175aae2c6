//! Client attempts: each is a flow of its own, with one request after the other.

use std::net::SocketAddrV4;
use std::time::Duration;

use crate::server::FlowId;
use crate::wire::{ACK, FIN, Origin, Packet, RST, SYN};

/// Times of the copies of an opening packet, and the end of the attempt.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const OPENING_TIME: Duration = Duration::from_millis(1_400);
const FIRST_RETRY: Duration = Duration::from_millis(200);
const MAX_RETRY: Duration = Duration::from_millis(1_600);
/// Distance from the last acknowledgement within which a reset is accepted on an open flow.
const RESET_WINDOW: u32 = 76_800;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum State {
    Opening,
    Open,
    /// The attempt has ended before the flow was open.
    Refused,
    /// A reset of the system's own ended the open flow.
    ResetBySystem,
    /// A reset of a server ended the open flow.
    ResetByServer,
    GaveUp,
}

#[derive(Debug)]
struct Request {
    seq: u32,
    data: Vec<u8>,
    next_copy: Duration,
    copies: u32,
    deadline: Duration,
}

#[derive(Debug)]
pub struct Attempt {
    pub id: FlowId,
    pub zone: usize,
    pub state: State,
    pub began: Duration,
    pub ended: Option<Duration>,
    /// Requests that were answered with the stamp and the whole body of their own.
    pub answered: usize,
    /// Answers that belong to no request of this flow.
    pub foreign: usize,
    first_seq: u32,
    copies: u32,
    /// The last echo that arrived on the flow with a packet that was taken.
    echo: u32,
    next_seq: u32,
    ack: u32,
    request: Option<Request>,
    current: String,
    buffer: Vec<u8>,
}

impl Attempt {
    pub fn new(now: Duration, zone: usize, from: SocketAddrV4, to: SocketAddrV4, seq: u32) -> Self {
        Self {
            id: (from, to),
            zone,
            state: State::Opening,
            began: now,
            ended: None,
            answered: 0,
            foreign: 0,
            first_seq: seq,
            copies: 0,
            echo: 0,
            next_seq: seq.wrapping_add(1),
            ack: 0,
            request: None,
            current: String::new(),
            buffer: Vec::new(),
        }
    }

    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Opening | State::Open)
    }

    pub fn is_idle(&self) -> bool {
        self.state == State::Open && self.request.is_none() && self.current.is_empty()
    }

    /// Returns the first opening packet.
    pub fn opening(&self, copy: u32) -> Packet {
        self.packet(SYN, self.first_seq, copy, Vec::new())
    }

    /// Sends a request on the open flow.
    pub fn request(&mut self, now: Duration, id: &str, method: &str, deadline: Duration) -> Packet {
        let body = if method == "POST" { "x".repeat(600) } else { String::new() };
        let text = format!(
            "{method} /work HTTP/1.1\r\nX-Limpetdeck-Request-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let data = text.into_bytes();
        let seq = self.next_seq;
        self.next_seq = seq.wrapping_add(data.len() as u32);
        let next_copy = now + FIRST_RETRY;
        let deadline = now + deadline;
        self.request = Some(Request { seq, data: data.clone(), next_copy, copies: 0, deadline });
        self.current = id.to_owned();
        self.packet(ACK, seq, self.ack, data)
    }

    /// Closes the client's side of the open flow.
    pub fn close(&mut self, now: Duration) -> Packet {
        (self.state, self.ended) = (State::GaveUp, Some(now));
        self.packet(ACK | FIN, self.next_seq, self.ack, Vec::new())
    }

    /// Takes a packet that has arrived for this flow, and returns the answers to it.
    pub fn receive(&mut self, now: Duration, packet: &Packet, origin: Origin) -> Vec<Packet> {
        if !self.is_live() {
            return Vec::new();
        }
        if packet.flags & RST != 0 {
            let distance = packet.seq.wrapping_sub(self.ack);
            let is_near = distance.min(distance.wrapping_neg()) <= RESET_WINDOW;
            self.state = match (self.state, origin) {
                (State::Opening, _) => State::Refused,
                (State::Open, Origin::System) if is_near => State::ResetBySystem,
                (State::Open, Origin::Endpoint) if is_near => State::ResetByServer,
                (state, _) => state,
            };
            if !self.is_live() {
                self.ended = Some(now);
            }
            return Vec::new();
        }
        if packet.flags & (SYN | ACK) == SYN | ACK {
            if self.state == State::Opening && packet.ack == self.first_seq.wrapping_add(1) {
                self.state = State::Open;
                self.echo = packet.echo;
                self.ack = packet.seq.wrapping_add(1);
                return vec![self.packet(ACK, self.next_seq, self.ack, Vec::new())];
            }
            // Of another server, or once more: the flow is open at the first one.
            return Vec::new();
        }
        if self.state != State::Open {
            return Vec::new();
        }
        if packet.seq != self.ack && !packet.data.is_empty() {
            return vec![self.packet(ACK, self.next_seq, self.ack, Vec::new())];
        }
        self.echo = packet.echo;
        if self.request.is_some() && packet.ack == self.next_seq {
            self.request = None;
        }
        if packet.data.is_empty() {
            return Vec::new();
        }
        self.ack = self.ack.wrapping_add(packet.data.len() as u32);
        self.buffer.extend_from_slice(&packet.data);
        let text = String::from_utf8_lossy(&self.buffer).into_owned();
        if text.contains("\r\n\r\n") {
            let own = format!("X-Limpetdeck-Response-Stamp: {}\r\n", self.current);
            if !self.current.is_empty() && text.contains(&own) {
                self.answered += 1;
            } else {
                self.foreign += 1;
            }
            self.current.clear();
            self.buffer.clear();
        }
        vec![self.packet(ACK, self.next_seq, self.ack, Vec::new())]
    }

    /// Returns the packets that are due.
    pub fn tick(&mut self, now: Duration) -> Vec<Packet> {
        match self.state {
            State::Opening => {
                let age = now.saturating_sub(self.began);
                if age >= OPENING_TIME {
                    (self.state, self.ended) = (State::Refused, Some(now));
                } else if COPIES.get(self.copies as usize).is_some_and(|&at| age >= at) {
                    self.copies += 1;
                    return vec![self.opening(self.copies)];
                }
            }
            State::Open => {
                let Some(request) = &mut self.request else { return Vec::new() };
                if now >= request.deadline {
                    (self.state, self.ended) = (State::GaveUp, Some(now));
                } else if now >= request.next_copy {
                    request.copies += 1;
                    let delay = FIRST_RETRY * 2u32.pow(request.copies.min(3));
                    request.next_copy = now + delay.min(MAX_RETRY);
                    let (seq, data) = (request.seq, request.data.clone());
                    return vec![self.packet(ACK, seq, self.ack, data)];
                }
            }
            _ => {}
        }
        Vec::new()
    }

    fn packet(&self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
        let echo = if flags & SYN != 0 { 0 } else { self.echo };
        Packet { echo, seq, ack, flags, src: self.id.0, dst: self.id.1, data }
    }
}
