//! Only documents that enough trusted operators have signed are accepted.

use bundle::SignedBundle;
use bundle::check;
use bundle::sign::KeyPair;
use bundle::sign::SignError;
use bundle::sign::Trust;

const DEPOT: &str = include_str!("../../../examples/crate-depot.yaml");

#[test]
fn two_of_two_signatures_are_needed() {
    let (a, b) = (KeyPair::generate(), KeyPair::generate());
    let trust = Trust::new([("a", &*a.public_key), ("b", &*b.public_key)], 2).expect("good keys");
    let mut bundle = SignedBundle::unsigned(DEPOT.to_owned());
    bundle.sign("a", &a.secret_key).expect("a good key");
    assert_eq!(trust.verify(&bundle), Err(SignError::TooFew { good: 1, needed: 2 }));
    bundle.sign("a", &b.secret_key).expect("a good key");
    assert!(trust.verify(&bundle).is_err(), "a signature under another name is not good");
    bundle.sign("a", &a.secret_key).expect("a good key");
    bundle.sign("b", &b.secret_key).expect("a good key");
    assert_eq!(trust.verify(&bundle), Ok(()));
    bundle.document.push('\n');
    assert!(trust.verify(&bundle).is_err(), "a changed document is not signed");
}

#[test]
fn every_problem_of_a_bundle_is_named() {
    let text = DEPOT.replace("slots: 32", "slots: 0").replace("runs: tracking", "runs: nothing");
    let problems = check::parse(&text).expect_err("the bundle is bad");
    let fields: Vec<&str> = problems.iter().map(|problem| problem.field.as_str()).collect();
    assert!(fields.contains(&"models[0].slots"), "{fields:?}");
    assert!(fields.contains(&"replicas[9].runs"), "{fields:?}");
    assert!(fields.contains(&"models[1]"), "{fields:?}");
}
