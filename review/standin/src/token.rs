//! The holder of the right to promote is stopped as planned while its order is under way to the platform.

use crate::{
    Outcome, gate,
    group::Group,
    http::{self, Request, Response},
    instance::Instance,
    record,
    site::{Site, ZONES, order_text, wait},
};
use std::{
    net::{SocketAddr, TcpStream},
    path::Path,
    sync::{Arc, Mutex},
    thread::sleep,
    time::Duration,
};

/// Machines in each zone.
const MACHINES: [usize; 3] = [4, 3, 2];
const ROUNDS: usize = 7;
/// All machines start within 0.3 s of each other.
const START_GAP: Duration = Duration::from_millis(40);
/// The holder renews its right each 400 to 500 ms. The order is brought about this long after a renewal.
const AFTER_RENEWAL: Duration = Duration::from_millis(300);

/// The orders as the platform gets them.
#[derive(Default)]
struct Orders {
    /// The instance whose path to the platform is cut for a moment.
    cut: Option<String>,
    /// True once an order of that instance has been sent into the cut.
    sent: bool,
    /// Holder and token of each order that the platform received, in order.
    received: Vec<(String, u64)>,
}

impl Orders {
    /// The orders with a lower token than an earlier one.
    fn lower(&self) -> Vec<&(String, u64)> {
        let highest_before = |n: usize| self.received[..n].iter().map(|o| o.1).max().unwrap_or_default();
        self.received.iter().enumerate().filter(|(n, o)| o.1 < highest_before(*n)).map(|o| o.1).collect()
    }
}

pub fn run(root: &Path, dir: &Path, trouble: bool) -> Outcome {
    match play(root, dir, trouble) {
        Ok(0) => Outcome::Held,
        Ok(_) => Outcome::Broken,
        Err(why) => Outcome::NotRun(why),
    }
}

/// Serves the call to promote to one instance.
fn cloud(group: &Arc<Group>, orders: &Arc<Mutex<Orders>>) -> SocketAddr {
    let (group, orders) = (group.clone(), orders.clone());
    let handler = move |request: &Request, stream: &TcpStream| receive(&group, &orders, request, stream);
    http::serve(gate::Gate::default(), Arc::new(handler))
}

/// Receives an order. An order that is sent into a cut arrives when the cut ends, unless its sender has reset the
/// connection: the cut ends once an order of another instance has arrived.
fn receive(
    group: &Arc<Group>,
    orders: &Mutex<Orders>,
    request: &Request,
    stream: &TcpStream,
) -> Option<Response> {
    let holder = request.header("lease-holder")?.to_owned();
    let token = request.header("fencing-token")?.parse().ok()?;
    let cut = {
        let mut orders = orders.lock().unwrap();
        let cut = orders.cut.as_ref() == Some(&holder);
        orders.sent |= cut;
        cut
    };
    if cut {
        record!("cut: on its way: {}", order_text(request));
        while orders.lock().unwrap().received.iter().all(|o| o.1 <= token) {
            if gate::is_closed(stream) {
                record!("cut: lost, as its sender has reset the connection: {}", order_text(request));
                return None;
            }
            sleep(Duration::from_millis(1));
        }
    }
    orders.lock().unwrap().received.push((holder, token));
    let response = group.promote(request);
    record!("platform: {} -> {}", order_text(request), response.0);
    Some(response)
}

fn play(root: &Path, dir: &Path, trouble: bool) -> Result<usize, String> {
    let site = Site::start(root, dir);
    let (group, patience) = (site.group.clone(), Duration::from_secs(15));
    let orders = Arc::new(Mutex::new(Orders::default()));
    let places = (0..3).flat_map(|zone| (1..=MACHINES[zone]).map(move |n| (ZONES[zone], n)));
    let mut instances: Vec<Instance> = places
        .map(|(zone, n)| site.instance(&format!("frontend-{zone}-{n}"), zone, cloud(&group, &orders)))
        .collect();
    for instance in &mut instances {
        instance.start();
        sleep(START_GAP);
    }
    wait("all instances are ready", patience, || instances.iter().all(Instance::is_ready))?;
    for round in 1..=ROUNDS {
        record!("round {round}");
        wait("one has the right to promote", patience, || site.holder().is_some())?;
        // The machines have been running for a while.
        sleep(Duration::from_secs(4));
        let (primary, _) = group.newest_primary().ok_or("no primary")?;
        let (holder, nonce) = site.holder().ok_or("no holder")?;
        wait("it has renewed it", patience, || site.holder().is_some_and(|h| h.1 != nonce))?;
        if trouble {
            orders.lock().unwrap().cut = Some(holder.clone());
        }
        sleep(AFTER_RENEWAL);
        let before = orders.lock().unwrap().received.len();
        group.drain(primary);
        wait("an order is sent", patience, || {
            let orders = orders.lock().unwrap();
            orders.sent || orders.received.len() > before
        })?;
        let stopped = instances.iter_mut().find(|i| i.name == holder).ok_or("no such instance")?;
        stopped.terminate();
        wait("another server leads", patience, || group.newest_primary().is_some_and(|p| p.0 != primary))?;
        wait("nothing is left of the change", patience, || group.primaries() == (1, 0))?;
        if !stopped.wait_end(Duration::from_secs(8)) {
            return Err("the stopped instance doesn't end".to_owned());
        }
        {
            let mut orders = orders.lock().unwrap();
            (orders.cut, orders.sent) = (None, false);
        }
        group.undrain(primary);
        let lower = orders.lock().unwrap().lower().len();
        if lower > 0 {
            break;
        }
        stopped.start();
        wait("it is ready again", patience, || stopped.is_ready())?;
    }
    let orders = orders.lock().unwrap();
    for (holder, token) in orders.lower() {
        record!("ONE: {holder} sent token {token} after the platform had seen a higher one");
    }
    instances.iter().for_each(Instance::copy_log);
    Ok(orders.lower().len())
}
