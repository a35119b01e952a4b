//! The `chalkgap` command: arguments, signals and logging. Everything else is in the libraries and the test crates.

mod drill;
mod fleet;
mod ledger;
mod output;
mod platform;
mod serve;
mod signals;
mod tools;

use crate::output::print_line;
use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a command. Code 2 is used by clap for invalid arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Success = 0,
    /// The command ran with a negative result, such as a violated rule, a failed call or a damaged ledger.
    Failure = 1,
    /// The settings or a script are invalid.
    Settings = 3,
    /// An address, file or other resource of the system is not available.
    System = 4,
    /// `ask`: the request was refused.
    Refused = 10,
    /// `ask` or `fleet show`: the ingress did not answer.
    NoAnswer = 11,
}

/// An API gateway for services sold by plan.
#[derive(Parser)]
#[command(name = "chalkgap", version, about)]
struct Args {
    /// Format of log lines.
    #[arg(long, global = true, value_enum, default_value_t = LogForm::Human)]
    log: LogForm,
    /// Log filter, such as `info` or `chalkgap=debug`.
    #[arg(long, global = true, default_value = "info")]
    log_filter: String,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
    Human,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Run an ingress. SIGTERM or SIGINT drains it, a second SIGINT after half a second or more ends it at once.
    Serve(serve::Serve),
    /// Run an ingress on the users' platform, configured by the file that RELAY_CONFIG names. SIGHUP reloads it, SIGTERM
    /// or SIGINT drains the ingress, a second SIGINT after half a second or more ends it at once.
    Platform,
    /// Check a settings file.
    Check {
        /// The settings, a Starlark script that binds `settings`.
        file: PathBuf,
        /// Text that the script reads as `given["KEY"]`.
        #[arg(long = "set", value_name = "KEY=VALUE", value_parser = pair)]
        given: Vec<(String, String)>,
    },
    /// Print the JSON Schema of the settings.
    Schema,
    /// Send a single request to an ingress.
    Ask(tools::Ask),
    /// Run a simulated node or registry.
    #[command(subcommand)]
    Standin(tools::Standin),
    /// Run a fault-injection drill against real ingresses and audit it.
    Drill(drill::Drill),
    /// Show the fleet's membership.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Read, export or reconcile a billing ledger.
    #[command(subcommand)]
    Ledger(ledger::Ledger),
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

/// Parses an argument of the form `KEY=VALUE`.
pub(crate) fn pair(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or_else(|| format!("expected KEY=VALUE, found {text:?}"))?;
    Ok((key.to_owned(), value.to_owned()))
}

/// Prints an error on standard error and returns the exit code.
pub(crate) fn fail(exit: Exit, what: impl std::fmt::Display) -> Exit {
    eprintln!("chalkgap: {what}");
    exit
}

fn main() -> ExitCode {
    let args = Args::parse();
    let filter = match tracing_subscriber::EnvFilter::try_new(&args.log_filter) {
        Ok(filter) => filter,
        Err(e) => return ExitCode::from(fail(Exit::Settings, format!("--log-filter: {e}")) as u8),
    };
    let subscriber = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match args.log {
        LogForm::Human => subscriber.with_ansi(false).init(),
        LogForm::Json => subscriber.json().init(),
    }
    let exit = match args.command {
        Command::Serve(args) => serve::run(args),
        Command::Platform => platform::run(),
        Command::Check { file, given } => match serve::read(&file, &given) {
            Ok(settings) => {
                let classes = settings.classes.len();
                let plans = settings.plans.len();
                print_line!("{}: good ({classes} classes, {plans} plans)", file.display());
                Exit::Success
            }
            Err(exit) => exit,
        },
        Command::Schema => {
            print_line!("{:#}", chalkgap::settings::schema());
            Exit::Success
        }
        Command::Ask(args) => tools::ask(args),
        Command::Standin(standin) => tools::standin(standin),
        Command::Drill(args) => drill::run(args),
        Command::Fleet(command) => fleet::run(command),
        Command::Ledger(command) => ledger::run(command),
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "chalkgap", &mut script);
            output::write(format_args!("{}", String::from_utf8_lossy(&script)));
            Exit::Success
        }
    };
    ExitCode::from(exit as u8)
}
