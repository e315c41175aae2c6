//! Sockets, time and signals of one instance, on one thread.

mod outlet;

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant as Clock, SystemTime, UNIX_EPOCH};

use derive_more::{Debug, Display, Error};
use futures_lite::FutureExt;
use hyper::{Method, StatusCode};
use metrics::histogram;
use smol::channel::{Sender, bounded};
use smol::net::{TcpListener, TcpStream};
use smol::{Async, LocalExecutor, Task};

use self::outlet::Outlet;
use crate::http::{self, HandlerFuture, Request, Response};
use crate::ids::{FlowId, Incarnation, TargetId};
use crate::instance::{Action, Changeable, Core, Event};
use crate::platform::{Call, Platform};
use crate::rpc::Rpc;
use crate::services::ReportAddress;
use crate::settings::LogLevel;
use crate::signals::{Signalled, Signals};
use crate::targets::read_report;
use crate::telemetry::{
    MetricsPage, finish_logs, flush_logs, flush_spans, report_spans, start_daemon_logs,
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Time between two looks at the settings file, which may change without a signal.
const RELOAD_EVERY: Duration = Duration::from_secs(2);
/// Time after which a probe of a target has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after which nothing accepts connections at an address: accepting takes a target that
/// runs a millisecond, however busy it is.
const REACH_TIMEOUT: Duration = Duration::from_millis(350);
/// Largest datagram that is read, in bytes.
const LARGEST_DATAGRAM: usize = 65_536;
/// Datagrams that are read in a row before other tasks get their turn.
const READ_AT_ONCE: usize = 64;

/// One decision about a packet in this many is timed, so that reading the clock costs little.
const TIMED_ONE_IN: u32 = 16;

/// Reads the settings that may change again; none if they are as before.
pub type Reload = Box<dyn FnMut() -> Option<Changeable>>;

/// What the daemon needs to know to carry an instance.
#[derive(Debug)]
pub struct DaemonConfig {
    /// UDP address for packets of flows.
    pub packet_address: SocketAddr,
    /// UDP address for messages of other instances.
    pub peer_address: SocketAddr,
    /// TCP address on which the instance tells whether it is healthy.
    pub health_address: SocketAddr,
    /// Path on which the instance tells whether it is healthy.
    pub health_path: String,
    /// TCP address for metrics and JSON-RPC; may be the one for health.
    pub metrics_address: SocketAddr,
    /// UDP address of the fabric, if there is one that takes all packets.
    pub fabric: Option<SocketAddr>,
    /// The platform.
    #[debug(skip)]
    pub platform: Box<dyn Platform>,
    /// Least severe level that is logged.
    pub log_level: LogLevel,
    /// Where changed settings come from, if they can change.
    #[debug(skip)]
    pub reload: Option<Reload>,
}

/// Why the daemon could not run.
#[derive(Debug, Display, Error)]
pub enum DaemonError {
    /// An address cannot be used.
    #[display("cannot bind {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
    /// The process cannot be set up.
    #[display("cannot start: {_0}")]
    Setup(#[error(not(source))] String),
}

/// The instance with what carries its actions.
struct Daemon {
    started: Clock,
    core: RefCell<Box<dyn Core>>,
    packets: Outlet,
    peers: Outlet,
    fabric: Option<SocketAddr>,
    /// Packets until the next one whose decision is timed.
    untimed: Cell<u32>,
    platform: Box<dyn Platform>,
    ex: Rc<LocalExecutor<'static>>,
    exit: Sender<()>,
    deregistration: RefCell<Option<Task<()>>>,
    reload: RefCell<Option<Reload>>,
    next_reload: Cell<Duration>,
    rpc: Rc<Rpc>,
}

/// Returns the number of this start: a later start of the same instance has a higher one,
/// unless its clock was set back; the membership then takes a higher one.
pub fn start_number() -> Incarnation {
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
/// Fails if an address cannot be used or the process cannot be set up.
pub fn run<C: Core + 'static>(
    cfg: DaemonConfig,
    signals: Signals,
    make: impl FnOnce(Duration) -> C,
) -> Result<(), DaemonError> {
    start_daemon_logs(cfg.log_level);
    report_spans();
    let page = MetricsPage::install().map_err(|e| DaemonError::Setup(e.to_string()))?;
    let ex = Rc::new(LocalExecutor::new());
    let core = Box::new(make(Duration::ZERO));
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
        packets: Outlet::new(&packets),
        peers: Outlet::new(&peers),
        fabric: cfg.fabric,
        untimed: Cell::new(0),
        platform: cfg.platform,
        ex: Rc::clone(&ex),
        exit,
        deregistration: RefCell::new(None),
        reload: RefCell::new(cfg.reload),
        next_reload: Cell::new(RELOAD_EVERY),
        rpc: Rc::new(rpc),
        core: RefCell::new(core),
    });
    ex.spawn(read(Rc::clone(&daemon), packets, Event::Packet)).detach();
    ex.spawn(read(Rc::clone(&daemon), peers, Event::Peer)).detach();
    ex.spawn(ticks(Rc::clone(&daemon))).detach();
    ex.spawn(obey(Rc::clone(&daemon), signals)).detach();
    let handler = Rc::new(handler(Rc::clone(&daemon), page, cfg.health_path));
    ex.spawn(http::serve(Rc::clone(&ex), health, Rc::clone(&handler) as _)).detach();
    if let Some(metrics) = metrics {
        ex.spawn(http::serve(Rc::clone(&ex), metrics, handler)).detach();
    }
    log::info!(packets = cfg.packet_address.to_string().as_str(); "started");
    // The first calls of the platform need not wait for the first tick.
    daemon.handle(Event::Tick);
    // The sender lives as long as the daemon, so only an exit ends this wait.
    let _ = stopped.recv().await;
    log::info!("stopped");
    Ok(())
}

