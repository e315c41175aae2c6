//! Sockets, time and signals of one instance, on one thread.

use std::cell::RefCell;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant as Clock, SystemTime, UNIX_EPOCH};

use derive_more::{Display, Error};
use hyper::{Method, StatusCode};
use metrics::counter;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol::channel::{Sender, bounded};
use smol::net::TcpListener;
use smol::{Async, LocalExecutor, Task};

use crate::http::{self, HandlerFuture, Request, Response};
use crate::ids::TargetId;
use crate::instance::{Action, Event, Instance, InstanceConfig};
use crate::peer::{MemberInfo, MemberState};
use crate::placement::Policy;
use crate::platform::{Call, HttpPlatform, Platform};
use crate::rpc::Rpc;
use crate::services::ReportAddress;
use crate::settings::Settings;
use crate::signals::StopSignals;
use crate::targets::read_report;
use crate::telemetry::{MetricsPage, report_spans, start_logs};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(100);
/// Time after which a probe of a target has failed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(800);
/// Largest datagram that is read, in bytes.
const LARGEST_DATAGRAM: usize = 65_536;
/// Flows that one instance knows at most.
const FLOW_CAPACITY: usize = 2_000_000;

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
    instance: RefCell<Instance>,
    packets: Arc<Async<UdpSocket>>,
    peers: Arc<Async<UdpSocket>>,
    fabric: SocketAddr,
    platform: HttpPlatform,
    ex: Rc<LocalExecutor<'static>>,
    exit: Sender<()>,
    deregistration: RefCell<Option<Task<()>>>,
    rpc: Rc<Rpc>,
}

/// Runs an instance until it is told to stop.
///
/// # Errors
///
/// Fails if an address cannot be used or the process cannot be set up.
pub fn run(settings: Settings) -> Result<(), DaemonError> {
    start_logs(settings.log_level);
    report_spans();
    let page = MetricsPage::install().map_err(|e| DaemonError::Setup(e.to_string()))?;
    let ex = Rc::new(LocalExecutor::new());
    smol::block_on(ex.run(serve(Rc::clone(&ex), settings, page)))?;
    fastrace::flush();
    Ok(())
}

async fn serve(
    ex: Rc<LocalExecutor<'static>>,
    settings: Settings,
    page: MetricsPage,
) -> Result<(), DaemonError> {
    let packets = bind(settings.packet_address)?;
    let peers = bind(settings.peer_address)?;
    let listener = TcpListener::bind(settings.metrics_address)
        .await
        .map_err(|source| DaemonError::Bind { address: settings.metrics_address, source })?;
    let (exit, stopped) = bounded(1);
    let rpc = Rpc::new().map_err(|e| DaemonError::Setup(e.to_string()))?;
    let daemon = Rc::new(Daemon {
        started: Clock::now(),
        packets,
        peers,
        fabric: settings.fabric_address,
        platform: HttpPlatform::new(settings.platform_address),
        ex: Rc::clone(&ex),
        exit,
        deregistration: RefCell::new(None),
        rpc: Rc::new(rpc),
        instance: RefCell::new(instance(settings)),
    });
    ex.spawn(read(Rc::clone(&daemon), Arc::clone(&daemon.packets), Event::Packet)).detach();
    ex.spawn(read(Rc::clone(&daemon), Arc::clone(&daemon.peers), Event::Peer)).detach();
    ex.spawn(ticks(Rc::clone(&daemon))).detach();
    let signals = StopSignals::catch().map_err(|e| DaemonError::Setup(e.to_string()))?;
    ex.spawn(stops(Rc::clone(&daemon), signals)).detach();
    let handler = Rc::new(handler(Rc::clone(&daemon), page));
    ex.spawn(http::serve(Rc::clone(&ex), listener, handler)).detach();
    log::info!("started");
    // The sender lives as long as the daemon, so only an exit ends this wait.
    let _ = stopped.recv().await;
    log::info!("stopped");
    Ok(())
}

fn bind(address: SocketAddr) -> Result<Arc<Async<UdpSocket>>, DaemonError> {
    let socket = Async::<UdpSocket>::bind(address);
    socket.map(Arc::new).map_err(|source| DaemonError::Bind { address, source })
}

