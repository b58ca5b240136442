//! Runs the operator API of a host against the platform stand-in.

use {
    bytes::Bytes,
    camphorcove_core::{
        conf::RegionConfig,
        ids::{ConfigVersion, Epoch, FencingToken, HostId, ServiceName},
        map::{MapVersion, RoutingMap, ServerEntry, ServerPhase, ShardEntry},
    },
    camphorcove_net::{
        clock::{BootClock, wall_millis},
        config::ConfigRepo,
        http::HttpClient,
        operator::{
            ApiError, AuthenticatorLimits, ClientError, KeyRing, MoveStatus, OperatorAuthenticator,
            OperatorClient, OperatorKey, OperatorRequest, OperatorSecret, RequestLine,
            RequestSignature, RoleStatus, ServerLoad,
        },
        platform::HttpStore,
    },
    camphorcove_standin::platform::PlatformStandin,
    camphorcoved::{
        admin::{AdminContext, AdminService, OperatorView, serve_admin},
        maps::{ConfigStore, MapStore, TimedMap},
    },
    http::Request,
    http_body_util::Full,
    serde::de::DeserializeOwned,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::watch, task::JoinHandle},
};

/// Daemon state for tests: no other hosts, roles, moves or loads. It accepts a
/// confirmation of lost hosts only for epoch 7.
pub struct TestView {
    host: HostId,
}

impl OperatorView for TestView {
    fn host(&self) -> HostId {
        self.host.clone()
    }

    async fn host_versions(&self) -> Vec<(HostId, ConfigVersion)> {
        Vec::new()
    }

    async fn roles(&self) -> Vec<RoleStatus> {
        Vec::new()
    }

    async fn moves(&self) -> Vec<MoveStatus> {
        Vec::new()
    }

    async fn loads(&self) -> Vec<ServerLoad> {
        Vec::new()
    }

    fn metrics(&self) -> String {
        "up 1\n".into()
    }

    async fn confirm_lost(&self, _: &ServiceName, epoch: Epoch) -> Result<(), String> {
        match epoch.0 {
            7 => Ok(()),
            _ => Err("this host does not hold a later epoch".into()),
        }
    }
}

/// A host that serves the operator API.
#[allow(dead_code)]
pub struct AdminHost {
    pub address: SocketAddr,
    pub maps: MapStore,
    pub config: ConfigStore,
    pub repo: ConfigRepo<HttpStore>,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

#[allow(dead_code)]
impl AdminHost {
    pub async fn start(platform: &PlatformStandin, name: &str) -> Self {
        let repo = ConfigRepo::new(platform.client());
        let (maps, config) = (MapStore::default(), ConfigStore::default());
        let list = format!("anna {}\nbertil {}\n", secret('a'), secret('b'));
        let ring = KeyRing::parse(&list).unwrap();
        let admin_context = AdminContext {
            repo: repo.clone(),
            maps: maps.clone(),
            config: config.clone(),
            view: TestView {
                host: name.parse().unwrap(),
            },
            authenticator: OperatorAuthenticator::new(ring, AuthenticatorLimits::default(), 0),
        };
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(false);
        let service = Arc::new(AdminService::new(admin_context));
        let task = tokio::spawn(serve_admin(service, listener, stopped));
        Self {
            address,
            maps,
            config,
            repo,
            stop,
            task,
        }
    }

    /// Stops the operator API and waits until it has ended.
    pub async fn stop(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap();
    }

    /// Puts the configuration stored in the platform in force on this host, as the daemon
    /// does.
    pub async fn load_config(&self) {
        let snapshot = self.repo.load().await.unwrap().unwrap();
        self.config.accept(snapshot);
    }

    pub fn api(&self, key: &OperatorKey) -> Api {
        Api {
            client: OperatorClient::new(vec![self.address], key.clone()),
        }
    }
}

/// Client of the operator API with the key of one operator.
pub struct Api {
    client: OperatorClient,
}

#[allow(dead_code)]
impl Api {
    pub async fn send(
        &self,
        method: &'static str,
        target: &str,
        body: impl Into<Bytes>,
    ) -> Result<Bytes, ApiError> {
        let request = OperatorRequest {
            method,
            target: target.into(),
            body: body.into(),
        };
        match self.client.call(&request).await {
            Ok(body) => Ok(body),
            Err(ClientError::Refused { error, .. }) => Err(*error),
            Err(error) => panic!("{error}"),
        }
    }

