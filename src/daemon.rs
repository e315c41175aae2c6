//! Event loop of one instance: sockets, timers and signals, on one thread.

mod connection_check;
mod datagram_sender;
mod lost_time;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant as Clock, SystemTime, UNIX_EPOCH};

use derive_more::{Debug, Display, Error};
use hyper::{Method, StatusCode};
use metrics::{counter, histogram};
use smol::channel::{Sender, bounded};
use smol::net::{TcpListener, TcpStream};
use smol::{Async, LocalExecutor, Task};

pub use self::connection_check::{CheckError, check_connection};
use self::datagram_sender::DatagramSender;
pub use self::lost_time::LostTime;
use crate::http::{self, HandlerFuture, Request, Response};
use crate::ids::{FlowId, Incarnation, TargetId};
use crate::instance::{Action, CheckOutcome, Core, Event, ReloadableSettings};
use crate::platform::{Call, Platform};
use crate::rpc::Rpc;
use crate::services::ReportAddress;
use crate::settings::LogLevel;
use crate::signals::{SignalRequest, Signals};
use crate::targets::read_report;
use crate::telemetry::{
    MetricsPage, finish_logs, flush_logs, flush_spans, report_spans, start_daemon_logs,
};

/// Time between two ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two checks of the settings file, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// Time until a connection check that could not be made is repeated.
const CHECK_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Time limit for a probe of a target.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Size of the receive buffer, in bytes: no datagram is larger.
const MAX_DATAGRAM_LEN: usize = 65_536;
/// Number of datagrams that are read consecutively before other tasks run.
const MAX_READ_BATCH: usize = 64;

/// Largest number of queued datagrams that are handled when the instance exits.
const MAX_LEFT_DATAGRAMS: usize = 4_096;

/// One in this many packet decisions is timed, to limit the cost of reading the clock.
const TIMING_SAMPLE_INTERVAL: u32 = 16;

/// Rereads the reloadable settings; returns `None` if they are unchanged.
pub type Reload = Box<dyn FnMut() -> Option<ReloadableSettings>>;

/// Configuration of the daemon around an instance.
#[derive(Debug)]
pub struct DaemonConfig {
    /// UDP address for packets of flows.
    pub packet_address: SocketAddr,
    /// UDP address for messages from other instances.
    pub peer_address: SocketAddr,
    /// TCP address for health checks.
    pub health_address: SocketAddr,
    /// HTTP path for health checks.
    pub health_path: String,
    /// TCP address for metrics and JSON-RPC; may be the same as the health address.
    pub metrics_address: SocketAddr,
    /// UDP address of the fabric, if one address takes all packets.
    pub fabric: Option<SocketAddr>,
    /// Client of the platform's object API.
    #[debug(skip)]
    pub platform: Box<dyn Platform>,
    /// Lowest severity that is logged.
    pub log_level: LogLevel,
    /// Reads changed settings; `None` if they cannot change at run time.
    #[debug(skip)]
    pub reload: Option<Reload>,
}

/// Error that keeps the daemon from running.
#[derive(Debug, Display, Error)]
pub enum DaemonError {
    /// A socket cannot be bound to an address.
    #[display("cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// Metrics or JSON-RPC cannot be set up.
    #[display("cannot start: {_0}")]
    Setup(#[error(not(source))] String),
}

/// An instance with the sockets, clients and tasks that execute its actions.
struct Daemon {
    started: Clock,
    lost_time: RefCell<LostTime>,
    core: RefCell<Box<dyn Core>>,
    packets: DatagramSender,
    peers: DatagramSender,
    fabric: Option<SocketAddr>,
    /// Number of packets before the next one whose decision is timed.
    until_timed: Cell<u32>,
    platform: Box<dyn Platform>,
    ex: Rc<LocalExecutor<'static>>,
    exit: Sender<()>,
    deregistration: RefCell<Option<Task<()>>>,
    reload: RefCell<Option<Reload>>,
    next_reload: Cell<Duration>,
    rpc: Rc<Rpc>,
}

/// Returns an incarnation for this start, in milliseconds since 1970. A later start of the same
/// instance gets a higher one, unless its clock was set back; membership then chooses a higher one.
pub fn new_incarnation() -> Incarnation {
    match SystemTime::now().duration_since(UNIX_EPOCH) {
        Ok(now) => now.as_millis() as Incarnation,
        Err(e) => {
            log::warn!(before_ms = e.duration().as_millis() as u64; "clock_before_1970");
            0
        }
    }
}

/// Runs an instance until it has stopped gracefully.
///
/// # Errors
///
/// Fails if a socket cannot be bound, or metrics or JSON-RPC cannot be set up.
pub fn run<C: Core + 'static>(
    cfg: DaemonConfig,
    signals: Signals,
    new_core: impl FnOnce(Duration) -> C,
) -> Result<(), DaemonError> {
    start_daemon_logs(cfg.log_level);
    report_spans();
    let page = MetricsPage::install().map_err(|e| DaemonError::Setup(e.to_string()))?;
    let ex = Rc::new(LocalExecutor::new());
    let core = Box::new(new_core(Duration::ZERO));
    smol::block_on(ex.run(serve(Rc::clone(&ex), cfg, signals, core, page)))?;
    flush_spans();
    finish_logs();
    Ok(())
}

