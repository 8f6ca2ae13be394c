//! The platform's store: objects by kind and name, conditional writes, lists and watches.

use crate::{
    gate::Gate,
    http::{self, Request, Response},
    json::{Json, number, object, string},
    record,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    thread::sleep,
    time::{Duration, Instant},
};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// A change of an object.
#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    name: String,
    spec: Json,
    deleted: bool,
}

#[derive(Default)]
struct Objects {
    revision: u64,
    current: BTreeMap<(String, String), (u64, Json)>,
    changes: Vec<Change>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    objects: Mutex<Objects>,
    changed: Condvar,
}

impl Store {
    /// Writes an object as the operator or a server does.
    pub fn set(&self, kind: &str, name: &str, spec: Json) {
        self.objects.lock().unwrap().set(kind, name, spec);
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let removed = self.objects.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
        removed
    }

    /// Returns an object's spec.
    pub fn get(&self, kind: &str, name: &str) -> Option<Json> {
        let objects = self.objects.lock().unwrap();
        objects.current.get(&(kind.to_owned(), name.to_owned())).map(|o| o.1.clone())
    }

    fn list(&self, kind: &str, after: &str) -> Json {
        let objects = self.objects.lock().unwrap();
        let items = objects.current.iter().filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items = items.map(|((_, name), (revision, spec))| encode(name, *revision, spec)).collect();
        object([
            ("items", Json::Array(items)),
            ("HasMore", Json::Bool(false)),
            ("AsOf", number(objects.revision)),
        ])
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Json {
        let deadline = Instant::now() + wait;
        let mut objects = self.objects.lock().unwrap();
        loop {
            let newer = objects.changes.iter().filter(|c| c.kind == kind && c.revision > since);
            let events: Vec<Json> = newer
                .map(|c| {
                    object([
                        ("Deleted", Json::Bool(c.deleted)),
                        ("Object", encode(&c.name, c.revision, &c.spec)),
                    ])
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return object([("events", Json::Array(events)), ("AsOf", number(objects.revision))]);
            }
            objects = self.changed.wait_timeout(objects, left).unwrap().0;
        }
    }

    /// Creates (`revision` is none) or replaces an object.
    fn put(&self, kind: &str, name: &str, spec: Json, create: bool, revision: Option<u64>) -> Response {
        let mut objects = self.objects.lock().unwrap();
        let known = objects.current.get(&(kind.to_owned(), name.to_owned())).cloned();
        match known {
            None if !create => (404, "null".to_owned()),
            Some((at, old)) if create || revision.is_some_and(|r| r != at) => {
                (409, encode(name, at, &old).to_string())
            }
            Some((at, old)) if old == spec => (200, encode(name, at, &old).to_string()),
            _ => {
                let at = objects.set(kind, name, spec.clone());
                drop(objects);
                self.changed.notify_all();
                (200, encode(name, at, &spec).to_string())
            }
        }
    }
}

impl Objects {
    fn set(&mut self, kind: &str, name: &str, spec: Json) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        self.current.insert((kind.to_owned(), name.to_owned()), (revision, spec.clone()));
        self.change(kind, name, spec, false);
        revision
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some((_, spec)) = self.current.remove(&(kind.to_owned(), name.to_owned())) else { return false };
        self.revision += 1;
        self.change(kind, name, spec, true);
        true
    }

    fn change(&mut self, kind: &str, name: &str, spec: Json, deleted: bool) {
        let (kind, name) = (kind.to_owned(), name.to_owned());
        self.changes.push(Change { revision: self.revision, kind, name, spec, deleted });
    }
}

fn encode(name: &str, revision: u64, spec: &Json) -> Json {
    object([
        ("meta", object([("Name", string(name)), ("Revision", number(revision))])),
        ("spec", spec.clone()),
        ("status", Json::Null),
    ])
}

/// Addresses as a machine is shown them, in place of others.
///
/// A machine is shown addresses of proxies, so that its paths can be cut apart from those of the others: on one machine
/// there is no other way to cut them.
pub type Shown = Arc<Mutex<Vec<(SocketAddr, SocketAddr)>>>;

/// Serves the store to one machine.
pub fn front(store: &Arc<Store>, machine: &str, gate: &Gate, shown: &Shown) -> SocketAddr {
    let (store, machine, shown) = (store.clone(), machine.to_owned(), shown.clone());
    http::serve(
        gate.clone(),
        Arc::new(move |request, _| {
            sleep(ANSWER_TIME);
            let rest = request.path.strip_prefix("/-/objects/")?;
            let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
            let (status, mut body) = answer(&store, request, kind, name)?;
            for (from, to) in shown.lock().unwrap().iter() {
                body = body.replace(&format!("\"{from}\""), &format!("\"{to}\""));
            }
            if request.method != "GET" && kind == "pondtrack-instances" {
                record!("store: {machine} {} {kind}/{name} -> {status}", request.method);
            }
            if request.method != "GET" && kind == "pondtrack-leases" {
                let spec = Json::parse(&request.body).map(|b| b.get("spec").clone());
                record!(
                    "store: {machine} {} {kind}/{name} {} -> {status}",
                    request.method,
                    spec.unwrap_or(Json::Null)
                );
            }
            Some((status, body))
        }),
    )
}

fn answer(store: &Store, request: &Request, kind: &str, name: &str) -> Option<Response> {
    match request.method.as_str() {
        "GET" if name.is_empty() => match request.query("Watch") {
            Some(since) => {
                let wait = Duration::from_millis(request.query("WaitMs")?.parse().ok()?);
                Some((200, store.watch(kind, since.parse().ok()?, wait).to_string()))
            }
            None => Some((200, store.list(kind, request.query("after").unwrap_or("")).to_string())),
        },
        "POST" | "PUT" => {
            let body = Json::parse(&request.body)?;
            let name = body.get("meta").get("Name").as_str()?.to_owned();
            let revision = body.get("meta").get("Revision").as_u64();
            let create = request.method == "POST";
            Some(store.put(kind, &name, body.get("spec").clone(), create, revision))
        }
        "DELETE" => match store.remove(kind, name) {
            true => Some((200, "null".to_owned())),
            false => Some((404, "null".to_owned())),
        },
        _ => Some((404, "null".to_owned())),
    }
}
