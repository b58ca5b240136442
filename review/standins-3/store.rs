//! Stand-in for the platform's store, as PROTOCOL.md describes it.

use crate::http::{read_request, response, Message};
use crate::json::Json;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    object: Json,
    removed: bool,
}

#[derive(Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(String, String), Json>,
    events: Vec<Event>,
}

#[derive(Clone)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    pub address: SocketAddr,
}

fn number(value: u64) -> Json {
    Json::Number(value.to_string())
}

fn object(fields: Vec<(&str, Json)>) -> Json {
    Json::Object(
        fields
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect(),
    )
}

fn stored(name: &str, revision: u64, spec: Json) -> Json {
    let metadata = object(vec![
        ("Name", Json::Text(name.to_owned())),
        ("Revision", number(revision)),
        ("CreatedAt", number(1)),
        ("Finalizers", Json::List(Vec::new())),
        ("Deleting", Json::Bool(false)),
    ]);
    object(vec![
        ("Metadata", metadata),
        ("Spec", spec),
        ("Status", Json::Null),
    ])
}

fn revision_of(object: &Json) -> u64 {
    let revision = object.get("Metadata").and_then(|data| data.get("Revision"));
    revision.and_then(Json::number).unwrap_or(0.0) as u64
}

impl Content {
    fn write(&mut self, kind: &str, name: &str, spec: Json) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key) {
            if known.get("Spec") == Some(&spec) {
                return known.clone();
            }
        }
        self.revision += 1;
        let value = stored(name, self.revision, spec);
        self.objects.insert(key, value.clone());
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            object: value.clone(),
            removed: false,
        });
        value
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(known) = self.objects.remove(&key) else {
            return;
        };
        self.revision += 1;
        let spec = known.get("Spec").cloned().unwrap_or(Json::Null);
        self.events.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            object: stored(name, self.revision, spec),
            removed: true,
        });
    }
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let store = Store {
            content: Arc::new((
                Mutex::new(Content {
                    revision: 100,
                    ..Content::default()
                }),
                Condvar::new(),
            )),
            address,
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let spec = Json::parse(spec).expect("the stand-in writes valid JSON");
        self.content.0.lock().unwrap().write(kind, name, spec);
        self.content.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.content.0.lock().unwrap().remove(kind, name);
        self.content.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json".to_owned())];
            if writer
                .write_all(&response(status, &headers, body.to_text().as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    /// Answers a call.
    fn answer(&self, request: &Message) -> (&'static str, Json) {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parameter = |wanted: &str| {
            query.split('&').find_map(|part| {
                let (name, value) = part.split_once('=')?;
                (name == wanted).then(|| value.to_owned())
            })
        };
        let mut parts = path.split('/').skip(1);
        let is_object_path = parts.next() == Some("objects");
        let kind = parts.next().unwrap_or("");
        let name = parts.next();
        let watched = parameter("Watch").and_then(|from| from.parse::<u64>().ok());
        if let (Some(from), None, "GET") = (watched, name, request.method()) {
            let wait = parameter("WaitMs").and_then(|wait| wait.parse().ok());
            return self.watch(kind, from, Duration::from_millis(wait.unwrap_or(0)));
        }
        let mut content = self.content.0.lock().unwrap();
        let after = parameter("after").unwrap_or_default();
        let answer = match is_object_path {
            true => content.call(request, kind, name, &after),
            false => ("404 Not Found", object(vec![])),
        };
        self.content.1.notify_all();
        answer
    }

    fn watch(&self, kind: &str, from: u64, wait: Duration) -> (&'static str, Json) {
        let deadline = Instant::now() + wait;
        let mut content = self.content.0.lock().unwrap();
        loop {
            let events: Vec<Json> = content
                .events
                .iter()
                .filter(|event| event.revision > from && event.kind == kind)
                .map(|event| {
                    object(vec![
                        ("Removed", Json::Bool(event.removed)),
                        ("Object", event.object.clone()),
                    ])
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let fields = vec![
                    ("events", Json::List(events)),
                    ("StoreRevision", number(content.revision)),
                ];
                return ("200 OK", object(fields));
            }
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
    }
}

impl Content {
    /// Carries out a call that does not wait.
    fn call(
        &mut self,
        request: &Message,
        kind: &str,
        name: Option<&str>,
        after: &str,
    ) -> (&'static str, Json) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let known = |content: &Content, name: &str| {
            let key = (kind.to_owned(), name.to_owned());
            content.objects.get(&key).cloned()
        };
        match (request.method(), name) {
            ("GET", Some(name)) => match known(self, name) {
                Some(value) => ("200 OK", value),
                None => ("404 Not Found", object(vec![])),
            },
            ("GET", None) => {
                let items = self
                    .objects
                    .iter()
                    .filter(|((known, name), _)| known == kind && name.as_str() > after)
                    .map(|(_, value)| value.clone())
                    .collect();
                let fields = vec![
                    ("items", Json::List(items)),
                    ("More", Json::Bool(false)),
                    ("StoreRevision", number(self.revision)),
                ];
                ("200 OK", object(fields))
            }
            ("POST", None) => {
                let Some(body) = body else {
                    return ("400 Bad Request", object(vec![]));
                };
                let name = body.get("Metadata").and_then(|data| data.get("Name"));
                let Some(name) = name.and_then(Json::text) else {
                    return ("400 Bad Request", object(vec![]));
                };
                if let Some(value) = known(self, name) {
                    return ("409 Conflict", value);
                }
                let spec = body.get("Spec").cloned().unwrap_or(Json::Null);
                ("201 Created", self.write(kind, name, spec))
            }
            ("PUT", Some(name)) => {
                let Some(body) = body else {
                    return ("400 Bad Request", object(vec![]));
                };
                let Some(value) = known(self, name) else {
                    return ("404 Not Found", object(vec![]));
                };
                let wanted = body.get("Metadata").and_then(|data| data.get("Revision"));
                if let Some(wanted) = wanted.and_then(Json::number) {
                    if wanted as u64 != revision_of(&value) {
                        return ("409 Conflict", value);
                    }
                }
                let spec = body.get("Spec").cloned().unwrap_or(Json::Null);
                ("200 OK", self.write(kind, name, spec))
            }
            ("DELETE", Some(name)) => {
                self.remove(kind, name);
                ("200 OK", object(vec![]))
            }
            _ => ("405 Method Not Allowed", object(vec![])),
        }
    }
}
