//! Main loop and HTTP API of a target process.

use std::cell::RefCell;
use std::io;
use std::net::Ipv4Addr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use limpetdeck::hash::HashMap;
use limpetdeck::http::{self, HandlerFuture, Request, Response, StatusCode};
use limpetdeck::placement::TargetState;
use limpetdeck::services::{RawServices, Services};
use limpetdeck::signals::Signals;
use limpetdeck::targets::Report;
use smol::LocalExecutor;
use smol::net::TcpListener;

use super::control::parse_state;
use super::journal::Journal;
use super::{TargetConfig, TargetServer};
use crate::stack::{FabricSocket, Host};

/// Longest time to wait for packets between two steps of the targets.
const MAX_POLL_WAIT: Duration = Duration::from_millis(5);

type Servers = Rc<RefCell<Vec<TargetServer>>>;

pub(super) async fn run(ex: Rc<LocalExecutor<'static>>, cfg: TargetConfig) -> io::Result<()> {
    let services = load_services(&cfg.services)?;
    let servers: Servers = Rc::new(RefCell::new(create_servers(&cfg, &services)));
    let listener = TcpListener::bind(cfg.control).await?;
    let handler_servers = Rc::clone(&servers);
    let handler = move |req: Request| -> HandlerFuture {
        let response = handle_request(&handler_servers, &req);
        Box::pin(async move { response })
    };
    ex.spawn(http::serve(Rc::clone(&ex), listener, Rc::new(handler))).detach();
    let mut journal = Journal::create(&cfg.journal)?;
    let mut signals = Signals::catch()?;
    log::info!(targets = servers.borrow().len(); "targets_started");
    let stopped = async {
        signals.next().await;
        Ok(())
    };
    let result = run_servers(&cfg, &servers, &mut journal).or(stopped).await;
    journal.flush();
    result
}

/// Reads and validates a services file in TOML.
///
/// # Errors
///
/// Fails if the file cannot be read or is invalid.
pub(crate) fn load_services(path: &Path) -> io::Result<Services> {
    let text = std::fs::read_to_string(path)?;
    let raw: RawServices = toml::from_str(&text).map_err(io::Error::other)?;
    Services::try_from(raw).map_err(io::Error::other)
}

fn create_servers(cfg: &TargetConfig, services: &Services) -> Vec<TargetServer> {
    let sale_duration = Duration::from_millis(cfg.work_ms);
    let feed_interval = Duration::from_millis(cfg.feed_ms);
    let targets = services
        .list()
        .iter()
        .flat_map(|service| service.targets.iter().map(|target| (service.id, target.clone())));
    targets
        .map(|(service, target)| TargetServer::new(target, service, sale_duration, feed_interval))
        .collect()
}

async fn run_servers(
    cfg: &TargetConfig,
    servers: &Servers,
    journal: &mut Journal,
) -> io::Result<()> {
    let started = Instant::now();
    let mut socket = FabricSocket::bind(cfg.listen, cfg.fabric)?;
    let mut hosts: HashMap<Ipv4Addr, Host> = HashMap::default();
    for server in servers.borrow().iter() {
        let ip = *server.target().address.ip();
        hosts.insert(ip, Host::new(ip, cfg.seed ^ u64::from(u32::from(ip))));
    }
    loop {
        socket.receive(MAX_POLL_WAIT, &mut hosts).await;
        let now = started.elapsed();
        for server in servers.borrow_mut().iter_mut() {
            let Some(host) = hosts.get_mut(server.target().address.ip()) else { continue };
            let before = host.poll(now);
            server.step(now, host, journal);
            let after = host.poll(now);
            if server.state() != TargetState::Dead {
                before.iter().chain(&after).for_each(|packet| socket.send(packet));
            }
        }
    }
}

fn handle_request(servers: &Servers, req: &Request) -> Response {
    let id = req.query("target").and_then(|text| text.parse().ok());
    let mut servers = servers.borrow_mut();
    let Some(server) = servers.iter_mut().find(|server| Some(server.target().id) == id) else {
        return Response::text(StatusCode::NOT_FOUND, "no such target\n");
    };
    match req.route() {
        "/report" if server.state() == TargetState::Dead => {
            let report = Report { state: TargetState::Dead, ..Report::default() };
            Response::json(StatusCode::OK, &report)
        }
        "/report" => Response::json(StatusCode::OK, &server.report()),
        "/set" => match update_server(server, req) {
            Ok(()) => Response::text(StatusCode::OK, "ok\n"),
            Err(problem) => Response::text(StatusCode::BAD_REQUEST, problem),
        },
        _ => Response::text(StatusCode::NOT_FOUND, "no such call\n"),
    }
}

fn update_server(server: &mut TargetServer, req: &Request) -> Result<(), String> {
    if let Some(state) = req.query("state") {
        server.set_state(parse_state(state)?);
    }
    if let Some(report_mode) = req.query("report") {
        server.set_report_mode(report_mode.parse()?);
    }
    Ok(())
}
