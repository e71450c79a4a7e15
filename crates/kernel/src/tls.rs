//! TLS with certificates and keys from the operator.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::pki_types::CertificateDer;

use crate::KernelError;
use crate::settings::TlsFiles;

/// Builds a server's configuration from its certificate chain and key.
pub fn server_config(files: &TlsFiles) -> Result<ServerConfig, KernelError> {
    let chain = read_certificates(&files.cert_file)?;
    let key_file = &files.key_file;
    let key = rustls_pemfile::private_key(&mut open(key_file)?)
        .map_err(|source| KernelError::File { path: path_text(key_file), source })?
        .ok_or_else(|| tls_error(key_file, "the file holds no private key"))?;
    ServerConfig::builder()
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(|error| tls_error(&files.cert_file, error))
}

/// Builds a client's configuration from the certificates that it trusts.
pub fn client_config(ca_file: &Path) -> Result<ClientConfig, KernelError> {
    let mut roots = RootCertStore::empty();
    for certificate in read_certificates(ca_file)? {
        roots.add(certificate).map_err(|error| tls_error(ca_file, error))?;
    }
    Ok(ClientConfig::builder().with_root_certificates(roots).with_no_client_auth())
}

/// Installs the cryptography provider for TLS in this process; later calls have no effect.
pub fn install_crypto_provider() {
    let _ = rustls::crypto::ring::default_provider().install_default();
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, KernelError> {
    let certificates: Result<Vec<_>, _> = rustls_pemfile::certs(&mut open(path)?).collect();
    let certificates =
        certificates.map_err(|source| KernelError::File { path: path_text(path), source })?;
    if certificates.is_empty() {
        return Err(tls_error(path, "the file holds no certificate"));
    }
    Ok(certificates)
}

fn open(path: &Path) -> Result<BufReader<File>, KernelError> {
    File::open(path)
        .map(BufReader::new)
        .map_err(|source| KernelError::File { path: path_text(path), source })
}

fn path_text(path: &Path) -> String {
    path.display().to_string()
}

fn tls_error(path: &Path, message: impl ToString) -> KernelError {
    KernelError::Tls { path: path_text(path), message: message.to_string() }
}
