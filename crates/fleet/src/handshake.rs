//! The signed hello that opens a link.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use wire::DaemonName;
use wire::link::Hello;

/// Creates the hello from `daemon` to `to`, signed with `secret`.
pub fn sign_hello(secret: &str, daemon: &DaemonName, to: &DaemonName, nonce: &str) -> Hello {
    let mac = hello_mac(secret, daemon, to, nonce).finalize().into_bytes();
    Hello { daemon: daemon.clone(), to: to.clone(), nonce: nonce.to_owned(), mac: hex::encode(mac) }
}

/// Returns whether the hello answers the challenge `nonce`, is addressed to `own` and is signed
/// with one of `secrets`.
pub fn is_hello_valid(secrets: &[String], own: &DaemonName, nonce: &str, hello: &Hello) -> bool {
    if hello.nonce != nonce || hello.to != *own {
        return false;
    }
    let Ok(mac) = hex::decode(&hello.mac) else {
        return false;
    };
    secrets
        .iter()
        .any(|secret| hello_mac(secret, &hello.daemon, &hello.to, nonce).verify_slice(&mac).is_ok())
}

fn hello_mac(secret: &str, daemon: &DaemonName, to: &DaemonName, nonce: &str) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(secret.as_bytes())
        .expect("HMAC-SHA256 accepts a key of any length");
    // Names cannot contain the separator, so different fields never give the same bytes.
    for part in ["crocushub link v1", daemon.as_str(), to.as_str(), nonce] {
        mac.update(part.as_bytes());
        mac.update(b"\n");
    }
    mac
}
