//! Main loop of a caller: sends sales at a fixed rate, advances all connections and writes the
//! journal.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use limpetdeck::hash::HashMap;
use limpetdeck::signals::Signals;

use super::feed::{Feed, FeedState};
use super::sale::{Sale, SaleOutcome};
use super::{CallerConfig, Tally};
use crate::stack::{FabricSocket, Host};

/// Longest time to wait for packets between two steps.
const MAX_POLL_WAIT: Duration = Duration::from_millis(5);
/// Time after the last sale in which responses are still awaited.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for which the socket of an ended sale is kept to handle late packets.
const SOCKET_RETENTION: Duration = Duration::from_secs(2);
/// First local port of the caller's connections, which follows 65,535 again.
const FIRST_PORT: u16 = 10_000;

struct Caller {
    cfg: CallerConfig,
    host: Host,
    feeds: Vec<Feed>,
    sales: Vec<Sale>,
    ended_sockets: Vec<(Duration, smoltcp::iface::SocketHandle)>,
    journal: BufWriter<File>,
    tally: Tally,
    next_id: u64,
    next_port: u16,
}

pub(super) async fn run(cfg: CallerConfig) -> io::Result<Tally> {
    let mut socket = FabricSocket::bind(cfg.listen, cfg.fabric)?;
    let mut signals = Signals::catch()?;
    let mut hosts: HashMap<Ipv4Addr, Host> = HashMap::default();
    let mut caller = Caller::new(cfg)?;
    let worked = async {
        let started = Instant::now();
        while !caller.is_done(started.elapsed()) {
            hosts.insert(
                caller.cfg.address,
                std::mem::replace(&mut caller.host, placeholder_host()),
            );
            socket.receive(MAX_POLL_WAIT, &mut hosts).await;
            if let Some(host) = hosts.remove(&caller.cfg.address) {
                caller.host = host;
            }
            caller.step(started.elapsed(), &socket);
        }
    };
    let stopped = async {
        signals.next().await;
    };
    worked.or(stopped).await;
    caller.finish()
}

fn placeholder_host() -> Host {
    Host::new(Ipv4Addr::UNSPECIFIED, 0)
}

impl Caller {
    fn new(cfg: CallerConfig) -> io::Result<Self> {
        let host = Host::new(cfg.address, cfg.seed ^ u64::from(u32::from(cfg.address)));
        let journal = BufWriter::new(File::create(&cfg.journal)?);
        let mut caller = Self {
            next_id: cfg.first_id,
            next_port: FIRST_PORT,
            tally: Tally::default(),
            host,
            feeds: Vec::new(),
            sales: Vec::new(),
            ended_sockets: Vec::new(),
            journal,
            cfg,
        };
        for _ in 0..caller.cfg.feeds {
            let (id, handle) = caller.connect();
            caller.feeds.push(Feed::new(id, handle, caller.cfg.service_id));
        }
        Ok(caller)
    }

    fn connect(&mut self) -> (u64, smoltcp::iface::SocketHandle) {
        let id = self.next_id;
        let port = self.next_port;
        self.next_id += 1;
        self.next_port = self.next_port.checked_add(1).unwrap_or(FIRST_PORT);
        let handle = self.host.add_socket();
        if !self.host.connect(handle, self.cfg.service, port) {
            log::error!(port = port; "cannot_connect");
        }
        (id, handle)
    }

    fn step(&mut self, now: Duration, socket: &FabricSocket) {
        let before = self.host.poll(now);
        self.send_sales(now);
        self.step_feeds();
        self.step_sales(now);
        self.remove_ended(now);
        let after = self.host.poll(now);
        before.iter().chain(&after).for_each(|packet| socket.send(packet));
    }

    fn send_sales(&mut self, now: Duration) {
        let until = now.min(Duration::from_secs(self.cfg.seconds));
        let due = until.as_secs_f64() * f64::from(self.cfg.sales_per_second);
        while (self.tally.sales_sent as f64) < due {
            let (id, handle) = self.connect();
            self.sales.push(Sale::new(id, handle, self.cfg.service_id));
            self.tally.sales_sent += 1;
        }
    }

    fn step_feeds(&mut self) {
        for feed in &mut self.feeds {
            let before = feed.state;
            feed.step(&mut self.host);
            if before == FeedState::Opening && feed.state == FeedState::Open {
                self.tally.feeds_opened += 1;
            }
            if before != FeedState::Broken && feed.state == FeedState::Broken {
                self.tally.feeds_broken += 1;
                self.tally.wrong_service += u64::from(feed.wrong_service);
                log::warn!(id = feed.id; "feed_broken");
            }
        }
    }

    fn step_sales(&mut self, now: Duration) {
        let mut ended = Vec::new();
        for (i, sale) in self.sales.iter_mut().enumerate() {
            if let Some(outcome) = sale.step(&mut self.host) {
                ended.push((i, outcome));
            }
        }
        for (i, outcome) in ended.into_iter().rev() {
            let sale = self.sales.swap_remove(i);
            self.ended_sockets.push((now + SOCKET_RETENTION, sale.handle));
            self.record_outcome(sale.id, outcome);
        }
    }

    fn record_outcome(&mut self, id: u64, outcome: SaleOutcome) {
        let (count, word) = match outcome {
            SaleOutcome::Answered => (&mut self.tally.sales_answered, "answered"),
            SaleOutcome::Refused => (&mut self.tally.sales_refused, "refused"),
            SaleOutcome::Unknown => (&mut self.tally.sales_unknown, "unknown"),
            SaleOutcome::WrongAnswer => (&mut self.tally.wrong_answers, "wrong_answer"),
            SaleOutcome::WrongService => (&mut self.tally.wrong_service, "wrong_service"),
        };
        *count += 1;
        if writeln!(self.journal, "{word} {id} {}", self.cfg.service_id).is_err() {
            log::error!(id = id; "journal_lost");
        }
    }

    fn remove_ended(&mut self, now: Duration) {
        let host = &mut self.host;
        self.ended_sockets.retain(|&(due, handle)| {
            if due <= now {
                host.remove_socket(handle);
            }
            due > now
        });
    }

    fn is_done(&self, now: Duration) -> bool {
        let end = Duration::from_secs(self.cfg.seconds);
        now >= end + RESPONSE_TIMEOUT || (now > end && self.sales.is_empty())
    }

    fn finish(mut self) -> io::Result<Tally> {
        for sale in std::mem::take(&mut self.sales) {
            self.record_outcome(sale.id, SaleOutcome::Unknown);
        }
        self.tally.feeds_broken +=
            self.feeds.iter().filter(|feed| feed.state == FeedState::Opening).count() as u64;
        writeln!(self.journal, "tally {}", self.tally)?;
        self.journal.flush()?;
        Ok(self.tally)
    }
}
