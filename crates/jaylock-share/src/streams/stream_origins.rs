use std::collections::VecDeque;
use std::time::{Duration, Instant};

use compact_str::CompactString;
use jaylock_rpc::v1::{self, Ask};
use jaylock_types::StreamId;

use crate::encoding::request_id;
use crate::streams::seen_versions::SeenVersions;

/// Time for which a stream may be taken up after its last progress or end.
///
/// Callers take a stream up within the time that they gave its first request.
pub const RETENTION: Duration = Duration::from_mins(1);
/// Time over which streams are kept in one generation.
const GENERATION_TIME: Duration = Duration::from_secs(2);
/// Streams in one generation, so that adding one takes a few microseconds.
const MAX_GENERATION_LEN: usize = 16 << 10;
/// Streams that are kept; beyond this number the oldest generations are dropped.
const MAX_STREAMS: usize = 1 << 20;

/// The versions of backend servers' software at which streams began, and at which alone they may go on.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    // Oldest first.
    generations: VecDeque<Generation>,
    len: usize,
    /// Versions at which streams began or may begin.
    pub seen: SeenVersions,
}

impl StreamOrigins {
    /// Records the version at which a stream has brought an event, if its request has an identifier.
    ///
    /// A grant doesn't count: it may be lost on its way while another attempt brings the first event.
    pub fn record(&mut self, stream: Option<StreamId>, software: &str, now: Instant) {
        let Some(stream) = stream else { return };
        self.seen.record(software, now);
        let is_open = self.generations.back().is_some_and(|g| g.is_open(now));
        if !is_open {
            self.push(Generation::new(now), now);
        }
        if let Some(current) = self.generations.back_mut() {
            self.len += usize::from(current.record(stream, software));
        }
    }

    /// The version at which a stream must go on; `None` if it is not known.
    pub fn find(&self, stream: StreamId) -> Option<&CompactString> {
        self.newest_groups()
            .find(|group| group.streams.binary_search(&stream).is_ok())
            .map(|group| &group.software)
    }

    /// All streams by version, for a new scheduler.
    pub fn list(&mut self, now: Instant) -> Vec<v1::StreamOrigin> {
        self.expire(now);
        let mut streams: Vec<(StreamId, &CompactString)> = Vec::with_capacity(self.len);
        for group in self.newest_groups() {
            streams.extend(
                group
                    .streams
                    .iter()
                    .map(|stream| (*stream, &group.software)),
            );
        }
        // The sort is stable, so that the newest entry of a stream stays.
        streams.sort_by_key(|(stream, _)| *stream);
        streams.dedup_by_key(|(stream, _)| *stream);
        let mut groups = Vec::new();
        for (stream, software) in streams {
            find_or_add(&mut groups, software).streams.push(stream);
        }
        groups.into_iter().map(Group::into_message).collect()
    }

    /// Adds what a router lists.
    pub fn restore(&mut self, listed: &[v1::StreamOrigin], now: Instant) {
        if listed.is_empty() {
            return;
        }
        let mut generation = Generation::new(now);
        for origin in listed {
            self.seen.record(&origin.software, now);
            let group = find_or_add(&mut generation.groups, &origin.software);
            group
                .streams
                .extend(origin.streams.iter().copied().map(StreamId));
            group.streams.sort_unstable();
            group.streams.dedup();
        }
        self.push(generation, now);
    }

    fn push(&mut self, generation: Generation, now: Instant) {
        self.len += generation.len();
        self.generations.push_back(generation);
        self.expire(now);
    }

    /// Drops the streams that nobody takes up any more, and the oldest beyond the limit.
    fn expire(&mut self, now: Instant) {
        let max_age = RETENTION + GENERATION_TIME;
        while let Some(oldest) = self.generations.front() {
            let age = now.saturating_duration_since(oldest.started);
            if age < max_age && self.len <= MAX_STREAMS {
                return;
            }
            self.len -= oldest.len();
            self.generations.pop_front();
        }
    }

    fn newest_groups(&self) -> impl Iterator<Item = &Group> {
        self.generations.iter().rev().flat_map(|g| &g.groups)
    }
}

/// Streams that progressed or ended at about the same time.
#[derive(Debug)]
struct Generation {
    started: Instant,
    // Sorted by version; a stream stands in one of them.
    groups: Vec<Group>,
}

impl Generation {
    fn new(now: Instant) -> Self {
        Self {
            started: now,
            groups: Vec::new(),
        }
    }

    /// Whether it takes further streams.
    fn is_open(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        age < GENERATION_TIME && self.len() < MAX_GENERATION_LEN
    }

    fn len(&self) -> usize {
        self.groups.iter().map(|group| group.streams.len()).sum()
    }

    /// Records a stream; returns whether it is a new one.
    fn record(&mut self, stream: StreamId, software: &str) -> bool {
        let mut is_known = false;
        for group in &mut self.groups {
            if group.software != software {
                is_known |= group.remove(stream);
            }
        }
        find_or_add(&mut self.groups, software).insert(stream) && !is_known
    }
}

/// Streams that one version began.
#[derive(Debug)]
struct Group {
    software: CompactString,
    // Sorted.
    streams: Vec<StreamId>,
}

impl Group {
    /// Adds a stream; returns whether it is a new one.
    fn insert(&mut self, stream: StreamId) -> bool {
        let search = self.streams.binary_search(&stream);
        if let Err(index) = search {
            self.streams.insert(index, stream);
        }
        search.is_err()
    }

    /// Removes a stream; returns whether it was there.
    fn remove(&mut self, stream: StreamId) -> bool {
        let search = self.streams.binary_search(&stream);
        if let Ok(index) = search {
            self.streams.remove(index);
        }
        search.is_ok()
    }

    fn into_message(self) -> v1::StreamOrigin {
        v1::StreamOrigin {
            software: self.software.into(),
            streams: self.streams.into_iter().map(|stream| stream.0).collect(),
        }
    }
}

fn find_or_add<'a>(groups: &'a mut Vec<Group>, software: &str) -> &'a mut Group {
    let search = groups.binary_search_by(|group| group.software.as_str().cmp(software));
    let index = search.unwrap_or_else(|index| {
        let group = Group {
            software: software.into(),
            streams: Vec::new(),
        };
        groups.insert(index, group);
        index
    });
    &mut groups[index]
}

/// The stream that a request begins or takes up; `None` if it has no identifier.
pub fn stream_of(ask: &Ask) -> Option<StreamId> {
    if let Some(stream) = ask.begun_stream {
        return StreamId::from_message(stream);
    }
    let request = request_id(ask);
    (!request.is_empty()).then(|| StreamId::new(&ask.organisation, &request))
}
