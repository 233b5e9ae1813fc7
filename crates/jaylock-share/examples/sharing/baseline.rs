//! Designs without a scheduler: the slots are partitioned over the routers, which decide by themselves.

use std::collections::VecDeque;

use crate::design::{Design, Fault, HEADER_BYTES};
use crate::workload::{Deployment, Job};

/// Time between two rounds of gossip.
const GOSSIP_INTERVAL_MS: u64 = 500;
/// Size of one organisation's counter in a gossip message.
const COUNTER_BYTES: u64 = 12;
/// Time after which the slots of a lost router are reassigned to the others.
const REASSIGN_DELAY_MS: u64 = 3000;
/// Share of a run's expected remaining tokens that is charged in advance.
const PRECHARGE_PERCENT: u64 = 15;

/// Order in which a router grants requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// First come, first served.
    Arrival,
    /// Least served organisation, by this router's own counters.
    Local,
    /// Least served organisation, by gossip; routers with idle slots steal requests from the longest queue.
    Gossip,
    /// Least served organisation, by the cost of ended requests.
    Ended,
}

/// Slots that are partitioned over routers; with one router, a single queue without a network.
pub struct Partitioned {
    order: Order,
    routers: Vec<RouterQueues>,
    // Running requests with their slots, sorted by id.
    running: Vec<(u64, Slot)>,
    bytes: u64,
    // Lost router whose slots are not reassigned yet, and when it was lost, in ms.
    lost: Option<(usize, u64)>,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    engine: usize,
    router: usize,
    expected: u64,
    charged: u64,
}

struct RouterQueues {
    is_lost: bool,
    is_detached: bool,
    free: Vec<usize>,
    queues: Vec<VecDeque<Job>>,
    served: Vec<u64>,
    // Service of the other routers as of the last round of gossip.
    others: Vec<u64>,
    mean_cost: Vec<u64>,
}

impl RouterQueues {
    fn next(&self, order: Order) -> Option<usize> {
        let non_empty = (0..self.queues.len()).filter(|at| !self.queues[*at].is_empty());
        if order == Order::Arrival {
            return non_empty.min_by_key(|at| self.queues[*at][0].id);
        }
        non_empty.min_by_key(|at| self.served[*at] + self.others[*at])
    }

    fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }
}

impl Partitioned {
    pub fn new(deployment: Deployment, order: Order, routers: usize) -> Self {
        let count = deployment.organisations;
        let local = |_| RouterQueues {
            is_lost: false,
            is_detached: false,
            free: Vec::new(),
            queues: (0..count).map(|_| VecDeque::new()).collect(),
            served: vec![0; count],
            others: vec![0; count],
            mean_cost: vec![0; count],
        };
        let mut routers: Vec<RouterQueues> = (0..routers).map(local).collect();
        let total = routers.len();
        for slot in 0..deployment.engines * deployment.slots {
            routers[slot % total].free.push(slot / deployment.slots);
        }
        Self {
            order,
            routers,
            running: Vec::new(),
            bytes: 0,
            lost: None,
        }
    }

    fn local(&mut self, job: &Job) -> &mut RouterQueues {
        let at = job.router % self.routers.len();
        &mut self.routers[at]
    }

    /// Updates the charge of a run that has generated `tokens`.
    fn charge(&mut self, job: &Job, tokens: u64) {
        let Ok(at) = self.running.binary_search_by_key(&job.id, |(id, _)| *id) else {
            return;
        };
        let slot = &mut self.running[at].1;
        let precharge = slot.expected.saturating_sub(tokens) * PRECHARGE_PERCENT / 100;
        let charge = if tokens == job.cost {
            tokens
        } else {
            tokens + precharge
        };
        let served = &mut self.routers[slot.router].served[job.organisation];
        *served = (*served + charge).saturating_sub(slot.charged);
        slot.charged = charge;
    }

