use crate::backend::{BackendSet, Backends};

/// The engines of a pool as one decision sees them.
#[derive(Debug)]
pub struct Survey {
    /// Usable engines with the tokens that each has to read, the least first.
    order: Vec<(u64, usize)>,
    /// Usable engines that have nothing to read.
    idle: BackendSet,
}

impl Survey {
    /// Looks at every engine.
    pub fn new(backends: &Backends) -> Self {
        let usable = backends.usable();
        let places = usable.common(usable);
        let mut order: Vec<_> = places
            .map(|place| (unread(backends, place), place))
            .collect();
        order.sort_unstable();
        let mut idle = BackendSet::default();
        for (_, place) in order.iter().take_while(|(unread, _)| *unread == 0) {
            idle.set(*place, true);
        }
        Self { order, idle }
    }

    /// Notes that an engine was given something to read.
    pub fn note(&mut self, backends: &Backends, place: usize) {
        let Some(at) = self.order.iter().position(|(_, known)| *known == place) else {
            return;
        };
        self.order.remove(at);
        let entry = (unread(backends, place), place);
        let at = self.order.partition_point(|other| *other < entry);
        self.order.insert(at, entry);
        self.idle.set(place, entry.0 == 0);
    }

    /// Engines with the tokens that each has to read, the least first.
    pub fn order(&self) -> impl Iterator<Item = (u64, usize)> + '_ {
        self.order.iter().copied()
    }

    /// How many of some engines there are, and how many of them have nothing to read.
    pub fn count(&self, backends: &Backends, some: &BackendSet) -> (usize, usize) {
        let all = some.common(backends.usable()).count();
        (all, some.common(&self.idle).count())
    }
}

fn unread(backends: &Backends, place: usize) -> u64 {
    backends.get(place).engine.unread()
}
