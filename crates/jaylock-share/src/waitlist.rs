use std::time::{Duration, Instant};

use compact_str::CompactString;
use futures_channel::oneshot;
use jaylock_rpc::v1::{
    Ask, BackendReport, BackendVerdict, End, FallbackSlots, Grant, Hello, Progress, Refusal,
    RouterFrame, Running, SchedulerFrame, Total,
};

use crate::SchedulerClientSettings;
use crate::batch::Batch;
use crate::compact::{Addresses, shorten};
use crate::cost::cost_of;
use crate::division::without_events;
use crate::fallback::Spare;
use crate::link::not_run;
use crate::requirement::Requirement;

/// What an ask ends with.
pub type Answer = Result<Grant, Refusal>;

/// What a router knows of one pool: who waits, what runs, and what is yet to be told.
#[derive(Debug)]
pub struct Waitlist {
    pub(crate) settings: SchedulerClientSettings,
    pub(crate) epoch: u64,
    pub(crate) is_attached: bool,
    // Sorted by ticket, and so by age.
    pub(crate) pending: Vec<Pending>,
    // Sorted by ticket.
    pub(crate) held: Vec<Held>,
    batch: Batch,
    // Newest report of each backend server that announced itself here, sorted by name.
    reports: Vec<HeardReport>,
    // Sorted by name of the backend server.
    verdicts: Vec<BackendVerdict>,
    // Sorted by organisation.
    pub(crate) totals: Vec<Total>,
    // Part of the totals that a stream's first message has told and nothing has confirmed.
    offered: Vec<Total>,
    pub(crate) fallback: Vec<FallbackSlots>,
    // Slots that became free while no scheduler answered.
    pub(crate) spare: Vec<Spare>,
    pub(crate) lost: Option<Instant>,
    heard: Option<Instant>,
    addresses: Addresses,
}

/// A report and when it was heard.
#[derive(Debug)]
struct HeardReport {
    report: BackendReport,
    heard: Instant,
}

/// A request that waits.
#[derive(Debug)]
pub struct Pending {
    pub ask: Ask,
    answer: oneshot::Sender<Answer>,
    since: Instant,
}

/// A slot that the router holds.
#[derive(Debug)]
pub struct Held {
    ticket: u64,
    pub organisation: CompactString,
    pub backend: CompactString,
    pub address: CompactString,
    pub requirement: Requirement,
    pub tokens: u64,
    alone: bool,
    is_spare: bool,
    // Whether its prompt is told, so that the scheduler waits to hear that it was read.
    is_prompted: bool,
    told: u64,
}

impl Waitlist {
    /// A pool that was never attached.
    #[must_use]
    pub fn new(settings: SchedulerClientSettings) -> Self {
        Self {
            settings,
            epoch: 0,
            is_attached: false,
            pending: Vec::new(),
            held: Vec::new(),
            batch: Batch::default(),
            reports: Vec::new(),
            verdicts: Vec::new(),
            totals: Vec::new(),
            offered: Vec::new(),
            fallback: Vec::new(),
            spare: Vec::new(),
            lost: None,
            heard: None,
            addresses: Addresses::default(),
        }
    }

    /// Adds a request that waits; `answer` hears what becomes of it.
    pub fn ask(&mut self, ask: Ask, answer: oneshot::Sender<Answer>, now: Instant) {
        if self.is_attached {
            self.batch.add_ask(ask.clone());
        }
        let at = self
            .pending
            .partition_point(|other| other.ask.ticket < ask.ticket);
        self.pending.insert(
            at,
            Pending {
                ask,
                answer,
                since: now,
            },
        );
    }

    /// Forgets a request whose caller gave up.
    pub fn cancel(&mut self, ticket: u64) {
        if self.take_pending(ticket).is_some() && self.is_attached {
            self.batch.cancel(ticket);
        }
    }

    /// Notes how many tokens a run has generated so far.
    pub fn progress(&mut self, progress: Progress, now: Instant) {
        let Ok(at) = self
            .held
            .binary_search_by_key(&progress.ticket, |held| held.ticket)
        else {
            return;
        };
        let held = &mut self.held[at];
        held.tokens = held.tokens.max(progress.tokens);
        let is_first = held.told == 0 && held.is_prompted;
        let grown = held.tokens >= held.told + self.settings.progress_tokens;
        if self.is_attached && (is_first || grown) {
            held.told = held.tokens;
            let progress = Progress {
                ticket: held.ticket,
                tokens: held.tokens,
            };
            let interval = if is_first {
                Duration::ZERO
            } else if held.is_spare {
                self.settings.join_spare
            } else {
                self.settings.progress_interval
            };
            self.batch.add_progress(progress, interval, now);
        }
    }

