//! The platform's store: objects by kind and name with revisions, lists, watches and conditional
//! writes. It listens on one address for each host, so that hosts can be cut off from it.

use crate::{
    http::{Connection, Message, json_response},
    json,
    network::{Member, Network},
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
    /// When each host last read the assignment.
    owner_reads: BTreeMap<usize, Instant>,
}

#[derive(Default)]
pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
}

impl Store {
    /// Serves a host at `address`.
    pub fn serve(self: &Arc<Self>, address: SocketAddr, host: usize, network: &Arc<Network>) {
        let listener = TcpListener::bind(address).expect("a free port");
        let (store, network) = (self.clone(), network.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, network) = (store.clone(), network.clone());
                thread::spawn(move || {
                    let Ok(mut connection) = Connection::new(stream) else {
                        return;
                    };
                    while let Ok(Some(request)) = connection.read() {
                        // What a partition holds up is lost with its connection.
                        if network.wait(Member::Host(host), Member::Store) {
                            return;
                        }
                        let response = store.respond(&request, host);
                        if network.wait(Member::Host(host), Member::Store)
                            || connection.write(&response).is_err()
                        {
                            return;
                        }
                    }
                });
            }
        });
    }

    /// Creates or replaces an object, as the operator and the servers do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.content
            .lock()
            .unwrap()
            .write(kind, name, spec.to_owned());
        self.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        let mut content = self.content.lock().unwrap();
        let Some((_, spec)) = content.objects.remove(&(kind.into(), name.into())) else {
            return;
        };
        content.revision += 1;
        let revision = content.revision;
        let object = object_text(name, revision, &spec);
        let text = format!("{{\"Object\":{object},\"Removed\":true}}");
        content.events.push(Event {
            revision,
            kind: kind.into(),
            text,
        });
        drop(content);
        self.changed.notify_all();
    }

    pub fn get(&self, kind: &str, name: &str) -> Option<String> {
        let content = self.content.lock().unwrap();
        let (_, spec) = content.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(spec.clone())
    }

    /// When this host last read the assignment.
    pub fn owner_read(&self, host: usize) -> Option<Instant> {
        self.content.lock().unwrap().owner_reads.get(&host).copied()
    }

    fn respond(&self, request: &Message, host: usize) -> Message {
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
            ("GET", [kind, name]) => {
                let mut content = self.content.lock().unwrap();
                if *kind == "camphorcove" {
                    content.owner_reads.insert(host, Instant::now());
                }
                content.read(kind, name)
            }
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
