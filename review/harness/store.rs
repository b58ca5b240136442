//! The platform's store: objects by kind and name with revisions, lists, watches and conditional
//! writes.

use crate::{
    http::{Connection, Message, json_response},
    json,
    network::free_port,
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Largest object, as the platform's settings name it.
const VALUE_BYTES: usize = 1 << 20;

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct Content {
    revision: u64,
    /// Revision and content by kind and name.
    objects: BTreeMap<(String, String), (u64, String)>,
    events: Vec<Event>,
}

#[derive(Default)]
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    /// Starts to serve; returns the address.
    pub fn serve(self: &Arc<Self>) -> SocketAddr {
        let address = free_port();
        let listener = TcpListener::bind(address).expect("a free port");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let Ok(mut connection) = Connection::new(stream) else {
                        return;
                    };
                    while let Ok(Some(request)) = connection.read() {
                        if connection.write(&store.respond(&request)).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        address
    }

    /// Creates or replaces an object, as the operator and the servers do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.content
            .lock()
            .unwrap()
            .write(kind, name, spec.to_owned());
        self.changed.notify_all();
    }

    fn respond(&self, request: &Message) -> Message {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let parts: Vec<&str> = path.trim_start_matches("/objects/").split('/').collect();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let mut response = match (request.method(), parts.as_slice()) {
            ("GET", [kind]) => match parameter(query, "Watch") {
                Some(from) => self.watch(kind, from, parameter(query, "WaitMs").unwrap_or(0)),
                None => self.content.lock().unwrap().list(kind),
            },
            ("GET", [kind, name]) => self.content.lock().unwrap().read(kind, name),
            ("POST", [kind]) => {
                let name = json::string(&body, "Name").unwrap_or_default();
                self.content.lock().unwrap().create(kind, &name, &body)
            }
            ("PUT", [kind, name]) => self.content.lock().unwrap().replace(kind, name, &body),
            _ => json_response(400, "null".into()),
        };
        self.changed.notify_all();
        response.headers.push(("Store-Era".into(), "1".into()));
        response
    }

    fn watch(&self, kind: &str, from: u64, wait_ms: u64) -> Message {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut content = self.content.lock().unwrap();
        loop {
            if from > content.revision {
                return json_response(410, "null".into());
            }
            let events = content.events.iter();
            let events = events.filter(|event| event.kind == kind && event.revision > from);
            let events: Vec<&str> = events.map(|event| event.text.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), content.revision);
                let body = format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}");
                return json_response(200, body);
            }
            content = self.changed.wait_timeout(content, left).unwrap().0;
        }
    }
}

impl Content {
    fn write(&mut self, kind: &str, name: &str, spec: String) -> String {
        self.revision += 1;
        let object = object_text(name, self.revision, &spec);
        let text = format!("{{\"Object\":{object},\"Removed\":false}}");
        let event = Event {
            revision: self.revision,
            kind: kind.into(),
            text,
        };
        self.events.push(event);
        self.objects
            .insert((kind.into(), name.into()), (self.revision, spec));
        object
    }

    fn list(&self, kind: &str) -> Message {
        let objects = self.objects.iter().filter(|((held, _), _)| held == kind);
        let items: Vec<String> = objects
            .map(|((_, name), (revision, spec))| object_text(name, *revision, spec))
            .collect();
        let (items, revision) = (items.join(","), self.revision);
        json_response(
            200,
            format!("{{\"items\":[{items}],\"More\":false,\"StoreRevision\":{revision}}}"),
        )
    }

    fn read(&self, kind: &str, name: &str) -> Message {
        match self.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => json_response(200, object_text(name, *revision, spec)),
            None => json_response(404, "null".into()),
        }
    }

    fn create(&mut self, kind: &str, name: &str, body: &str) -> Message {
        if self
            .objects
            .contains_key(&(kind.to_owned(), name.to_owned()))
        {
            return json_response(409, self.object(kind, name));
        }
        self.write_checked(kind, name, body)
    }

    fn replace(&mut self, kind: &str, name: &str, body: &str) -> Message {
        let Some((revision, _)) = self.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return json_response(404, "null".into());
        };
        let metadata = json::field(body, "Metadata").unwrap_or_default();
        let expected = json::number(metadata, "Revision");
        if expected.is_some_and(|expected| expected != *revision as f64) {
            return json_response(409, self.object(kind, name));
        }
        self.write_checked(kind, name, body)
    }

    fn write_checked(&mut self, kind: &str, name: &str, body: &str) -> Message {
        let spec = json::field(body, "Spec").unwrap_or("null").to_owned();
        if spec.len() > VALUE_BYTES {
            return json_response(413, "null".into());
        }
        json_response(200, self.write(kind, name, spec))
    }

    fn object(&self, kind: &str, name: &str) -> String {
        let (revision, spec) = &self.objects[&(kind.to_owned(), name.to_owned())];
        object_text(name, *revision, spec)
    }
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{revision}}},\"Spec\":{spec},\"Status\":null}}"
    )
}

fn parameter(query: &str, name: &str) -> Option<u64> {
    let mut parts = query.split('&').filter_map(|part| part.split_once('='));
    parts.find(|(key, _)| *key == name)?.1.parse().ok()
}
