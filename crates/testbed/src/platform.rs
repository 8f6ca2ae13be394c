//! A stand-in for the platform: an object API over HTTP, with orders to fail.

use {
    axum::{
        Json, Router,
        body::Bytes,
        extract::{DefaultBodyLimit, Path, Query, State},
        http::StatusCode,
        routing::{get, post},
    },
    pondtrack_edge::platform::{InstanceEntry, Listing, Object},
    pondtrack_proto::Name,
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpListener,
        sync::Notify,
        time::{sleep, timeout},
    },
};

/// Largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;

/// Orders to fail; also shows what is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trouble {
    /// Nothing is answered but an error.
    pub down: bool,
    /// Every call takes this much longer, in milliseconds.
    pub slow_ms: u64,
    /// So many writes take effect without their answer arriving.
    pub lose: u32,
    /// How far the list of instances lags, in milliseconds.
    pub lag_ms: u64,
}

/// Calls by kind; a waiting watch is one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of one object.
    pub get: u64,
    /// Reads of a kind.
    pub list: u64,
    /// Writes.
    pub put: u64,
    /// Watches.
    pub watch: u64,
    /// Reads of the list of instances.
    pub instances: u64,
}

#[derive(Default)]
struct Inner {
    objects: Vec<(String, Object)>,
    version: u64,
    trouble: Trouble,
    calls: Calls,
    instances: Vec<InstanceEntry>,
    before: Vec<InstanceEntry>,
    listed: Option<Instant>,
}

#[derive(Clone, Default)]
struct Shared {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

#[derive(Deserialize)]
struct Expected {
    expected: u64,
}

#[derive(Deserialize)]
struct Since {
    since: u64,
    seconds: u64,
}

/// Serves until the future is dropped; `ready` gets the address.
pub async fn serve(listen: SocketAddr, ready: impl FnOnce(SocketAddr)) -> std::io::Result<()> {
    let shared = Shared::default();
    let app = Router::new()
        .route("/objects/{kind}", get(list))
        .route("/objects/{kind}/{name}", get(read).put(write))
        .route("/watch/{kind}", get(watch))
        .route("/instances", get(instances).put(set_instances))
        .route("/trouble", post(trouble).get(get_trouble))
        .route("/calls", get(calls))
        .layer(DefaultBodyLimit::max(MAX_VALUE))
        .with_state(shared);
    let listener = TcpListener::bind(listen).await?;
    ready(listener.local_addr()?);
    axum::serve(listener, app).await
}

impl Shared {
    /// Counts a call and lets it suffer what is in force.
    async fn enter(&self, count: impl FnOnce(&mut Calls)) -> Result<(), StatusCode> {
        let trouble = {
            let mut it = self.inner.lock().expect("no panic while held");
            count(&mut it.calls);
            it.trouble
        };
        if trouble.slow_ms > 0 {
            sleep(Duration::from_millis(trouble.slow_ms)).await;
        }
        if trouble.down { Err(StatusCode::SERVICE_UNAVAILABLE) } else { Ok(()) }
    }

    fn listing(&self, kind: &str, since: u64) -> Listing {
        let it = self.inner.lock().expect("no panic while held");
        let wanted = it.objects.iter().filter(|(k, o)| k == kind && o.version > since);
        Listing { version: it.version, objects: wanted.map(|it| it.1.clone()).collect() }
    }
}

async fn list(State(s): State<Shared>, Path(kind): Path<String>) -> Result<Json<Listing>, StatusCode> {
    s.enter(|it| it.list += 1).await?;
    Ok(Json(s.listing(&kind, 0)))
}

async fn read(
    State(s): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Json<Object>, StatusCode> {
    s.enter(|it| it.get += 1).await?;
    let it = s.inner.lock().expect("no panic while held");
    let found = it.objects.iter().find(|(k, o)| *k == kind && o.name == name);
    found.map(|it| Json(it.1.clone())).ok_or(StatusCode::NOT_FOUND)
}

async fn write(
    State(s): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
    Query(Expected { expected }): Query<Expected>,
    body: Bytes,
) -> Result<Json<Object>, StatusCode> {
    s.enter(|it| it.put += 1).await?;
    let text = String::from_utf8(body.to_vec()).map_err(|_| StatusCode::BAD_REQUEST)?;
    let value = RawValue::from_string(text).map_err(|_| StatusCode::BAD_REQUEST)?;
    let mut it = s.inner.lock().expect("no panic while held");
    let at = it.objects.iter().position(|(k, o)| *k == kind && o.name == name);
    let current = at.map_or(0, |at| it.objects[at].1.version);
    if current != expected {
        return Err(StatusCode::CONFLICT);
    }
    it.version += 1;
    let object = Object { name: Name::from(name), version: it.version, value: Some(value) };
    match at {
        Some(at) => it.objects[at].1 = object.clone(),
        None => it.objects.push((kind, object.clone())),
    }
    s.changed.notify_waiters();
    if it.trouble.lose > 0 {
        it.trouble.lose -= 1;
        return Err(StatusCode::GATEWAY_TIMEOUT);
    }
    Ok(Json(object))
}

async fn watch(
    State(s): State<Shared>,
    Path(kind): Path<String>,
    Query(Since { since, seconds }): Query<Since>,
) -> Result<Json<Listing>, StatusCode> {
    s.enter(|it| it.watch += 1).await?;
    let news = async {
        loop {
            let changed = s.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let it = s.listing(&kind, since);
            if !it.objects.is_empty() {
                return it;
            }
            changed.await;
        }
    };
    let it = timeout(Duration::from_secs(seconds), news).await;
    if s.inner.lock().expect("no panic while held").trouble.down {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(Json(it.unwrap_or_else(|_| Listing { version: since, objects: Vec::new() })))
}

async fn instances(State(s): State<Shared>) -> Result<Json<Vec<InstanceEntry>>, StatusCode> {
    s.enter(|it| it.instances += 1).await?;
    let it = s.inner.lock().expect("no panic while held");
    let lag = Duration::from_millis(it.trouble.lag_ms);
    let fresh = it.listed.is_none_or(|at| at.elapsed() >= lag);
    Ok(Json(if fresh { it.instances.clone() } else { it.before.clone() }))
}

async fn set_instances(State(s): State<Shared>, Json(list): Json<Vec<InstanceEntry>>) {
    let mut it = s.inner.lock().expect("no panic while held");
    it.before = std::mem::replace(&mut it.instances, list);
    it.listed = Some(Instant::now());
}

async fn trouble(State(s): State<Shared>, Json(new): Json<Trouble>) {
    s.inner.lock().expect("no panic while held").trouble = new;
    // Waiting watches notice an outage at once, as their connections would break.
    s.changed.notify_waiters();
}

async fn get_trouble(State(s): State<Shared>) -> Json<Trouble> {
    Json(s.inner.lock().expect("no panic while held").trouble)
}

async fn calls(State(s): State<Shared>) -> Json<Calls> {
    Json(s.inner.lock().expect("no panic while held").calls.clone())
}
