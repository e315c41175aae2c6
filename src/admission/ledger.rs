//! The open flows that this instance counts, and for whom.

use std::time::Duration;

use super::account::Account;
use crate::hash::HashMap;
use crate::ids::{Customer, FlowId, ServiceId};
use crate::pipeline::Question;
use crate::placement::FlowTable;

/// Shards of the counted flows; one is looked through at a time.
const SHARDS: usize = 64;

/// Time that an owner has for an answer.
const ANSWER_TIME: Duration = Duration::from_secs(20);
/// Times that an owner is asked before the flow counts as ended.
const MOST_ASKED: u8 = 3;

/// Place of an account in the ledger.
type AccountId = u32;

/// One counted flow.
#[derive(Debug, Clone, Copy)]
struct Entry {
    account: AccountId,
    /// When the flow has to be looked at again, in seconds.
    due: u32,
    /// Another placer has counted the flow before, and may still do so behind a cut.
    found: bool,
    /// Times that the flow's owner was asked whether the flow is open.
    asked: u8,
}

/// What is known of a counted flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Check {
    /// It is open.
    Open,
    /// Its owner has to be asked.
    Ask,
    /// Nobody knows it any more.
    Gone,
}

/// Where a flow that has ended was counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The flow was opened here.
    Opened,
    /// The flow was counted by another placer before.
    Found,
    /// The flow was not counted here.
    Unknown,
}

/// All counted flows, and the accounts that they belong to.
#[derive(Debug)]
pub struct Ledger {
    flows: Vec<HashMap<FlowId, Entry>>,
    accounts: Vec<Option<Account>>,
    free: Vec<AccountId>,
    by_service: HashMap<ServiceId, HashMap<Customer, AccountId>>,
    next_sweep: usize,
}

impl Default for Ledger {
    fn default() -> Self {
        Self {
            flows: vec![HashMap::default(); SHARDS],
            accounts: Vec::new(),
            free: Vec::new(),
            by_service: HashMap::default(),
            next_sweep: 0,
        }
    }
}

impl Ledger {
    /// Tells whether a flow is counted.
    pub fn counts(&self, flow: FlowId) -> bool {
        self.flows[shard(flow)].contains_key(&flow)
    }

    /// Returns the number of counted flows.
    pub fn flows(&self) -> usize {
        self.flows.iter().map(HashMap::len).sum()
    }

