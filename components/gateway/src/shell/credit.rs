//! Draws on customers' allowances.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use log::info;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::peering::ASK_AGAIN;
use super::state::Shared;
use crate::allowance::{Credit, CustomerId, Draw, Level, Standing, Take, Terms};
use crate::broker::{Matter, Message};
use crate::model::{Allowance, PeerId};

/// Questions after which a keeper that has not answered is passed over.
const QUESTIONS: u32 = 3;

/// Entries that are asked: the keeper, and the one that stands in for it.
const KEEPERS: usize = 2;

/// Longest wait of a request for a keeper that does not grant yet: as long as one that takes over
/// lets pass.
const KEEPER_AWAITED: Duration = Duration::from_millis(600);

/// Longest pause in that time before the keeper is asked again.
const KEEPER_POLL: Duration = Duration::from_millis(100);

/// Silence of a keeper after which the next in the ranking stands in for it; two copies long.
const KEEPER_SILENCE: Duration = Duration::from_millis(600);

/// Whether a request is within its customer's allowance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Within {
    /// It is, and counts.
    Yes,
    /// It is not before this time has passed.
    Not {
        /// When the bucket is expected to hold enough.
        retry_after: Duration,
        /// Whether the entry went by its own share, as it heard nothing of the keeper.
        by_own_share: bool,
    },
}

/// A question to a keeper. Dropping it unanswered withdraws it.
struct OpenDraw<'a> {
    shared: &'a Shared,
    draw: Draw,
    settled: bool,
}

impl Drop for OpenDraw<'_> {
    fn drop(&mut self) {
        self.shared.draws.borrow_mut().remove(&self.draw.number);
        if !self.settled {
            let now = self.shared.clock.now();
            self.shared.purse.borrow_mut().hear(&self.draw, None, now);
        }
    }
}

impl Shared {
    /// Takes a request's cost out of its customer's allowance. While no keeper answers, it waits, for
    /// `patience` at most, until the entry's own share is enough or a keeper is there.
    pub(super) async fn take_allowance(
        &self,
        customer: CustomerId,
        allowance: Allowance,
        cost: f64,
        patience: Duration,
    ) -> Within {
        self.purse.borrow_mut().note_demand(customer, cost, self.clock.now());
        let until = self.clock.now() + patience.min(KEEPER_AWAITED);
        loop {
            let within = self.try_allowance(customer, allowance, cost).await;
            let Within::Not { retry_after, by_own_share: true } = within else { return within };
            let pause = retry_after.min(KEEPER_POLL);
            if self.clock.now() + pause > until {
                return within;
            }
            tokio::time::sleep(pause).await;
        }
    }

    async fn try_allowance(&self, customer: CustomerId, allowance: Allowance, cost: f64) -> Within {
        let now = self.clock.now();
        let mut take = self.purse.borrow_mut().take(customer, cost, now);
        if let Take::Ask(draw) = take {
            let answer = self.draw(draw).await;
            let now = self.clock.now();
            self.purse.borrow_mut().hear(&draw, answer, now);
            if matches!(answer, None | Some(Credit::NotHere)) {
                return self.take_own_share(customer, allowance, cost, now);
            }
            take = self.purse.borrow_mut().take(customer, cost, now);
        }
        match take {
            Take::Granted => Within::Yes,
            Take::Refused(retry_after) => Within::Not { retry_after, by_own_share: false },
            // Others took the credit meanwhile.
            Take::Ask(draw) => {
                self.purse.borrow_mut().hear(&draw, None, now);
                Within::Not { retry_after: ASK_AGAIN, by_own_share: false }
            }
        }
    }

    fn take_own_share(
        &self,
        customer: CustomerId,
        allowance: Allowance,
        cost: f64,
        now: Instant,
    ) -> Within {
        let entries = self.peers.borrow().entries();
        match self.purse.borrow_mut().take_share(customer, allowance, cost, entries, now) {
            Take::Refused(retry_after) => Within::Not { retry_after, by_own_share: true },
            Take::Granted | Take::Ask(_) => Within::Yes,
        }
    }

    /// Asks the customer's keeper, and then the one that stands in for it; `None` where neither
    /// answers.
    async fn draw(&self, draw: Draw) -> Option<Credit> {
        let ranked = self.ranked_entries(Matter::Customer(draw.customer));
        for keeper in ranked.iter().take(KEEPERS) {
            match self.draw_on(*keeper, draw).await {
                None | Some(Credit::NotHere) => {}
                answer => return answer,
            }
        }
        None
    }

