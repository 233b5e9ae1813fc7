use std::rc::Rc;

use jaylock_rpc::v1::Member;
use jaylock_types::Index;

use crate::replica::Log;
use crate::state::State;
use crate::storage::{Ballot, Disk, FileName, Store};
use crate::{Error, Result};

/// Added to the index, so that it stands above whatever the lost disks held.
const INDEX_LEAP: u64 = 1 << 32;

/// Makes a group of one out of the last disk that is left, when a majority is lost for good.
///
/// Everything on this disk counts as committed from then on; what only the lost disks held is
/// gone. `identity` names the instance that keeps the disk. No other replica of the old group may
/// run any more. Gives the new index.
///
/// # Errors
/// [`Error::Empty`] when the disk holds no replica, [`Error::Disk`] and [`Error::Corrupt`].
pub async fn rescue(identity: &Member, disk: impl Disk) -> Result<Index> {
    let store = Store::new(Rc::new(disk));
    let contents = store.load().await?;
    let image = contents.image.unwrap_or_default();
    let mut state = State::restore(image);
    let Some(ballot) = contents
        .ballot
        .filter(|_| !state.configuration().members.is_empty())
    else {
        let file = store.describe(FileName::Snapshot);
        return Err(Error::Empty { file });
    };
    let log = Log::restore(state.index(), state.term(), contents.entries)
        .ok_or_else(|| store.incomplete())?;
    for entry in log.rest(state.index()) {
        state.apply(&entry);
    }
    let mut image = state.image();
    image.index += INDEX_LEAP;
    if let Some(configuration) = &mut image.configuration {
        configuration.index = image.index;
        configuration.members = vec![Member {
            generation: ballot.generation,
            voter: true,
            ..identity.clone()
        }];
    }
    store.write_image(&image).await?;
    store.rewrite(Vec::new()).await?;
    let ballot = Ballot {
        term: ballot.term + 1,
        voted: String::new(),
        ..ballot
    };
    store.write_ballot(&ballot).await?;
    Ok(Index(image.index))
}
