//! Gets places from brokers.

use std::rc::Rc;
use std::time::{Duration, Instant};

use errors::ResultCode;
use log::info;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::time::timeout;

use super::hand_over::SharedRef;
use super::peering::ASK_AGAIN;
use super::seat::Seat;
use super::state::Shared;
use crate::broker::{AskedJob, Matter, Message, Reply, Ticket, Verdict, rank_entries};
use crate::model::{PeerId, ServiceId, UpstreamId};
use crate::peers::Candidate;
use crate::scheduler::{Ending, Job, Observed, Refused, RefusedBecause};

/// A broker that has not answered by now is passed over; several questions long, and a part of the
/// least objective.
const FIRST_ANSWER: Duration = Duration::from_millis(130);

/// Between questions while a request waits at a broker.
const ASK_AGAIN_QUEUED: Duration = Duration::from_millis(200);

/// A broker that has not answered a request that waits for so long is passed over.
const NEXT_ANSWER: Duration = Duration::from_millis(500);

/// How much later than a request may wait its broker's refusal may come.
const REFUSAL_UNDER_WAY: Duration = Duration::from_millis(300);

/// Brokers that a request asks beside its own process.
const MOST_BROKERS: usize = 2;

/// A request that asks for a place. Dropping it withdraws the question.
struct Question {
    shared: SharedRef,
    broker: PeerId,
    ticket: Ticket,
    verdicts: UnboundedReceiver<Verdict>,
    settled: bool,
}

impl Drop for Question {
    fn drop(&mut self) {
        self.shared.questions.borrow_mut().remove(&self.ticket);
        if !self.settled {
            self.shared.release(self.broker, self.ticket, Observed::only(Ending::Abandoned));
        }
    }
}

/// What a broker said.
enum Answer {
    Granted(Ticket, UpstreamId),
    Refused(Refused),
    /// Nothing, or that it is no broker.
    None,
}

/// Finds a place for a request, with the help of the service's broker.
pub(super) async fn find(shared: &SharedRef, mut job: Job) -> Result<Seat, Refused> {
    let mut passed_over = Vec::new();
    loop {
        shared.note_paths(&mut job);
        let broker = shared.broker_of(job.service, &passed_over);
        match ask(shared, broker, &job).await {
            Answer::Granted(ticket, upstream) => match shared.seat(broker, ticket, upstream) {
                Some(seat) => return Ok(seat),
                None => job.excluded.push(upstream),
            },
            Answer::Refused(refused) => return Err(refused),
            Answer::None if broker == shared.process_id => {
                let (reason, retry_after) = (RefusedBecause::NoUpstream, Duration::ZERO);
                return Err(Refused { reason, retry_after });
            }
            Answer::None => passed_over.push(broker),
        }
    }
}

async fn ask(shared: &SharedRef, broker: PeerId, job: &Job) -> Answer {
    let mut question = shared.begin_question(broker);
    let asked_at = shared.clock.now();
    let (mut heard_at, mut queued) = (asked_at, false);
    shared.ask(broker, question.ticket, job);
    loop {
        let (again, longest) =
            if queued { (ASK_AGAIN_QUEUED, NEXT_ANSWER) } else { (ASK_AGAIN, FIRST_ANSWER) };
        let verdict = timeout(again, question.verdicts.recv()).await;
        let now = shared.clock.now();
        if let Ok(Some(verdict)) = &verdict {
            shared.metrics.count_verdict(verdict.name());
        }
        match verdict {
            Ok(Some(Verdict::Queued)) => (heard_at, queued) = (now, true),
            Ok(Some(Verdict::Granted { upstream })) => {
                question.settled = true;
                return Answer::Granted(question.ticket, upstream);
            }
            Ok(Some(Verdict::Refused(refused))) => {
                question.settled = true;
                return Answer::Refused(refused);
            }
            Ok(Some(Verdict::NotHere) | None) => {
                question.settled = true;
                shared.pass_over(broker, "not here", now);
                return Answer::None;
            }
            Err(_) if now > job.wait_until + REFUSAL_UNDER_WAY => {
                let (reason, retry_after) = (RefusedBecause::Full, again);
                return Answer::Refused(Refused { reason, retry_after });
            }
            Err(_) if now.saturating_duration_since(heard_at) >= longest => {
                shared.pass_over(broker, "silent", now);
                return Answer::None;
            }
            Err(_) => shared.ask(broker, question.ticket, job),
        }
    }
}

