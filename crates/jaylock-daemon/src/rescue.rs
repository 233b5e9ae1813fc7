use std::path::Path;

use anyhow::Context;
use jaylock_control::FileDisk;
use jaylock_settings::Settings;
use jaylock_types::Index;

use crate::context::identity;

/// Turns this instance's data folder into a group of one after the loss of a majority of the replicas.
///
/// # Errors
/// The settings name no data folder, or the folder holds no readable replica.
pub async fn rescue(settings: &Settings) -> anyhow::Result<Index> {
    let folder = settings.instance.data.as_ref();
    let folder = folder.context("this instance has no data folder: name it in [instance]")?;
    let disk = FileDisk::open(Path::new(folder)).await?;
    Ok(jaylock_control::rescue(&identity(settings), disk).await?)
}