    fn gossip(&mut self) {
        let connected: Vec<usize> = (0..self.routers.len())
            .filter(|at| !self.routers[*at].is_detached)
            .collect();
        let served: Vec<Vec<u64>> = connected
            .iter()
            .map(|at| self.routers[*at].served.clone())
            .collect();
        for at in &connected {
            let own = self.routers[*at].served.clone();
            let others = (0..own.len()).map(|o| served.iter().map(|s| s[o]).sum::<u64>() - own[o]);
            self.routers[*at].others = others.collect();
        }
        let count = connected.len() as u64;
        let counters = served.first().map_or(0, Vec::len) as u64;
        self.bytes += count * count.saturating_sub(1) * (HEADER_BYTES + counters * COUNTER_BYTES);
    }

    /// Takes a request from the longest queue of another router.
    fn steal(&mut self, thief: usize) -> Option<Job> {
        let others =
            (0..self.routers.len()).filter(|at| *at != thief && !self.routers[*at].is_detached);
        let victim = others.max_by_key(|at| self.routers[*at].len())?;
        let organisation = self.routers[victim].next(self.order)?;
        self.bytes += 2 * (HEADER_BYTES + 60);
        self.routers[victim].queues[organisation].pop_front()
    }

    fn reassign_slots(&mut self, now: u64) {
        let Some((router, since)) = self.lost else {
            return;
        };
        if now < since + REASSIGN_DELAY_MS {
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

impl Design for Partitioned {
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
        let Ok(at) = self.running.binary_search_by_key(&job.id, |(id, _)| *id) else {
            return;
        };
        let (_, slot) = self.running.remove(at);
        let local = &mut self.routers[slot.router];
        local.free.push(slot.engine);
        let mean = &mut local.mean_cost[job.organisation];
        *mean = if *mean == 0 {
            job.cost
        } else {
            (*mean * 15 + job.cost) / 16
        };
    }

    fn apply_fault(&mut self, fault: Fault, now: u64) {
        let count = self.routers.len();
        match fault {
            Fault::RouterLost(router) if count > 1 => {
                let lost = self
                    .running
                    .extract_if(.., |(_, slot)| slot.router == router);
                let engines: Vec<usize> = lost.map(|(_, slot)| slot.engine).collect();
                let local = &mut self.routers[router];
                local.free.extend(engines);
                local.is_lost = true;
                local.queues.iter_mut().for_each(VecDeque::clear);
                self.lost = Some((router, now));
            }
            Fault::RouterStarted(router) if count > 1 => self.routers[router].is_lost = false,
            Fault::RouterDetached(router) if count > 1 => self.routers[router].is_detached = true,
            Fault::RouterAttached(router) if count > 1 => self.routers[router].is_detached = false,
            _ => {}
        }
    }

    fn step(&mut self, now: u64) -> Vec<(u64, usize)> {
        self.reassign_slots(now);
        if self.order == Order::Gossip && now.is_multiple_of(GOSSIP_INTERVAL_MS) {
            self.gossip();
        }
        let mut started = Vec::new();
        for router in 0..self.routers.len() {
            while !self.routers[router].is_lost && !self.routers[router].free.is_empty() {
                let local = &mut self.routers[router];
                let own = local.next(self.order);
                let mut job = own.and_then(|organisation| local.queues[organisation].pop_front());
                if job.is_none() && self.order == Order::Gossip && !local.is_detached {
                    job = self.steal(router);
                }
                let Some(job) = job else { break };
                let local = &mut self.routers[router];
                let Some(engine) = local.free.pop() else {
                    break;
                };
                let expected = local.mean_cost[job.organisation];
                let ended = self.order == Order::Ended;
                let charged = if ended {
                    0
                } else {
                    expected * PRECHARGE_PERCENT / 100
                };
                local.served[job.organisation] += charged;
                let slot = Slot {
                    engine,
                    router,
                    expected,
                    charged,
                };
                let at = self.running.partition_point(|(id, _)| *id < job.id);
                self.running.insert(at, (job.id, slot));
                started.push((job.id, engine));
            }
        }
        started
    }

    fn bytes(&self) -> u64 {
        self.bytes
    }
}
