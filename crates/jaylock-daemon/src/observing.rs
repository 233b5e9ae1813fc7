use jaylock_observe::{LogSettings, Objective, Objectives, Observer, ObserverSettings};
use jaylock_rpc::v1;
use jaylock_settings::Settings;
use jaylock_types::Incarnation;

/// What the settings say about the log.
#[must_use]
pub fn log_settings(settings: &Settings) -> LogSettings {
    let parts = settings.log.parts();
    LogSettings {
        level: settings.log.level,
        target_levels: parts
            .into_iter()
            .map(|(part, level)| (part.into(), level))
            .collect(),
        lines_per_second: settings.log.lines,
    }
}

/// The observer of an instance, with the objectives that the settings name.
pub fn observer(settings: &Settings, incarnation: Incarnation) -> Observer {
    let given = &settings.objectives;
    let objectives = Objectives {
        availability_ppm: given.availability.millionths(),
        first_token: given.first_token,
        first_token_ppm: given.first_token_target.millionths(),
        short_wait: given.short_wait,
        short_wait_ppm: given.short_wait_target.millionths(),
        completion: given.completion,
        completion_ppm: given.completion_target.millionths(),
        short_tokens: given.short_tokens,
    };
    let settings_of_observer = ObserverSettings {
        incarnation,
        objectives,
        ..ObserverSettings::default()
    };
    Observer::new(&settings.instance.id, settings_of_observer)
}

/// The objectives of an observer, as operators are told.
pub fn objectives(observer: &Observer) -> Vec<v1::Objective> {
    let message = |o: Objective| v1::Objective {
        name: o.name.into(),
        target_ppm: o.target_ppm,
        threshold_ms: u64::try_from(o.threshold.as_millis()).unwrap_or(u64::MAX),
    };
    observer.objectives().into_iter().map(message).collect()
}