    /// Notes the end of a run; its slot goes back, or to the next request without a scheduler.
    pub fn end(&mut self, end: End, now: Instant) {
        let Ok(at) = self
            .held
            .binary_search_by_key(&end.ticket, |held| held.ticket)
        else {
            return;
        };
        let held = self.held.remove(at);
        let cost = cost_of(&end);
        self.add_unheard(&held.organisation, if self.is_attached { 0 } else { cost });
        if let Ok(at) = self.search_total(&held.organisation) {
            self.totals[at].tokens += cost;
        }
        if self.is_attached {
            let join = if held.is_spare {
                self.settings.join_spare
            } else {
                self.settings.join_ends
            };
            self.batch.add_end(held.organisation, end, now + join);
        } else {
            self.spare.push(held.into_spare());
        }
    }

    /// Notes what a backend server announced or reported here.
    pub fn report(&mut self, report: BackendReport, now: Instant) {
        // Cache events are told once; a resent report holds none.
        let kept = without_events(&report);
        if self.is_attached {
            self.batch.add_report(report);
        }
        let keep = self.settings.report_keep;
        self.reports
            .retain(|known| now.saturating_duration_since(known.heard) < keep);
        let heard = HeardReport {
            report: kept,
            heard: now,
        };
        let id = &heard.report.id;
        match self
            .reports
            .binary_search_by(|known| known.report.id.cmp(id))
        {
            Ok(at) => self.reports[at] = heard,
            Err(at) => self.reports.insert(at, heard),
        }
    }

    /// What the scheduler last said of a backend server.
    #[must_use]
    pub fn verdict(&self, backend: &str) -> Option<BackendVerdict> {
        let at = self
            .verdicts
            .binary_search_by(|v| v.backend.as_str().cmp(backend));
        at.ok().map(|at| self.verdicts[at].clone())
    }

    /// The first message of a new stream: all that the scheduler must know.
    pub fn first_frame(&mut self, mut hello: Hello, now: Instant) -> RouterFrame {
        self.is_attached = true;
        self.heard = Some(now);
        self.addresses = Addresses::default();
        hello.epoch = self.epoch;
        hello.running = self.held.iter().map(Held::running).collect();
        let unheard = self.totals.iter().filter(|total| total.unheard > 0);
        self.offered = unheard.cloned().collect();
        for total in &mut self.totals {
            total.unheard = 0;
        }
        let asks = self.pending.iter().map(|pending| pending.ask_again(now));
        RouterFrame {
            hello: Some(hello),
            asks: asks.collect(),
            backends: self.reports.iter().map(|r| r.aged(now)).collect(),
            totals: self.offered.clone(),
            ..RouterFrame::default()
        }
    }

    /// Notes that the stream is lost.
    pub fn detach(&mut self, now: Instant) {
        self.is_attached = false;
        self.lost.get_or_insert(now);
        for total in std::mem::take(&mut self.offered) {
            self.add_unheard(&total.organisation, total.unheard);
        }
        for (organisation, end) in self.batch.clear() {
            self.add_unheard(&organisation, cost_of(&end));
        }
    }

    /// Whether the scheduler has been silent for too long although work waits.
    #[must_use]
    pub fn is_silent(&self, now: Instant) -> bool {
        let Some(first) = self.pending.first() else {
            return false;
        };
        let since = self
            .heard
            .map_or(first.since, |heard| heard.max(first.since));
        now.saturating_duration_since(since) >= self.settings.silence
    }

