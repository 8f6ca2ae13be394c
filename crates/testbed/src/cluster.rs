//! A whole system as separate processes on loopback, behind one relay.

use {
    crate::{
        launch::Process,
        platform::{Calls, Trouble},
        relay::{Front, Part, Relay, own_ip},
    },
    pondtrack_edge::{operator::OperatorClient, platform::InstanceEntry},
    pondtrack_proto::{
        GroupSpec, InstanceStatus, Intent, MemberState, Name, Plan, PlanState, ReadPolicy, ServerSpec,
    },
    std::{
        io,
        net::SocketAddr,
        path::PathBuf,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// The sizes and delays of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its availability zones.
    pub zones: Vec<&'static str>,
    /// One way between zones.
    pub zone_delay: Duration,
    /// One way between callers and instances.
    pub caller_delay: Duration,
    /// Names of its groups.
    pub groups: Vec<String>,
    /// Servers of each group.
    pub servers: usize,
    /// Connections of each server.
    pub limit: u32,
    /// Time to open a connection.
    pub opening: Duration,
    /// Instances.
    pub instances: usize,
    /// The read policy.
    pub policy: ReadPolicy,
    /// Flags for every instance.
    pub flags: Vec<String>,
}

impl Deployment {
    /// The waterworks, as the users describe it.
    pub fn waterworks() -> Deployment {
        Deployment {
            name: "waterworks",
            zones: vec!["cm-hq", "lp-depot", "cr-depot"],
            zone_delay: Duration::from_micros(1_500),
            caller_delay: Duration::from_millis(3),
            groups: (1..=3).map(|n| format!("parts-db-{n}")).collect(),
            servers: 3,
            limit: 25,
            opening: Duration::from_millis(10),
            instances: 9,
            policy: ReadPolicy::Current,
            flags: Vec::new(),
        }
    }

    /// The number portability registry, as the users describe it.
    pub fn porting() -> Deployment {
        Deployment {
            name: "porting",
            zones: vec!["ulemiste", "lasnamae", "kopli"],
            zone_delay: Duration::from_millis(1),
            caller_delay: Duration::from_millis(1),
            groups: (1..=3).map(|n| format!("porting-db-{n}")).collect(),
            limit: 40,
            ..Deployment::waterworks()
        }
    }

    /// One group and no delays, for scenarios.
    pub fn small(instances: usize) -> Deployment {
        Deployment {
            name: "small",
            zones: vec!["a", "b", "c"],
            zone_delay: Duration::ZERO,
            caller_delay: Duration::ZERO,
            groups: vec!["parts".to_owned()],
            opening: Duration::from_millis(1),
            instances,
            ..Deployment::waterworks()
        }
    }
}

/// A database server.
pub struct Db {
    /// Its group, by number.
    pub group: usize,
    /// Its name.
    pub name: Name,
    /// Its part of the network.
    pub part: Part,
    /// Its process; none while it is killed.
    pub process: Option<Process>,
    /// Where others reach it.
    pub front: Front,
    args: Vec<String>,
}

/// An instance.
pub struct Instance {
    /// Its name.
    pub name: Name,
    /// Its zone, by number.
    pub zone: usize,
    /// Its part of the network.
    pub part: Part,
    /// Its process; none while it is killed.
    pub process: Option<Process>,
    /// Where callers reach it.
    pub callers: Front,
    /// Where other instances reach it.
    pub peers: Front,
    /// Where operators reach it.
    pub control: Option<SocketAddr>,
}

/// The system.
pub struct Cluster {
    /// Its deployment.
    pub deployment: Deployment,
    /// The network.
    pub relay: Relay,
    /// The platform.
    pub platform: Process,
    /// The servers, those of a group together.
    pub dbs: Vec<Db>,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The folder of data and logs; removed at the end.
    pub folder: PathBuf,
    http: reqwest::Client,
    next: Part,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::env::var_os("TESTBED_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Cluster {
    /// Starts everything and waits until every instance knows the groups.
    pub async fn start(deployment: Deployment) -> io::Result<Cluster> {
        let relay = Relay::new(deployment.zone_delay, deployment.caller_delay);
        let folder = std::env::temp_dir().join(format!("testbed-{}", uuid::Uuid::new_v4().simple()));
        std::fs::create_dir_all(&folder)?;
        let args = ["platform", "--listen", "127.0.0.1:0"].map(str::to_owned);
        let platform = Process::spawn(&args, Some(folder.join("platform.log"))).await?;
        let http = reqwest::Client::builder().no_proxy().build().map_err(io::Error::other)?;
        let mut it = Cluster {
            deployment,
            relay,
            platform,
            dbs: Vec::new(),
            instances: Vec::new(),
            folder,
            http,
            next: 1,
        };
        for group in 0..it.deployment.groups.len() {
            it.start_group(group).await?;
        }
        let count = it.deployment.instances;
        for n in 0..count {
            it.start_instance(n).await?;
        }
        it.tell_platform().await?;
        it.settled(Duration::from_secs(20)).await?;
        Ok(it)
    }

    fn part(&mut self, zone: usize) -> Part {
        let it = self.next;
        self.next += 1;
        self.relay.place(it, zone);
        it
    }

    async fn start_group(&mut self, group: usize) -> io::Result<()> {
        let zones = self.deployment.zones.len();
        let mut servers = Vec::new();
        let mut first = None;
        for n in 0..self.deployment.servers {
            // Primaries begin in different zones.
            let zone = (n + group) % zones;
            let part = self.part(zone);
            let front = self.relay.front(part, false).await?;
            let name = Name::from(format!("{}-{n}", self.deployment.groups[group]));
            let mut args = vec![
                "db".to_owned(),
                "--listen".to_owned(),
                format!("{}:0", own_ip(part)),
                "--bind".to_owned(),
                own_ip(part).to_string(),
                "--data".to_owned(),
                self.folder.join(name.as_str()).display().to_string(),
                "--limit".to_owned(),
                self.deployment.limit.to_string(),
                "--opening-ms".to_owned(),
                self.deployment.opening.as_millis().to_string(),
            ];
            match first {
                None => {
                    args.push("--primary".to_owned());
                    first = Some(front.addr);
                }
                Some(it) => args.extend(["--follow".to_owned(), it.to_string()]),
            }
            let spec = ServerSpec {
                name: name.clone(),
                addr: front.addr,
                zone: self.deployment.zones[zone].into(),
                draining: false,
            };
            servers.push(spec);
            self.dbs.push(Db { group, name, part, process: None, front, args });
            let at = self.dbs.len() - 1;
            self.start_db(at).await?;
        }
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        let spec = GroupSpec {
            name: self.deployment.groups[group].as_str().into(),
            servers,
            limit: self.deployment.limit,
            policy: self.deployment.policy,
        };
        let url = format!("{}/objects/group/{}?expected=0", self.platform_url()?, spec.name);
        let answer = self.http.put(url).json(&spec).send().await.map_err(io::Error::other)?;
        answer.error_for_status().map(drop).map_err(io::Error::other)
    }

    /// Starts a server, also again after it was killed.
    pub async fn start_db(&mut self, at: usize) -> io::Result<()> {
        let it = &mut self.dbs[at];
        let process = Process::spawn(&it.args, Some(self.folder.join(format!("{}.log", it.name)))).await?;
        it.front.set(process.addr("addr")?);
        it.process = Some(process);
        Ok(())
    }

    /// Kills a server.
    pub async fn kill_db(&mut self, at: usize) {
        let it = &mut self.dbs[at];
        it.front.clear();
        if let Some(mut process) = it.process.take() {
            process.kill().await;
        }
    }

    /// Kills an instance.
    pub async fn kill_instance(&mut self, n: usize) {
        let it = &mut self.instances[n];
        it.callers.clear();
        it.peers.clear();
        if let Some(mut process) = it.process.take() {
            process.kill().await;
        }
    }

    /// Starts an instance by its number, also again after it was killed.
    pub async fn start_instance(&mut self, n: usize) -> io::Result<()> {
        let zone = n % self.deployment.zones.len();
        if n == self.instances.len() {
            let part = self.part(zone);
            let callers = self.relay.front(part, false).await?;
            let peers = self.relay.front(part, true).await?;
            let name = Name::from(format!("p{n:03}"));
            self.instances.push(Instance { name, zone, part, process: None, callers, peers, control: None });
        }
        let it = &self.instances[n];
        let ip = own_ip(it.part);
        let mut args: Vec<String> = vec!["instance".to_owned()];
        let mut flag = |name: &str, value: String| args.extend([format!("--{name}"), value]);
        flag("name", it.name.to_string());
        flag("zone", self.deployment.zones[zone].to_owned());
        flag("listen", format!("{ip}:0"));
        flag("peer-listen", format!("{ip}:0"));
        flag("peer-address", it.peers.addr.to_string());
        flag("control-listen", format!("{ip}:0"));
        flag("bind", ip.to_string());
        flag("platform", self.platform_url()?);
        for other in self.instances.iter().filter(|o| o.name != it.name).take(2) {
            flag("seed", other.peers.addr.to_string());
        }
        args.push("--plaintext".to_owned());
        args.extend(self.deployment.flags.iter().cloned());
        let process = Process::spawn(&args, Some(self.folder.join(format!("{}.log", it.name)))).await?;
        let it = &mut self.instances[n];
        it.callers.set(process.addr("callers")?);
        it.peers.set(process.addr("peers")?);
        it.control = Some(process.addr("control")?);
        it.process = Some(process);
        Ok(())
    }

    /// Tells the platform which instances there are.
    pub async fn tell_platform(&self) -> io::Result<()> {
        let zones = &self.deployment.zones;
        let live = self.instances.iter().filter(|it| it.process.is_some());
        let list: Vec<InstanceEntry> = live
            .map(|it| InstanceEntry {
                name: it.name.clone(),
                addr: it.peers.addr,
                zone: zones[it.zone].into(),
                state: MemberState::Alive,
            })
            .collect();
        let url = format!("{}/instances", self.platform_url()?);
        self.http.put(url).json(&list).send().await.map(drop).map_err(io::Error::other)
    }

    /// The platform's base address.
    pub fn platform_url(&self) -> io::Result<String> {
        Ok(format!("http://{}", self.platform.addr("addr")?))
    }

    /// Orders the platform to fail, or to stop failing.
    pub async fn trouble(&self, it: Trouble) -> io::Result<()> {
        let url = format!("{}/trouble", self.platform_url()?);
        self.http.post(url).json(&it).send().await.map(drop).map_err(io::Error::other)
    }

    /// The platform's count of calls.
    pub async fn calls(&self) -> io::Result<Calls> {
        let url = format!("{}/calls", self.platform_url()?);
        let it = self.http.get(url).send().await.map_err(io::Error::other)?;
        it.json().await.map_err(io::Error::other)
    }

    /// The report of one instance alone.
    pub async fn report(&self, n: usize) -> io::Result<InstanceStatus> {
        self.client(n)?.report().await.map_err(io::Error::other)
    }

    /// A client of an instance's operator interface.
    pub fn client(&self, n: usize) -> io::Result<jsonrpsee::http_client::HttpClient> {
        let addr = self.instances[n].control.ok_or_else(|| io::Error::other("the instance is not up"))?;
        let limit = Duration::from_secs(10);
        let builder = jsonrpsee::http_client::HttpClientBuilder::default().request_timeout(limit);
        builder.build(format!("http://{addr}")).map_err(io::Error::other)
    }

    /// Waits until every instance that is up knows all groups and members, and each group has a primary.
    pub async fn settled(&self, limit: Duration) -> io::Result<()> {
        let until = Instant::now() + limit;
        let up: Vec<usize> =
            (0..self.instances.len()).filter(|n| self.instances[*n].process.is_some()).collect();
        let mut why = String::new();
        while Instant::now() < until {
            match self.unsettled(&up).await {
                None => return Ok(()),
                Some(it) => why = it,
            }
            sleep(Duration::from_millis(100)).await;
        }
        Err(io::Error::other(format!("the system did not settle in time: {why}")))
    }

    async fn unsettled(&self, up: &[usize]) -> Option<String> {
        for n in up {
            let Ok(it) = self.report(*n).await else { return Some(format!("instance {n} doesn't report")) };
            let alive = it.members.iter().filter(|m| m.state == MemberState::Alive).count();
            if alive != up.len() {
                return Some(format!("{} knows {alive} members alive of {}", it.name, up.len()));
            }
            if it.groups.len() != self.deployment.groups.len() {
                return Some(format!("{} knows {} groups", it.name, it.groups.len()));
            }
            for g in it.groups.iter().filter(|g| !g.servers.is_empty()) {
                if !g.servers.iter().any(|s| s.role == "primary") {
                    return Some(format!("{} sees no primary of {}", it.name, g.name));
                }
                if g.servers.iter().any(|s| s.last_contact_ms.is_none()) {
                    return Some(format!("{} has not heard all servers of {}", it.name, g.name));
                }
                if g.grants == 0 {
                    return Some(format!("{} has no terms for {}", it.name, g.name));
                }
            }
        }
        None
    }

    /// Makes a plan, confirms it and waits for its end.
    pub async fn plan(&self, n: usize, intent: Intent, limit: Duration) -> io::Result<Plan> {
        let client = self.client(n)?;
        let it = client.propose("testbed".into(), intent).await.map_err(io::Error::other)?;
        let mut it = client.confirm("testbed".into(), it.name).await.map_err(io::Error::other)?;
        let until = Instant::now() + limit;
        while it.state == PlanState::Running && Instant::now() < until {
            sleep(Duration::from_millis(20)).await;
            if let Ok(all) = client.plans(Some(it.name.clone())).await
                && let Some(now) = all.into_iter().next()
            {
                it = now;
            }
        }
        Ok(it)
    }

    /// The place of a group's primary among the servers, as the instances see it.
    pub async fn primary(&self, group: usize) -> io::Result<usize> {
        let name = &self.deployment.groups[group];
        for _ in 0..100 {
            let mut found: Option<(u64, Name)> = None;
            for n in 0..self.instances.len() {
                let Ok(it) = self.report(n).await else { continue };
                let servers = it.groups.iter().filter(|g| g.name == *name).flat_map(|g| &g.servers);
                for s in servers.filter(|s| s.role == "primary") {
                    if found.as_ref().is_none_or(|f| f.0 < s.term.0) {
                        found = Some((s.term.0, s.name.clone()));
                    }
                }
            }
            if let Some((_, name)) = found
                && let Some(at) = self.dbs.iter().position(|it| it.name == name)
            {
                return Ok(at);
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other("no primary is seen"))
    }

    /// The servers of a group.
    pub fn servers(&self, group: usize) -> Vec<usize> {
        (0..self.dbs.len()).filter(|it| self.dbs[*it].group == group).collect()
    }
}
