//! News that wait to be passed on, each a bounded number of times.

use std::collections::BTreeMap;

use super::message::News;
use crate::ids::InstanceId;

/// Times that news are passed on, for each decimal digit of the number of instances.
const SENDS_PER_DIGIT: u32 = 4;

#[derive(Debug)]
struct Waiting {
    news: News,
    bytes: usize,
    sends_left: u32,
}

/// The latest news of each instance that still have to be passed on.
#[derive(Debug, Default)]
pub(super) struct NewsQueue {
    waiting: BTreeMap<InstanceId, Waiting>,
}

impl NewsQueue {
    /// Adds news in place of older ones about the same instance.
    pub(super) fn push(&mut self, news: News, instances: usize) {
        // Writing to memory fails for no type that a message has.
        let bytes = postcard::to_stdvec(&news).unwrap_or_default().len();
        let digits = (instances + 1).ilog10() + 1;
        let waiting = Waiting { bytes, sends_left: SENDS_PER_DIGIT * digits, news };
        self.waiting.insert(waiting.news.about(), waiting);
    }

    /// Takes news that fit the bytes, the least often sent first.
    pub(super) fn take(&mut self, mut room: usize) -> Vec<News> {
        let mut order: Vec<_> =
            self.waiting.iter().map(|(&id, waiting)| (waiting.sends_left, id)).collect();
        order.sort_unstable_by_key(|&(sends_left, id)| (std::cmp::Reverse(sends_left), id));
        let mut taken = Vec::new();
        for (_, id) in order {
            let Some(waiting) = self.waiting.get_mut(&id) else { continue };
            if waiting.bytes > room {
                continue;
            }
            room -= waiting.bytes;
            waiting.sends_left -= 1;
            taken.push(waiting.news.clone());
        }
        self.waiting.retain(|_, waiting| waiting.sends_left > 0);
        taken
    }

    /// Notes that others pass the same news on, so that it needs one time less.
    pub(super) fn heard(&mut self, news: &News) {
        let Some(waiting) = self.waiting.get_mut(&news.about()) else { return };
        if waiting.news == *news {
            waiting.sends_left = waiting.sends_left.saturating_sub(1).max(1);
        }
    }

    /// Returns the number of instances of which news wait.
    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Drops deaths: once a cut heals, they speak of those behind it.
    pub(super) fn drop_deaths(&mut self) {
        self.waiting.retain(|_, waiting| !matches!(waiting.news, News::Dead(..)));
    }

    /// Drops what waits.
    pub(super) fn clear(&mut self) {
        self.waiting.clear();
    }
}
