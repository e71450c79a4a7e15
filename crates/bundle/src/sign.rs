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

/// The prefix of each signed message, which makes a signature valid for nothing but a bundle.
const SIGNED_MESSAGE_PREFIX: &str = "crocushub bundle v1\n";

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

/// Why a key or a set of signatures was rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SignError {
    /// A key is not an ed25519 key of 64 hexadecimal digits.
    InvalidKey(String),
    /// Fewer trusted operators have signed than are required.
    TooFewSignatures {
        /// The number of trusted operators with a valid signature.
        valid: usize,
        /// The number required.
        needed: usize,
    },
}

impl fmt::Display for SignError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::InvalidKey(key) => write!(f, "{key}: expected an ed25519 key of 64 hex digits"),
            Self::TooFewSignatures { valid, needed } => {
                write!(f, "{valid} trusted operators have signed, and {needed} are needed")
            }
        }
    }
}

impl std::error::Error for SignError {}

/// The public keys of the trusted operators and the number of signatures that a bundle needs.
#[derive(Clone, Debug)]
pub struct TrustedOperators {
    keys: BTreeMap<String, VerifyingKey>,
    needed: usize,
}

impl TrustedOperators {
    /// Parses the keys; `operators` yields names and hexadecimal public keys.
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

    /// Verifies that enough different trusted operators have signed the document.
    pub fn verify(&self, bundle: &SignedBundle) -> Result<(), SignError> {
        let message = signed_message(&bundle.digest());
        let signers: BTreeSet<&str> = bundle
            .signatures
            .iter()
            .filter(|signature| self.is_valid(signature, message.as_bytes()))
            .map(|signature| signature.operator.as_str())
            .collect();
        if signers.len() >= self.needed {
            return Ok(());
        }
        Err(SignError::TooFewSignatures { valid: signers.len(), needed: self.needed })
    }

    fn is_valid(&self, signature: &OperatorSignature, message: &[u8]) -> bool {
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
    /// Creates a bundle without signatures.
    pub fn unsigned(document: String) -> Self {
        Self { document, signatures: Vec::new() }
    }

    /// Returns the SHA-256 digest of the document, which identifies the bundle.
    pub fn digest(&self) -> String {
        sha256_hex(self.document.as_bytes())
    }

    /// Adds an operator's signature, replacing an earlier one of the same operator.
    pub fn sign(&mut self, operator: &str, secret_key: &str) -> Result<(), SignError> {
        let bytes = decode_array::<32>(secret_key)
            .ok_or_else(|| SignError::InvalidKey("the signing key".to_owned()))?;
        let signature =
            SigningKey::from_bytes(&bytes).sign(signed_message(&self.digest()).as_bytes());
        self.signatures.retain(|known| known.operator != operator);
        self.signatures.push(OperatorSignature {
            operator: operator.to_owned(),
            signature: hex::encode(signature.to_bytes()),
        });
        Ok(())
    }
}

/// An operator's ed25519 key pair in hexadecimal.
pub struct KeyPair {
    /// The secret key, which only the operator may know.
    pub secret_key: String,
    /// The public key, which belongs in the settings of every daemon.
    pub public_key: String,
}

impl KeyPair {
    /// Generates a key pair from the random source of the operating system.
    pub fn generate() -> Self {
        let key = SigningKey::generate(&mut OsRng);
        Self {
            secret_key: hex::encode(key.to_bytes()),
            public_key: hex::encode(key.verifying_key().to_bytes()),
        }
    }
}

fn signed_message(digest: &str) -> String {
    format!("{SIGNED_MESSAGE_PREFIX}{digest}")
}

fn verifying_key(name: &str, key: &str) -> Result<VerifyingKey, SignError> {
    decode_array::<32>(key)
        .and_then(|bytes| VerifyingKey::from_bytes(&bytes).ok())
        .ok_or_else(|| SignError::InvalidKey(format!("the public key of '{name}'")))
}

fn decode_array<const N: usize>(text: &str) -> Option<[u8; N]> {
    hex::decode(text.trim()).ok()?.try_into().ok()
}
