//! Help texts, error messages and exit codes of the command line.

use std::process::Command;
use std::process::Output;

fn crocus(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_crocus"))
        .args(args)
        .env_remove("CROCUS_ENTRY")
        .env_remove("CROCUS_ADMIN")
        .env_remove("CROCUS_TOKEN")
        .output()
        .expect("crocus runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn help_lists_the_commands() {
    let output = crocus(&["--help"]);
    assert!(output.status.success());
    insta::assert_snapshot!(text(&output.stdout));
}

#[test]
fn missing_entry_is_a_usage_error() {
    let output = crocus(&["endpoints"]);
    assert_eq!(output.status.code(), Some(2));
    insta::assert_snapshot!(text(&output.stderr));
}

#[test]
fn unreachable_host_has_its_own_exit_code() {
    let output = crocus(&["endpoints", "--entry", "http://127.0.0.1:1"]);
    assert_eq!(output.status.code(), Some(4));
}

#[test]
fn invalid_bundle_is_refused_with_every_problem() {
    let folder = std::env::temp_dir().join(format!("crocus-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let path = folder.join("bad.yaml");
    let document = "name: bad\nmodels: [{name: m, version: '1', slots: 0}]\nreplicas: []\n\
                   organisations: [{name: 'a b', token_sha256: zz}]\n";
    std::fs::write(&path, document).expect("the bundle file is written");
    let output = crocus(&["bundle", "check", &path.display().to_string()]);
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(output.status.code(), Some(1));
    insta::assert_snapshot!(text(&output.stderr));
}

#[test]
fn example_bundles_are_valid() {
    for name in ["crate-depot.yaml", "district-cooling.yaml"] {
        let path = format!("{}/../../examples/{name}", env!("CARGO_MANIFEST_DIR"));
        let output = crocus(&["bundle", "check", &path]);
        assert!(output.status.success(), "{}", text(&output.stderr));
    }
}