fn bind(address: SocketAddr) -> Result<Arc<Async<UdpSocket>>, DaemonError> {
    let socket = Async::<UdpSocket>::bind(address);
    socket.map(Arc::new).map_err(|source| DaemonError::Bind { address, source })
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address).await.map_err(|source| DaemonError::Bind { address, source })
}

impl Daemon {
    /// Hands an event to the instance and does what it wants done.
    fn handle(self: &Rc<Self>, event: Event) {
        let begin = self.started.elapsed();
        let timed = matches!(event, Event::Packet(_)) && self.is_timed();
        let mut out = Vec::new();
        self.core.borrow_mut().handle(begin, event, &mut out);
        if timed {
            let taken = self.started.elapsed().saturating_sub(begin);
            histogram!("limpetdeck_decision_seconds").record(taken);
        }
        for action in out {
            if let Action::Traced(flow) = action {
                self.log_span(flow, begin);
            } else {
                self.act(action);
            }
        }
    }

    /// Tells whether the decision about the next packet is timed.
    fn is_timed(&self) -> bool {
        let left = self.untimed.get();
        self.untimed.set(if left == 0 { TIMED_ONE_IN - 1 } else { left - 1 });
        left == 0
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Fabric(packet) => match self.fabric {
                Some(fabric) => self.packets.send(&packet, fabric),
                None => log::error!("no_fabric"),
            },
            Action::Datagram(to, packet) => self.packets.send(&packet, to),
            Action::Peer(to, buf) | Action::PassOn(to, buf) => self.peers.send(&buf, to),
            Action::Platform(call) => self.call(call),
            Action::Probe(target, report) => self.probe(target, report),
            Action::Reach(address) => self.reach(address),
            Action::Traced(_) => {}
            Action::Exit => self.exit(),
        }
    }

    /// Logs the hop of a sampled flow's packet over this instance.
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

    fn call(self: &Rc<Self>, call: Call) {
        let daemon = Rc::clone(self);
        let deregisters = matches!(call, Call::Delete { .. });
        let task = self.ex.spawn(async move {
            let begin = daemon.started.elapsed();
            let result = daemon.platform.call(call.clone()).await;
            if !matches!(call, Call::Watch { .. }) {
                let taken = daemon.started.elapsed().saturating_sub(begin);
                histogram!("limpetdeck_platform_call_seconds").record(taken);
            }
            daemon.handle(Event::Platform(call, result));
        });
        if deregisters {
            self.deregistration.replace(Some(task));
        } else {
            task.detach();
        }
    }

    /// Ends the process once the deregistration is answered or has timed out.
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
            let answer = http::call(report.address, Request::get(report.path), PROBE_TIMEOUT).await;
            daemon.handle(Event::Probed(target, read_report(answer)));
        };
        self.ex.spawn(task).detach();
    }

    /// Opens a connection and closes it again.
    fn reach(self: &Rc<Self>, address: SocketAddr) {
        let daemon = Rc::clone(self);
        let task = async move {
            let connected = async { TcpStream::connect(address).await.is_ok() };
            let expired = async {
                smol::Timer::after(REACH_TIMEOUT).await;
                false
            };
            let reached = connected.or(expired).await;
            daemon.handle(Event::Reached(address, reached));
        };
        self.ex.spawn(task).detach();
    }

    /// Takes changed settings, if there are any.
    fn reload(self: &Rc<Self>) {
        self.next_reload.set(self.started.elapsed() + RELOAD_EVERY);
        let changed = self.reload.borrow_mut().as_mut().and_then(|reload| reload());
        if let Some(settings) = changed {
            log::info!(seeds = settings.seeds.len(), grace_ms = settings.grace.as_millis() as u64; "settings_reloaded");
            self.handle(Event::Changed(settings));
        }
    }
}

