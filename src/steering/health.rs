//! Which targets answer, learnt from the flows themselves.
//!
//! Answers load pattern "targets fall silent": for the seconds until the platform drops such a
//! target, callers must neither be sent there nor be left waiting there. Silence alone keeps
//! new flows away, which does no harm if it is a mistake. Open flows are broken off only if
//! the target accepts no connection either.

use std::net::SocketAddr;
use std::time::Duration;

use super::token::TargetStart;
use crate::hash::HashMap;
use crate::ids::FlowId;

/// Flows whose packets go unanswered before a target counts as silent.
const UNANSWERED_FLOWS: usize = 2;
/// Silence to everybody after which a target can count as silent. Requests that a target
/// works on for long are repeated too, but meanwhile it answers others.
const LEAST_SILENCE: Duration = Duration::from_millis(350);
/// Silence after which a single flow is enough.
const LONG_SILENCE: Duration = Duration::from_millis(600);
/// Time for which a silent target gets no new flows before one is tried again.
const AVOID: Duration = Duration::from_millis(2_500);
/// Least time between two attempts to connect to a target.
const CONNECT_EVERY: Duration = Duration::from_millis(1_000);
/// Silence after which an attempt to connect is worth its price: a single repeated packet.
const CONNECT_AFTER: Duration = Duration::from_millis(190);
/// Failed attempts after which a target is dead even if its flows show nothing.
const FAILED_ALONE: u32 = 2;
/// Time for which a target that accepted no connection counts as dead.
const DEAD_FOR: Duration = Duration::from_millis(2_500);

#[derive(Debug, Clone, Default)]
struct Signs {
    /// When the target last answered.
    life: Option<Duration>,
    /// Flows whose packets went unanswered since.
    unanswered: Vec<FlowId>,
    /// When the first packet was sent that went unanswered since.
    first_sent: Duration,
    /// When the last repeat of an unanswered packet passed.
    last_repeat: Duration,
    silent: bool,
    /// Address to which a connection is tried, and since when.
    connecting: Option<(SocketAddr, Duration)>,
    next_connect: Duration,
    /// Attempts to connect that failed in a row.
    failed: u32,
    /// Until when the target counts as dead.
    dead_until: Duration,
}

/// What is seen of the targets' answers.
#[derive(Debug, Default)]
pub struct Health {
    signs: HashMap<TargetStart, Signs>,
    /// Addresses to which connections are to be tried.
    to_connect: Vec<SocketAddr>,
}

impl Health {
    /// Notes that a target has answered. Answers true if it had counted as silent.
    pub fn life(&mut self, now: Duration, target: TargetStart) -> bool {
        let signs = self.signs.entry(target).or_default();
        let was_silent = signs.silent;
        signs.unanswered.clear();
        signs.life = Some(now);
        signs.silent = false;
        signs.failed = 0;
        signs.dead_until = Duration::ZERO;
        was_silent
    }

    /// Notes that a flow's packet, first sent some time ago, was not answered. Answers true
    /// if the target counts as silent from now on.
    pub fn unanswered(
        &mut self,
        now: Duration,
        target: TargetStart,
        flow: FlowId,
        waited: Duration,
    ) -> bool {
        let signs = self.signs.entry(target).or_default();
        let sent = now.saturating_sub(waited);
        if signs.life.is_some_and(|life| life >= sent) {
            // It has answered others since: it is busy, or the packet was lost on the way.
            return false;
        }
        if signs.unanswered.is_empty() {
            signs.first_sent = sent;
        }
        signs.first_sent = signs.first_sent.min(sent);
        if signs.unanswered.len() < UNANSWERED_FLOWS && !signs.unanswered.contains(&flow) {
            signs.unanswered.push(flow);
        }
        signs.last_repeat = now;
        let silence = now.saturating_sub(signs.first_sent);
        let several = signs.unanswered.len() >= UNANSWERED_FLOWS && silence >= LEAST_SILENCE;
        let was_silent = std::mem::replace(&mut signs.silent, several || silence >= LONG_SILENCE);
        signs.silent && !was_silent
    }

    /// Tells whether a target counts as silent.
    pub fn is_silent(&self, now: Duration, target: TargetStart) -> bool {
        let silent = |signs: &Signs| {
            (signs.silent && now < signs.last_repeat + AVOID) || now < signs.dead_until
        };
        self.signs.get(&target).is_some_and(silent)
    }

    /// Tells whether something sent to a target went unanswered since it last answered.
    pub fn is_doubtful(&self, target: TargetStart) -> bool {
        self.signs.get(&target).is_some_and(|signs| !signs.unanswered.is_empty())
    }

    /// Tells whether a target has stopped for certain.
    pub fn is_dead(&self, now: Duration, target: TargetStart) -> bool {
        self.signs.get(&target).is_some_and(|signs| now < signs.dead_until)
    }

    /// Has a connection tried to a target that may have stopped, unless that was done lately
    /// or the target has just answered.
    pub fn doubt(&mut self, now: Duration, target: TargetStart, address: SocketAddr) {
        let signs = self.signs.entry(target).or_default();
        let answered = signs.life.is_some_and(|life| now < life + CONNECT_AFTER);
        if !answered && now >= signs.next_connect {
            signs.next_connect = now + CONNECT_EVERY;
            signs.connecting = Some((address, now));
            self.to_connect.push(address);
        }
    }

    /// Returns the addresses to which connections are to be tried.
    pub fn take_doubts(&mut self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.to_connect)
    }

    /// Takes the outcome of an attempt to connect. Returns the targets that count as dead
    /// from now on: those that have not answered since the attempt began, if they are silent
    /// to their flows too. If the flows show nothing, a second attempt has to fail.
    pub fn reached(
        &mut self,
        now: Duration,
        address: SocketAddr,
        accepted: bool,
    ) -> Vec<TargetStart> {
        let mut dead = Vec::new();
        for (&target, signs) in &mut self.signs {
            let Some((_, since)) = signs.connecting.filter(|(tried, _)| *tried == address) else {
                continue;
            };
            signs.connecting = None;
            if accepted || signs.life.is_some_and(|life| life >= since) {
                signs.failed = 0;
                signs.dead_until = Duration::ZERO;
                continue;
            }
            signs.failed += 1;
            if !signs.silent && signs.failed < FAILED_ALONE {
                signs.connecting = Some((address, since));
                self.to_connect.push(address);
                continue;
            }
            if now >= signs.dead_until {
                dead.push(target);
            }
            signs.dead_until = now + DEAD_FOR;
        }
        dead
    }

    /// Forgets targets of which nothing was seen for a time.
    pub fn forget(&mut self, now: Duration, after: Duration) {
        let last = |signs: &Signs| {
            signs.last_repeat.max(signs.next_connect).max(signs.life.unwrap_or_default())
        };
        self.signs.retain(|_, signs| now < last(signs) + after);
    }
}
