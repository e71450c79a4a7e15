//! Commands that generate keys, tokens and certificates.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use bundle::sign::KeyPair;
use rand::Rng;
use serde::Serialize;
use wire::digest::sha256_hex;

use crate::error::CliError;
use crate::options::OutputFormat;
use crate::output;

#[derive(Serialize)]
struct PublicKey {
    public_key: String,
}

#[derive(Serialize)]
struct Token {
    token: String,
    token_sha256: String,
}

/// Generates a signing key pair, writes the secret key to `out` and prints the public key.
pub fn generate_key(out: &Path, format: OutputFormat) -> Result<(), CliError> {
    let pair = KeyPair::generate();
    write_secret(out, &pair.secret_key)?;
    output::print(format, &PublicKey { public_key: pair.public_key }, |key| {
        format!("public_key: {}", key.public_key)
    });
    Ok(())
}

/// Generates a token and prints it with its digest.
pub fn generate_token(format: OutputFormat) -> Result<(), CliError> {
    let token = hex::encode(rand::thread_rng().r#gen::<[u8; 24]>());
    let token_sha256 = sha256_hex(token.as_bytes());
    output::print(format, &Token { token, token_sha256 }, |token| {
        format!("token: {}\ntoken_sha256: {}", token.token, token.token_sha256)
    });
    Ok(())
}

/// Generates a self-signed certificate for `ip`; writes `cert.pem` and `key.pem` to the folder `out`.
pub fn generate_certificate(ip: &str, out: &Path) -> Result<(), CliError> {
    let certificate = rcgen::generate_simple_self_signed(vec![ip.to_owned()])
        .map_err(|error| CliError::Usage(error.to_string()))?;
    write_secret(&out.join("key.pem"), &certificate.key_pair.serialize_pem())?;
    let path = out.join("cert.pem");
    std::fs::write(&path, certificate.cert.pem())
        .map_err(|source| CliError::File { path: path.display().to_string(), source })
}

/// Writes a secret to a new file that only its owner can read; an existing file is an error.
fn write_secret(path: &Path, secret: &str) -> Result<(), CliError> {
    let file_error = |source| CliError::File { path: path.display().to_string(), source };
    let mut file = OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(0o600)
        .open(path)
        .map_err(file_error)?;
    file.write_all(secret.as_bytes()).map_err(file_error)
}
