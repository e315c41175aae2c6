//! The caller's process: paces sales, steps connections, writes the journal.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use futures_lite::FutureExt;
use limpetdeck::hash::HashMap;
use limpetdeck::signals::Signals;

use super::feed::{Feed, FeedState};
use super::sale::{Sale, SaleEnd};
use super::{CallerConfig, Tally};
use crate::stack::{Host, Port};

/// Longest time between two steps.
const STEP: Duration = Duration::from_millis(5);
/// Time after the last sale in which sales may still end.
const GRACE: Duration = Duration::from_secs(15);
/// Time that a closed connection is kept for late packets.
const LINGER: Duration = Duration::from_secs(2);
/// First port of the caller's connections.
const FIRST_PORT: u16 = 10_000;

struct Caller {
    cfg: CallerConfig,
    host: Host,
    feeds: Vec<Feed>,
    sales: Vec<Sale>,
    closing: Vec<(Duration, smoltcp::iface::SocketHandle)>,
    journal: BufWriter<File>,
    tally: Tally,
    next_id: u64,
    next_port: u16,
}

pub(super) async fn run(cfg: CallerConfig) -> io::Result<Tally> {
    let mut port = Port::open(cfg.listen, cfg.fabric)?;
    let mut signals = Signals::catch()?;
    let mut hosts: HashMap<Ipv4Addr, Host> = HashMap::default();
    let mut caller = Caller::new(cfg)?;
    let worked = async {
        let started = Instant::now();
        while !caller.done(started.elapsed()) {
            hosts.insert(caller.cfg.address, std::mem::replace(&mut caller.host, empty()));
            port.receive(STEP, &mut hosts).await;
            if let Some(host) = hosts.remove(&caller.cfg.address) {
                caller.host = host;
            }
            caller.step(started.elapsed(), &port);
        }
    };
    let stopped = async {
        signals.next().await;
    };
    worked.or(stopped).await;
    caller.finish()
}

fn empty() -> Host {
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
            closing: Vec::new(),
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
        let handle = self.host.add();
        if !self.host.connect(handle, self.cfg.service, port) {
            log::error!(port = port; "cannot_connect");
        }
        (id, handle)
    }

    fn step(&mut self, now: Duration, port: &Port) {
        let before = self.host.poll(now);
        self.send_sales(now);
        self.step_feeds();
        self.step_sales(now);
        self.forget_closed(now);
        let after = self.host.poll(now);
        before.iter().chain(&after).for_each(|packet| port.send(packet));
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
            if let Some(end) = sale.step(&mut self.host) {
                ended.push((i, end));
            }
        }
        for (i, end) in ended.into_iter().rev() {
            let sale = self.sales.swap_remove(i);
            self.closing.push((now + LINGER, sale.handle));
            self.note(sale.id, end);
        }
    }

    fn note(&mut self, id: u64, end: SaleEnd) {
        let (count, word) = match end {
            SaleEnd::Answered => (&mut self.tally.sales_answered, "answered"),
            SaleEnd::Refused => (&mut self.tally.sales_refused, "refused"),
            SaleEnd::Unknown => (&mut self.tally.sales_unknown, "unknown"),
            SaleEnd::WrongAnswer => (&mut self.tally.wrong_answers, "wrong_answer"),
            SaleEnd::WrongService => (&mut self.tally.wrong_service, "wrong_service"),
        };
        *count += 1;
        if writeln!(self.journal, "{word} {id} {}", self.cfg.service_id).is_err() {
            log::error!(id = id; "journal_lost");
        }
    }

    fn forget_closed(&mut self, now: Duration) {
        let host = &mut self.host;
        self.closing.retain(|&(due, handle)| {
            if due <= now {
                host.remove(handle);
            }
            due > now
        });
    }

    fn done(&self, now: Duration) -> bool {
        let end = Duration::from_secs(self.cfg.seconds);
        now >= end + GRACE || (now > end && self.sales.is_empty())
    }

    fn finish(mut self) -> io::Result<Tally> {
        for sale in std::mem::take(&mut self.sales) {
            self.note(sale.id, SaleEnd::Unknown);
        }
        self.tally.feeds_broken +=
            self.feeds.iter().filter(|feed| feed.state == FeedState::Opening).count() as u64;
        writeln!(self.journal, "tally {}", self.tally)?;
        self.journal.flush()?;
        Ok(self.tally)
    }
}