async fn serve(
    ex: Rc<LocalExecutor<'static>>,
    cfg: DaemonConfig,
    signals: Signals,
    core: Box<dyn Core>,
    page: MetricsPage,
) -> Result<(), DaemonError> {
    let packets = bind(cfg.packet_address)?;
    let peers = bind(cfg.peer_address)?;
    let health = listen(cfg.health_address).await?;
    let metrics = match cfg.metrics_address {
        address if address == cfg.health_address => None,
        address => Some(listen(address).await?),
    };
    let (exit, stopped) = bounded(1);
    let rpc = Rpc::new().map_err(|e| DaemonError::Setup(e.to_string()))?;
    let daemon = Rc::new(Daemon {
        started: Clock::now(),
        lost_time: RefCell::new(LostTime::new(Duration::ZERO, SystemTime::now())),
        packets: DatagramSender::new(&packets),
        peers: DatagramSender::new(&peers),
        fabric: cfg.fabric,
        until_timed: Cell::new(0),
        platform: cfg.platform,
        ex: Rc::clone(&ex),
        exit,
        deregistration: RefCell::new(None),
        reload: RefCell::new(cfg.reload),
        next_reload: Cell::new(RELOAD_INTERVAL),
        rpc: Rc::new(rpc),
        core: RefCell::new(core),
    });
    let packets_read = |daemon: &Rc<Daemon>, at| daemon.handle(Event::PacketsRead(at));
    ex.spawn(read_datagrams(Rc::clone(&daemon), Arc::clone(&packets), Event::Packet, packets_read))
        .detach();
    ex.spawn(read_datagrams(Rc::clone(&daemon), peers, Event::Peer, |_, _| {})).detach();
    ex.spawn(run_ticks(Rc::clone(&daemon), Arc::clone(&packets))).detach();
    ex.spawn(handle_signals(Rc::clone(&daemon), signals)).detach();
    let handler = Rc::new(http_handler(Rc::clone(&daemon), page, cfg.health_path));
    ex.spawn(http::serve(Rc::clone(&ex), health, Rc::clone(&handler) as _)).detach();
    if let Some(metrics) = metrics {
        ex.spawn(http::serve(Rc::clone(&ex), metrics, handler)).detach();
    }
    log::info!(packets = cfg.packet_address.to_string().as_str(); "started");
    // Starts the first calls to the platform without waiting for the first tick.
    daemon.handle(Event::Tick);
    // The daemon owns the sender, so the wait ends only when the instance exits.
    let _ = stopped.recv().await;
    let left = read_queued(packets.get_ref(), |buf| daemon.handle(Event::Packet(buf)));
    if left > 0 {
        log::info!(packets = left; "queued_packets_handled");
    }
    log::info!("stopped");
    Ok(())
}

/// Handles the datagrams that a socket has queued, up to a limit, and returns their number. Packets
/// that arrived before the end of a graceful stop are not lost with the socket.
pub fn read_queued(socket: &UdpSocket, mut handle: impl FnMut(Vec<u8>)) -> usize {
    let mut buf = vec![0; MAX_DATAGRAM_LEN];
    let mut count = 0;
    while count < MAX_LEFT_DATAGRAMS
        && let Ok((len, _)) = socket.recv_from(&mut buf)
    {
        handle(buf[..len].to_vec());
        count += 1;
    }
    count
}

fn bind(address: SocketAddr) -> Result<Arc<Async<UdpSocket>>, DaemonError> {
    let socket = Async::<UdpSocket>::bind(address);
    socket.map(Arc::new).map_err(|source| DaemonError::Bind { address, source })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|source| DaemonError::Bind { address, source })
}

