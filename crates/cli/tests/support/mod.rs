//! Runs the program.

#[path = "../../../daemon/tests/support/admin_host.rs"]
mod admin_host;

#[allow(unused_imports)]
pub use admin_host::{AdminHost, STOCKHOLM, held_map};

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

/// Output of one run.
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

/// A folder of one test.
pub struct Folder(PathBuf);

#[allow(dead_code)]
impl Folder {
    pub fn new(name: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

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

/// Command without settings from the machine.
pub fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_camphorcove"));
    command.args(arguments).env_clear();
    command
}

/// Runs a command without blocking the hosts of the test.
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

/// A host, a platform and an operator with files.
#[allow(dead_code)]
pub struct Site {
    pub platform: PlatformStandin,
    pub host: AdminHost,
    pub folder: Folder,
    pub file: String,
    key_file: String,
}

#[allow(dead_code)]
impl Site {
    pub async fn start(name: &str) -> Self {
        let platform = PlatformStandin::on_any_port().await.unwrap();
        let host = AdminHost::start(&platform, "host-1").await;
        let folder = Folder::new(name);
        let file = folder.file("stockholm.toml", STOCKHOLM);
        let key_file = folder.file("anna.key", &admin_host::secret('a'));
        Self {
            platform,
            host,
            folder,
            file,
            key_file,
        }
    }

    /// Runs a command as operator anna at the site's host.
    pub async fn run(&self, arguments: &[&str]) -> Run {
        self.run_at(&[self.host.address], arguments).await
    }

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

/// An address at which nobody listens.
#[allow(dead_code)]
pub async fn closed_address() -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}
