use std::time::Duration;

use compact_str::{CompactString, format_compact};
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use jaylock_control::ControlClient;
use jaylock_settings::Settings;

/// Time between two checks for settings that changed without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Rereads the settings on a signal and periodically; running requests are not affected.
///
/// Changed seed addresses apply at once, all other settings at the next start.
pub async fn follow_settings(
    mut current: Settings,
    client: ControlClient,
    mut signals: UnboundedReceiver<()>,
    reread: impl Fn() -> anyhow::Result<Settings>,
) {
    let mut last_error = CompactString::default();
    loop {
        let is_signalled = wait_for_check(&mut signals).await;
        let settings = match reread() {
            Ok(settings) => settings,
            Err(error) => {
                // Without a signal, the same error is logged only once.
                let text = format_compact!("{error:#}");
                if is_signalled || text != last_error {
                    log::error!(target: "daemon", "the new settings are rejected: {text}");
                }
                last_error = text;
                continue;
            }
        };
        last_error.clear();
        let is_changed = settings != current;
        if is_changed {
            client.set_seeds(settings.control.seed_peers());
            current = settings;
        }
        if is_signalled || is_changed {
            log::info!(target: "daemon", is_told = is_signalled, is_changed; "settings reloaded");
        }
    }
}

/// Waits for a signal or the next periodic check; returns whether a signal arrived.
async fn wait_for_check(signals: &mut UnboundedReceiver<()>) -> bool {
    match compio::time::timeout(POLL_INTERVAL, signals.next()).await {
        Ok(Some(())) => true,
        Ok(None) => {
            // Signals can't be received, so only the periodic check remains.
            compio::time::sleep(POLL_INTERVAL).await;
            false
        }
        Err(_) => false,
    }
}
