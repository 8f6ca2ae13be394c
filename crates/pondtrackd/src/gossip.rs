//! Membership and the spread of facts over datagrams.

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

/// Largest datagram taken, in bytes.
const MAX_DATAGRAM: usize = 65_507;

/// An order to an instance to leave, as kept on the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaveOrder {
    /// The incarnation it is meant for, or one of its later ones; not that of a later process.
    pub incarnation: u64,
}

/// Takes datagrams for the life of the instance.
pub async fn serve(node: Rc<Node>) {
    let mut buf = vec![0u8; MAX_DATAGRAM];
    loop {
        let Ok((n, from)) = node.udp.recv_from(&mut buf).await else { continue };
        match postcard::from_bytes::<Datagram>(&buf[..n]) {
            Ok(gram) => {
                node.count(Count::DatagramsTaken);
                let now = node.now();
                let out = node.members.borrow_mut().receive(now, gram);
                apply(&node, out);
            }
            Err(e) => {
                node.count(Count::DatagramsBad);
                log::debug!(step = "decode", peer = from.to_string().as_str(); "a bad datagram: {e}");
            }
        }
    }
}

/// Does what is due.
pub fn tick(node: &Rc<Node>) {
    let now = node.now();
    let out = node.members.borrow_mut().tick(now);
    apply(node, out);
}

/// Takes a fact learned from the platform and pushes it if it is news.
pub fn learn(node: &Rc<Node>, fact: Fact) {
    let out = node.members.borrow_mut().publish(fact);
    apply(node, out);
}

/// Acts upon what came of a tick or a datagram.
pub fn apply(node: &Rc<Node>, out: Output) {
    for (to, gram) in out.send {
        send(node, to, &gram);
    }
    let changed = !out.changes.is_empty();
    for it in out.changes {
        let before = it.before.map_or("unknown".to_owned(), |it| it.to_string());
        if it.before.is_some() || it.after != MemberState::Alive {
            node.record_decision(
                &it.name,
                format!("the instance is {}", it.after),
                format!("it was {before}"),
            );
        }
    }
    let facts = !out.facts.is_empty();
    for it in out.facts {
        node.count(Count::FactsAccepted);
        take(node, &it);
    }
    if changed || facts {
        reconcile(node);
    }
}

fn send(node: &Node, to: SocketAddr, gram: &Datagram) {
    match postcard::to_stdvec(gram) {
        Ok(bytes) if bytes.len() <= MAX_DATAGRAM => {
            node.counters.one(Count::DatagramsSent);
            node.counters.add(Count::DatagramBytesSent, bytes.len() as u64);
            // A datagram that can't be sent is lost like any other.
            let _ = node.udp.try_send_to(&bytes, to);
        }
        Ok(bytes) => {
            log::warn!(step = "send", peer = to.to_string().as_str(); "a datagram of {} bytes", bytes.len())
        }
        Err(e) => log::error!(step = "send", peer = to.to_string().as_str(); "{e}"),
    }
}

/// Puts a fact in force here.
fn take(node: &Rc<Node>, fact: &Fact) {
    match fact.key.kind {
        FactKind::Group => match GroupSpec::parse(&fact.value) {
            Ok(spec) if spec.name == fact.key.name => put_group(node, spec, fact.version),
            Ok(spec) => log::error!(subject = fact.key.name.as_str(); "the group calls itself {}", spec.name),
            // What was in force stays so.
            Err(e) => log::error!(subject = fact.key.name.as_str(); "{e}"),
        },
        FactKind::Leave if fact.key.name == node.name => {
            let order = serde_json::from_slice::<LeaveOrder>(&fact.value);
            if order.is_ok_and(|it| it.incarnation >= node.incarnation) {
                crate::run::leave(node, "an operator's plan");
            }
        }
        FactKind::Leave | FactKind::Plan => {}
    }
}

fn put_group(node: &Node, spec: GroupSpec, version: u64) {
    let mut groups = node.groups.borrow_mut();
    let it = (Rc::new(spec), version);
    match groups.binary_search_by(|old| old.0.name.cmp(&it.0.name)) {
        Ok(at) => groups[at] = it,
        Err(at) => groups.insert(at, it),
    }
}

/// Brings the homes here in line with members and groups.
pub fn reconcile(node: &Rc<Node>) {
    node.invalidate_placements();
    let groups = node.groups.borrow().clone();
    for (spec, version) in groups {
        let homes = node.placement(&spec).homes.clone();
        let rank = homes.iter().position(|it| *it == node.name);
        let here = node.home(&spec.name);
        match (rank, here) {
            (Some(rank), Some(it)) => it.configure(node, spec, version, rank, homes.len()),
            (Some(rank), None) => begin(node, spec, version, rank, homes),
            (None, Some(it)) if !it.closing.get() => {
                node.record_decision(&spec.name, "this instance is no longer a home", names(&homes));
                it.close(node);
            }
            (None, _) => {}
        }
    }
    node.homes.borrow_mut().retain(|it| !it.is_over());
}

fn begin(node: &Rc<Node>, spec: Rc<GroupSpec>, version: u64, rank: usize, homes: Vec<Name>) {
    let it = Home::new(node, spec.clone(), version);
    it.configure(node, spec.clone(), version, rank, homes.len());
    let mut all = node.homes.borrow_mut();
    let at = all.partition_point(|old| old.group < it.group);
    all.insert(at, it.clone());
    drop(all);
    node.record_decision(&spec.name, format!("this instance is home number {}", rank + 1), names(&homes));
    for server in 0..it.servers.len() {
        tokio::task::spawn_local(home::monitor::run(node.clone(), it.clone(), server));
    }
    tokio::task::spawn_local(home::failover::run(node.clone(), it));
}

fn names(list: &[Name]) -> String {
    let list: Vec<&str> = list.iter().map(|it| it.as_str()).collect();
    format!("homes: {}", list.join(", "))
}
