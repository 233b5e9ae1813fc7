use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, value_parser};

/// Name of the option that names instances.
pub const INSTANCE: &str = "instance";
/// Name of the option with the operators' secret.
pub const SECRET: &str = "secret";
/// Name of the flag for output that programs read.
pub const JSON: &str = "json";
/// Name of the option that bounds a command's time.
pub const TIMEOUT: &str = "timeout";
/// Name of the option with the id of a change.
pub const COMMAND_ID: &str = "command-id";
/// Name of the option with the revision that the operator has read.
pub const EXPECT: &str = "expect";

/// Time for a command when none is given.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// An obligatory name in the place of a positional argument.
pub fn name_argument<T>() -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new("id")
        .value_name("ID")
        .help("Its name")
        .required(true)
        .value_parser(parser::<T>())
}

/// An option with a name of another kind.
pub fn name_option<T>(name: &'static str, help: &'static str) -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new(name)
        .long(name)
        .value_name("NAME")
        .help(help)
        .value_parser(parser::<T>())
}

/// The value of an option with a name, as text.
pub fn named<T>(matches: &ArgMatches, name: &str) -> Option<String>
where
    T: ToString + Clone + Send + Sync + 'static,
{
    matches.get_one::<T>(name).map(ToString::to_string)
}

/// The value of an option with a whole number.
pub fn number(matches: &ArgMatches, name: &str) -> Option<u32> {
    matches.get_one(name).copied()
}

/// The name in the place of a positional argument, as text.
pub fn name<T: ToString + Clone + Send + Sync + 'static>(matches: &ArgMatches) -> String {
    named::<T>(matches, "id").unwrap_or_default()
}

/// Reads values that know their own form.
pub fn parser<T>() -> ValueParser
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    ValueParser::new(|text: &str| text.parse::<T>())
}

/// An option with a whole number.
pub fn number_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .help(help)
        .value_parser(value_parser!(u32))
}

/// The options of every command.
pub fn global_options() -> [Arg; 6] {
    [
        Arg::new(INSTANCE)
            .long(INSTANCE)
            .value_name("IP:PORT")
            .env("JAYLOCK_INSTANCE")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .default_value("127.0.0.1:7090")
            .value_parser(value_parser!(SocketAddr))
            .global(true)
            .help("Peer address of an instance; further ones are asked when it gives no answer"),
        Arg::new(SECRET)
            .long(SECRET)
            .value_name("SECRET")
            .env("JAYLOCK_SECRET")
            .hide_env_values(true)
            .global(true)
            .help("Operators' secret of the fleet"),
        Arg::new(JSON)
            .long(JSON)
            .action(ArgAction::SetTrue)
            .global(true)
            .help("Prints JSON for programs"),
        Arg::new(TIMEOUT)
            .long(TIMEOUT)
            .value_name("DURATION")
            .value_parser(ValueParser::new(humantime::parse_duration))
            .global(true)
            .help("Time for the command, 15s by default"),
        Arg::new(COMMAND_ID)
            .long(COMMAND_ID)
            .value_name("ID")
            .value_parser(ValueParser::new(command_id))
            .global(true)
            .help("Id of a change; repeated under the same id it is made only once"),
        Arg::new(EXPECT)
            .long(EXPECT)
            .value_name("REVISION")
            .value_parser(value_parser!(u64))
            .global(true)
            .help("Makes a change only on this revision"),
    ]
}

fn command_id(text: &str) -> Result<String, String> {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b".-_:".contains(&b);
    let fits = (1..=LONGEST_COMMAND_ID).contains(&text.len()) && text.bytes().all(allowed);
    if fits {
        return Ok(text.to_owned());
    }
    Err(String::from(
        "use 1 to 56 letters, digits, dots, dashes, underscores or colons",
    ))
}

/// Longest id that an operator may choose, in bytes; the tool adds the number of its attempt.
const LONGEST_COMMAND_ID: usize = 56;
