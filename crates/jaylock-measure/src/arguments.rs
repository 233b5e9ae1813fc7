use clap::Arg;

/// An option `--name VALUE` of a measuring program.
#[must_use]
pub fn option(name: &'static str, value: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value)
}