impl Shared {
    /// The entry to ask for a place: the first of the service's brokers that answers.
    fn broker_of(&self, service: ServiceId, passed_over: &[PeerId]) -> PeerId {
        if passed_over.len() >= MOST_BROKERS {
            return self.process_id;
        }
        let now = self.clock.now();
        let reach = self.reach.borrow();
        let ranked = self.ranked_brokers(service);
        let usable = |id: &&PeerId| {
            **id == self.process_id || (!passed_over.contains(id) && reach.is_trusted(**id, now))
        };
        ranked.iter().find(usable).copied().unwrap_or(self.process_id)
    }

    /// All entries, the service's broker first.
    pub(super) fn ranked_brokers(&self, service: ServiceId) -> Rc<[PeerId]> {
        self.ranked_entries(Matter::Service(service))
    }

    /// All entries, the one that does something for all first.
    pub(super) fn ranked_entries(&self, matter: Matter) -> Rc<[PeerId]> {
        let mut ranked = self.ranked.borrow_mut();
        let rank = || {
            let mut candidates = self.peers.borrow().candidates(self.clock.now());
            if !self.is_leaving() || candidates.is_empty() {
                let cores = self.settings.borrow().cores;
                candidates.push(Candidate { id: self.process_id, cores });
            }
            rank_entries(matter, &candidates).into()
        };
        ranked.entry(matter).or_insert_with(rank).clone()
    }

    /// Has it worked out again who does what, where members came or went.
    pub(super) fn note_candidates(&self) {
        let now = self.clock.now();
        let mut ids: Vec<PeerId> =
            self.peers.borrow().candidates(now).iter().map(|candidate| candidate.id).collect();
        if !self.is_leaving() {
            ids.push(self.process_id);
        }
        ids.sort_unstable();
        if *self.candidate_ids.borrow() == ids {
            return;
        }
        self.candidate_ids.replace(ids);
        self.ranked.borrow_mut().clear();
        let handed_over =
            self.keeper.borrow_mut().change_members(|customer| self.standing(customer), now);
        self.send_buckets(handed_over, true);
    }

    fn pass_over(&self, broker: PeerId, why: &str, now: Instant) {
        self.metrics.count_verdict("passed_over");
        info!("broker.passed_over broker={broker} reason={why:?}");
        self.reach.borrow_mut().note_silence(broker, now);
    }

    /// Notes upstreams that this entry knows to be bad for the request.
    fn note_paths(&self, job: &mut Job) {
        job.doubtful = self.contacts.borrow().doubtful(self.clock.now());
        let upstreams = self.upstreams.borrow();
        let leaving = upstreams.iter().filter(|(_, upstream)| upstream.draining);
        for (id, _) in leaving {
            if !job.excluded.contains(id) {
                job.excluded.push(*id);
            }
        }
    }

    /// Takes the place that a broker gave; `None` where this entry knows better.
    fn seat(self: &Rc<Self>, broker: PeerId, ticket: Ticket, upstream: UpstreamId) -> Option<Seat> {
        let known = self.upstreams.borrow().get(&upstream).cloned();
        let Some(usable) = known.filter(|upstream| !upstream.draining) else {
            info!("place.unusable broker={broker} upstream={}", upstream.0);
            self.release(broker, ticket, Observed::only(Ending::Abandoned));
            return None;
        };
        Some(Seat::new(self.clone(), broker, ticket, usable))
    }

    fn begin_question(self: &Rc<Self>, broker: PeerId) -> Question {
        let ticket = self.next_ticket.get().wrapping_add(1);
        self.next_ticket.set(ticket);
        let (sender, verdicts) = unbounded_channel();
        self.questions.borrow_mut().insert(ticket, sender);
        Question { shared: self.clone(), broker, ticket, verdicts, settled: false }
    }

