//! Sockets and HTTP API of the fabric.

use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use etherparse::Ipv4HeaderSlice;
use limpetdeck::http::{self, HandlerFuture, Request, Response, StatusCode};
use limpetdeck::signals::Signals;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol::net::TcpListener;
use smol::{Async, LocalExecutor};

use super::health::{self, Healthy};
use super::{FabricConfig, FabricFaults, NextHop, Routes};

/// Largest datagram that is received, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

struct Fabric {
    socket: Arc<Async<UdpSocket>>,
    routes: Routes,
    healthy: Healthy,
    faults: RefCell<FabricFaults>,
    rng: RefCell<SmallRng>,
    ex: Rc<LocalExecutor<'static>>,
}

pub(super) async fn run(ex: Rc<LocalExecutor<'static>>, cfg: FabricConfig) -> io::Result<()> {
    let healthy = Healthy::default();
    let fabric = Rc::new(Fabric {
        socket: Arc::new(Async::<UdpSocket>::bind(cfg.listen)?),
        routes: Routes::new(cfg.callers, cfg.targets),
        healthy: Rc::clone(&healthy),
        faults: RefCell::default(),
        rng: RefCell::new(SmallRng::seed_from_u64(cfg.seed)),
        ex: Rc::clone(&ex),
    });
    for entry in cfg.entries {
        ex.spawn(health::check_instance(entry, Rc::clone(&healthy))).detach();
    }
    for relay in cfg.relays {
        let socket = Arc::new(Async::<UdpSocket>::bind(relay.key)?);
        ex.spawn(relay_messages(Rc::clone(&fabric), socket, relay.address)).detach();
    }
    let listener = TcpListener::bind(cfg.control).await?;
    let handler_fabric = Rc::clone(&fabric);
    let handler = move |req: Request| -> HandlerFuture {
        let response = handler_fabric.handle_request(&req);
        Box::pin(async move { response })
    };
    ex.spawn(http::serve(Rc::clone(&ex), listener, Rc::new(handler))).detach();
    ex.spawn(forward_packets(fabric)).detach();
    log::info!("fabric_started");
    Signals::catch()?.next().await;
    Ok(())
}

/// Forwards packets of flows until the future is dropped.
async fn forward_packets(fabric: Rc<Fabric>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((len, _)) = fabric.socket.recv_from(&mut buf).await {
            fabric.forward_packet(&buf[..len]);
        }
    }
}

/// Relays peer messages to one instance until the future is dropped.
async fn relay_messages(fabric: Rc<Fabric>, socket: Arc<Async<UdpSocket>>, to: SocketAddr) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, from)) = socket.recv_from(&mut buf).await else { continue };
        if fabric.faults.borrow().reachable(from, to) {
            fabric.send(&socket, &buf[..len], to);
        }
    }
}

impl Fabric {
    fn forward_packet(&self, packet: &[u8]) {
        let Ok(header) = Ipv4HeaderSlice::from_slice(packet) else { return };
        match self.routes.next_hop(header.source(), header.destination()) {
            NextHop::Process(to) => self.send(&self.socket, packet, to),
            NextHop::AnyInstance => {
                if let Some(to) = self.random_instance() {
                    self.send(&self.socket, packet, to);
                }
            }
        }
    }

    fn random_instance(&self) -> Option<SocketAddr> {
        let healthy = self.healthy.borrow();
        if healthy.is_empty() {
            return None;
        }
        let i = self.rng.borrow_mut().random_range(0..healthy.len());
        Some(healthy[i])
    }

    fn send(&self, socket: &Arc<Async<UdpSocket>>, packet: &[u8], to: SocketAddr) {
        let copy_delays = self.faults.borrow().copy_delays(&mut self.rng.borrow_mut());
        for delay in copy_delays {
            if delay.is_zero() {
                let _ = socket.get_ref().send_to(packet, to);
            } else {
                let socket = Arc::clone(socket);
                self.ex.spawn(send_later(socket, packet.to_vec(), to, delay)).detach();
            }
        }
    }

    fn handle_request(&self, req: &Request) -> Response {
        let mut faults = self.faults.borrow_mut();
        let result = match req.route() {
            "/faults" => faults.set(req),
            "/cut" => faults.add_partition(req),
            "/heal" => {
                faults.heal();
                Ok(())
            }
            _ => return Response::text(StatusCode::NOT_FOUND, "no such call\n"),
        };
        log::info!(call = req.path.as_str(), ok = result.is_ok(); "fault");
        match result {
            Ok(()) => Response::text(StatusCode::OK, "ok\n"),
            Err(problem) => Response::text(StatusCode::BAD_REQUEST, problem),
        }
    }
}

async fn send_later(
    socket: Arc<Async<UdpSocket>>,
    packet: Vec<u8>,
    to: SocketAddr,
    delay: Duration,
) {
    smol::Timer::after(delay).await;
    let _ = socket.get_ref().send_to(&packet, to);
}