    pub async fn get<T: DeserializeOwned>(&self, target: &str) -> Result<T, ApiError> {
        let body = self.send("GET", target, "").await?;
        Ok(serde_json::from_slice(&body).unwrap())
    }

    pub async fn post<T: DeserializeOwned>(
        &self,
        target: &str,
        body: impl Into<Bytes>,
    ) -> Result<T, ApiError> {
        let body = self.send("POST", target, body).await?;
        Ok(serde_json::from_slice(&body).unwrap())
    }
}

pub fn secret(digit: char) -> String {
    digit.to_string().repeat(64)
}

#[allow(dead_code)]
pub fn key(id: &str, digit: char) -> OperatorKey {
    let secret = OperatorSecret::from_hex(&secret(digit)).unwrap();
    OperatorKey {
        id: id.into(),
        secret,
    }
}

/// Sends a request once with the given signature, which need not be valid, and returns
/// the HTTP status and the error of the response.
#[allow(dead_code)]
pub async fn send_signed(
    address: SocketAddr,
    signature: &RequestSignature,
    line: RequestLine<'_>,
    body: impl Into<Bytes>,
) -> (u16, ApiError) {
    let mut request = Request::builder().method(line.method).uri(line.target);
    for (name, value) in signature.headers() {
        request = request.header(name, value);
    }
    let request = request.body(Full::new(body.into())).unwrap();
    let timeout = Duration::from_secs(60);
    let response = HttpClient::default()
        .exchange(address, request, timeout)
        .await
        .unwrap();
    let error = serde_json::from_slice(response.body());
    (
        response.status().as_u16(),
        error.unwrap_or_else(|_| ApiError {
            code: 0,
            ..empty_error()
        }),
    )
}

fn empty_error() -> ApiError {
    ApiError {
        code: 0,
        error: String::new(),
        faults: vec![],
        rules: vec![],
        current: None,
    }
}

/// Signs a request at the current wall time.
#[allow(dead_code)]
pub fn sign(key: &OperatorKey, line: RequestLine<'_>, body: &[u8], nonce: u8) -> RequestSignature {
    RequestSignature::sign(key, line, body, wall_millis(), [nonce; 16])
}

pub const STOCKHOLM: &str = include_str!("../../../../examples/stockholm.toml");

/// A routing map, valid for one minute, in which the first server owns every shard.
#[allow(dead_code)]
pub fn build_timed_map(config: &RegionConfig, service: &str, version: ConfigVersion) -> TimedMap {
    let service = config
        .services
        .iter()
        .find(|other| other.name.as_str() == service)
        .unwrap();
    let forwarder: HostId = "host-2".parse().unwrap();
    let servers = service.servers.iter().map(|server| ServerEntry {
        id: server.id.clone(),
        address: server.address,
        zone: server.zone.clone(),
        weight: server.weight,
        slots: server.slots,
        connections: server.connections,
        phase: ServerPhase::Ready,
        forwarder: Some(forwarder.clone()),
    });
    let token = FencingToken {
        epoch: Epoch(7),
        sequence: 1,
    };
    let shard = ShardEntry {
        owner: Some(0),
        token,
        moving: false,
    };
    let count = if service.is_keyed() {
        service.shards
    } else {
        0
    };
    let map = RoutingMap {
        service: service.name.clone(),
        version: MapVersion {
            epoch: Epoch(7),
            revision: 3,
        },
        config: version,
        controller: "host-3".parse().unwrap(),
        servers: servers.collect(),
        shards: vec![shard; count as usize],
    };
    let valid_until = BootClock.now() + Duration::from_secs(60);
    TimedMap {
        map: Arc::new(map),
        valid_until,
    }
}
