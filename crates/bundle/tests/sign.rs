//! Verification of signatures and validation of bundle documents.

use bundle::SignedBundle;
use bundle::check;
use bundle::sign::KeyPair;
use bundle::sign::SignError;
use bundle::sign::TrustedOperators;

const DEPOT: &str = include_str!("../../../examples/crate-depot.yaml");

#[test]
fn bundle_needs_signatures_of_both_operators() {
    let (a, b) = (KeyPair::generate(), KeyPair::generate());
    let trusted = TrustedOperators::new([("a", &*a.public_key), ("b", &*b.public_key)], 2)
        .expect("valid keys");
    let mut bundle = SignedBundle::unsigned(DEPOT.to_owned());
    bundle.sign("a", &a.secret_key).expect("a valid key");
    assert_eq!(trusted.verify(&bundle), Err(SignError::TooFewSignatures { valid: 1, needed: 2 }));
    bundle.sign("a", &b.secret_key).expect("a valid key");
    assert!(trusted.verify(&bundle).is_err(), "a signature under another name is not valid");
    bundle.sign("a", &a.secret_key).expect("a valid key");
    bundle.sign("b", &b.secret_key).expect("a valid key");
    assert_eq!(trusted.verify(&bundle), Ok(()));
    bundle.document.push('\n');
    assert!(trusted.verify(&bundle).is_err(), "signatures do not cover a changed document");
}

#[test]
fn validation_reports_every_problem() {
    let text = DEPOT.replace("slots: 32", "slots: 0").replace("runs: tracking", "runs: nothing");
    let problems = check::parse(&text).expect_err("the bundle is invalid");
    let fields: Vec<&str> = problems.iter().map(|problem| problem.field.as_str()).collect();
    assert!(fields.contains(&"models[0].slots"), "{fields:?}");
    assert!(fields.contains(&"replicas[9].runs"), "{fields:?}");
    assert!(fields.contains(&"models[1]"), "{fields:?}");
}
