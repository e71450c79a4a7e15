//! The commands that make keys, tokens and certificates.

use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

use bundle::sign::KeyPair;
use rand::Rng;
use serde::Serialize;
use wire::digest::sha256_hex;

use crate::error::CliError;
use crate::options::OutputForm;
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

/// Makes a signing key and prints its public part.
pub fn new_key(out: &Path, form: OutputForm) -> Result<(), CliError> {
    let pair = KeyPair::generate();
    write_secret(out, &pair.secret_key)?;
    output::print(form, &PublicKey { public_key: pair.public_key }, |key| {
        format!("public_key: {}", key.public_key)
    });
    Ok(())
}

/// Makes a token and prints it with its digest.
pub fn new_token(form: OutputForm) -> Result<(), CliError> {
    let token = hex::encode(rand::thread_rng().r#gen::<[u8; 24]>());
    let token_sha256 = sha256_hex(token.as_bytes());
    output::print(form, &Token { token, token_sha256 }, |token| {
        format!("token: {}\ntoken_sha256: {}", token.token, token.token_sha256)
    });
    Ok(())
}

/// Makes a certificate and its key.
pub fn new_certificate(ip: &str, out: &Path) -> Result<(), CliError> {
    let made = rcgen::generate_simple_self_signed(vec![ip.to_owned()])
        .map_err(|error| CliError::Usage(error.to_string()))?;
    write_secret(&out.join("key.pem"), &made.key_pair.serialize_pem())?;
    let path = out.join("cert.pem");
    std::fs::write(&path, made.cert.pem())
        .map_err(|source| CliError::File { path: path.display().to_string(), source })
}

/// Writes a secret that only its owner can read, and never over an existing file.
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
