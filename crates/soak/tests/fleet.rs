//! The start of a fleet whose daemon program is missing.

use std::path::Path;

use kernel::KernelError;
use soak::fleet::Fleet;
use soak::scenario::Scenario;
use tokio::task::LocalSet;

#[tokio::test]
async fn missing_daemon_program_is_not_reported_as_an_address() {
    let folder = std::env::temp_dir().join(format!("crocus-soak-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder can be created");
    let scenario = Scenario::default();
    let start = Fleet::start(Path::new("/no/such/crocusd"), &folder, [121, 0], 1, &scenario);
    let result = LocalSet::new().run_until(start).await;
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
    let Err(error) = result else { panic!("the fleet started") };
    assert!(matches!(error, KernelError::Start { .. }), "{error}");
    assert!(error.to_string().starts_with("cannot start '/no/such/crocusd': "), "{error}");
}
