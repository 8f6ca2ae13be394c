//! Settings of an instance on the platform that change while it runs.
//!
//! The file is read again at SIGHUP, and when it looks changed: the platform may replace it without a signal.
//! Times take effect at once. Addresses, names and resources take effect at the next start; a file that can't be used
//! changes nothing.

use {
    pondtrack_engine::{instance::Instance, settings::Bounds},
    pondtrack_platform::{Boot, boot::PATH_ENV},
    std::{env, fs, rc::Rc, time::Duration, time::SystemTime},
    tokio::{signal::unix::Signal, time::timeout},
};

/// Between two looks at the file: a look is one system call.
const LOOK: Duration = Duration::from_secs(2);

/// What shows that a file was replaced or written: its length and when it was written.
type Stamp = Option<(u64, SystemTime)>;

/// The times that a settings file names.
pub fn bounds(boot: &Boot) -> Bounds {
    let it = &boot.bounds;
    let revoke = it.strict_revoke.then_some(it.revoke);
    Bounds { grace: it.grace, drain: it.drain, apply: it.apply, revoke, quota_margin: it.quota_margin }
}

/// Takes changed settings in, for good.
pub async fn follow(inst: Rc<Instance>, mut boot: Boot, mut signal: Signal) {
    let mut seen = stamp();
    loop {
        let told = timeout(LOOK, signal.recv()).await.is_ok();
        let now = stamp();
        if !told && now == seen {
            continue;
        }
        seen = now;
        match Boot::load() {
            Ok(it) => {
                take(&inst, &boot, &it);
                boot = it;
            }
            Err(e) => log::error!(step = "reload"; "the settings in force are kept: {e}"),
        }
    }
}

fn take(inst: &Instance, old: &Boot, new: &Boot) {
    inst.bounds.set(bounds(new));
    let later = (&old.name, &old.listen, &old.store, &old.promoter, &old.limits)
        != (&new.name, &new.listen, &new.store, &new.promoter, &new.limits);
    log::info!(
        grace_ms = new.bounds.grace.as_millis() as u64,
        drain_ms = new.bounds.drain.as_millis() as u64,
        apply_ms = new.bounds.apply.as_millis() as u64,
        changed = old != new,
        at_next_start = later;
        "settings read again"
    );
}

/// The file as it looks now; nothing when it can't be looked at, which reading it will explain.
fn stamp() -> Stamp {
    let it = fs::metadata(env::var(PATH_ENV).ok()?).ok()?;
    Some((it.len(), it.modified().ok()?))
}
