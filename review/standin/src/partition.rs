//! Two servers, the primary among them, and one machine are partitioned from the rest.

use crate::{
    Outcome,
    client::Client,
    judge::Judge,
    record,
    site::{Paths, Site, ZONES, wait},
};
use std::{path::Path, thread::sleep, time::Duration};

/// How long the cut may last.
const CUT: Duration = Duration::from_secs(10);
const ROUNDS: usize = 15;

pub fn run(root: &Path, dir: &Path, trouble: bool) -> Outcome {
    match play(root, dir, trouble) {
        Ok(0) => Outcome::Held,
        Ok(_) => Outcome::Broken,
        Err(why) => Outcome::NotRun(why),
    }
}

fn play(root: &Path, dir: &Path, trouble: bool) -> Result<usize, String> {
    let site = Site::start(root, dir);
    let (group, patience) = (site.group.clone(), Duration::from_secs(15));
    let mut near: Vec<_> =
        (0..2).map(|n| site.instance(&format!("frontend-{}-1", ZONES[n]), ZONES[n], site.cloud())).collect();
    near.iter_mut().for_each(|instance| instance.start());
    wait("two instances are ready", patience, || near.iter().all(|i| i.is_ready()))?;
    wait("one has the right to promote", patience, || site.holder().is_some())?;

    let paths = Paths::default();
    let mut far = site.apart("frontend-cr-depot-1", "cr-depot", &paths, &near);
    far.start();
    wait("the third instance is ready", patience, || far.is_ready())?;
    // All have been running for a while, and know each other.
    sleep(Duration::from_secs(5));

    let mut judge = Judge::default();
    let open = |name, addr| Client::open(name, addr, "stock-post").ok_or("a session can't be opened");
    let mut here = open("here", near[0].callers)?;
    let mut there = open("there", far.callers)?;
    for _ in 0..3 {
        judge.write(&mut here, "1a4");
        judge.read(&mut there, "1a4");
    }
    if trouble {
        record!("cut: i-0, i-2 and {} from the store, i-1 and the other machines", far.name);
        paths.store.set_cut(true);
        paths.others.set_cut(true);
        paths.servers[1].set_cut(true);
        for at in [0, 2] {
            group.set_store_cut(at, true);
            site.gates[at].set_cut(true);
            group.set_reach(at, 1, false);
        }
        wait("another server leads", CUT, || group.newest_primary().is_some_and(|p| p.1 > 1))?;
        // The first commit of the new primary can be served once the machines have found it.
        let mut found = false;
        for _ in 0..20 {
            found = found || judge.write(&mut here, "1a4");
        }
        if !found {
            return Err("the new primary isn't found".to_owned());
        }
    }
    for _ in 0..ROUNDS {
        judge.write(&mut here, "1a4");
        judge.read(&mut there, "1a4");
        sleep(Duration::from_millis(20));
    }
    for _ in 0..3 {
        judge.write(&mut there, "2b7");
    }
    record!("{} says that it is ready: {}", far.name, far.is_ready());
    let stale = judge.stale_reads(&group);
    judge.record_lost(&group);
    near.iter().chain([&far]).for_each(|instance| instance.copy_log());
    Ok(stale)
}
