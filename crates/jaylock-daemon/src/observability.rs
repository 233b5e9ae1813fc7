use jaylock_observe::{LogSettings, Objective, Objectives, Observer, ObserverSettings};
use jaylock_rpc::v1;
use jaylock_settings::Settings;
use jaylock_types::{Incarnation, long_millis};

/// Returns the log settings of an instance.
#[must_use]
pub fn log_settings(settings: &Settings) -> LogSettings {
    let levels = settings.log.target_levels();
    LogSettings {
        level: settings.log.level,
        target_levels: levels
            .into_iter()
            .map(|(target, level)| (target.into(), level))
            .collect(),
        lines_per_second: settings.log.lines,
    }
}

/// Creates the observer of an instance with the objectives from its settings.
pub fn observer(settings: &Settings, incarnation: Incarnation) -> Observer {
    let configured = &settings.objectives;
    let objectives = Objectives {
        availability_ppm: configured.availability.to_ppm(),
        first_token: configured.first_token,
        first_token_ppm: configured.first_token_target.to_ppm(),
        short_wait: configured.short_wait,
        short_wait_ppm: configured.short_wait_target.to_ppm(),
        completion: configured.completion,
        completion_ppm: configured.completion_target.to_ppm(),
        max_short_tokens: configured.short_tokens,
    };
    let observer_settings = ObserverSettings {
        incarnation,
        objectives,
        ..ObserverSettings::default()
    };
    Observer::new(&settings.instance.id, observer_settings)
}

/// Converts the objectives of an observer to messages of the schema.
pub fn objectives(observer: &Observer) -> Vec<v1::Objective> {
    let message = |o: Objective| v1::Objective {
        name: o.name.into(),
        target_ppm: o.target_ppm,
        threshold_ms: long_millis(o.threshold),
    };
    observer.objectives().into_iter().map(message).collect()
}
