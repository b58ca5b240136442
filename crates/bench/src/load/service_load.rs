//! Requests to one service.

use {
    crate::error::{BenchError, InvalidOptionSnafu},
    bytes::Bytes,
    camphorcove_core::headers::IDEMPOTENCY_KEY,
    http::{Method, Request, header::HOST},
    http_body_util::Full,
    std::str::FromStr,
};

/// Requests to one service, written as comma-separated `name=value` pairs:
/// `name`, `path` with `{key}`, `weight`, `method`, `class`, `host`, `body`
/// (bytes) and `ids` (`true` sends idempotency keys).
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name in reports.
    pub name: String,
    /// Path and query; `{key}` is replaced.
    pub path: String,
    /// Share of all requests, relative to other services.
    pub weight: f64,
    /// Method.
    pub method: Method,
    /// Priority class of the service, for reports.
    pub class: String,
    /// Host header, if not the address.
    pub host: Option<String>,
    /// Size of the request body in bytes.
    pub body: usize,
    /// Whether each request carries an idempotency key of its own.
    pub ids: bool,
}

impl ServiceLoad {
    /// `GET` requests with a path.
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

    /// Request for a key; `id` is used if the service wants idempotency keys.
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

    fn set(&mut self, name: &str, value: &str) -> Result<(), String> {
        match name {
            "name" => self.name = value.into(),
            "path" => self.path = value.into(),
            "class" => self.class = value.into(),
            "host" => self.host = Some(value.into()),
            "weight" => self.weight = parsed(value)?,
            "method" => self.method = parsed(value)?,
            "body" => self.body = parsed(value)?,
            "ids" => self.ids = parsed(value)?,
            _ => return Err(format!("unknown name {name:?}")),
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
                None => Err(format!("{pair:?} is not name=value")),
            };
            if let Err(reason) = set {
                let what = "service";
                return InvalidOptionSnafu { what, text, reason }.fail();
            }
        }
        Ok(service)
    }
}

fn parsed<T: FromStr>(value: &str) -> Result<T, String> {
    value
        .parse()
        .map_err(|_| format!("{value:?} is not allowed"))
}
