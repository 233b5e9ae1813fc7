use std::path::Path;

use anyhow::Context;
use jaylock_control::FileDisk;
use jaylock_settings::Settings;
use jaylock_types::Index;

use crate::common::identity;

/// Makes this instance's data folder a group of one, when a majority of the replicas is lost.
///
/// # Errors
/// The settings name no data folder, or it holds no replica that can be read.
pub async fn rescue(settings: &Settings) -> anyhow::Result<Index> {
    let folder = settings.instance.data.as_ref();
    let folder = folder.context("this instance has no data folder: name it in [instance]")?;
    let disk = FileDisk::open(Path::new(folder)).await?;
    Ok(jaylock_control::rescue(&identity(settings), disk).await?)
}
