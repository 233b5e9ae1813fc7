use std::time::Duration;

use compact_str::{CompactString, format_compact};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use jaylock_control::ControlClient;
use jaylock_settings::Settings;

use crate::stop::hangups;

/// Time between two looks at settings that may change without a signal.
const LOOK: Duration = Duration::from_secs(2);

/// Takes up settings that change, told by a signal or not; nothing that runs is cut.
///
/// Addresses to start from are used at once, all else from the next start.
pub async fn follow_settings(
    mut known: Settings,
    client: ControlClient,
    reread: impl Fn() -> anyhow::Result<Settings>,
) {
    let mut hangups = hangups();
    let mut fault = CompactString::default();
    loop {
        let is_told = is_told(&mut hangups).await;
        let settings = match reread() {
            Ok(settings) => settings,
            Err(error) => {
                // The same fault is told once, unless it is asked for.
                let found = format_compact!("{error:#}");
                if is_told || found != fault {
                    log::error!(target: "daemon", "the new settings are not used: {found}");
                }
                fault = found;
                continue;
            }
        };
        fault.clear();
        let is_changed = settings != known;
        if is_changed {
            client.set_seeds(settings.control.seed_peers());
            known = settings;
        }
        if is_told || is_changed {
            log::info!(target: "daemon", is_told, is_changed; "the settings were read again");
        }
    }
}

/// Waits for a signal or the next look; whether it was a signal.
async fn is_told(hangups: &mut UnboundedReceiver<()>) -> bool {
    match compio::time::timeout(LOOK, hangups.next()).await {
        Ok(Some(())) => true,
        Ok(None) => {
            // Signals can't be heard, so only looks are left.
            compio::time::sleep(LOOK).await;
            false
        }
        Err(_) => false,
    }
}