impl Daemon {
    /// Passes an event to the instance and executes the resulting actions.
    fn handle(self: &Rc<Self>, event: Event) {
        let begin = self.started.elapsed();
        let timed = matches!(event, Event::Packet(_)) && self.sample_timing();
        let mut out = Vec::new();
        if self.lost_time.borrow_mut().detect(begin, SystemTime::now()) {
            self.core.borrow_mut().handle(begin, Event::TimeLost, &mut out);
        }
        self.core.borrow_mut().handle(begin, event, &mut out);
        if timed {
            let elapsed = self.started.elapsed().saturating_sub(begin);
            histogram!("limpetdeck_decision_seconds").record(elapsed);
        }
        for action in out {
            if let Action::TraceSpan(flow) = action {
                self.log_span(flow, begin);
            } else {
                self.execute(action);
            }
        }
    }

    /// Returns whether the decision about the next packet is to be timed, and counts the packet.
    fn sample_timing(&self) -> bool {
        let left = self.until_timed.get();
        self.until_timed.set(if left == 0 { TIMING_SAMPLE_INTERVAL - 1 } else { left - 1 });
        left == 0
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Fabric(packet) => match self.fabric {
                Some(fabric) => self.packets.send(&packet, fabric),
                None => log::error!("no_fabric"),
            },
            Action::Datagram(to, packet) => self.packets.send(&packet, to),
            Action::Peer(to, buf) | Action::Redirect(to, buf) => self.peers.send(&buf, to),
            Action::Platform(call) => self.call_platform(call),
            Action::Probe(target, report) => self.probe(target, report),
            Action::CheckConnection(address) => self.check_connection(address),
            Action::TraceSpan(_) => {}
            Action::Exit => self.exit(),
        }
    }

    /// Logs a span for the handling of a sampled flow's packet.
    fn log_span(&self, flow: FlowId, begin: Duration) {
        let duration = self.started.elapsed().saturating_sub(begin);
        log::info!(
            trace = format!("{flow:016x}").as_str(),
            step = "steer",
            begin_ms = begin.as_millis() as u64,
            duration_ns = duration.as_nanos() as u64;
            "span"
        );
    }

    fn call_platform(self: &Rc<Self>, call: Call) {
        let daemon = Rc::clone(self);
        let is_deregistration = matches!(call, Call::Delete { .. });
        let task = self.ex.spawn(async move {
            let begin = daemon.started.elapsed();
            let on_part = |part| daemon.handle(Event::PlatformPart(call.clone(), part));
            let result = daemon.platform.call_streaming(call.clone(), Box::new(on_part)).await;
            if !matches!(call, Call::Watch { .. }) {
                let elapsed = daemon.started.elapsed().saturating_sub(begin);
                histogram!("limpetdeck_platform_call_seconds").record(elapsed);
            }
            daemon.handle(Event::Platform(call, result));
        });
        if is_deregistration {
            self.deregistration.replace(Some(task));
        } else {
            task.detach();
        }
    }

    /// Ends the process after the deregistration call has ended or timed out.
    fn exit(self: &Rc<Self>) {
        let daemon = Rc::clone(self);
        let task = async move {
            let deregistration = daemon.deregistration.take();
            if let Some(task) = deregistration {
                task.await;
            }
            let _ = daemon.exit.try_send(());
        };
        self.ex.spawn(task).detach();
    }

    fn probe(self: &Rc<Self>, target: TargetId, report: ReportAddress) {
        let daemon = Rc::clone(self);
        let task = async move {
            let response =
                http::call(report.address, Request::get(report.path), PROBE_TIMEOUT).await;
            daemon.handle(Event::ProbeFinished(target, read_report(response)));
        };
        self.ex.spawn(task).detach();
    }

    /// Checks whether a TCP connection can be opened, and closes it again.
    fn check_connection(self: &Rc<Self>, address: SocketAddr) {
        let daemon = Rc::clone(self);
        let task = async move {
            let connect = || async move { TcpStream::connect(address).await.map(drop) };
            let began = Clock::now();
            let outcome = loop {
                let Err(e) = check_connection(connect).await else { break CheckOutcome::Accepted };
                log::info!(
                    address = address.to_string().as_str(),
                    error = e.to_string().as_str(),
                    ms = began.elapsed().as_millis() as u64;
                    "target_connect_failed"
                );
                match e {
                    CheckError::Failed(io::ErrorKind::ConnectionRefused) => {
                        break CheckOutcome::Refused;
                    }
                    CheckError::Failed(_) | CheckError::TimedOut => break CheckOutcome::NoAnswer,
                    CheckError::Local(_) => {}
                }
                smol::Timer::after(CHECK_RETRY_DELAY).await;
            };
            daemon.handle(Event::ConnectionChecked(address, outcome));
        };
        self.ex.spawn(task).detach();
    }

    /// Applies changed settings, if there are any.
    fn reload(self: &Rc<Self>) {
        self.next_reload.set(self.started.elapsed() + RELOAD_INTERVAL);
        let changed = self.reload.borrow_mut().as_mut().and_then(|reload| reload());
        if let Some(settings) = changed {
            log::info!(seeds = settings.seeds.len(), grace_ms = settings.grace.as_millis() as u64; "settings_reloaded");
            self.handle(Event::SettingsChanged(settings));
        }
    }
}

