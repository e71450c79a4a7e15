//! Starts daemons as processes on separate loopback addresses, for tests that kill and pause them.

use std::io::Write;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use bundle::SignedBundle;
use bundle::sign::KeyPair;
use wire::digest::sha256_hex;

/// The longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const OPERATOR_TOKEN: &str = "test-operator-token";
const CALLER_TOKEN: &str = "test-caller-token";
const REPLICAS: usize = 4;

/// A fleet of daemon processes with their stubs.
pub struct Fleet {
    folder: PathBuf,
    net: String,
    key: KeyPair,
    stub: Option<Child>,
    daemons: Vec<Option<Child>>,
}

impl Fleet {
    /// Starts the stubs and the daemons and rolls out a bundle; `name` and `number` must be unique.
    pub fn start(name: &str, number: u8, daemons: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("crocus-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the temporary folder can be created");
        let net = format!("127.{}.{number}", 10 + std::process::id() % 200);
        let key = KeyPair::generate();
        let mut fleet = Self { folder, net, key, stub: None, daemons: Vec::new() };
        fleet.start_stub();
        for index in 0..daemons {
            fleet.write_settings(index);
            fleet.daemons.push(None);
            fleet.start_daemon(index);
        }
        fleet.roll_bundle();
        fleet
    }

    /// Starts a daemon and waits until it listens for callers and operators.
    pub fn start_daemon(&mut self, index: usize) {
        let child = Command::new(env!("CARGO_BIN_EXE_crocusd"))
            .arg("--settings")
            .arg(self.settings_path(index))
            .env("RUST_LOG", "info")
            .stdout(self.log_file(&format!("daemon-{index}.log")))
            .stderr(self.log_file(&format!("daemon-{index}.log")))
            .spawn()
            .expect("crocusd starts");
        self.daemons[index] = Some(child);
        self.wait_for_port(&self.address(10 + index, 7001));
        self.wait_for_port(&self.address(10 + index, 7002));
    }

    /// Sends a signal to the process of a daemon.
    pub fn signal(&self, index: usize, signal: &str) {
        let child = self.daemons[index].as_ref().expect("the daemon runs");
        let status = Command::new("kill").arg(signal).arg(child.id().to_string()).status();
        assert!(status.expect("kill runs").success());
    }

    /// Kills a daemon and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.daemons[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Stops a daemon gracefully and waits for its end.
    pub fn stop(&mut self, index: usize) {
        self.signal(index, "-TERM");
        let mut child = self.daemons[index].take().expect("the daemon runs");
        let status = child.wait().expect("the daemon ends");
        assert!(status.success(), "a graceful stop ends with success");
    }

    /// Stops a daemon gracefully, and panics if it has not ended within `limit`.
    pub fn stop_within(&mut self, index: usize, limit: Duration) {
        self.signal(index, "-TERM");
        let deadline = Instant::now() + limit;
        let child = self.daemons[index].as_mut().expect("the daemon runs");
        let status = loop {
            if let Some(status) = child.try_wait().expect("the daemon can be waited for") {
                break status;
            }
            assert!(Instant::now() < deadline, "the daemon has not ended after {limit:?}");
            std::thread::sleep(Duration::from_millis(50));
        };
        self.daemons[index] = None;
        assert!(status.success(), "a graceful stop ends with success");
    }

    /// Returns the log of a daemon.
    pub fn read_log(&self, index: usize) -> String {
        std::fs::read_to_string(self.path(&format!("daemon-{index}.log"))).unwrap_or_default()
    }

    /// Runs `crocus` as a caller.
    pub fn run_as_caller(&self, args: &[&str]) -> Output {
        self.crocus(CALLER_TOKEN, args)
    }

    /// Runs `crocus` as the operator.
    pub fn run_as_operator(&self, args: &[&str]) -> Output {
        self.crocus(OPERATOR_TOKEN, args)
    }

