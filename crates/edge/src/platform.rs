//! The client of the platform's object API.
//!
//! Every call is counted by kind. A write carries an id of its own inside the object, by which the
//! caller recognises after a lost answer that it took effect.

use {
    pondtrack_proto::{MemberState, Name},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::value::RawValue,
    snafu::Snafu,
    std::{
        cell::RefCell,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    strum::{Display, EnumIter, IntoStaticStr},
};

/// Time after which a call other than a watch is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which the platform holds a watch without news.
const WATCH_SECONDS: u64 = 30;
/// Extra time for the answer to a watch.
const WATCH_GRACE: Duration = Duration::from_secs(5);

/// Kinds of calls, as they are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Call {
    /// Reading one object.
    Get,
    /// Reading all objects of a kind.
    List,
    /// A conditional write.
    Put,
    /// Waiting for changes.
    Watch,
    /// Reading the list of instances.
    Instances,
}

/// Why a call failed.
#[derive(Clone, Debug, Snafu, PartialEq, Eq)]
pub enum PlatformError {
    /// There is no such object.
    #[snafu(display("{call} at the platform: {kind}/{name} does not exist"))]
    Missing {
        /// The call.
        call: Call,
        /// The kind.
        kind: String,
        /// The name.
        name: String,
    },
    /// The object has another version than expected.
    #[snafu(display("{call} at the platform: {kind}/{name} was changed by somebody else"))]
    Conflict {
        /// The call.
        call: Call,
        /// The kind.
        kind: String,
        /// The name.
        name: String,
    },
    /// The platform did not answer; a write may have taken effect.
    #[snafu(display("{call} at the platform: no usable answer ({reason})"))]
    Unavailable {
        /// The call.
        call: Call,
        /// What happened.
        reason: String,
    },
}

/// An object with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Object {
    /// Its name.
    pub name: Name,
    /// Raised by the platform with each change of any object.
    pub version: u64,
    /// The object itself; none when it was deleted.
    pub value: Option<Box<RawValue>>,
}

impl Object {
    /// Reads the object's value.
    pub fn read<T: DeserializeOwned>(&self) -> Result<T, PlatformError> {
        let text = self.value.as_ref().map_or("null", |it| it.get());
        serde_json::from_str(text)
            .map_err(|e| PlatformError::Unavailable { call: Call::Get, reason: e.to_string() })
    }
}

/// Objects of one kind, and the version up to which they are complete.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Listing {
    /// The version.
    pub version: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// One line of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceEntry {
    /// The instance.
    pub name: Name,
    /// Where its peer link listens.
    pub addr: SocketAddr,
    /// Its availability zone.
    pub zone: Name,
    /// Alive or leaving, as far as the platform knows.
    pub state: MemberState,
}

/// The client.
#[derive(Debug)]
pub struct Platform {
    http: reqwest::Client,
    base: String,
    calls: RefCell<Vec<(Call, u64)>>,
}

impl Platform {
    /// A client of the platform at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(base: &str, local: IpAddr) -> Result<Platform, PlatformError> {
        let mut builder = reqwest::Client::builder().no_proxy().pool_max_idle_per_host(4);
        if !local.is_unspecified() {
            builder = builder.local_address(local);
        }
        let http = builder.build().map_err(|e| unavailable(Call::Get, &e))?;
        let base = base.trim_end_matches('/').to_owned();
        Ok(Platform { http, base, calls: RefCell::default() })
    }

    /// Calls made so far, by kind.
    pub fn calls(&self) -> Vec<(Call, u64)> {
        self.calls.borrow().clone()
    }

    /// Reads one object.
    pub async fn get(&self, kind: &str, name: &str) -> Result<Object, PlatformError> {
        let url = format!("{}/objects/{kind}/{name}", self.base);
        let request = self.http.get(url).timeout(CALL_TIMEOUT);
        self.call(Call::Get, kind, name, request).await
    }

    /// Reads all objects of a kind.
    pub async fn list(&self, kind: &str) -> Result<Listing, PlatformError> {
        let url = format!("{}/objects/{kind}", self.base);
        let request = self.http.get(url).timeout(CALL_TIMEOUT);
        self.call(Call::List, kind, "", request).await
    }

    /// Writes an object if it still has the version `expected`; 0 stands for its absence.
    pub async fn put<T: Serialize>(
        &self,
        kind: &str,
        name: &str,
        expected: u64,
        value: &T,
    ) -> Result<Object, PlatformError> {
        let url = format!("{}/objects/{kind}/{name}?expected={expected}", self.base);
        let request = self.http.put(url).json(value).timeout(CALL_TIMEOUT);
        self.call(Call::Put, kind, name, request).await
    }

    /// Waits until objects of a kind have changed since `since`; an empty listing ends a quiet wait.
    pub async fn watch(&self, kind: &str, since: u64) -> Result<Listing, PlatformError> {
        let url = format!("{}/watch/{kind}?since={since}&seconds={WATCH_SECONDS}", self.base);
        let limit = Duration::from_secs(WATCH_SECONDS) + WATCH_GRACE;
        let request = self.http.get(url).timeout(limit);
        self.call(Call::Watch, kind, "", request).await
    }

    /// Reads the platform's lagging list of instances.
    pub async fn instances(&self) -> Result<Vec<InstanceEntry>, PlatformError> {
        let url = format!("{}/instances", self.base);
        let request = self.http.get(url).timeout(CALL_TIMEOUT);
        self.call(Call::Instances, "", "", request).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        call: Call,
        kind: &str,
        name: &str,
        request: reqwest::RequestBuilder,
    ) -> Result<T, PlatformError> {
        self.count(call);
        let answer = request.send().await.map_err(|e| unavailable(call, &e))?;
        let (kind, name) = (kind.to_owned(), name.to_owned());
        match answer.status().as_u16() {
            200..=299 => {
                let body = answer.bytes().await.map_err(|e| unavailable(call, &e))?;
                serde_json::from_slice(&body)
                    .map_err(|e| PlatformError::Unavailable { call, reason: e.to_string() })
            }
            404 => Err(PlatformError::Missing { call, kind, name }),
            409 | 412 => Err(PlatformError::Conflict { call, kind, name }),
            status => Err(PlatformError::Unavailable { call, reason: format!("status {status}") }),
        }
    }

    fn count(&self, call: Call) {
        let mut calls = self.calls.borrow_mut();
        match calls.binary_search_by_key(&call, |it| it.0) {
            Ok(at) => calls[at].1 += 1,
            Err(at) => calls.insert(at, (call, 1)),
        }
    }
}

fn unavailable(call: Call, e: &reqwest::Error) -> PlatformError {
    let reason = match (e.is_timeout(), e.is_connect()) {
        (true, _) => "no answer in time".to_owned(),
        (_, true) => "it can't be reached".to_owned(),
        _ => e.to_string(),
    };
    PlatformError::Unavailable { call, reason }
}
