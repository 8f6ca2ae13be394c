//! Membership and gossip of facts over UDP.

use {
    crate::{
        home::{self, Home},
        node::Node,
        telemetry::Count,
    },
    pondtrack_core::member::Output,
    pondtrack_proto::{Datagram, Fact, FactKind, GroupSpec, MemberState, Name},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, rc::Rc},
};

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 65_507;

/// Order to an instance to leave, as stored on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveOrder {
    /// Incarnation of the instance when the order was issued. The order also applies to later incarnations
    /// of the same process, but not to a process that starts later, whose incarnations are all higher.
    pub incarnation: u64,
}

/// Receives datagrams until the instance ends.
pub async fn serve(node: Rc<Node>) {
    let mut buf = vec![0u8; MAX_DATAGRAM];
    loop {
        let Ok((len, from)) = node.udp.recv_from(&mut buf).await else { continue };
        match postcard::from_bytes::<Datagram>(&buf[..len]) {
            Ok(datagram) => {
                node.count(Count::DatagramsTaken);
                let now = node.now();
                let out = node.members.borrow_mut().receive(now, datagram);
                apply(&node, out);
            }
            Err(e) => {
                node.count(Count::DatagramsBad);
                log::debug!(step = "decode", peer = from.to_string().as_str(); "invalid datagram: {e}");
            }
        }
    }
}

/// Runs the probes, timeouts and gossip rounds that are due.
pub fn tick(node: &Rc<Node>) {
    let now = node.now();
    let out = node.members.borrow_mut().tick(now);
    apply(node, out);
}

/// Publishes a fact read from the platform; it is gossiped only if it is new to this instance.
pub fn publish(node: &Rc<Node>, fact: Fact) {
    let out = node.members.borrow_mut().publish(fact);
    apply(node, out);
}

/// Applies the output of a tick or a datagram: sends datagrams and applies member changes and facts.
pub fn apply(node: &Rc<Node>, out: Output) {
    for (to, datagram) in out.send {
        send(node, to, &datagram);
    }
    let changed = !out.changes.is_empty();
    for change in out.changes {
        let before = change.before.map_or("unknown".to_owned(), |state| state.to_string());
        if change.before.is_some() || change.after != MemberState::Alive {
            node.record_decision(
                &change.name,
                format!("the instance is {}", change.after),
                format!("it was {before}"),
            );
        }
    }
    let has_facts = !out.facts.is_empty();
    for fact in out.facts {
        node.count(Count::FactsAccepted);
        apply_fact(node, &fact);
    }
    if changed || has_facts {
        reconcile(node);
    }
}

fn send(node: &Node, to: SocketAddr, datagram: &Datagram) {
    match postcard::to_stdvec(datagram) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => {
            node.counters.one(Count::DatagramsSent);
            node.counters.add(Count::DatagramBytesSent, bytes.len() as u64);
            // A failed send is handled like datagram loss on the network.
            let _ = node.udp.try_send_to(&bytes, to);
        }
        Ok(bytes) => {
            log::warn!(step = "send", peer = to.to_string().as_str(); "datagram too large: {} bytes", bytes.len())
        }
        Err(e) => log::error!(step = "send", peer = to.to_string().as_str(); "{e}"),
    }
}

/// Applies a fact to this instance.
fn apply_fact(node: &Rc<Node>, fact: &Fact) {
    match fact.key.kind {
        FactKind::Group => match GroupSpec::parse(&fact.value) {
            Ok(spec) if spec.name == fact.key.name => insert_group(node, spec, fact.version),
            Ok(spec) => {
                log::error!(subject = fact.key.name.as_str(); "the configuration is of group {}", spec.name)
            }
            // The previous configuration stays in force.
            Err(e) => log::error!(subject = fact.key.name.as_str(); "{e}"),
        },
        FactKind::Leave if fact.key.name == node.name => {
            let order = serde_json::from_slice::<LeaveOrder>(&fact.value);
            if order.is_ok_and(|order| order.incarnation >= node.incarnation) {
                crate::run::leave(node, "an operator's plan");
            }
        }
        FactKind::Leave | FactKind::Plan => {}
    }
}

/// Inserts a group's configuration or replaces the previous one.
fn insert_group(node: &Node, spec: GroupSpec, version: u64) {
    let mut groups = node.groups.borrow_mut();
    let group = (Rc::new(spec), version);
    match groups.binary_search_by(|old| old.0.name.cmp(&group.0.name)) {
        Ok(i) => groups[i] = group,
        Err(i) => groups.insert(i, group),
    }
}

/// Starts, reconfigures and closes the homes of this instance to match the members and groups.
pub fn reconcile(node: &Rc<Node>) {
    node.invalidate_placements();
    let groups = node.groups.borrow().clone();
    for (spec, version) in groups {
        let homes = node.placement(&spec).homes.clone();
        let rank = homes.iter().position(|home| *home == node.name);
        let local = node.home(&spec.name);
        match (rank, local) {
            (Some(rank), Some(home)) => home.configure(node, spec, version, rank, homes.len()),
            (Some(rank), None) => start_home(node, spec, version, rank, homes),
            (None, Some(home)) if !home.closing.get() => {
                node.record_decision(&spec.name, "this instance is no longer a home", evidence(&homes));
                home.close(node);
            }
            (None, _) => {}
        }
    }
    node.homes.borrow_mut().retain(|home| !home.is_drained());
}

/// Starts this instance's home of a group, with a monitor per server.
fn start_home(node: &Rc<Node>, spec: Rc<GroupSpec>, version: u64, rank: usize, homes: Vec<Name>) {
    let home = Home::new(node, spec.clone(), version);
    home.configure(node, spec.clone(), version, rank, homes.len());
    let mut local = node.homes.borrow_mut();
    let i = local.partition_point(|old| old.group < home.group);
    local.insert(i, home.clone());
    drop(local);
    node.record_decision(&spec.name, format!("this instance is home number {}", rank + 1), evidence(&homes));
    for server in 0..home.servers.len() {
        tokio::task::spawn_local(home::monitor::run(node.clone(), home.clone(), server));
    }
    tokio::task::spawn_local(home::failover::run(node.clone(), home));
}

/// Formats the homes of a group as the evidence of a decision.
fn evidence(homes: &[Name]) -> String {
    let names: Vec<&str> = homes.iter().map(|name| name.as_str()).collect();
    format!("homes: {}", names.join(", "))
}
