//! The `chalkgap` command: arguments, signals, logs. All else is in the library and the laboratory.

mod drill;
mod fleet;
mod ledger;
mod platform;
mod serve;
mod tools;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use std::path::PathBuf;
use std::process::ExitCode;

/// How a command ended, for scripts. 2 is clap's, for arguments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Good = 0,
    /// It ran, and the answer is no: a rule broken, a call failed.
    Bad = 1,
    /// Settings or a script are not taken.
    Settings = 3,
    /// Something of the system is not to be had: an address, a file.
    System = 4,
    /// `ask`: refused.
    Refused = 10,
    /// `ask`: nobody there.
    NoAnswer = 11,
}

/// An API gateway for services sold by plan.
#[derive(Parser)]
#[command(name = "chalkgap", version, about)]
struct Args {
    /// How log lines look.
    #[arg(long, global = true, value_enum, default_value_t = LogForm::Human)]
    log: LogForm,
    /// What is logged, such as `info` or `chalkgap=debug`.
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
    /// Run an ingress. The first SIGTERM or SIGINT drains it, the second stops it.
    Serve(serve::Serve),
    /// Run an ingress on the users' platform, configured by RELAY_CONFIG. SIGHUP reads it again, SIGTERM drains.
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
    /// Ask an ingress by hand.
    Ask(tools::Ask),
    /// Run a stand-in of what an ingress meets.
    #[command(subcommand)]
    Standin(tools::Standin),
    /// Play a bad day through real ingresses and judge it.
    Drill(drill::Drill),
    /// Look at the fleet.
    #[command(subcommand)]
    Fleet(fleet::Fleet),
    /// Read a billing ledger.
    #[command(subcommand)]
    Ledger(ledger::Ledger),
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: clap_complete::Shell,
    },
}

pub(crate) fn pair(text: &str) -> Result<(String, String), String> {
    let (key, value) = text.split_once('=').ok_or_else(|| format!("expected KEY=VALUE, found {text:?}"))?;
    Ok((key.to_owned(), value.to_owned()))
}

/// Says on standard error why a command ends.
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
    let lines = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match args.log {
        LogForm::Human => lines.with_ansi(false).init(),
        LogForm::Json => lines.json().init(),
    }
    let exit = match args.command {
        Command::Serve(a) => serve::run(a),
        Command::Platform => platform::run(),
        Command::Check { file, given } => match serve::read(&file, &given) {
            Ok(settings) => {
                let (classes, plans) = (settings.classes.len(), settings.plans.len());
                println!("{}: good ({classes} classes, {plans} plans)", file.display());
                Exit::Good
            }
            Err(exit) => exit,
        },
        Command::Schema => {
            println!("{:#}", chalkgap::settings::schema());
            Exit::Good
        }
        Command::Ask(a) => tools::ask(a),
        Command::Standin(s) => tools::standin(s),
        Command::Drill(d) => drill::run(d),
        Command::Fleet(f) => fleet::run(f),
        Command::Ledger(l) => ledger::run(l),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Args::command(), "chalkgap", &mut std::io::stdout());
            Exit::Good
        }
    };
    ExitCode::from(exit as u8)
}
