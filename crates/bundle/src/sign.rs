//! Operators' signatures over a bundle's digest.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use rand::rngs::OsRng;
use serde::Deserialize;
use serde::Serialize;
use wire::digest::sha256_hex;

/// What every signature covers before the digest, so that it can mean nothing else.
const CONTEXT: &str = "crocushub bundle v1\n";

/// A bundle document with its signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// The YAML document, byte for byte as it was signed.
    pub document: String,
    /// The signatures.
    pub signatures: Vec<OperatorSignature>,
}

/// One operator's signature.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSignature {
    /// The operator's name.
    pub operator: String,
    /// The ed25519 signature in hexadecimal.
    pub signature: String,
}

/// Why a key or a set of signatures is not accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SignError {
    /// A key is not 64 hexadecimal digits of an ed25519 key.
    BadKey(String),
    /// Too few trusted operators have signed.
    TooFew {
        /// The operators whose signatures are good.
        good: usize,
        /// The number needed.
        needed: usize,
    },
}

impl fmt::Display for SignError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadKey(what) => write!(f, "{what}: expected an ed25519 key of 64 hex digits"),
            Self::TooFew { good, needed } => {
                write!(f, "{good} trusted operators have signed, and {needed} are needed")
            }
        }
    }
}

impl std::error::Error for SignError {}

/// The operators' public keys and the number of signatures needed.
#[derive(Clone, Debug)]
pub struct Trust {
    keys: BTreeMap<String, VerifyingKey>,
    needed: usize,
}

impl Trust {
    /// Reads the keys; `operators` yields names and public keys in hexadecimal.
    pub fn new<'a>(
        operators: impl IntoIterator<Item = (&'a str, &'a str)>,
        needed: usize,
    ) -> Result<Self, SignError> {
        let keys = operators
            .into_iter()
            .map(|(name, key)| Ok((name.to_owned(), verifying_key(name, key)?)))
            .collect::<Result<_, SignError>>()?;
        Ok(Self { keys, needed })
    }

    /// Checks that enough different operators have signed the document.
    pub fn verify(&self, bundle: &SignedBundle) -> Result<(), SignError> {
        let message = message(&bundle.digest());
        let good: BTreeSet<&str> = bundle
            .signatures
            .iter()
            .filter(|signature| self.is_good(signature, message.as_bytes()))
            .map(|signature| signature.operator.as_str())
            .collect();
        if good.len() >= self.needed {
            return Ok(());
        }
        Err(SignError::TooFew { good: good.len(), needed: self.needed })
    }

    fn is_good(&self, signature: &OperatorSignature, message: &[u8]) -> bool {
        let Some(key) = self.keys.get(&signature.operator) else {
            return false;
        };
        let Some(bytes) = decode_array::<64>(&signature.signature) else {
            return false;
        };
        key.verify_strict(message, &Signature::from_bytes(&bytes)).is_ok()
    }
}

impl SignedBundle {
    /// Wraps a document that nobody has signed yet.
    pub fn unsigned(document: String) -> Self {
        Self { document, signatures: Vec::new() }
    }

    /// Returns the digest that names the bundle.
    pub fn digest(&self) -> String {
        sha256_hex(self.document.as_bytes())
    }

    /// Adds an operator's signature, in place of an earlier one.
    pub fn sign(&mut self, operator: &str, secret_key: &str) -> Result<(), SignError> {
        let bytes = decode_array::<32>(secret_key)
            .ok_or_else(|| SignError::BadKey("the signing key".to_owned()))?;
        let signature = SigningKey::from_bytes(&bytes).sign(message(&self.digest()).as_bytes());
        self.signatures.retain(|known| known.operator != operator);
        self.signatures.push(OperatorSignature {
            operator: operator.to_owned(),
            signature: hex::encode(signature.to_bytes()),
        });
        Ok(())
    }
}

/// A new key pair in hexadecimal.
pub struct KeyPair {
    /// The secret key, for the operator alone.
    pub secret_key: String,
    /// The public key, for the settings of every daemon.
    pub public_key: String,
}

impl KeyPair {
    /// Makes a key pair from the system's random source.
    pub fn generate() -> Self {
        let key = SigningKey::generate(&mut OsRng);
        Self {
            secret_key: hex::encode(key.to_bytes()),
            public_key: hex::encode(key.verifying_key().to_bytes()),
        }
    }
}

fn message(digest: &str) -> String {
    format!("{CONTEXT}{digest}")
}

fn verifying_key(name: &str, key: &str) -> Result<VerifyingKey, SignError> {
    decode_array::<32>(key)
        .and_then(|bytes| VerifyingKey::from_bytes(&bytes).ok())
        .ok_or_else(|| SignError::BadKey(format!("the public key of '{name}'")))
}

fn decode_array<const N: usize>(text: &str) -> Option<[u8; N]> {
    hex::decode(text.trim()).ok()?.try_into().ok()
}