    /// Starts `crocus` as a caller in the background.
    pub fn spawn_as_caller(&self, args: &[&str]) -> Child {
        let mut command = self.command(CALLER_TOKEN, args);
        command.stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("crocus starts")
    }

    /// Writes a file of items and returns its path.
    pub fn write_items(&self, name: &str, count: u32, max_tokens: u32) -> String {
        let path = self.folder.join(name);
        let mut file = std::fs::File::create(&path).expect("the file can be created");
        for index in 0..count {
            let line = serde_json::json!({
                "custom_id": format!("item-{index}"),
                "prompt": format!("{name} item {index}"),
                "max_tokens": max_tokens,
            });
            writeln!(file, "{line}").expect("the file can be written");
        }
        path.display().to_string()
    }

    /// Returns a path in the fleet's folder.
    pub fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Returns how many runs all engines have started of each prompt, by the prompt's hash.
    pub fn runs(&self) -> std::collections::HashMap<u64, u32> {
        let mut total = std::collections::HashMap::new();
        for index in 0..REPLICAS {
            let record = self.get(&format!("{}/stub/record", self.address(100 + index, 7100)));
            let record: stub::engine::EngineRecord =
                serde_json::from_slice(&record).expect("the record can be read");
            for (prompt, count) in record.runs {
                *total.entry(prompt).or_insert(0) += count;
            }
        }
        total
    }

    /// Returns the number of runs of a prompt.
    pub fn runs_of(&self, prompt: &str) -> u32 {
        let hash = wire::rendezvous::hash(prompt.as_bytes());
        self.runs().get(&hash).copied().unwrap_or(0)
    }

    /// Has the stub platform inject a fault.
    pub fn inject_platform_fault(&self, fault: &str) {
        let url = format!("http://{}/stub/fault", self.address(1, 7000));
        self.post(&url, fault);
    }

