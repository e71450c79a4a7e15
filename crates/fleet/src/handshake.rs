//! The signed hello that opens a link.

use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use wire::DaemonName;
use wire::link::Hello;

/// Makes the hello of `daemon` to `to`, signed with `secret`.
pub fn sign_hello(secret: &str, daemon: &DaemonName, to: &DaemonName, nonce: &str) -> Hello {
    let mac = keyed_hash(secret, daemon, to, nonce).finalize().into_bytes();
    Hello { daemon: daemon.clone(), to: to.clone(), nonce: nonce.to_owned(), mac: hex::encode(mac) }
}

/// Returns whether the hello answers `nonce`, is meant for `own` and has a known signature.
pub fn is_hello_good(secrets: &[String], own: &DaemonName, nonce: &str, hello: &Hello) -> bool {
    if hello.nonce != nonce || hello.to != *own {
        return false;
    }
    let Ok(mac) = hex::decode(&hello.mac) else {
        return false;
    };
    secrets.iter().any(|secret| {
        keyed_hash(secret, &hello.daemon, &hello.to, nonce).verify_slice(&mac).is_ok()
    })
}

fn keyed_hash(secret: &str, daemon: &DaemonName, to: &DaemonName, nonce: &str) -> Hmac<Sha256> {
    let mut hash = <Hmac<Sha256> as Mac>::new_from_slice(secret.as_bytes())
        .expect("HMAC-SHA256 takes a key of any length");
    // The separator cannot occur in names, so no two field lists give the same bytes.
    for part in ["crocushub link v1", daemon.as_str(), to.as_str(), nonce] {
        hash.update(part.as_bytes());
        hash.update(b"\n");
    }
    hash
}
