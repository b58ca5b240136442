//! Description of the requests to one service.

use {
    crate::error::{BenchError, InvalidOptionSnafu},
    bytes::Bytes,
    camphorcove_core::headers::IDEMPOTENCY_KEY,
    http::{Method, Request, header::HOST},
    http_body_util::Full,
    std::str::FromStr,
};

/// Requests to one service, written on the command line as comma-separated `name=value` pairs:
/// `name`, `path` with `{key}`, `weight`, `method`, `class`, `host`, `body`
/// (bytes) and `ids` (`true` sends idempotency keys).
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name in the results table.
    pub name: String,
    /// Path and query; `{key}` is replaced by `key` and the key's index.
    pub path: String,
    /// Share of all requests, relative to the weights of the other services.
    pub weight: f64,
    /// HTTP method of all requests.
    pub method: Method,
    /// Priority class shown in the results table; not sent.
    pub class: String,
    /// Host header; the address of the host if `None`.
    pub host: Option<String>,
    /// Size of the request body in bytes.
    pub body: usize,
    /// Whether each request carries a new idempotency key.
    pub ids: bool,
}

impl ServiceLoad {
    /// Describes `GET` requests for `path`, with weight 1 and without a body.
    pub fn get(name: &str, path: &str) -> Self {
        Self {
            name: name.into(),
            path: path.into(),
            weight: 1.0,
            method: Method::GET,
            class: "interactive".into(),
            host: None,
            body: 0,
            ids: false,
        }
    }

    /// Builds the request for a key; `id` becomes its idempotency key if `ids` is set.
    pub fn request(&self, key: usize, id: u64) -> Result<Request<Full<Bytes>>, http::Error> {
        let target = self.path.replace("{key}", &format!("key{key}"));
        let mut builder = Request::builder().method(&self.method).uri(target);
        if let Some(host) = &self.host {
            builder = builder.header(HOST, host);
        }
        if self.ids {
            builder = builder.header(IDEMPOTENCY_KEY, format!("{id:016x}"));
        }
        builder.body(Full::new(vec![b'b'; self.body].into()))
    }

    /// Sets one field from a `name=value` pair.
    fn set(&mut self, name: &str, value: &str) -> Result<(), String> {
        match name {
            "name" => self.name = value.into(),
            "path" => self.path = value.into(),
            "class" => self.class = value.into(),
            "host" => self.host = Some(value.into()),
            "weight" => self.weight = parse_value(value)?,
            "method" => self.method = parse_value(value)?,
            "body" => self.body = parse_value(value)?,
            "ids" => self.ids = parse_value(value)?,
            _ => return Err(format!("unknown field {name:?}")),
        }
        Ok(())
    }
}

impl FromStr for ServiceLoad {
    type Err = BenchError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut service = Self::get("service", "/{key}");
        for pair in text.split(',') {
            let set = match pair.split_once('=') {
                Some((name, value)) => service.set(name, value),
                None => Err(format!("expected name=value, got {pair:?}")),
            };
            if let Err(reason) = set {
                let what = "service";
                return InvalidOptionSnafu { what, text, reason }.fail();
            }
        }
        Ok(service)
    }
}

fn parse_value<T: FromStr>(value: &str) -> Result<T, String> {
    value
        .parse()
        .map_err(|_| format!("cannot parse value {value:?}"))
}
