//! Designs without a scheduler: slots divided over the routers, each of which decides alone.

use std::collections::VecDeque;

use crate::design::{Design, Fault, HEADERS};
use crate::work::{Deployment, Job};

/// Time in ms between two rounds of gossip.
const GOSSIP: u64 = 500;
/// Bytes of one organisation's counter in a message of gossip.
const COUNTER: u64 = 12;
/// Time in ms after which the slots of a lost router are divided over the others.
const REPAIR: u64 = 3000;
/// Part of a run's expected tokens that is charged before they come, in 100.
const AHEAD: u64 = 15;

/// How a router chooses its next request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// First come, first served.
    Arrival,
    /// Least served organisation, as this router has served them.
    Local,
    /// Least served organisation, by gossip; idle slots take work from the longest queue.
    Gossip,
    /// Least served organisation, by what has ended.
    Ended,
}

/// Slots divided over routers; with one router, a single queue without a network.
pub struct Divided {
    order: Order,
    routers: Vec<Local>,
    // Sorted by request; the slot that each one holds, and its router.
    held: Vec<(u64, Slot)>,
    bytes: u64,
    lost: Option<(usize, u64)>,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    engine: usize,
    router: usize,
    expected: u64,
    charged: u64,
}

struct Local {
    is_lost: bool,
    is_cut: bool,
    free: Vec<usize>,
    queues: Vec<VecDeque<Job>>,
    served: Vec<u64>,
    // What the others had served at the last round of gossip.
    others: Vec<u64>,
    mean: Vec<u64>,
}

impl Local {
    fn next(&self, order: Order) -> Option<usize> {
        let full = (0..self.queues.len()).filter(|at| !self.queues[*at].is_empty());
        if order == Order::Arrival {
            return full.min_by_key(|at| self.queues[*at][0].id);
        }
        full.min_by_key(|at| self.served[*at] + self.others[*at])
    }

    fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }
}

impl Divided {
    pub fn new(deployment: Deployment, order: Order, routers: usize) -> Self {
        let count = deployment.organisations;
        let local = |_| Local {
            is_lost: false,
            is_cut: false,
            free: Vec::new(),
            queues: (0..count).map(|_| VecDeque::new()).collect(),
            served: vec![0; count],
            others: vec![0; count],
            mean: vec![0; count],
        };
        let mut routers: Vec<Local> = (0..routers).map(local).collect();
        let total = routers.len();
        for slot in 0..deployment.engines * deployment.slots {
            routers[slot % total].free.push(slot / deployment.slots);
        }
        Self {
            order,
            routers,
            held: Vec::new(),
            bytes: 0,
            lost: None,
        }
    }

    fn local(&mut self, job: &Job) -> &mut Local {
        let at = job.router % self.routers.len();
        &mut self.routers[at]
    }

    /// Brings what a run is charged up to `tokens`, and down from what was expected.
    fn charge(&mut self, job: &Job, tokens: u64) {
        let Ok(at) = self.held.binary_search_by_key(&job.id, |(id, _)| *id) else {
            return;
        };
        let slot = &mut self.held[at].1;
        let ahead = slot.expected.saturating_sub(tokens) * AHEAD / 100;
        let charge = if tokens == job.cost {
            tokens
        } else {
            tokens + ahead
        };
        let served = &mut self.routers[slot.router].served[job.organisation];
        *served = (*served + charge).saturating_sub(slot.charged);
        slot.charged = charge;
    }

    fn gossip(&mut self) {
        let joined: Vec<usize> = (0..self.routers.len())
            .filter(|at| !self.routers[*at].is_cut)
            .collect();
        let served: Vec<Vec<u64>> = joined
            .iter()
            .map(|at| self.routers[*at].served.clone())
            .collect();
        for at in &joined {
            let own = self.routers[*at].served.clone();
            let others = (0..own.len()).map(|o| served.iter().map(|s| s[o]).sum::<u64>() - own[o]);
            self.routers[*at].others = others.collect();
        }
        let count = joined.len() as u64;
        let counters = served.first().map_or(0, Vec::len) as u64;
        self.bytes += count * count.saturating_sub(1) * (HEADERS + counters * COUNTER);
    }