    /// Takes a message of the scheduler; false when it is of an older epoch.
    pub fn take(&mut self, frame: SchedulerFrame, now: Instant) -> bool {
        if frame.epoch < self.epoch {
            return false;
        }
        self.epoch = frame.epoch;
        self.heard = Some(now);
        self.lost = None;
        self.spare.clear();
        self.offered.clear();
        for verdict in frame.verdicts {
            match self
                .verdicts
                .binary_search_by(|v| v.backend.cmp(&verdict.backend))
            {
                Ok(at) => self.verdicts[at] = verdict,
                Err(at) => self.verdicts.insert(at, verdict),
            }
        }
        if let Some(fallback) = frame.fallback {
            self.fallback = fallback.backends;
        }
        for refusal in frame.refusals {
            if let Some(pending) = self.take_pending(refusal.ticket) {
                let _ = pending.answer.send(Err(refusal));
            }
        }
        for mut grant in frame.grants {
            self.addresses.complete(&mut grant);
            self.grant(grant, now);
        }
        true
    }

    /// When the next message is to be sent.
    #[must_use]
    pub fn due(&self, now: Instant) -> Option<Instant> {
        self.batch
            .due(&self.settings, !self.pending.is_empty(), now)
    }

    /// Takes what is to be sent.
    pub fn next_frame(&mut self, now: Instant) -> RouterFrame {
        self.batch.take(now)
    }

    /// Takes out the asks that have waited longer than `limit` without a scheduler.
    pub fn take_stale(
        &mut self,
        now: Instant,
        limit: Duration,
    ) -> Vec<(u64, oneshot::Sender<Answer>)> {
        let is_stale = |pending: &Pending| now.saturating_duration_since(pending.since) >= limit;
        let lost_long = self
            .lost
            .is_none_or(|lost| now.saturating_duration_since(lost) >= limit);
        if self.is_attached || !lost_long {
            return Vec::new();
        }
        let stale = self.pending.extract_if(.., |pending| is_stale(pending));
        stale
            .map(|pending| (pending.ask.ticket, pending.answer))
            .collect()
    }

    /// Hands a slot to the request that waits for it.
    pub(crate) fn grant(&mut self, grant: Grant, now: Instant) {
        let Some(pending) = self.take_pending(grant.ticket) else {
            // Its caller gave up; the slot goes back at once.
            self.batch
                .add_end(CompactString::default(), not_run(&grant), now);
            return;
        };
        let held = Held {
            ticket: grant.ticket,
            organisation: pending.ask.organisation.as_str().into(),
            backend: grant.backend.as_str().into(),
            address: grant.address.as_str().into(),
            requirement: Requirement::from_ask(&pending.ask),
            tokens: 0,
            alone: pending.ask.alone,
            is_spare: grant.spare,
            is_prompted: !pending.ask.parts.is_empty(),
            told: 0,
        };
        let at = self
            .held
            .partition_point(|other| other.ticket < held.ticket);
        self.held.insert(at, held);
        if let Err(unheard) = pending.answer.send(Ok(grant)) {
            let grant = unheard.expect("a grant was sent");
            self.end(not_run(&grant), now);
        }
    }

    fn take_pending(&mut self, ticket: u64) -> Option<Pending> {
        let at = self
            .pending
            .binary_search_by_key(&ticket, |pending| pending.ask.ticket)
            .ok()?;
        Some(self.pending.remove(at))
    }

    fn add_unheard(&mut self, organisation: &str, tokens: u64) {
        let at = self.search_total(organisation).unwrap_or_else(|at| {
            let total = Total {
                organisation: organisation.into(),
                ..Total::default()
            };
            self.totals.insert(at, total);
            at
        });
        self.totals[at].unheard += tokens;
    }

    /// Position of an organisation among the totals.
    pub(crate) fn search_total(&self, organisation: &str) -> Result<usize, usize> {
        self.totals
            .binary_search_by(|total| total.organisation.as_str().cmp(organisation))
    }
}

impl HeardReport {
    fn aged(&self, now: Instant) -> BackendReport {
        let age = now.saturating_duration_since(self.heard).as_millis();
        BackendReport {
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            ..self.report.clone()
        }
    }
}

impl Pending {
    fn ask_again(&self, now: Instant) -> Ask {
        let waited = now.saturating_duration_since(self.since).as_millis();
        let waited = u32::try_from(waited).unwrap_or(u32::MAX);
        let mut ask = self.ask.clone();
        ask.waited_ms = ask.waited_ms.saturating_add(waited);
        shorten(&mut ask);
        ask
    }
}

impl Held {
    fn running(&self) -> Running {
        Running {
            ticket: self.ticket,
            backend: self.backend.as_str().into(),
            organisation: self.organisation.as_str().into(),
            tokens: self.tokens,
            alone: self.alone,
        }
    }
}