/// Handles the datagrams of a socket. Calls `on_empty` with a time at which none was left.
async fn read_datagrams(
    daemon: Rc<Daemon>,
    socket: Arc<Async<UdpSocket>>,
    event: fn(Vec<u8>) -> Event,
    on_empty: impl Fn(&Rc<Daemon>, Duration),
) {
    let mut buf = vec![0; MAX_DATAGRAM_LEN];
    loop {
        match socket.recv_from(&mut buf).await {
            Ok((len, _)) => daemon.handle(event(buf[..len].to_vec())),
            Err(e) => {
                // Mostly reports that a datagram sent earlier had no receiver (ICMP).
                counter!("limpetdeck_receive_errors_total").increment(1);
                log::debug!(problem = e.to_string().as_str(); "receive_failed");
            }
        }
        // Reads datagrams that are already queued without waiting for readiness again.
        if let Some(at) = read_batch(&daemon, socket.get_ref(), &mut buf, event) {
            on_empty(&daemon, at);
        }
    }
}

/// Handles the datagrams that a socket has queued, up to a limit. Returns a time at which none was left, if
/// there was one.
fn read_batch(
    daemon: &Rc<Daemon>,
    socket: &UdpSocket,
    buf: &mut [u8],
    event: fn(Vec<u8>) -> Event,
) -> Option<Duration> {
    for _ in 0..MAX_READ_BATCH {
        // The process may stand still after the attempt.
        let at = daemon.started.elapsed();
        match socket.recv_from(buf) {
            Ok((len, _)) => daemon.handle(event(buf[..len].to_vec())),
            Err(e) => return (e.kind() == io::ErrorKind::WouldBlock).then_some(at),
        }
    }
    None
}

async fn run_ticks(daemon: Rc<Daemon>, packets: Arc<Async<UdpSocket>>) {
    let mut buf = vec![0; MAX_DATAGRAM_LEN];
    loop {
        smol::Timer::after(TICK_INTERVAL).await;
        // Also shows an instance without packets that none is waiting.
        if let Some(at) = read_batch(&daemon, packets.get_ref(), &mut buf, Event::Packet) {
            daemon.handle(Event::PacketsRead(at));
        }
        daemon.handle(Event::Tick);
        daemon.rpc.set_status(daemon.core.borrow().status(daemon.started.elapsed()));
        if daemon.rpc.take_stop_request() {
            daemon.handle(Event::Stop);
        }
        if daemon.started.elapsed() >= daemon.next_reload.get() {
            daemon.reload();
        }
        flush_logs();
    }
}

async fn handle_signals(daemon: Rc<Daemon>, mut signals: Signals) {
    loop {
        match signals.next().await {
            SignalRequest::Stop => daemon.handle(Event::Stop),
            SignalRequest::Reload => daemon.reload(),
        }
    }
}

fn http_handler(
    daemon: Rc<Daemon>,
    page: MetricsPage,
    health_path: String,
) -> impl Fn(Request) -> HandlerFuture {
    move |req| {
        let response = match (&req.method, req.route()) {
            (&Method::POST, "/rpc") => return handle_rpc(Rc::clone(&daemon.rpc), req.body),
            (_, "/rpc") => Response::text(StatusCode::METHOD_NOT_ALLOWED, "POST alone\n"),
            (_, path) if path == health_path => health_response(daemon.core.borrow().healthy()),
            (_, "/metrics") => Response::text(StatusCode::OK, page.render()),
            _ => Response::text(StatusCode::NOT_FOUND, "not found\n"),
        };
        Box::pin(async move { response })
    }
}

fn health_response(healthy: bool) -> Response {
    if healthy {
        Response::text(StatusCode::OK, "ok\n")
    } else {
        Response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn handle_rpc(rpc: Rc<Rpc>, body: Vec<u8>) -> HandlerFuture {
    Box::pin(async move {
        let body = rpc.handle_request(&body).await.into_bytes();
        Response::new(StatusCode::OK, "application/json", body)
    })
}
