//! Callers: what they send, and what becomes of their streams.

use std::time::Duration;

use futures_channel::oneshot;
use jaylock_rpc::v1::end::Outcome;
use jaylock_rpc::v1::{Ask, End, Grant, Progress};
use rand::Rng;

use super::members::{SimBackend, StreamState};
use super::{CONTACT_TIME, World};
use crate::fleet::end;
use crate::stream_origins::FIRST_EVENT;

/// Time from a grant to the first event.
const PREFILL_TIME: Duration = Duration::from_millis(80);
/// Longest run of a stream.
const MAX_RUN_TIME: Duration = Duration::from_secs(5);

impl World {
    /// Lets a stream and its caller take their next step.
    pub fn advance(&mut self, index: usize) {
        let now = self.now;
        let stream = &mut self.streams[index];
        if now >= stream.deadline {
            self.give_up(index);
            return;
        }
        if self.routers[stream.router].is_paused(now) && !stream.is_away() {
            return;
        }
        match &mut stream.state {
            StreamState::Away { until } if now >= *until => self.connect(index),
            StreamState::Asking {
                reply, is_retry, ..
            } => match reply.try_recv() {
                Ok(Some(Ok(grant))) => self.start(index, grant),
                Ok(Some(Err(_))) | Err(_) if *is_retry => self.streams[index].leave(now),
                Ok(Some(Err(_))) | Err(_) => self.streams[index].state = StreamState::Ended,
                Ok(None) => {}
            },
            StreamState::Running { .. } => self.advance_run(index),
            _ => {}
        }
    }

    /// Lets the caller of a stream connect to any router.
    fn connect(&mut self, index: usize) {
        let router = self.rng.random_range(0..self.routers.len());
        let router = self.streams[index].destination.take().unwrap_or(router);
        if self.routers[router].is_paused(self.now) {
            self.hold_on(index, router);
            return;
        }
        let is_counted = self.is_calm(router) && self.is_servable(index);
        let number = self.take_number();
        let stream = &mut self.streams[index];
        stream.router = router;
        let share = match stream.software {
            Some(_) => &mut self.resumed,
            None => &mut self.begun,
        };
        share.asked += u32::from(is_counted);
        let begun_stream = stream.begun_stream();
        let request = Ask {
            request: match begun_stream {
                Some(_) => format!("{}-{number}", stream.request),
                None => stream.request.clone(),
            },
            begun_stream,
            ..Ask::default()
        };
        self.ask(index, request, is_counted);
    }

    /// Lets a caller wait for a router that stands still, or look for another one.
    fn hold_on(&mut self, index: usize, router: usize) {
        let holds_on = self.rng.random_bool(0.5);
        let stream = &mut self.streams[index];
        if !holds_on {
            stream.leave(self.now);
            return;
        }
        stream.destination = Some(router);
        stream.state = StreamState::Away {
            until: self.routers[router].is_paused_until,
        };
    }

    /// Lets callers leave a router that stands still, which learns it later.
    pub fn leave_paused(&mut self, router: usize) {
        for index in 0..self.streams.len() {
            let leaves = self.rng.random_bool(0.5);
            let stream = &mut self.streams[index];
            if stream.router != router || !leaves {
                continue;
            }
            let ticket = match &stream.state {
                StreamState::Asking { ticket, .. } => *ticket,
                StreamState::Running { grant, .. } => grant.ticket,
                StreamState::Away { .. } | StreamState::Ended => continue,
            };
            self.routers[router].left.push(ticket);
            stream.leave(self.now);
        }
    }

    fn ask(&mut self, index: usize, request: Ask, is_counted: bool) {
        let is_retry = request.served > 0;
        let ticket = self.take_number();
        let stream = &mut self.streams[index];
        let (sender, reply) = oneshot::channel();
        let request = Ask {
            ticket,
            organisation: "bench".into(),
            ..request
        };
        let client = &mut self.routers[stream.router].client;
        client.request_slot(request, sender, self.now);
        stream.state = StreamState::Asking {
            ticket,
            reply,
            is_counted,
            is_retry,
        };
    }