async fn read(daemon: Rc<Daemon>, socket: Arc<Async<UdpSocket>>, event: fn(Vec<u8>) -> Event) {
    let mut buf = vec![0; LARGEST_DATAGRAM];
    loop {
        // An error here is the report of an earlier datagram that found no receiver.
        if let Ok((len, _)) = socket.recv_from(&mut buf).await {
            daemon.handle(event(buf[..len].to_vec()));
        }
        // What has come meanwhile needs no further wait.
        for _ in 0..READ_AT_ONCE {
            let Ok((len, _)) = socket.get_ref().recv_from(&mut buf) else { break };
            daemon.handle(event(buf[..len].to_vec()));
        }
    }
}

async fn ticks(daemon: Rc<Daemon>) {
    loop {
        smol::Timer::after(TICK).await;
        daemon.handle(Event::Tick);
        daemon.rpc.set_status(daemon.core.borrow().status(daemon.started.elapsed()));
        if daemon.rpc.take_stop() {
            daemon.handle(Event::Stop);
        }
        if daemon.started.elapsed() >= daemon.next_reload.get() {
            daemon.reload();
        }
        flush_logs();
    }
}

async fn obey(daemon: Rc<Daemon>, mut signals: Signals) {
    loop {
        match signals.next().await {
            Signalled::Stop => daemon.handle(Event::Stop),
            Signalled::Reload => daemon.reload(),
        }
    }
}

fn handler(
    daemon: Rc<Daemon>,
    page: MetricsPage,
    health_path: String,
) -> impl Fn(Request) -> HandlerFuture {
    move |req| {
        let response = match (&req.method, req.route()) {
            (&Method::POST, "/rpc") => return answer_rpc(Rc::clone(&daemon.rpc), req.body),
            (_, "/rpc") => Response::text(StatusCode::METHOD_NOT_ALLOWED, "POST alone\n"),
            (_, path) if path == health_path => health(daemon.core.borrow().healthy()),
            (_, "/metrics") => Response::text(StatusCode::OK, page.render()),
            _ => Response::text(StatusCode::NOT_FOUND, "not found\n"),
        };
        Box::pin(async move { response })
    }
}

fn health(healthy: bool) -> Response {
    if healthy {
        Response::text(StatusCode::OK, "ok\n")
    } else {
        Response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

fn answer_rpc(rpc: Rc<Rpc>, body: Vec<u8>) -> HandlerFuture {
    Box::pin(async move {
        let body = rpc.answer(&body).await.into_bytes();
        Response { status: StatusCode::OK, content_type: "application/json", body }
    })
}
