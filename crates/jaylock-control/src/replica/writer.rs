use std::rc::Rc;

use super::Shared;
use crate::{Error, Result};

/// Syncs a leader's new entries, all that wait at once, and writes snapshots.
pub async fn write(shared: Rc<Shared>) {
    while !shared.is_halted() {
        let seen = shared.work.count();
        if let Err(error) = write_once(&shared).await {
            shared.halt(&error);
            return;
        }
        shared.work.past(seen).await;
    }
}

async fn write_once(shared: &Shared) -> Result<()> {
    while is_behind(shared) {
        let _writing = shared.writing.lock().await;
        sync(shared).await?;
    }
    if wants_snapshot(shared) {
        let _writing = shared.writing.lock().await;
        snapshot(shared).await?;
    }
    Ok(())
}

fn is_behind(shared: &Shared) -> bool {
    let core = shared.core.borrow();
    core.leading().is_some() && core.log.synced() < core.log.last_index()
}

/// Syncs what a leader has added. The caller holds `writing`.
async fn sync(shared: &Shared) -> Result<()> {
    if !is_behind(shared) {
        return Ok(());
    }
    let entries = {
        let core = shared.core.borrow();
        core.log.batch(core.log.synced())
    };
    let Some(last) = entries.last().map(|e| e.index) else {
        return Ok(());
    };
    shared.store.append(entries).await?;
    shared.core.borrow_mut().log.set_synced(last);
    shared.advance();
    Ok(())
}

fn wants_snapshot(shared: &Shared) -> bool {
    let core = shared.core.borrow();
    let after = core.state.index().saturating_sub(core.log.base_index());
    after >= shared.settings.snapshot_entries + shared.settings.kept_entries
}

/// Writes a snapshot and drops the entries before it, but for the newest. The caller holds
/// `writing`.
async fn snapshot(shared: &Shared) -> Result<(), Error> {
    let (image, rest, kept) = {
        let core = shared.core.borrow();
        let index = core.state.index();
        let kept = index.saturating_sub(shared.settings.kept_entries);
        let mut rest = core.log.rest(index);
        // What is not synced is written by `sync`.
        rest.retain(|e| e.index <= core.log.synced());
        (core.state.image(), rest, kept)
    };
    log::info!(target: "control", "writes a snapshot at index {}", image.index);
    shared.store.write_image(&image).await?;
    shared.store.rewrite(rest).await?;
    let mut core = shared.core.borrow_mut();
    let synced = core.log.synced().max(image.index);
    core.log.set_synced(synced);
    core.log.forget(kept);
    Ok(())
}
