//! x
pub async fn run(
    _args: &crate::options::MatrixArgs,
) -> Result<std::process::ExitCode, cli::CliError> {
    Ok(std::process::ExitCode::SUCCESS)
}