    async fn draw_on(&self, keeper: PeerId, draw: Draw) -> Option<Credit> {
        if keeper == self.process_id {
            return Some(self.credit(keeper, draw));
        }
        if !self.reach.borrow().is_trusted(keeper, self.clock.now()) {
            return None;
        }
        let (sender, mut answer) = oneshot::channel();
        self.draws.borrow_mut().insert(draw.number, sender);
        let mut open = OpenDraw { shared: self, draw, settled: false };
        for _ in 0..QUESTIONS {
            self.post(keeper, Message::Draw { from: self.process_id, draw });
            if let Ok(answered) = timeout(ASK_AGAIN, &mut answer).await {
                open.settled = true;
                self.reach.borrow_mut().note_answer(keeper);
                return answered.ok();
            }
        }
        open.settled = true;
        info!("keeper.passed_over keeper={keeper}");
        self.reach.borrow_mut().note_silence(keeper, self.clock.now());
        None
    }

    /// What this entry is to a customer's bucket.
    pub(super) fn standing(&self, customer: CustomerId) -> Standing {
        let ranked = self.ranked_entries(Matter::Customer(customer));
        match &ranked[..] {
            [first, ..] if *first == self.process_id => Standing::Keeper,
            [first, second, ..] if *second == self.process_id => {
                let now = self.clock.now();
                let heard = self.peers.borrow().is_heard_within(*first, KEEPER_SILENCE, now);
                if heard { Standing::Other } else { Standing::StandIn }
            }
            _ => Standing::Other,
        }
    }

    /// Copies buckets to those that would stand in.
    pub(super) fn copy_buckets(&self) {
        let levels = self.keeper.borrow().levels(self.clock.now());
        self.send_buckets(levels, false);
    }

    /// Takes in a keeper's buckets.
    pub(super) fn hear_buckets(&self, levels: &[Level], handed_over: bool) {
        let now = self.clock.now();
        let mut keeper = self.keeper.borrow_mut();
        if handed_over {
            info!("buckets.taken_over customers={}", levels.len());
            keeper.take_over(levels, now);
        } else {
            keeper.copy(levels, now);
        }
    }

    /// Sends buckets to the first other entry of each customer's ranking.
    pub(super) fn send_buckets(&self, levels: Vec<Level>, handed_over: bool) {
        let mut by_entry: HashMap<PeerId, Vec<Level>> = HashMap::new();
        for level in levels {
            let ranked = self.ranked_entries(Matter::Customer(level.customer));
            if let Some(next) = ranked.iter().find(|entry| **entry != self.process_id) {
                by_entry.entry(*next).or_default().push(level);
            }
        }
        for (to, levels) in by_entry {
            self.post(to, Message::Buckets { from: self.process_id, levels, handed_over });
        }
    }

    /// Answers an entry that draws on a customer's bucket.
    pub(super) fn serve_draw(&self, from: PeerId, draw: Draw) {
        let credit = self.credit(from, draw);
        let number = draw.number;
        self.post(from, Message::Credit { from: self.process_id, number, credit });
    }

    fn credit(&self, from: PeerId, draw: Draw) -> Credit {
        let known = self.configuration();
        let allowance = known.and_then(|known| known.allowances.get(&draw.customer).copied());
        let Some(allowance) = allowance else { return Credit::NotHere };
        let now = self.clock.now();
        let tolerance = self.settings.borrow().allowance_tolerance;
        let standing = self.standing(draw.customer);
        let (share, entries) = {
            let peers = self.peers.borrow();
            (peers.heard_share(now), peers.entries())
        };
        let terms = Terms { allowance, tolerance, share, entries };
        self.keeper.borrow_mut().draw(from, draw, terms, standing, now)
    }

    /// Takes in a keeper's answer. One that comes too late is dropped: the request has been decided by
    /// the entry's own share, and both must not be granted.
    pub(super) fn hear_credit(&self, number: u32, credit: Credit) {
        if let Some(asked) = self.draws.borrow_mut().remove(&number)
            && asked.send(credit).is_err()
        {
            log::debug!("credit.dropped number={number}");
        }
    }
}
