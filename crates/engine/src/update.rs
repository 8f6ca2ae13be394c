//! What instances hand each other of a collection: its difference from a version that the other one has, or the whole.
//!
//! A change travels as what it changes: about 22 bytes for each route that changed, where the whole of 2,866 routes was
//! 62 KB on the link. A digest of the result goes along. Where it differs the whole is fetched instead, so that a wrong
//! difference can't be taken in.

use {
    crate::{
        instance::Instance,
        message::Member,
        model::{Config, GroupSpec, Route, Server},
        organisation::{Organisation, Organisations},
        peer::Peer,
        ports::Collection,
    },
    pondtrack_core::delta::{ChangeLog, Delta, changed_keys},
    pondtrack_proto::{Name, Revision},
    serde::{Deserialize, Serialize},
    snafu::Snafu,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// A collection, or a change of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The configuration.
    #[serde(rename = "Desired")]
    Config(Box<ConfigChange>),
    /// The directory of servers.
    Directory {
        /// The store's revision that it starts from; 0 for the whole.
        since: u64,
        /// The store's revision that it leads to.
        revision: Revision,
        /// The servers.
        servers: Delta<Server>,
        /// Tells apart what it leads to.
        digest: u64,
    },
    /// The instances that are up, sorted by name.
    Members(Vec<Member>),
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// The version that it starts from; 0 for the whole.
    pub since: u64,
    /// The version that it leads to.
    pub version: u64,
    /// The store's revision of that.
    pub revision: Revision,
    /// Routes.
    pub routes: Delta<Route>,
    /// Groups.
    pub groups: Delta<GroupSpec>,
    /// Organisations; none where callers are not told apart.
    pub organisations: Option<Delta<Organisation>>,
    /// A transaction that is idle for longer may be ended.
    pub txn_idle: Duration,
    /// The longest statement of a caller, in bytes.
    pub message_bytes: usize,
    /// Tells apart what it leads to.
    pub digest: u64,
}

/// Why a document isn't taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum UpdateError {
    /// It starts from another version than the one that is known here by now.
    #[snafu(display("it starts from another version than the one known here"))]
    Moved,
    /// It leads to something else than what its sender has; the whole has to be fetched.
    #[snafu(display("its digest differs"))]
    Differs,
}

/// Which items of the configuration and the directory changed when, as far as this instance saw it.
#[derive(Debug, Default)]
pub struct History {
    routes: RefCell<ChangeLog>,
    groups: RefCell<ChangeLog>,
    organisations: RefCell<ChangeLog>,
    servers: RefCell<ChangeLog>,
    /// The digests of the newest configuration and directory, with their versions. To encode 900 servers for one takes
    /// 60 µs (release, one process), and each of 300 instances may ask for a difference of its own.
    desired_digest: Cell<Option<(u64, u64)>>,
    directory_digest: Cell<Option<(u64, u64)>>,
}

fn database(it: &Route) -> &Name {
    &it.database
}

fn group(it: &GroupSpec) -> &Name {
    &it.name
}

fn organisation(it: &Organisation) -> &Name {
    &it.name
}

fn server(it: &Server) -> &Name {
    &it.id
}

impl History {
    /// A configuration takes the place of another.
    pub fn record_config(&self, old: Option<&Config>, new: &Config) {
        self.desired_digest.set(None);
        let (routes, groups) = old.map_or((&[][..], &[][..]), |it| (&it.routes, &it.groups));
        self.routes.borrow_mut().record(new.version, changed_keys(routes, &new.routes, database));
        self.groups.borrow_mut().record(new.version, changed_keys(groups, &new.groups, group));
        let organisations = changed_keys(old.map_or(&[], organisations), organisations(new), organisation);
        self.organisations.borrow_mut().record(new.version, organisations);
    }

    /// A directory takes the place of another.
    pub fn record_directory(&self, old: &[Server], new: &[Server], revision: u64) {
        self.directory_digest.set(None);
        self.servers.borrow_mut().record(revision, changed_keys(old, new, server));
    }
}

impl Update {
    /// The version of a collection that is known here, if any is.
    pub fn latest(inst: &Instance, what: Collection) -> Option<u64> {
        match what {
            Collection::Config => inst.config().map(|it| it.version),
            Collection::Servers => inst.revision(what).map(Revision::as_u64),
            Collection::Instances => inst.members().map(|it| members_digest(&it)),
            Collection::Leases | Collection::Leaders => None,
        }
    }

    /// The version that a change of a collection may start from here; 0 where only the whole will do. Members always
    /// travel whole.
    pub fn known(inst: &Instance, what: Collection) -> u64 {
        match what {
            Collection::Config | Collection::Servers => Update::latest(inst, what).unwrap_or(0),
            Collection::Instances | Collection::Leases | Collection::Leaders => 0,
        }
    }

    /// What is known here of a collection, for an instance that has it as of `since`; none if nothing newer is known.
    pub fn build(inst: &Instance, what: Collection, since: u64) -> Option<Update> {
        match what {
            Collection::Config => desired(inst, since).map(|it| Update::Config(Box::new(it))),
            Collection::Servers => directory(inst, since),
            Collection::Instances => inst.members().map(Update::Members),
            Collection::Leases | Collection::Leaders => None,
        }
    }