    fn ask(&self, broker: PeerId, ticket: Ticket, job: &Job) {
        let asked = AskedJob::of_job(job, self.clock.now());
        self.post(broker, Message::Ask { from: self.process_id, ticket, job: asked });
    }

    /// Gives a place back.
    pub(super) fn release(&self, broker: PeerId, ticket: Ticket, observed: Observed) {
        self.post(broker, Message::Release { from: self.process_id, ticket, observed });
    }

    /// Counts a place as held by this entry.
    pub(super) fn begin_holding(&self, ticket: Ticket, upstream: UpstreamId, now: Instant) {
        self.holdings.borrow_mut().insert(ticket, upstream);
        self.contacts.borrow_mut().begin(upstream, ticket, now);
    }

    /// Gives a held place back.
    pub(super) fn end_holding(
        &self,
        broker: PeerId,
        ticket: Ticket,
        upstream: UpstreamId,
        observed: Observed,
    ) {
        let now = self.clock.now();
        self.holdings.borrow_mut().remove(&ticket);
        self.contacts.borrow_mut().end(upstream, ticket, observed.ending, now);
        self.release(broker, ticket, observed);
    }

    /// Tells brokers and those that stand in for them what this entry holds.
    pub(super) fn tell_holdings(&self) {
        let services: Vec<ServiceId> = self.broker.borrow().scheduler().services().collect();
        let mut told: Vec<PeerId> = vec![self.process_id];
        for service in services {
            told.extend(self.ranked_brokers(service).iter().take(MOST_BROKERS));
        }
        told.sort_unstable();
        told.dedup();
        let places: Vec<(Ticket, UpstreamId)> =
            self.holdings.borrow().iter().map(|(ticket, upstream)| (*ticket, *upstream)).collect();
        for to in told {
            self.post(to, Message::Holdings { from: self.process_id, places: places.clone() });
        }
    }

    /// Takes in a broker's verdict.
    pub(super) fn hear_verdict(&self, broker: PeerId, ticket: Ticket, verdict: Verdict) {
        if broker != self.process_id && verdict != Verdict::NotHere {
            self.reach.borrow_mut().note_answer(broker);
        }
        let asked = self.questions.borrow().get(&ticket).cloned();
        let granted = matches!(verdict, Verdict::Granted { .. });
        let taken = asked.is_some_and(|asked| asked.send(verdict).is_ok());
        if granted && !taken && !self.holdings.borrow().contains_key(&ticket) {
            self.release(broker, ticket, Observed::only(Ending::Abandoned));
        }
    }

    /// Takes in a message to this entry as a broker.
    pub(super) fn serve_entry(&self, zone: Rc<str>, message: Message) {
        let now = self.clock.now();
        let replies = match message {
            Message::Ask { from, ticket, job } => {
                let verdict = if self.is_leaving() && from != self.process_id {
                    Verdict::NotHere
                } else {
                    self.broker.borrow_mut().ask(from, zone, ticket, &job, now)
                };
                vec![Reply { to: from, ticket, verdict }]
            }
            Message::Release { from, ticket, observed } => {
                self.broker.borrow_mut().release(from, ticket, observed, now)
            }
            Message::Holdings { from, places } => self.broker.borrow_mut().hold(from, &places, now),
            _ => Vec::new(),
        };
        self.send_replies(replies);
    }

    /// Sends what became of requests for places.
    pub(super) fn send_replies(&self, replies: Vec<Reply>) {
        for Reply { to, ticket, verdict } in replies {
            self.post(to, Message::Verdict { from: self.process_id, ticket, verdict });
        }
    }
}

/// The result code of a refusal.
pub(super) fn code_of(reason: RefusedBecause) -> ResultCode {
    match reason {
        RefusedBecause::NoUpstream => ResultCode::NoUpstream,
        RefusedBecause::Full => ResultCode::Overloaded,
    }
}