fn instance(settings: Settings) -> Instance {
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let me = MemberInfo {
        id: settings.instance,
        incarnation: started.as_millis() as u64,
        failure_domain: settings.failure_domain,
        peer_address: settings.peer_address,
        metrics_address: settings.metrics_address,
        state: MemberState::Joining,
    };
    let rng = SmallRng::seed_from_u64(me.incarnation ^ u64::from(me.id));
    let cfg = InstanceConfig {
        me,
        seeds: settings.seeds,
        peer_key: settings.peer_key,
        control_budget: settings.control_budget,
        flow_capacity: FLOW_CAPACITY,
        trace_one_in: settings.trace_one_in,
        policy: Policy::Epochs,
    };
    Instance::new(Duration::ZERO, cfg, rng)
}

impl Daemon {
    /// Hands an event to the instance and does what it wants done.
    fn handle(self: &Rc<Self>, event: Event) {
        let mut out = Vec::new();
        self.instance.borrow_mut().handle(self.started.elapsed(), event, &mut out);
        for action in out {
            self.act(action);
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        match action {
            Action::Fabric(packet) => send(&self.packets, &packet, self.fabric),
            Action::Peer(to, buf) | Action::PassOn(to, buf) => send(&self.peers, &buf, to),
            Action::Platform(call) => self.call(call),
            Action::Probe(target, report) => self.probe(target, report),
            Action::Exit => self.exit(),
        }
    }

    fn call(self: &Rc<Self>, call: Call) {
        let daemon = Rc::clone(self);
        let deregisters = matches!(call, Call::Delete { .. });
        let task = self.ex.spawn(async move {
            let result = daemon.platform.call(call.clone()).await;
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
}

/// Sends without waiting: a full socket buffer loses the datagram, as a network would.
fn send(socket: &Async<UdpSocket>, buf: &[u8], to: SocketAddr) {
    if socket.get_ref().send_to(buf, to).is_err() {
        counter!("limpetdeck_send_errors_total").increment(1);
    }
}

async fn read(daemon: Rc<Daemon>, socket: Arc<Async<UdpSocket>>, event: fn(Vec<u8>) -> Event) {
    let mut buf = vec![0; LARGEST_DATAGRAM];
    loop {
        // An error here is the report of an earlier datagram that found no receiver.
        if let Ok((len, _)) = socket.recv_from(&mut buf).await {
            daemon.handle(event(buf[..len].to_vec()));
        }
    }
}

async fn ticks(daemon: Rc<Daemon>) {
    loop {
        smol::Timer::after(TICK).await;
        daemon.handle(Event::Tick);
        daemon.rpc.set_status(daemon.instance.borrow().status(daemon.started.elapsed()));
        if daemon.rpc.take_stop() {
            daemon.handle(Event::Stop);
        }
    }
}

async fn stops(daemon: Rc<Daemon>, mut signals: StopSignals) {
    loop {
        signals.next().await;
        daemon.handle(Event::Stop);
    }
}

fn handler(daemon: Rc<Daemon>, page: MetricsPage) -> impl Fn(Request) -> HandlerFuture {
    move |req| {
        let response = match (&req.method, req.route()) {
            (&Method::POST, "/rpc") => return answer_rpc(Rc::clone(&daemon.rpc), req.body),
            (_, "/rpc") => Response::text(StatusCode::METHOD_NOT_ALLOWED, "POST alone\n"),
            (_, "/healthz") if daemon.instance.borrow().healthy() => {
                Response::text(StatusCode::OK, "ok\n")
            }
            (_, "/healthz") => Response::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            (_, "/metrics") => Response::text(StatusCode::OK, page.render()),
            _ => Response::text(StatusCode::NOT_FOUND, "not found\n"),
        };
        Box::pin(async move { response })
    }
}

fn answer_rpc(rpc: Rc<Rpc>, body: Vec<u8>) -> HandlerFuture {
    Box::pin(async move {
        let body = rpc.answer(&body).await.into_bytes();
        Response { status: StatusCode::OK, content_type: "application/json", body }
    })
}