    /// Takes it in, unless what is known here is as new.
    ///
    /// # Errors
    ///
    /// If it doesn't fit what is known here.
    pub fn apply(self, inst: &Rc<Instance>) -> Result<(), UpdateError> {
        match self {
            Update::Config(it) => take_desired(inst, *it),
            Update::Directory { since, revision, servers, digest } => {
                let known = Update::known(inst, Collection::Servers);
                if known >= revision.as_u64() && inst.revision(Collection::Servers).is_some() {
                    return Ok(());
                }
                let old = base(since, known, || inst.directory())?;
                let servers = servers.apply(&old, server);
                if digest_of(&servers) != digest {
                    return Err(UpdateError::Differs);
                }
                inst.apply_directory(servers, revision);
                Ok(())
            }
            Update::Members(all) => {
                let peer = |it: Member| Peer::new(it.name, it.zone, it.addr).with_capacity(it.capacity);
                inst.set_peers(all.into_iter().map(peer).collect());
                Ok(())
            }
        }
    }
}

fn organisations(it: &Config) -> &[Organisation] {
    it.organisations.as_ref().map_or(&[], Organisations::all)
}

fn desired(inst: &Instance, since: u64) -> Option<ConfigChange> {
    let it = inst.config().filter(|it| it.version > since)?;
    let revision = inst.revision(Collection::Config)?;
    let log = &inst.history;
    let logs = (log.routes.borrow(), log.groups.borrow(), log.organisations.borrow());
    let keys = (logs.0.changed_since(since), logs.1.changed_since(since), logs.2.changed_since(since));
    let known = organisations(&it);
    let (since, routes, groups, changed) = match keys {
        (Some(routes), Some(groups), Some(changed)) if since > 0 => {
            let (routes, groups) =
                (Delta::from_keys(routes, &it.routes, database), Delta::from_keys(groups, &it.groups, group));
            (since, routes, groups, Delta::from_keys(changed, known, organisation))
        }
        _ => (0, Delta::full(&it.routes), Delta::full(&it.groups), Delta::full(known)),
    };
    let organisations = it.organisations.is_some().then_some(changed);
    let digest =
        kept(&inst.history.desired_digest, it.version, || digest_of(&(&it.routes, &it.groups, known)));
    let (version, txn_idle, message_bytes) = (it.version, it.txn_idle, it.message_bytes);
    Some(ConfigChange {
        since,
        version,
        revision,
        routes,
        groups,
        organisations,
        txn_idle,
        message_bytes,
        digest,
    })
}

fn directory(inst: &Instance, since: u64) -> Option<Update> {
    let revision = inst.revision(Collection::Servers).filter(|it| it.as_u64() > since)?;
    let keys = (since > 0).then(|| inst.history.servers.borrow().changed_since(since)).flatten();
    inst.with_directory(|all| {
        let digest = kept(&inst.history.directory_digest, revision.as_u64(), || digest_of(&all));
        let (since, servers) = match keys {
            Some(keys) => (since, Delta::from_keys(keys, all, server)),
            None => (0, Delta::full(all)),
        };
        Some(Update::Directory { since, revision, servers, digest })
    })
}

/// A digest that is worked out once for each version.
fn kept(cell: &Cell<Option<(u64, u64)>>, version: u64, digest: impl FnOnce() -> u64) -> u64 {
    match cell.get() {
        Some((at, it)) if at == version => it,
        _ => {
            let it = digest();
            cell.set(Some((version, it)));
            it
        }
    }
}

fn take_desired(inst: &Rc<Instance>, it: ConfigChange) -> Result<(), UpdateError> {
    let known = inst.config();
    let version = known.as_ref().map_or(0, |it| it.version);
    if version >= it.version {
        return Ok(());
    }
    let old = base(it.since, version, || known.clone())?;
    let old = old.as_deref();
    let routes = it.routes.apply(old.map_or(&[], |it| &it.routes), database);
    let groups = it.groups.apply(old.map_or(&[], |it| &it.groups), group);
    let changed = it.organisations.map(|it| it.apply(old.map_or(&[], organisations), organisation));
    if digest_of(&(&routes, &groups, changed.as_deref().unwrap_or_default())) != it.digest {
        return Err(UpdateError::Differs);
    }
    let organisations = changed.map(Organisations::new);
    let (version, txn_idle, message_bytes) = (it.version, it.txn_idle, it.message_bytes);
    inst.apply_config(
        Config { version, routes, groups, organisations, txn_idle, message_bytes },
        it.revision,
    );
    Ok(())
}

/// What a document that starts from a version is applied to: nothing for the whole, else what is known here.
fn base<T: Default>(since: u64, known: u64, old: impl FnOnce() -> T) -> Result<T, UpdateError> {
    match since {
        0 => Ok(T::default()),
        it if it == known => Ok(old()),
        _ => Err(UpdateError::Moved),
    }
}

/// Tells sets of instances apart.
pub fn members_digest(members: &[Member]) -> u64 {
    digest_of(&members)
}

fn digest_of<T: Serialize>(it: &T) -> u64 {
    xxh3_64(&postcard::to_stdvec(it).expect("plain data always encodes"))
}