    /// A router whose slots idle takes a request from the longest queue.
    fn steal(&mut self, thief: usize) -> Option<Job> {
        let others = (0..self.routers.len()).filter(|at| *at != thief && !self.routers[*at].is_cut);
        let victim = others.max_by_key(|at| self.routers[*at].len())?;
        let organisation = self.routers[victim].next(self.order)?;
        self.bytes += 2 * (HEADERS + 60);
        self.routers[victim].queues[organisation].pop_front()
    }

    fn repair(&mut self, now: u64) {
        let Some((router, since)) = self.lost else {
            return;
        };
        if now < since + REPAIR {
            return;
        }
        self.lost = None;
        let slots = std::mem::take(&mut self.routers[router].free);
        let alive: Vec<usize> = (0..self.routers.len()).filter(|at| *at != router).collect();
        for (at, slot) in slots.into_iter().enumerate() {
            self.routers[alive[at % alive.len()]].free.push(slot);
        }
    }
}

impl Design for Divided {
    fn arrive(&mut self, job: &Job, _: u64) {
        let job = job.clone();
        let organisation = job.organisation;
        self.local(&job).queues[organisation].push_back(job);
    }

    fn progress(&mut self, job: &Job, _: u64) {
        if self.order != Order::Ended {
            self.charge(job, job.tokens);
        }
    }

    fn end(&mut self, job: &Job, _: u64) {
        self.charge(job, job.cost);
        let Ok(at) = self.held.binary_search_by_key(&job.id, |(id, _)| *id) else {
            return;
        };
        let (_, slot) = self.held.remove(at);
        let local = &mut self.routers[slot.router];
        local.free.push(slot.engine);
        let mean = &mut local.mean[job.organisation];
        *mean = if *mean == 0 {
            job.cost
        } else {
            (*mean * 15 + job.cost) / 16
        };
    }

    fn befall(&mut self, fault: Fault, now: u64) {
        let count = self.routers.len();
        match fault {
            Fault::RouterLost(router) if count > 1 => {
                let lost = self.held.extract_if(.., |(_, slot)| slot.router == router);
                let engines: Vec<usize> = lost.map(|(_, slot)| slot.engine).collect();
                let local = &mut self.routers[router];
                local.free.extend(engines);
                local.is_lost = true;
                local.queues.iter_mut().for_each(VecDeque::clear);
                self.lost = Some((router, now));
            }
            Fault::RouterStarted(router) if count > 1 => self.routers[router].is_lost = false,
            Fault::RouterCut(router) if count > 1 => self.routers[router].is_cut = true,
            Fault::RouterJoined(router) if count > 1 => self.routers[router].is_cut = false,
            _ => {}
        }
    }

    fn step(&mut self, now: u64) -> Vec<(u64, usize)> {
        self.repair(now);
        if self.order == Order::Gossip && now.is_multiple_of(GOSSIP) {
            self.gossip();
        }
        let mut started = Vec::new();
        for router in 0..self.routers.len() {
            while !self.routers[router].is_lost && !self.routers[router].free.is_empty() {
                let local = &mut self.routers[router];
                let own = local.next(self.order);
                let mut job = own.and_then(|organisation| local.queues[organisation].pop_front());
                if job.is_none() && self.order == Order::Gossip && !local.is_cut {
                    job = self.steal(router);
                }
                let Some(job) = job else { break };
                let local = &mut self.routers[router];
                let Some(engine) = local.free.pop() else {
                    break;
                };
                let expected = local.mean[job.organisation];
                let ended = self.order == Order::Ended;
                let charged = if ended { 0 } else { expected * AHEAD / 100 };
                local.served[job.organisation] += charged;
                let slot = Slot {
                    engine,
                    router,
                    expected,
                    charged,
                };
                let at = self.held.partition_point(|(id, _)| *id < job.id);
                self.held.insert(at, (job.id, slot));
                started.push((job.id, engine));
            }
        }
        started
    }

    fn bytes(&self) -> u64 {
        self.bytes
    }
}
