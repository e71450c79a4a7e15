//! The `crocus` binary: parses the command line, runs one command and reports its result.

use std::io::Write;
use std::process::ExitCode;

use clap::Parser;
use cli::CliError;
use cli::Client;
use cli::ask;
use cli::bundles;
use cli::explain;
use cli::jobs;
use cli::jobs::JobClient;
use cli::jobs::NewJob;
use cli::keys;
use cli::options::BundleCommand;
use cli::options::Command;
use cli::options::Connection;
use cli::options::JobCommand;
use cli::options::KeyCommand;
use cli::options::Options;
use cli::options::OutputFormat;
use kernel::Clock;

fn main() -> ExitCode {
    let options = Options::parse();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("crocus: cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(&options)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("crocus: {error}");
            error.exit_code()
        }
    }
}

async fn run(options: &Options) -> Result<(), CliError> {
    let connection = &options.connection;
    let format = options.output;
    match &options.command {
        Command::Endpoints => ask::endpoints(&caller_client(connection)?, format).await,
        Command::Ask(args) => ask::ask(&caller_client(connection)?, args, format).await,
        Command::Bundle(command) => run_bundle(connection, command, format).await,
        Command::Job(command) => run_job(connection, command, format).await,
        Command::Key(command) => run_key(command, format),
        Command::Explain(args) => explain::run(args, format),
    }
}

async fn run_bundle(
    connection: &Connection,
    command: &BundleCommand,
    format: OutputFormat,
) -> Result<(), CliError> {
    match command {
        BundleCommand::Check { file } => bundles::check(file, format),
        BundleCommand::Sign { file, operator, key_file, out } => {
            bundles::sign(file, operator, key_file, out)
        }
        BundleCommand::Roll { file, expect } => {
            let (client, admin) = operator_client(connection)?;
            bundles::roll(&client, &admin, file, *expect, format).await
        }
        BundleCommand::Status => {
            let (client, admin) = operator_client(connection)?;
            bundles::status(&client, &admin, format).await
        }
    }
}

async fn run_job(
    connection: &Connection,
    command: &JobCommand,
    format: OutputFormat,
) -> Result<(), CliError> {
    let (client, base) = job_client(connection, organisation_of(command))?;
    let client = JobClient { client: &client, base };
    let is_quiet = format == OutputFormat::Json;
    match command {
        JobCommand::Start { file, model, key, due_in, not_idempotent, wait, results, .. } => {
            let (lots, key) = jobs::read_job(file, key.as_deref())?;
            let job = NewJob {
                key,
                model: model.clone(),
                due_unix_ms: Clock::unix_ms() + due_in * 1000,
                idempotent: !not_idempotent,
            };
            let mut status = client.start(&job, &lots, is_quiet).await?;
            let id = status["job"].as_str().unwrap_or_default().to_owned();
            if *wait {
                status = client.wait(&id, is_quiet).await?;
            }
            if let Some(path) = results {
                client.results(&id, &mut jobs::create_file(path)?).await?;
            }
            jobs::print_status(format, &status);
            if *wait { jobs::check_all_done(&status) } else { Ok(()) }
        }
        JobCommand::Status { job, .. } => {
            jobs::print_status(format, &client.status(job).await?);
            Ok(())
        }
        JobCommand::Results { job, out, .. } => {
            let mut writer: Box<dyn Write + Send> = match out {
                Some(path) => Box::new(jobs::create_file(path)?),
                None => Box::new(std::io::stdout()),
            };
            client.results(job, &mut *writer).await.map(|_| ())
        }
        JobCommand::Cancel { job, .. } => {
            jobs::print_status(format, &client.cancel(job).await?);
            Ok(())
        }
    }
}

fn run_key(command: &KeyCommand, format: OutputFormat) -> Result<(), CliError> {
    match command {
        KeyCommand::New { out } => keys::generate_key(out, format),
        KeyCommand::Token => keys::generate_token(format),
        KeyCommand::Tls { ip, out } => keys::generate_certificate(ip, out),
    }
}

fn organisation_of(command: &JobCommand) -> Option<&str> {
    match command {
        JobCommand::Start { organisation, .. }
        | JobCommand::Status { organisation, .. }
        | JobCommand::Results { organisation, .. }
        | JobCommand::Cancel { organisation, .. } => organisation.as_deref(),
    }
}

fn caller_client(connection: &Connection) -> Result<Client, CliError> {
    if connection.entry.is_empty() {
        return Err(CliError::Usage("pass --entry URL or set CROCUS_ENTRY".to_owned()));
    }
    new_client(connection, connection.entry.clone())
}

fn operator_client(connection: &Connection) -> Result<(Client, String), CliError> {
    let admin = connection.admin.clone().ok_or_else(|| {
        CliError::Usage("this command needs --admin URL or CROCUS_ADMIN".to_owned())
    })?;
    Ok((new_client(connection, Vec::new())?, admin))
}

/// Returns the client and base path of the job commands: the operators' address when an operator
/// acts for an organisation, the callers' endpoints otherwise.
fn job_client(
    connection: &Connection,
    organisation: Option<&str>,
) -> Result<(Client, String), CliError> {
    match organisation {
        None => Ok((caller_client(connection)?, "/v1".to_owned())),
        Some(name) => {
            let (client, admin) = operator_client(connection)?;
            client.pin(admin);
            Ok((client, format!("/admin/v1/organisations/{name}")))
        }
    }
}

fn new_client(connection: &Connection, entries: Vec<String>) -> Result<Client, CliError> {
    let token = connection.token.clone().unwrap_or_default();
    let data_centre = connection.data_centre.clone();
    Client::new(entries, token, data_centre, connection.ca_file.as_deref())
}
