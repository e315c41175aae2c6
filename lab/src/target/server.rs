//! Emulated target with its listening sockets, connections and slots.

use std::time::Duration;

use limpetdeck::ids::ServiceId;
use limpetdeck::placement::TargetState;
use limpetdeck::services::Target;
use limpetdeck::targets::Report;
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp::State;

use super::connection::{Connection, ConnectionState};
use super::control::ReportMode;
use super::journal::Journal;
use crate::protocol::{WorkRequest, WorkResponse, digest, encode_line};
use crate::stack::Host;

/// Number of sockets that listen for new connections.
const BACKLOG: usize = 16;
/// Factor by which sales take longer on a cold target.
const COLD_FACTOR: u32 = 4;

/// Emulated target of a service.
pub struct TargetServer {
    target: Target,
    service: ServiceId,
    sale_duration: Duration,
    feed_interval: Duration,
    listening: Vec<SocketHandle>,
    connections: Vec<Connection>,
    state: TargetState,
    report_mode: ReportMode,
    frozen_report: Report,
}

impl TargetServer {
    /// Creates a target in the state [`TargetState::Serving`]. A sale uses a slot for the time
    /// `work`; `feed` is the time between two lines of a feed.
    pub fn new(target: Target, service: ServiceId, work: Duration, feed: Duration) -> Self {
        Self {
            target,
            service,
            sale_duration: work,
            feed_interval: feed,
            listening: Vec::new(),
            connections: Vec::new(),
            state: TargetState::Serving,
            report_mode: ReportMode::Honest,
            frozen_report: Report::default(),
        }
    }

    /// Returns the target that is emulated.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Returns the state of the target.
    pub fn state(&self) -> TargetState {
        self.state
    }

    /// Sets the state of the target.
    pub fn set_state(&mut self, state: TargetState) {
        self.state = state;
    }

    /// Sets the mode of the load report. The mode `Frozen` repeats the current values.
    pub fn set_report_mode(&mut self, report_mode: ReportMode) {
        self.frozen_report = self.current_report();
        self.report_mode = report_mode;
    }

    /// Returns the load report, which is false in some modes.
    pub fn report(&self) -> Report {
        match self.report_mode {
            ReportMode::Honest => self.current_report(),
            ReportMode::Frozen => self.frozen_report,
            ReportMode::Idle => Report { state: self.state, ..Report::default() },
        }
    }

    /// Accepts connections, reads requests, executes sales, sends responses and feed lines, and
    /// closes ended connections.
    pub fn step(&mut self, now: Duration, host: &mut Host, journal: &mut Journal) {
        self.accept(host);
        let mut connections = std::mem::take(&mut self.connections);
        for connection in &mut connections {
            receive_lines(host, connection);
            self.take_request(now, host, connection);
        }
        self.connections = connections;
        self.fill_slots(now);
        self.send_due_responses(now, host, journal);
        self.close_ended(host);
    }

    fn current_report(&self) -> Report {
        let count = |matches: fn(&Connection) -> bool| {
            self.connections.iter().filter(|connection| matches(connection)).count() as u32
        };
        Report {
            state: self.state,
            slots_used: count(Connection::uses_slot),
            waiting: count(Connection::is_waiting),
            open: self.connections.len() as u32,
        }
    }

    fn accept(&mut self, host: &mut Host) {
        let mut accepted = Vec::new();
        self.listening.retain(|&handle| {
            let is_open = host.socket(handle).state() != State::Listen;
            if is_open {
                accepted.push(handle);
            }
            !is_open
        });
        self.connections.extend(accepted.into_iter().map(Connection::new));
        while self.listening.len() < BACKLOG {
            let handle = host.add_socket();
            if host.socket(handle).listen(self.target.address.port()).is_err() {
                log::error!(target = self.target.id; "cannot_listen");
                return;
            }
            self.listening.push(handle);
        }
    }

    fn take_request(&self, now: Duration, host: &mut Host, connection: &mut Connection) {
        if !matches!(connection.state, ConnectionState::Idle) {
            return;
        }
        let Some(request) = connection.lines.take_message::<WorkRequest>() else { return };
        let shedding = self.state == TargetState::Shedding;
        match request {
            Ok(WorkRequest::Sale { id } | WorkRequest::Feed { id }) if shedding => {
                send_message(host, connection.handle, &WorkResponse::Busy { id });
                host.socket(connection.handle).close();
            }
            Ok(WorkRequest::Sale { id }) => connection.state = ConnectionState::Waiting(id),
            Ok(WorkRequest::Feed { id }) => connection.state = ConnectionState::Feeding(id, 0, now),
            Err(_) => host.socket(connection.handle).abort(),
        }
    }

    fn fill_slots(&mut self, now: Duration) {
        let mut free = (self.target.slots as usize)
            .saturating_sub(self.connections.iter().filter(|c| c.uses_slot()).count());
        let duration = match self.state {
            TargetState::Cold => self.sale_duration * COLD_FACTOR,
            _ => self.sale_duration,
        };
        for connection in &mut self.connections {
            if let (ConnectionState::Waiting(id), true) = (&connection.state, free > 0) {
                connection.state = ConnectionState::Executing(*id, now + duration);
                free -= 1;
            }
        }
    }

    fn send_due_responses(&mut self, now: Duration, host: &mut Host, journal: &mut Journal) {
        let (service, feed_interval) = (self.service, self.feed_interval);
        for connection in &mut self.connections {
            match connection.state {
                ConnectionState::Executing(id, due) if due <= now => {
                    journal.record_execution(id, service, self.target.id);
                    let response = WorkResponse::Done { id, service, digest: digest(id, 0) };
                    send_message(host, connection.handle, &response);
                    connection.state = ConnectionState::Idle;
                }
                ConnectionState::Feeding(id, number, due) if due <= now => {
                    let digest = digest(id, number);
                    let response = WorkResponse::Level { id, service, line: number, digest };
                    if send_message(host, connection.handle, &response) {
                        connection.state =
                            ConnectionState::Feeding(id, number + 1, due + feed_interval);
                    }
                }
                _ => {}
            }
        }
    }

    fn close_ended(&mut self, host: &mut Host) {
        self.connections.retain(|connection| {
            let socket = host.socket(connection.handle);
            if socket.state() == State::CloseWait
                && !connection.uses_slot()
                && !connection.is_waiting()
            {
                socket.close();
            }
            let ended = matches!(socket.state(), State::Closed | State::TimeWait);
            if ended {
                host.remove_socket(connection.handle);
            }
            !ended
        });
    }
}

fn receive_lines(host: &mut Host, connection: &mut Connection) {
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

/// Sends a complete line, or nothing if the send buffer has no room for it; returns whether it
/// was sent.
fn send_message(host: &mut Host, handle: SocketHandle, message: &WorkResponse) -> bool {
    let socket = host.socket(handle);
    let line = encode_line(message);
    let has_room = socket.send_capacity() - socket.send_queue() >= line.len();
    has_room && socket.can_send() && socket.send_slice(&line).is_ok()
}
