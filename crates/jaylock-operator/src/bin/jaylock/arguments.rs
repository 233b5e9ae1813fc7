use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, ArgMatches, value_parser};

/// Option with the addresses of instances.
pub const INSTANCE: &str = "instance";
/// Option with the operators' secret.
pub const SECRET: &str = "secret";
/// Flag for JSON output.
pub const JSON: &str = "json";
/// Option with the timeout of the command.
pub const TIMEOUT: &str = "timeout";
/// Option with the id of a change.
pub const COMMAND_ID: &str = "command-id";
/// Option with the revision that a change expects.
pub const EXPECT: &str = "expect";

/// Timeout of a command without the option.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

/// The required positional argument with an id.
pub fn id_argument<T>() -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new("id")
        .value_name("ID")
        .help("Id")
        .required(true)
        .value_parser(from_str_parser::<T>())
}

/// An option with the id of another resource.
pub fn id_option<T>(name: &'static str, help: &'static str) -> Arg
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new(name)
        .long(name)
        .value_name("NAME")
        .help(help)
        .value_parser(from_str_parser::<T>())
}

/// The value of an option as text, if given.
pub fn option_value<T>(matches: &ArgMatches, name: &str) -> Option<String>
where
    T: ToString + Clone + Send + Sync + 'static,
{
    matches.get_one::<T>(name).map(ToString::to_string)
}

/// The value of an option with an integer, if given.
pub fn number_value(matches: &ArgMatches, name: &str) -> Option<u32> {
    matches.get_one(name).copied()
}

/// The id in the positional argument, as text.
pub fn id_value<T: ToString + Clone + Send + Sync + 'static>(matches: &ArgMatches) -> String {
    option_value::<T>(matches, "id").unwrap_or_default()
}

/// A parser for any type that implements [`FromStr`].
pub fn from_str_parser<T>() -> ValueParser
where
    T: FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    ValueParser::new(|text: &str| text.parse::<T>())
}

/// An option with an integer.
pub fn number_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("NUMBER")
        .help(help)
        .value_parser(value_parser!(u32))
}

/// The options that all commands share.
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
            .help("Peer addresses of instances, tried in order until one responds"),
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
            .help("Prints the output and errors as JSON"),
        Arg::new(TIMEOUT)
            .long(TIMEOUT)
            .value_name("DURATION")
            .value_parser(ValueParser::new(humantime::parse_duration))
            .global(true)
            .help("Timeout of the command, 15s by default"),
        Arg::new(COMMAND_ID)
            .long(COMMAND_ID)
            .value_name("ID")
            .value_parser(ValueParser::new(command_id))
            .global(true)
            .help("Id of a change; a change repeated with the same id is made only once"),
        Arg::new(EXPECT)
            .long(EXPECT)
            .value_name("REVISION")
            .value_parser(value_parser!(u64))
            .global(true)
            .help("Makes a change only if the configuration has this revision"),
    ]
}

fn command_id(text: &str) -> Result<String, String> {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b".-_:".contains(&b);
    let is_valid = (1..=MAX_COMMAND_ID_BYTES).contains(&text.len()) && text.bytes().all(is_allowed);
    if is_valid {
        return Ok(text.to_owned());
    }
    Err(String::from(
        "use 1 to 56 letters, digits, dots, dashes, underscores or colons",
    ))
}

/// Maximum length of an id given by an operator; the tool appends the number of the attempt.
const MAX_COMMAND_ID_BYTES: usize = 56;