    /// Ends a stream whose caller waits no longer.
    fn give_up(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        let client = &mut self.routers[stream.router].client;
        match &stream.state {
            StreamState::Asking { ticket, .. } => client.cancel(*ticket),
            StreamState::Running { grant, .. } => {
                let outcome = Outcome::Cancelled.into();
                let cancelled = End {
                    outcome,
                    ..end(grant.ticket, 0)
                };
                client.release_slot(cancelled, self.now);
            }
            StreamState::Away { .. } | StreamState::Ended => {}
        }
        stream.state = StreamState::Ended;
    }

    fn start(&mut self, index: usize, grant: Grant) {
        let run_time = self.rng.random_range(PREFILL_TIME..MAX_RUN_TIME);
        let backend = self.backends.iter().find(|b| b.id == grant.backend);
        let incarnation = backend.expect("a known backend server").incarnation;
        let stream = &mut self.streams[index];
        let is_counted = matches!(
            stream.state,
            StreamState::Asking {
                is_counted: true,
                ..
            }
        );
        stream.state = StreamState::Running {
            grant,
            incarnation,
            begins_at: self.now + PREFILL_TIME,
            ends_at: self.now + run_time,
            is_counted,
        };
    }

    fn advance_run(&mut self, index: usize) {
        let now = self.now;
        let stream = &mut self.streams[index];
        let StreamState::Running {
            grant,
            incarnation,
            begins_at,
            ends_at,
            is_counted,
        } = &mut stream.state
        else {
            return;
        };
        let backend = self.backends.iter().find(|b| b.id == grant.backend);
        let backend = backend.expect("a known backend server");
        let client = &mut self.routers[stream.router].client;
        let ticket = grant.ticket;
        if !backend.is_alive || backend.incarnation != *incarnation {
            let crashed = backend.id.clone();
            client.release_slot(
                End {
                    outcome: Outcome::Crashed.into(),
                    ..end(ticket, 0)
                },
                now,
            );
            return self.retry(index, crashed);
        }
        if now >= *begins_at {
            let is_first = stream.software.is_none();
            let began = stream
                .software
                .get_or_insert_with(|| backend.software.clone());
            let tokens = FIRST_EVENT.0;
            client.report_progress(Progress { ticket, tokens }, now);
            if *began != backend.software {
                self.mixed.push(stream.request.clone());
            }
            if std::mem::take(is_counted) {
                let share = if is_first {
                    &mut self.begun
                } else {
                    &mut self.resumed
                };
                share.served += 1;
            }
        }
        if now >= *ends_at {
            client.release_slot(end(ticket, 20), now);
            stream.state = StreamState::Ended;
        }
    }

    /// Makes another attempt within the same response.
    fn retry(&mut self, index: usize, crashed: String) {
        let stream = &self.streams[index];
        let request = Ask {
            request: stream.request.clone(),
            software: stream.software.clone(),
            begun_stream: stream.begun_stream(),
            served: u64::from(stream.software.is_some()),
            avoid: vec![crashed],
            ..Ask::default()
        };
        self.ask(index, request, false);
    }

    /// Whether a router and its scheduler have been undisturbed for a while.
    fn is_calm(&self, router: usize) -> bool {
        let router = &self.routers[router];
        let last = router.disturbed_at.max(self.disturbed_at);
        router.is_attached && self.now > last + CONTACT_TIME
    }

    /// Whether two backend servers that have been there for a while may run a stream.
    fn is_servable(&self, index: usize) -> bool {
        let software = self.streams[index].software.as_ref();
        let serves = |b: &&SimBackend| {
            let is_ready = b.is_alive && !b.leaves && self.now > b.started_at + CONTACT_TIME;
            is_ready && software.is_none_or(|software| *software == b.software)
        };
        self.backends.iter().filter(serves).count() >= 2
    }
}
