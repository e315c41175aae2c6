//! One target: listening sockets, connections, slots.

use std::time::Duration;

use limpetdeck::ids::ServiceId;
use limpetdeck::placement::TargetState;
use limpetdeck::services::Target;
use limpetdeck::targets::Report;
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;

use super::connection::{Connection, Use};
use super::control::Honesty;
use super::journal::Journal;
use crate::protocol::{Ask, Tell, digest, line};
use crate::stack::Host;

/// Sockets that wait for new connections.
const BACKLOG: usize = 16;
/// Factor by which a cold target is slower.
const COLD_FACTOR: u32 = 4;

/// One target of a service.
pub struct TargetServer {
    target: Target,
    service: ServiceId,
    work_time: Duration,
    feed_time: Duration,
    listening: Vec<SocketHandle>,
    connections: Vec<Connection>,
    mode: TargetState,
    honesty: Honesty,
    frozen: Report,
}

impl TargetServer {
    /// Makes a target that listens on its host.
    pub fn new(target: Target, service: ServiceId, work: Duration, feed: Duration) -> Self {
        Self {
            target,
            service,
            work_time: work,
            feed_time: feed,
            listening: Vec::new(),
            connections: Vec::new(),
            mode: TargetState::Serving,
            honesty: Honesty::Honest,
            frozen: Report::default(),
        }
    }

    /// Returns the target that this server stands for.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns what the target does with work.
    pub fn mode(&self) -> TargetState {
        self.mode
    }

    /// Sets what the target does with work.
    pub fn set_mode(&mut self, mode: TargetState) {
        self.mode = mode;
    }

    /// Sets how the load report answers.
    pub fn set_honesty(&mut self, honesty: Honesty) {
        self.frozen = self.truth();
        self.honesty = honesty;
    }

    /// Returns the load report.
    pub fn report(&self) -> Report {
        match self.honesty {
            Honesty::Honest => self.truth(),
            Honesty::Frozen => self.frozen,
            Honesty::Idle => Report { state: self.mode, ..Report::default() },
        }
    }

    /// Lets the target work: accept, read, execute, answer, close.
    pub fn step(&mut self, now: Duration, host: &mut Host, journal: &mut Journal) {
        self.accept(host);
        let mut connections = std::mem::take(&mut self.connections);
        for connection in &mut connections {
            read(host, connection);
            self.take_request(now, host, connection);
        }
        self.connections = connections;
        self.fill_slots(now);
        self.finish_work(now, host, journal);
        self.close_ended(host);
    }

    fn truth(&self) -> Report {
        let count = |test: fn(&Connection) -> bool| {
            self.connections.iter().filter(|connection| test(connection)).count() as u32
        };
        Report {
            state: self.mode,
            slots_used: count(Connection::in_slot),
            waiting: count(Connection::waits),
            open: self.connections.len() as u32,
        }
    }

    fn accept(&mut self, host: &mut Host) {
        let mut accepted = Vec::new();
        self.listening.retain(|&handle| {
            let open = host.socket(handle).state() != State::Listen;
            if open {
                accepted.push(handle);
            }
            !open
        });
        self.connections.extend(accepted.into_iter().map(Connection::new));
        while self.listening.len() < BACKLOG {
            let handle = host.add();
            if host.socket(handle).listen(self.target.address.port()).is_err() {
                log::error!(target = self.target.id; "cannot_listen");
                return;
            }
            self.listening.push(handle);
        }
    }

    fn take_request(&self, now: Duration, host: &mut Host, connection: &mut Connection) {
        if !matches!(connection.purpose, Use::Idle) {
            return;
        }
        let Some(ask) = connection.lines.take::<Ask>() else { return };
        let shedding = self.mode == TargetState::Shedding;
        match ask {
            Ok(Ask::Sale { id } | Ask::Feed { id }) if shedding => {
                tell(host, connection.handle, &Tell::Busy { id });
                host.socket(connection.handle).close();
            }
            Ok(Ask::Sale { id }) => connection.purpose = Use::Waiting(id),
            Ok(Ask::Feed { id }) => connection.purpose = Use::Feeding(id, 0, now),
            Err(_) => host.socket(connection.handle).abort(),
        }
    }

    fn fill_slots(&mut self, now: Duration) {
        let mut free = (self.target.slots as usize)
            .saturating_sub(self.connections.iter().filter(|c| c.in_slot()).count());
        let time = match self.mode {
            TargetState::Cold => self.work_time * COLD_FACTOR,
            _ => self.work_time,
        };
        for connection in &mut self.connections {
            if let (Use::Waiting(id), true) = (&connection.purpose, free > 0) {
                connection.purpose = Use::Working(*id, now + time);
                free -= 1;
            }
        }
    }

    fn finish_work(&mut self, now: Duration, host: &mut Host, journal: &mut Journal) {
        let (service, feed_time) = (self.service, self.feed_time);
        for connection in &mut self.connections {
            match connection.purpose {
                Use::Working(id, due) if due <= now => {
                    journal.executed(id, service, self.target.id);
                    let done = Tell::Done { id, service, digest: digest(id, 0) };
                    tell(host, connection.handle, &done);
                    connection.purpose = Use::Idle;
                }
                Use::Feeding(id, number, due) if due <= now => {
                    let digest = digest(id, number);
                    let level = Tell::Level { id, service, line: number, digest };
                    if tell(host, connection.handle, &level) {
                        connection.purpose = Use::Feeding(id, number + 1, due + feed_time);
                    }
                }
                _ => {}
            }
        }
    }

    fn close_ended(&mut self, host: &mut Host) {
        self.connections.retain(|connection| {
            let socket = host.socket(connection.handle);
            if socket.state() == State::CloseWait && !connection.in_slot() && !connection.waits() {
                socket.close();
            }
            let ended = matches!(socket.state(), State::Closed | State::TimeWait);
            if ended {
                host.remove(connection.handle);
            }
            !ended
        });
    }
}

fn read(host: &mut Host, connection: &mut Connection) {
    let socket = host.socket(connection.handle);
    while socket.can_recv() {
        let taken = socket.recv(|bytes| {
            connection.lines.extend(bytes);
            (bytes.len(), bytes.len())
        });
        if taken.is_err() {
            return;
        }
    }
}

/// Sends a whole line or nothing.
fn tell(host: &mut Host, handle: SocketHandle, message: &Tell) -> bool {
    let socket = host.socket(handle);
    let line = line(message);
    let room = socket.send_capacity() - socket.send_queue() >= line.len();
    room && socket.can_send() && socket.send_slice(&line).is_ok()
}
