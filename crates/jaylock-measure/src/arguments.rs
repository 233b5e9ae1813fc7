use clap::Arg;

/// Returns an option `--name VALUE`.
#[must_use]
pub fn option(name: &'static str, value: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value)
}
