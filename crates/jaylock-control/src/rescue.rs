use std::rc::Rc;

use jaylock_rpc::v1::Member;
use jaylock_types::Index;

use crate::replica::Log;
use crate::state::State;
use crate::storage::{Disk, FileName, HardState, Store};
use crate::{Error, Result};

/// Added to the index, so that it is higher than any index on the lost disks.
const INDEX_OFFSET: u64 = 1 << 32;

/// Forms a group with one member from a remaining disk after the majority is lost permanently.
///
/// All entries on this disk count as committed from then on; entries that were only on the lost
/// disks are lost. `identity` is the member record of the instance with the disk. No other replica
/// of the old group may run afterwards. Returns the new index.
///
/// # Errors
/// [`Error::Empty`] if the disk has no replica data, [`Error::Disk`] and [`Error::Corrupt`].
pub async fn rescue(identity: &Member, disk: impl Disk) -> Result<Index> {
    let store = Store::new(Rc::new(disk));
    let contents = store.load().await?;
    let snapshot = contents.snapshot.unwrap_or_default();
    let mut state = State::restore(snapshot);
    let Some(hard_state) = contents
        .hard_state
        .filter(|h| h.generation > 0 && !state.configuration().members.is_empty())
    else {
        let file = store.file_path(FileName::Snapshot);
        return Err(Error::Empty { file });
    };
    let log = Log::restore(state.index(), state.term(), contents.entries)
        .ok_or_else(|| store.missing_entries_error())?;
    for entry in log.entries_after(state.index()) {
        state.apply(&entry.decode());
    }
    let mut snapshot = state.snapshot();
    snapshot.index += INDEX_OFFSET;
    if let Some(configuration) = &mut snapshot.configuration {
        configuration.index = snapshot.index;
        configuration.members = vec![Member {
            generation: hard_state.generation,
            voter: true,
            ..identity.clone()
        }];
    }
    store.write_snapshot(&snapshot).await?;
    store.rewrite(&[]).await?;
    let hard_state = HardState {
        term: hard_state.term + 1,
        voted_for: String::new(),
        ..hard_state
    };
    store.write_hard_state(&hard_state).await?;
    Ok(Index(snapshot.index))
}
