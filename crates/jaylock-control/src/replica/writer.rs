use std::rc::Rc;

use super::Shared;
use super::log::Retention;
use crate::storage::EncodedEntry;
use crate::{Error, Result};

/// Syncs the new entries of a leader in batches, and writes snapshots.
pub async fn run(shared: Rc<Shared>) {
    while !shared.is_halted() {
        let seen = shared.activity.count();
        if let Err(error) = write_pending(&shared).await {
            shared.halt(&error);
            return;
        }
        shared.activity.wait_past(seen).await;
    }
}

async fn write_pending(shared: &Shared) -> Result<()> {
    while has_unsynced_entries(shared) {
        let _disk_guard = shared.disk_lock.lock().await;
        sync_entries(shared).await?;
    }
    if wants_snapshot(shared) {
        let _disk_guard = shared.disk_lock.lock().await;
        write_snapshot(shared).await?;
    }
    Ok(())
}

fn has_unsynced_entries(shared: &Shared) -> bool {
    let core = shared.core.borrow();
    core.leader_state().is_some() && core.log.synced() < core.log.last_index()
}

/// Syncs one batch of entries that the leader appended. The caller holds `disk_lock`.
async fn sync_entries(shared: &Shared) -> Result<()> {
    if !has_unsynced_entries(shared) {
        return Ok(());
    }
    let entries = {
        let core = shared.core.borrow();
        core.log.batch(core.log.synced())
    };
    let Some(last) = entries.last().map(EncodedEntry::index) else {
        return Ok(());
    };
    shared.store.append(&entries).await?;
    shared.core.borrow_mut().log.set_synced(last);
    shared.advance_commit();
    Ok(())
}

fn wants_snapshot(shared: &Shared) -> bool {
    let core = shared.core.borrow();
    let index = core.state.index();
    let (entries, bytes) = (
        index.saturating_sub(core.log.base_index()),
        core.log.bytes_until(index),
    );
    let settings = &shared.settings;
    entries >= settings.snapshot_entries + settings.retained_entries
        || bytes >= settings.snapshot_bytes + settings.retained_bytes
}

/// Writes a snapshot and removes the entries before it, except for the newest ones.
///
/// The caller holds `disk_lock`.
async fn write_snapshot(shared: &Shared) -> Result<(), Error> {
    let (snapshot, rest, compaction_index) = {
        let core = shared.core.borrow();
        let index = core.state.index();
        // Entries that are not synced yet are written by `sync_entries`.
        let synced = core.log.synced();
        let rest = core.log.entries_after(index);
        let rest: Vec<EncodedEntry> = rest.take_while(|e| e.index() <= synced).cloned().collect();
        let compaction_index = core.log.compaction_index(index, retention(shared));
        (core.state.snapshot(), rest, compaction_index)
    };
    let index = snapshot.index;
    shared.store.write_snapshot(&snapshot).await?;
    shared.store.rewrite(&rest).await?;
    let mut core = shared.core.borrow_mut();
    let synced = core.log.synced().max(index);
    core.log.set_synced(synced);
    let before = core.log.bytes();
    core.log.compact(compaction_index);
    let after = core.log.bytes();
    log::info!(
        target: "control",
        index, log_bytes_before = before, log_bytes = after, change_bytes = core.state.change_bytes();
        "wrote a snapshot"
    );
    Ok(())
}

fn retention(shared: &Shared) -> Retention {
    Retention {
        entries: shared.settings.retained_entries,
        bytes: shared.settings.retained_bytes,
    }
}
