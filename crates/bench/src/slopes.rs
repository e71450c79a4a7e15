//! x
pub async fn run(_args: &crate::options::SlopesArgs) -> Result<(), cli::CliError> {
    Ok(())
}
