//! Runs the client program against a host in the test process.

#[path = "../../../daemon/tests/support/admin_host.rs"]
mod admin_host;

#[allow(unused_imports)]
pub use admin_host::{AdminHost, STOCKHOLM, build_timed_map};

use {
    camphorcove_standin::platform::PlatformStandin,
    std::{
        fs,
        net::SocketAddr,
        os::unix::fs::PermissionsExt,
        path::PathBuf,
        process::{Command, Output},
    },
};

/// Exit code and output of one run of the client.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

#[allow(dead_code)]
impl Run {
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.out).unwrap_or_else(|_| panic!("not JSON: {self:?}"))
    }
}

/// Directory for the files of one test, emptied at its start.
pub struct TestDir(PathBuf);

#[allow(dead_code)]
impl TestDir {
    pub fn new(name: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    /// Writes a file that only the current user can read; returns its path.
    pub fn file(&self, name: &str, content: &str) -> String {
        let path = self.0.join(name);
        fs::write(&path, content).unwrap();
        fs::set_permissions(&path, fs::Permissions::from_mode(0o600)).unwrap();
        path.to_str().unwrap().to_owned()
    }

    pub fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

/// Command with an empty environment, so that no settings of the user apply.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorcove"));
    command.args(arguments).env_clear();
    command
}

/// Runs a command on a blocking thread, so that the hosts in the test process
/// continue to run.
pub async fn run(mut command: Command) -> Run {
    let output = tokio::task::spawn_blocking(move || command.output().unwrap());
    let Output {
        status,
        stdout,
        stderr,
    } = output.await.unwrap();
    Run {
        code: status.code().unwrap(),
        out: String::from_utf8(stdout).unwrap(),
        err: String::from_utf8(stderr).unwrap(),
    }
}

/// A platform stand-in, a host, and the configuration and key file of an operator.
#[allow(dead_code)]
pub struct Fixture {
    pub platform: PlatformStandin,
    pub host: AdminHost,
    pub directory: TestDir,
    /// Path of the example configuration.
    pub file: String,
    key_file: String,
}

#[allow(dead_code)]
impl Fixture {
    pub async fn start(name: &str) -> Self {
        let platform = PlatformStandin::on_any_port().await.unwrap();
        let host = AdminHost::start(&platform, "host-1").await;
        let directory = TestDir::new(name);
        let file = directory.file("stockholm.toml", STOCKHOLM);
        let key_file = directory.file("anna.key", &admin_host::secret('a'));
        Self {
            platform,
            host,
            directory,
            file,
            key_file,
        }
    }

    /// Runs a command as operator anna against the fixture's host.
    pub async fn run(&self, arguments: &[&str]) -> Run {
        self.run_at(&[self.host.address], arguments).await
    }

    /// Runs a command as operator anna against the hosts at `addresses`, in order.
    pub async fn run_at(&self, addresses: &[SocketAddr], arguments: &[&str]) -> Run {
        let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
        let mut command = command(arguments);
        command
            .env("CAMPHORCOVE_ADDRESSES", addresses.join(","))
            .env("CAMPHORCOVE_KEY_ID", "anna")
            .env("CAMPHORCOVE_KEY_FILE", &self.key_file);
        run(command).await
    }
}

/// A loopback address on which nothing listens.
#[allow(dead_code)]
pub async fn closed_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}
