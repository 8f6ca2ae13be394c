//! Reload of the settings file of an instance on the platform.
//!
//! The file is read again on SIGHUP, and whenever its length or modification time changes, because the platform may
//! replace the file without a signal. Changed times take effect immediately; changed addresses, names and resources take
//! effect at the next start. An invalid file is ignored and the current settings stay in effect.

use {
    pondtrack_engine::{instance::Instance, settings::Bounds},
    pondtrack_platform::{Boot, boot::PATH_ENV},
    std::{env, fs, rc::Rc, time::Duration, time::SystemTime},
    tokio::{signal::unix::Signal, time::timeout},
};

/// Interval between two polls of the file; each poll costs one system call.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Length and modification time of a file, `None` if its metadata can't be read; compared to detect that the file was
/// replaced or written.
type Fingerprint = Option<(u64, SystemTime)>;

/// Returns the time limits and margins set in a settings file.
pub fn bounds(boot: &Boot) -> Bounds {
    let b = &boot.bounds;
    let revoke = b.strict_revoke.then_some(b.revoke);
    Bounds { grace: b.grace, drain: b.drain, apply: b.apply, revoke, quota_margin: b.quota_margin }
}

/// Reloads the settings file on `signal` or when the file changes; never returns.
pub async fn watch(inst: Rc<Instance>, mut boot: Boot, mut signal: Signal) {
    let mut last = fingerprint();
    loop {
        let signalled = timeout(POLL_INTERVAL, signal.recv()).await.is_ok();
        let current = fingerprint();
        if !signalled && current == last {
            continue;
        }
        last = current;
        match Boot::load() {
            Ok(new) => {
                apply(&inst, &boot, &new);
                boot = new;
            }
            Err(e) => log::error!(step = "reload"; "the settings in force are kept: {e}"),
        }
    }
}

/// Applies the new time limits and logs whether other changes take effect only at the next start.
fn apply(inst: &Instance, old: &Boot, new: &Boot) {
    inst.bounds.set(bounds(new));
    let restart_needed = (&old.name, &old.listen, &old.store, &old.promoter, &old.limits)
        != (&new.name, &new.listen, &new.store, &new.promoter, &new.limits);
    log::info!(
        grace_ms = new.bounds.grace.as_millis() as u64,
        drain_ms = new.bounds.drain.as_millis() as u64,
        apply_ms = new.bounds.apply.as_millis() as u64,
        changed = old != new,
        at_next_start = restart_needed;
        "settings read again"
    );
}

/// Returns the fingerprint of the settings file, or `None` if its metadata can't be read; the following read of the
/// file reports the cause.
fn fingerprint() -> Fingerprint {
    let metadata = fs::metadata(env::var(PATH_ENV).ok()?).ok()?;
    Some((metadata.len(), metadata.modified().ok()?))
}
