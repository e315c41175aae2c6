//! Reads and compares journals.

use std::fmt;
use std::io;
use std::path::PathBuf;

use limpetdeck::hash::HashMap;

use crate::caller::Tally;

/// Result of a run; its `Display` form is one line of key=value pairs.
#[derive(Debug, Default)]
pub struct RunResult {
    tally: Tally,
    executions_by_id: HashMap<u64, u64>,
    executions: u64,
    refused_but_ran: u64,
    answered_but_not_run: u64,
    callers: u64,
}

impl RunResult {
    /// Reads all journals of a run.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read.
    pub fn read(callers: &[PathBuf], targets: &[PathBuf]) -> io::Result<Self> {
        let mut result = Self::default();
        for path in targets {
            result.add_target(&std::fs::read_to_string(path)?);
        }
        for path in callers {
            result.add_caller(&std::fs::read_to_string(path)?);
        }
        Ok(result)
    }

    /// Adds the journal of a target process. All of them must be added before the callers'.
    pub fn add_target(&mut self, journal: &str) {
        for id in journal.lines().filter_map(|line| parse_id(line, "executed")) {
            *self.executions_by_id.entry(id).or_default() += 1;
            self.executions += 1;
        }
    }

    /// Adds a caller's journal.
    pub fn add_caller(&mut self, journal: &str) {
        for line in journal.lines() {
            if let Some(id) = parse_id(line, "refused") {
                self.refused_but_ran += u64::from(self.executions_by_id.contains_key(&id));
            } else if let Some(id) = parse_id(line, "answered") {
                self.answered_but_not_run += u64::from(!self.executions_by_id.contains_key(&id));
            } else if let Some(tally) = line.strip_prefix("tally ") {
                self.callers += 1;
                self.add_tally(tally);
            }
        }
    }

    /// Returns whether there were sales and feeds, every sale was answered correctly and
    /// executed once, and no feed broke.
    pub fn is_ok(&self) -> bool {
        let tally = &self.tally;
        self.callers > 0
            && tally.sales_sent > 0
            && tally.sales_answered == tally.sales_sent
            && self.executed_twice() == 0
            && tally.wrong_answers == 0
            && tally.wrong_service == 0
            && self.refused_but_ran == 0
            && self.answered_but_not_run == 0
            && tally.feeds_opened > 0
            && tally.feeds_broken == 0
    }

    fn executed_twice(&self) -> usize {
        self.executions_by_id.values().filter(|&&times| times > 1).count()
    }

    fn add_tally(&mut self, text: &str) {
        for pair in text.split(' ') {
            let Some((key, value)) = pair.split_once('=') else { continue };
            let value: u64 = value.parse().unwrap_or(0);
            match key {
                "sales_sent" => self.tally.sales_sent += value,
                "sales_answered" => self.tally.sales_answered += value,
                "sales_refused" => self.tally.sales_refused += value,
                "sales_unknown" => self.tally.sales_unknown += value,
                "wrong_answers" => self.tally.wrong_answers += value,
                "wrong_service" => self.tally.wrong_service += value,
                "feeds_opened" => self.tally.feeds_opened += value,
                "feeds_broken" => self.tally.feeds_broken += value,
                _ => {}
            }
        }
    }
}

impl fmt::Display for RunResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tally = &self.tally;
        write!(
            f,
            "result={} sales_sent={} sales_answered={} sales_executed={} executed_twice={} \
             wrong_answers={} wrong_service={} feeds_opened={} feeds_broken={}",
            if self.is_ok() { "ok" } else { "failed" },
            tally.sales_sent,
            tally.sales_answered,
            self.executions,
            self.executed_twice(),
            tally.wrong_answers,
            tally.wrong_service,
            tally.feeds_opened,
            tally.feeds_broken,
        )?;
        if self.is_ok() {
            return Ok(());
        }
        write!(
            f,
            " sales_refused={} sales_unknown={} refused_but_ran={} answered_but_not_run={}",
            tally.sales_refused,
            tally.sales_unknown,
            self.refused_but_ran,
            self.answered_but_not_run
        )
    }
}

fn parse_id(line: &str, word: &str) -> Option<u64> {
    let mut words = line.split(' ');
    (words.next() == Some(word)).then(|| words.next()?.parse().ok())?
}
