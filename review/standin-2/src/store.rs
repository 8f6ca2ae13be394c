//! The platform's metadata store, as far as instances use it.

use {
    crate::http::{self, Request, Response},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{Arc, Condvar, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Clone)]
struct Object {
    name: String,
    created: u64,
    revision: u64,
    spec: Value,
    status: Value,
}

impl Object {
    fn json(&self) -> Value {
        json!({
            "meta": {
                "Name": self.name, "Revision": self.revision, "Created": self.created,
                "Finalizers": [], "DeletionPending": false,
            },
            "spec": self.spec, "status": self.status,
        })
    }
}

struct Event {
    revision: u64,
    kind: String,
    object: Value,
    deleted: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// A store that is always in service.
#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        let served = store.clone();
        (store, http::serve(move |request| served.answer(request)))
    }

    /// Writes an object as the operator or a server does; the return is the acknowledgement.
    pub fn set(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.state.lock().unwrap();
        state.put(kind, name, spec);
        self.changed.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.state.lock().unwrap().remove(kind, name);
        self.changed.notify_all();
    }

    /// The content of an object.
    pub fn find(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        state.objects.get(&(kind.to_owned(), name.to_owned())).map(|object| object.spec.clone())
    }

    fn answer(&self, request: Request) -> Response {
        let mut parts = request.path.trim_start_matches("/-/objects/").splitn(3, '/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let (name, part) = (parts.next().map(str::to_owned), parts.next().map(str::to_owned));
        match (request.method.as_str(), name, part.as_deref()) {
            ("GET", None, _) if request.param("Watch").is_some() => self.watch(&kind, &request),
            ("GET", None, _) => self.list(&kind),
            ("GET", Some(name), _) => match self.state.lock().unwrap().objects.get(&(kind, name)) {
                Some(object) => Response::new(200, object.json().to_string()),
                None => Response::new(404, "{}"),
            },
            ("POST", None, _) => self.create(&kind, &request),
            ("PUT", Some(name), None) => self.replace(&kind, &name, &request),
            ("DELETE", Some(name), _) => {
                self.remove(&kind, &name);
                Response::new(200, "{}")
            }
            _ => Response::new(400, "{}"),
        }
    }

    fn list(&self, kind: &str) -> Response {
        let state = self.state.lock().unwrap();
        let items: Vec<Value> = state.objects.iter().filter(|o| o.0.0 == kind).map(|o| o.1.json()).collect();
        let body = json!({ "items": items, "HasMore": false, "AsOf": state.revision });
        Response::new(200, body.to_string())
    }

    fn watch(&self, kind: &str, request: &Request) -> Response {
        let number = |name| request.param(name).and_then(|v| v.parse().ok()).unwrap_or(0);
        let (since, deadline) = (number("Watch"), Instant::now() + Duration::from_millis(number("WaitMs")));
        let mut state = self.state.lock().unwrap();
        loop {
            let new = state.events.iter().filter(|e| e.revision > since && e.kind == kind);
            let events: Vec<Value> =
                new.map(|e| json!({ "Object": e.object, "Deleted": e.deleted })).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = json!({ "events": events, "AsOf": state.revision });
                return Response::new(200, body.to_string());
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn create(&self, kind: &str, request: &Request) -> Response {
        let Some((name, _, spec)) = decode(request) else { return Response::new(400, "{}") };
        let mut state = self.state.lock().unwrap();
        if let Some(known) = state.objects.get(&(kind.to_owned(), name.clone())) {
            return Response::new(409, known.json().to_string());
        }
        let object = state.put(kind, &name, spec);
        self.changed.notify_all();
        Response::new(201, object.json().to_string())
    }

    fn replace(&self, kind: &str, name: &str, request: &Request) -> Response {
        let Some((_, revision, spec)) = decode(request) else { return Response::new(400, "{}") };
        let mut state = self.state.lock().unwrap();
        let Some(known) = state.objects.get(&(kind.to_owned(), name.to_owned())) else {
            return Response::new(404, "{}");
        };
        if revision.is_some_and(|r| r != known.revision) {
            return Response::new(409, known.json().to_string());
        }
        let object = state.put(kind, name, spec);
        self.changed.notify_all();
        Response::new(200, object.json().to_string())
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Value) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key)
            && known.spec == spec
        {
            return known.clone();
        }
        self.revision += 1;
        let created = self.objects.get(&key).map_or(self.revision, |known| known.created);
        let revision = self.revision;
        let object = Object { name: name.to_owned(), created, revision, spec, status: Value::Null };
        self.objects.insert(key, object.clone());
        self.events.push(Event { revision, kind: kind.to_owned(), object: object.json(), deleted: false });
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(old) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else { return };
        self.revision += 1;
        let (revision, kind) = (self.revision, kind.to_owned());
        self.events.push(Event { revision, kind, object: old.json(), deleted: true });
    }
}

/// Name, revision if stated, and spec of the object in a request.
fn decode(request: &Request) -> Option<(String, Option<u64>, Value)> {
    let body: Value = serde_json::from_slice(&request.body).ok()?;
    let name = body["meta"]["Name"].as_str()?.to_owned();
    Some((name, body["meta"]["Revision"].as_u64(), body["spec"].clone()))
}