    /// Returns the accounts in use.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.iter().flatten()
    }

    /// Finds the account of a customer and service.
    pub fn account(&self, service: ServiceId, customer: &str) -> Option<&Account> {
        let id = *self.by_service.get(&service)?.get(customer)?;
        self.accounts[id as usize].as_ref()
    }

    /// Finds or opens the account of a customer and service.
    pub fn account_mut(
        &mut self,
        now: Duration,
        service: ServiceId,
        customer: &str,
        idle_timeout: Duration,
    ) -> (AccountId, &mut Account) {
        let known = self.by_service.get(&service).and_then(|by| by.get(customer));
        let id = known.copied().unwrap_or_else(|| self.free_place(service, customer));
        let account = self.accounts[id as usize]
            .get_or_insert_with(|| Account::new(now, service, customer.into()));
        account.set_idle_timeout(idle_timeout);
        (id, account)
    }

    /// Notes a flow that its account has just counted.
    pub fn opened(&mut self, now: Duration, flow: FlowId, account: AccountId) {
        self.insert(now, flow, account, false);
    }

    /// Notes that a flow is open still; answers whether it is counted.
    pub fn confirm(&mut self, now: Duration, flow: FlowId) -> bool {
        let Some(entry) = self.flows[shard(flow)].get_mut(&flow) else { return false };
        if let Some(account) = &self.accounts[entry.account as usize] {
            entry.due = seconds(now + account.idle_timeout());
            entry.asked = 0;
        }
        true
    }

    /// Counts a flow that was open before this instance placed its service.
    pub fn found(&mut self, now: Duration, flow: FlowId, account: AccountId) {
        if let Some(account) = &mut self.accounts[account as usize] {
            account.found();
        }
        self.insert(now, flow, account, true);
    }

    /// Takes an ended flow out of the count.
    pub fn ended(&mut self, now: Duration, flow: FlowId) -> End {
        let Some(entry) = self.flows[shard(flow)].remove(&flow) else { return End::Unknown };
        if let Some(account) = &mut self.accounts[entry.account as usize] {
            account.ended(now);
        }
        if entry.found { End::Found } else { End::Opened }
    }

    /// Forgets the flows of services that this instance does not place any more: it does
    /// not see their ends.
    pub fn keep_services(&mut self, keep: impl Fn(ServiceId) -> bool) {
        let accounts = &self.accounts;
        let kept = |id: AccountId| accounts[id as usize].as_ref().is_some_and(|a| keep(a.service));
        for shard in &mut self.flows {
            shard.retain(|_, entry| kept(entry.account));
        }
        self.drop_accounts(|account| !keep(account.service));
    }

    /// Looks through one shard for flows whose end nobody has told, and drops accounts
    /// that are not used. Adds the flows whose owners have to be asked.
    pub fn sweep(&mut self, now: Duration, known: &FlowTable, ask: &mut Vec<Question>) {
        let i = self.next_sweep;
        self.next_sweep = (i + 1) % SHARDS;
        let accounts = &mut self.accounts;
        self.flows[i].retain(|&flow, entry| {
            let Some(account) = &mut accounts[entry.account as usize] else { return false };
            match entry.check(now, flow, account.idle_timeout(), known) {
                Check::Open => {}
                Check::Ask => ask.push(Question { service: account.service, flow }),
                Check::Gone => account.forgotten(),
            }
            entry.asked <= MOST_ASKED
        });
        if i == 0 {
            self.drop_accounts(|account| account.unused(now));
        }
    }

    fn insert(&mut self, now: Duration, flow: FlowId, account: AccountId, found: bool) {
        let known = self.accounts[account as usize].as_ref();
        let idle_timeout = known.map_or(Duration::ZERO, Account::idle_timeout);
        let entry = Entry { account, due: seconds(now + idle_timeout), found, asked: 0 };
        self.flows[shard(flow)].insert(flow, entry);
    }

    fn free_place(&mut self, service: ServiceId, customer: &str) -> AccountId {
        let id = self.free.pop().unwrap_or_else(|| {
            self.accounts.push(None);
            (self.accounts.len() - 1) as AccountId
        });
        self.by_service.entry(service).or_default().insert(customer.into(), id);
        id
    }

    fn drop_accounts(&mut self, dropped: impl Fn(&Account) -> bool) {
        for (id, place) in self.accounts.iter_mut().enumerate() {
            let Some(account) = place.take_if(|account| dropped(account)) else { continue };
            self.free.push(id as AccountId);
            if let Some(by_customer) = self.by_service.get_mut(&account.service) {
                by_customer.remove(&account.customer);
            }
        }
        self.by_service.retain(|_, by_customer| !by_customer.is_empty());
    }
}

impl Entry {
    /// Tells whether the flow is open as far as this instance knows: a packet of it has
    /// passed here, or the owner has confirmed it, within the idle timeout.
    fn check(
        &mut self,
        now: Duration,
        flow: FlowId,
        idle_timeout: Duration,
        known: &FlowTable,
    ) -> Check {
        if seconds(now) < self.due {
            return Check::Open;
        }
        let quiet = known.get(flow).map_or(idle_timeout, |binding| binding.unconfirmed(now));
        if quiet < idle_timeout {
            self.due = seconds(now + idle_timeout.saturating_sub(quiet));
            self.asked = 0;
            return Check::Open;
        }
        self.due = seconds(now + ANSWER_TIME);
        self.asked += 1;
        if self.asked <= MOST_ASKED { Check::Ask } else { Check::Gone }
    }
}

fn seconds(time: Duration) -> u32 {
    u32::try_from(time.as_secs()).unwrap_or(u32::MAX)
}

fn shard(flow: FlowId) -> usize {
    (flow >> 58) as usize % SHARDS
}