    /// Waits until `is_done` returns true, and panics after a timeout.
    pub fn wait_until(&self, what: &str, is_done: impl Fn() -> bool) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !is_done() {
            assert!(Instant::now() < deadline, "timed out waiting for {what}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    fn start_stub(&mut self) {
        let engines: Vec<String> = (0..REPLICAS)
            .map(|index| {
                format!(
                    "  - {{replica: depot-{index}, address: \"{}\", data_centre: a, \
                     model: {{slots: 16, step_us: 4000}}}}",
                    self.address(100 + index, 7100)
                )
            })
            .collect();
        let text = format!(
            "platform: {{address: \"{}\"}}\nengines:\n{}\n",
            self.address(1, 7000),
            engines.join("\n")
        );
        let path = self.folder.join("stub.yaml");
        std::fs::write(&path, text).expect("the settings can be written");
        let program = PathBuf::from(env!("CARGO_BIN_EXE_crocusd")).with_file_name("crocus-stub");
        let child = Command::new(program)
            .arg("--settings")
            .arg(path)
            .env("RUST_LOG", "warn")
            .stdout(self.log_file("stub.log"))
            .stderr(self.log_file("stub.log"))
            .spawn()
            .expect("crocus-stub starts");
        self.stub = Some(child);
        self.wait_for_port(&self.address(1, 7000));
        self.wait_for_port(&self.address(100 + REPLICAS - 1, 7100));
    }

    fn write_settings(&self, index: usize) {
        let text = format!(
            "daemon: entry-{index}\ndata_centre: a\n\
             callers: {{address: \"{}\"}}\nadmin: {{address: \"{}\"}}\n\
             links: {{address: \"{}\", secrets: [test-link-secret-000]}}\n\
             metrics: {{address: \"{}\"}}\n\
             platform: {{url: \"http://{}\"}}\n\
             operators: [{{name: ops, public_key: {}, token_sha256: {}}}]\n\
             membership: {{lease_ms: 3000, renew_every_ms: 500, list_every_ms: 300, \
             heartbeat_every_ms: 200, suspect_after_ms: 1000}}\n\
             online: {{endpoints_keep_ms: 1000}}\n\
             batch: {{shard_list_every_ms: 1000}}\n",
            self.address(10 + index, 7001),
            self.address(10 + index, 7002),
            self.address(10 + index, 7003),
            self.address(10 + index, 7004),
            self.address(1, 7000),
            self.key.public_key,
            sha256_hex(OPERATOR_TOKEN.as_bytes()),
        );
        std::fs::write(self.settings_path(index), text).expect("the settings can be written");
    }

    fn roll_bundle(&self) {
        let replicas: Vec<String> = (0..REPLICAS)
            .map(|index| format!("  - {{name: depot-{index}, runs: depot, data_centre: a}}"))
            .collect();
        let document = format!(
            "name: test\nmodels: [{{name: depot, version: \"1\", slots: 16}}]\nreplicas:\n{}\n\
             organisations: [{{name: depot, token_sha256: {}}}]\n",
            replicas.join("\n"),
            sha256_hex(CALLER_TOKEN.as_bytes()),
        );
        let mut signed = SignedBundle::unsigned(document);
        signed.sign("ops", &self.key.secret_key).expect("the key is valid");
        let path = self.path("bundle.signed");
        let json = serde_json::to_string(&signed).expect("a bundle can be encoded as JSON");
        std::fs::write(&path, json).expect("the bundle can be written");
        let output = self.run_as_operator(&["bundle", "roll", &path]);
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        self.wait_until("the bundle to be in force", || {
            let output = self.run_as_operator(&["bundle", "status", "--output", "json"]);
            let status: serde_json::Value =
                serde_json::from_slice(&output.stdout).unwrap_or_default();
            let daemons = status["daemons"].as_array().cloned().unwrap_or_default();
            daemons.len() == self.daemons.len() && daemons.iter().all(|d| d["number"] == 1)
        });
    }

    fn crocus(&self, token: &str, args: &[&str]) -> Output {
        self.command(token, args).output().expect("crocus runs")
    }

    fn command(&self, token: &str, args: &[&str]) -> Command {
        let program = PathBuf::from(env!("CARGO_BIN_EXE_crocusd")).with_file_name("crocus");
        let entries: Vec<String> = (0..self.daemons.len())
            .map(|index| format!("http://{}", self.address(10 + index, 7001)))
            .collect();
        let mut command = Command::new(program);
        command
            .args(args)
            .env("CROCUS_ENTRY", entries.join(","))
            .env("CROCUS_ADMIN", format!("http://{}", self.address(10, 7002)))
            .env("CROCUS_TOKEN", token);
        command
    }

    fn get(&self, url: &str) -> Vec<u8> {
        self.request(&format!("http://{url}"), "GET", "")
    }

    fn post(&self, url: &str, body: &str) -> Vec<u8> {
        self.request(url, "POST", body)
    }

    fn request(&self, url: &str, method: &str, body: &str) -> Vec<u8> {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime starts");
        runtime.block_on(async {
            let client = kernel::http_client::HttpClient::new(None).expect("an HTTP client");
            let request = http::Request::builder()
                .method(method)
                .uri(url)
                .body(bytes::Bytes::from(body.to_owned()))
                .expect("a valid request");
            let answer = client.call(request, Duration::from_secs(5)).await.expect("an answer");
            answer.into_body().to_vec()
        })
    }

    fn wait_for_port(&self, address: &str) {
        self.wait_until(address, || TcpStream::connect(address).is_ok());
    }

    fn address(&self, host: usize, port: u16) -> String {
        format!("{}.{host}:{port}", self.net)
    }

    fn settings_path(&self, index: usize) -> PathBuf {
        self.folder.join(format!("daemon-{index}.yaml"))
    }

    fn log_file(&self, name: &str) -> std::fs::File {
        let path = self.folder.join(name);
        std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path)
            .expect("the log can be opened")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for index in 0..self.daemons.len() {
            self.kill(index);
        }
        if let Some(mut stub) = self.stub.take() {
            let _ = stub.kill();
            let _ = stub.wait();
        }
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
