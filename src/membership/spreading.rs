//! News: what is taken from others, passed on, and pushed while it is fresh.

use std::time::Duration;

use rand::seq::IndexedRandom;

use super::table::{Member, Status};
use super::{CROWD, MOST_PUSHES, Membership, Message, News};
use crate::ids::InstanceId;
use crate::link::Outbox;
use crate::peer::Body;

/// Time for which dead ones are pinged each period after one of them has come back.
const HEALING: Duration = Duration::from_secs(10);
/// Bytes of news on one ping or answer.
const NEWS_BYTES: usize = 300;
/// Bytes of news on one message of fresh news.
const GOSSIP_BYTES: usize = 100;
/// Instances that fresh news are pushed to at once.
const GOSSIP_FANOUT: usize = 2;
/// Time between two pushes of fresh news.
const GOSSIP_EVERY: Duration = Duration::from_millis(100);
/// Time after which a spent push is granted again.
const GOSSIP_REFILL: Duration = Duration::from_millis(500);

impl Membership {
    pub(super) fn take_news(
        &mut self,
        now: Duration,
        from: InstanceId,
        news: &[News],
        out: &mut Outbox<'_>,
    ) {
        let before = self.announcement;
        for news in news {
            if let News::Alive { info, .. } = news
                && info.id == from
            {
                self.tell_predecessor(info, out);
            }
            if let Some(news) = self.apply(now, news) {
                self.queue.push(news, self.live().len());
            } else if self.queue.len() > CROWD {
                self.queue.heard(news);
            }
        }
        if self.announcement != before {
            let body = Body::Membership(Message::Gossip(vec![self.alive()]));
            self.send(from, &body, out);
        }
    }

    /// Takes news, and returns what others should hear.
    pub(super) fn apply(&mut self, now: Duration, news: &News) -> Option<News> {
        let id = news.about();
        if id == self.me.id {
            self.hear_of_self(news);
            return None;
        }
        let known = self.table.get(id).map(Member::lives);
        if known == Some(true) && now < self.healing_until && matches!(news, News::Dead(..)) {
            // The other side of a cut has buried this side, which is no sign of death.
            return None;
        }
        let fresh = self.table.apply(now, news)?;
        if let News::Alive { info, .. } = &fresh {
            self.contacts.met(info);
            self.probes.met(id, &mut self.rng);
            if known == Some(false) {
                self.healing_until = now + HEALING;
                self.queue.drop_deaths();
            }
        }
        self.note_change(now, &fresh);
        Some(fresh)
    }

    pub(super) fn spread(&mut self, now: Duration, news: News) {
        self.note_change(now, &news);
        self.queue.push(news, self.live().len());
    }

    pub(super) fn note_change(&mut self, now: Duration, news: &News) {
        self.last_change = now;
        match news {
            News::Suspect(id, _) => log::info!(instance = *id; "instance_suspected"),
            News::Dead(id, _) => log::warn!(instance = *id; "instance_dead"),
            News::Alive { info, .. } => log::debug!(instance = info.id; "instance_alive"),
        }
        self.changed |= !matches!(news, News::Suspect(..));
    }

    /// Returns the news that go to an instance: first what is wrongly thought of itself.
    /// One that does not count as live gets nothing else.
    pub(super) fn news_for(&mut self, id: Option<InstanceId>) -> Vec<News> {
        let Some(member) = id.and_then(|id| self.table.get(id)) else { return Vec::new() };
        let (id, revision) = (member.info.id, member.revision());
        match member.status {
            Status::Alive => self.queue.take(NEWS_BYTES),
            Status::Suspect { .. } => vec![News::Suspect(id, revision)],
            Status::Dead { .. } => vec![News::Dead(id, revision)],
        }
    }

    /// Pushes fresh news at once, as long as there are not many.
    pub(super) fn push_fresh(&mut self, now: Duration, out: &mut Outbox<'_>) {
        if now >= self.pushes.refill {
            self.pushes.refill = now + GOSSIP_REFILL;
            self.pushes.left = (self.pushes.left + 1).min(MOST_PUSHES);
        }
        if self.queue.len() == 0 || self.pushes.left == 0 || now < self.pushes.next {
            return;
        }
        self.pushes.next = now + GOSSIP_EVERY;
        self.pushes.left -= 1;
        let mut peers = self.live_peers();
        peers.retain(|&id| self.trusts(id));
        let peers: Vec<_> = peers.choose_multiple(&mut self.rng, GOSSIP_FANOUT).copied().collect();
        for id in peers {
            let news = self.queue.take(GOSSIP_BYTES);
            if !news.is_empty() {
                self.send(id, &Body::Membership(Message::Gossip(news)), out);
            }
        }
    }
}
