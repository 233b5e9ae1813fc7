//! A scheduler's state with one attached router and a virtual clock.

use std::time::Instant;

use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{
    Ask, BackendReport, End, Grant, Hello, Progress, Refusal, RouterFrame, WorkTime,
};
use jaylock_share::{Allocator, RouterKey, SchedulerSettings};

use crate::fleet::end;

/// A scheduler's state with one router attached.
pub struct Fixture {
    pub allocator: Allocator,
    pub router: RouterKey,
    pub now: Instant,
    tickets: u64,
    /// Identifiers of the requests sent by `ask`, by their tickets from 1.
    requests: Vec<String>,
}

impl Fixture {
    /// Creates a pool whose startup delay is over.
    pub fn new() -> Self {
        Self::with_settings(&SchedulerSettings::default())
    }

    /// Creates a pool with these settings whose startup delay is over.
    pub fn with_settings(settings: &SchedulerSettings) -> Self {
        let now = Instant::now();
        let mut allocator = Allocator::new("chat", 1, settings.clone(), now);
        let router = allocator.attach(
            &Hello {
                router: "r1".into(),
                ..Hello::default()
            },
            now,
        );
        Self {
            allocator,
            router,
            now: now + settings.startup_delay,
            tickets: 0,
            requests: Vec::new(),
        }
    }

    /// Identifier of a request sent by `ask`.
    pub fn request_id(&self, ticket: u64) -> &str {
        let position = usize::try_from(ticket).expect("a ticket") - 1;
        &self.requests[position]
    }

    /// Replaces the scheduler by one that knows only what its router's first message says.
    pub fn replace_scheduler(&mut self, hello: &Hello) {
        let settings = SchedulerSettings::default();
        let started = self.now.checked_sub(settings.startup_delay);
        let started = started.unwrap_or(self.now);
        self.allocator = Allocator::new("chat", 2, settings, started);
        self.router = self.allocator.attach(hello, self.now);
    }

    /// Applies a report and returns why the backend server is refused; empty if it is accepted.
    pub fn report(&mut self, report: BackendReport) -> String {
        let frame = RouterFrame {
            backends: vec![report],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
        let mut frames = self.allocator.frames(self.now);
        let frame = frames.pop().expect("a frame").1;
        frame
            .verdicts
            .into_iter()
            .next()
            .expect("a verdict")
            .refused
    }

    /// Reports the time for work, in percent, that a backend server named in a response of this age.
    pub fn name_work_time(&mut self, backend: &str, percent: u32, age_ms: u32) {
        let work_time = WorkTime {
            backend: backend.into(),
            incarnation: 1,
            percent,
            age_ms,
        };
        let frame = RouterFrame {
            work_times: vec![work_time],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
    }

    /// Ends a run.
    pub fn end(&mut self, ticket: u64) {
        self.end_with(end(ticket, 20));
    }

    /// Ends a run with an outcome.
    pub fn end_as(&mut self, ticket: u64, outcome: Outcome) {
        self.end_with(End {
            outcome: outcome.into(),
            ..end(ticket, 20)
        });
    }

    /// Ends a run because no connection to its backend server could be opened.
    pub fn end_unreached(&mut self, ticket: u64) {
        self.end_with(End {
            outcome: Outcome::NotRun.into(),
            unreached: true,
            ..end(ticket, 0)
        });
    }

    /// Applies the end of a run.
    pub fn end_with(&mut self, end: End) {
        let frame = RouterFrame {
            ends: vec![end],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
    }

    /// Asks for a slot, decides, and returns the backend server of the first grant, if any.
    pub fn ask_and_decide(&mut self, ask: Ask) -> Option<String> {
        self.tickets += 1;
        let ask = Ask {
            ticket: self.tickets,
            ..ask
        };
        let frame = RouterFrame {
            asks: vec![ask],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
        self.decide()
    }

    /// Decides and returns the backend server of the first grant, if any.
    pub fn decide(&mut self) -> Option<String> {
        self.decide_all()
            .0
            .into_iter()
            .map(|grant| grant.backend)
            .next()
    }

    /// Decides and returns all grants and refusals.
    pub fn decide_all(&mut self) -> (Vec<Grant>, Vec<Refusal>) {
        self.allocator.tick(self.now);
        self.allocator.decide(self.now);
        let frames = self.allocator.frames(self.now);
        let (mut grants, mut refusals) = (Vec::new(), Vec::new());
        for (_, frame) in frames {
            grants.extend(frame.grants);
            refusals.extend(frame.refusals);
        }
        (grants, refusals)
    }

    /// Adds requests without a decision and returns their tickets.
    pub fn ask(&mut self, asks: impl IntoIterator<Item = Ask>) -> Vec<u64> {
        let mut tickets = Vec::new();
        let asks = asks.into_iter().map(|ask| {
            self.tickets += 1;
            tickets.push(self.tickets);
            self.requests.push(ask.request.clone());
            Ask {
                ticket: self.tickets,
                ..ask
            }
        });
        let frame = RouterFrame {
            asks: asks.collect(),
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
        tickets
    }

    /// Gives up a waiting request.
    pub fn cancel(&mut self, ticket: u64) {
        let frame = RouterFrame {
            cancels: vec![ticket],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
    }

    /// Reports a run's service so far, in tokens.
    pub fn report_progress(&mut self, ticket: u64, tokens: u64) {
        let frame = RouterFrame {
            progress: vec![Progress { ticket, tokens }],
            ..RouterFrame::default()
        };
        self.allocator.apply(self.router, frame, self.now);
    }
}
