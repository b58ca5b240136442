//! The platform's metadata store, as PROTOCOL describes it.

use {
    crate::links::Links,
    crate::wire::{Json, Message, Reader, answer, send},
    std::{
        collections::BTreeMap,
        io,
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Objects in one page of a list.
const PAGE: usize = 500;

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

type Key = (String, String);

#[derive(Clone, Default)]
struct Inner {
    revision: u64,
    era: u64,
    objects: BTreeMap<Key, (u64, Json)>,
    /// Revision, object, and its content; none if it was removed.
    history: Vec<(u64, Key, Option<Json>)>,
}

/// A running store; clones share it.
#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

fn object(name: &str, revision: u64, spec: &Json) -> Json {
    let text = |text: &str| Json::Text(text.to_owned());
    Json::Object(vec![
        (
            "Metadata".into(),
            Json::Object(vec![
                ("Name".into(), text(name)),
                ("Revision".into(), Json::Number(revision.to_string())),
                ("CreatedAt".into(), Json::Number("0".into())),
                ("Finalizers".into(), Json::List(Vec::new())),
                ("Deleting".into(), Json::Bool(false)),
            ]),
        ),
        ("Spec".into(), spec.clone()),
        ("Status".into(), Json::Null),
    ])
}

impl Store {
    pub fn start() -> Self {
        let inner = Inner {
            revision: 100,
            era: 1,
            ..Inner::default()
        };
        Self {
            inner: Arc::new((Mutex::new(inner), Condvar::new())),
        }
    }

    /// Address at which one host reaches the store; a partition may lie between them.
    pub fn address_for(&self, host: &str, links: &Links) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        self.accept(listener, (host.to_owned(), links.clone()));
        Ok(address)
    }

    fn accept(&self, listener: TcpListener, host: (String, Links)) {
        let shared = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, host) = (shared.clone(), host.clone());
                thread::spawn(move || {
                    let _ = store.serve(&stream, &host);
                });
            }
        });
    }

    /// Writes an object, as the operator and the upstreams do.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        let mut inner = self.inner.0.lock().expect("not poisoned");
        inner.change((kind.into(), name.into()), Some(spec));
        self.inner.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut inner = self.inner.0.lock().expect("not poisoned");
        inner.change((kind.into(), name.into()), None);
        self.inner.1.notify_all();
    }

    pub fn spec(&self, kind: &str, name: &str) -> Option<Json> {
        let inner = self.inner.0.lock().expect("not poisoned");
        let found = inner.objects.get(&(kind.into(), name.into()));
        found.map(|(_, spec)| spec.clone())
    }

    fn serve(&self, stream: &TcpStream, (host, links): &(String, Links)) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream)?;
        let reaches = || links.wait_for(host, "store", stream);
        loop {
            let call = reader.message()?;
            if !reaches() {
                return Ok(());
            }
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.respond(&call);
            let inner = self.inner.0.lock().expect("not poisoned");
            let headers = [
                ("Content-Type", "application/json".to_owned()),
                ("Store-Era", inner.era.to_string()),
            ];
            drop(inner);
            if !reaches() {
                return Ok(());
            }
            send(stream, &answer(status, &headers, &body.render()))?;
        }
    }

    fn respond(&self, call: &Message) -> (&'static str, Json) {
        let (path, query) = call.word(1).split_once('?').unwrap_or((call.word(1), ""));
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or("").to_owned();
        let name = parts.next().unwrap_or("").to_owned();
        let body = Json::parse(&String::from_utf8_lossy(&call.body)).unwrap_or(Json::Null);
        match (call.word(0), name.is_empty()) {
            ("GET", true) => match query.get("Watch").and_then(|from| from.parse().ok()) {
                Some(from) => self.watch(&kind, from, &query),
                None => self.list(&kind, &query),
            },
            ("GET", false) => {
                let inner = self.inner.0.lock().expect("not poisoned");
                match inner.objects.get(&(kind, name.clone())) {
                    Some((revision, spec)) => ("200 OK", object(&name, *revision, spec)),
                    None => ("404 Not Found", Json::Null),
                }
            }
            ("POST", true) => {
                let name = body.get("Metadata").and_then(|meta| meta.get("Name"));
                let name = name.and_then(Json::text).unwrap_or("").to_owned();
                self.write((kind, name), None, &body, true)
            }
            ("PUT", false) => {
                let condition = body.get("Metadata").and_then(|meta| meta.get("Revision"));
                let condition = condition.and_then(Json::number).map(|number| number as u64);
                self.write((kind, name), condition, &body, false)
            }
            _ => ("400 Bad Request", Json::Null),
        }
    }

    fn write(
        &self,
        key: Key,
        condition: Option<u64>,
        body: &Json,
        creates: bool,
    ) -> (&'static str, Json) {
        let mut inner = self.inner.0.lock().expect("not poisoned");
        let known = inner.objects.get(&key).cloned();
        match &known {
            Some((revision, spec)) if creates || condition.is_some_and(|c| c != *revision) => {
                return ("409 Conflict", object(&key.1, *revision, spec));
            }
            None if !creates => return ("404 Not Found", Json::Null),
            _ => {}
        }
        let spec = body.get("Spec").cloned().unwrap_or(Json::Null);
        inner.change(key.clone(), Some(spec.clone()));
        self.inner.1.notify_all();
        let revision = inner.objects[&key].0;
        ("200 OK", object(&key.1, revision, &spec))
    }

    fn list(&self, kind: &str, query: &BTreeMap<&str, &str>) -> (&'static str, Json) {
        let inner = self.inner.0.lock().expect("not poisoned");
        let after = query.get("after").copied().unwrap_or("");
        let found: Vec<Json> = inner
            .objects
            .iter()
            .filter(|((known, name), _)| known == kind && name.as_str() > after)
            .map(|((_, name), (revision, spec))| object(name, *revision, spec))
            .collect();
        let more = found.len() > PAGE;
        let items = found.into_iter().take(PAGE).collect();
        let listing = Json::Object(vec![
            ("items".into(), Json::List(items)),
            ("More".into(), Json::Bool(more)),
            (
                "StoreRevision".into(),
                Json::Number(inner.revision.to_string()),
            ),
        ]);
        ("200 OK", listing)
    }

    fn watch(&self, kind: &str, from: u64, query: &BTreeMap<&str, &str>) -> (&'static str, Json) {
        let wait = query.get("WaitMs").and_then(|wait| wait.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
        let mut inner = self.inner.0.lock().expect("not poisoned");
        if from > inner.revision {
            return ("410 Gone", Json::Null);
        }
        loop {
            let mut events = Vec::new();
            for (revision, (known, name), spec) in &inner.history {
                if known != kind || *revision <= from {
                    continue;
                }
                events.push(Json::Object(vec![
                    (
                        "Object".into(),
                        object(name, *revision, spec.as_ref().unwrap_or(&Json::Null)),
                    ),
                    ("Removed".into(), Json::Bool(spec.is_none())),
                ]));
            }
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let found = Json::Object(vec![
                    ("events".into(), Json::List(events)),
                    (
                        "StoreRevision".into(),
                        Json::Number(inner.revision.to_string()),
                    ),
                ]);
                return ("200 OK", found);
            }
            inner = self
                .inner
                .1
                .wait_timeout(inner, left)
                .expect("not poisoned")
                .0;
        }
    }
}

impl Inner {
    fn change(&mut self, key: Key, spec: Option<Json>) {
        let known = self.objects.get(&key).map(|(_, spec)| spec);
        if known == spec.as_ref() {
            return;
        }
        self.revision += 1;
        match &spec {
            Some(spec) => {
                let stored = (self.revision, spec.clone());
                self.objects.insert(key.clone(), stored);
            }
            None => {
                self.objects.remove(&key);
            }
        }
        self.history.push((self.revision, key, spec));
    }
}
