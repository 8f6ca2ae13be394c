//! Times of decisions as ratios within one run, each with its bound: `cargo bench -p pondtrack-core`.

use {
    pondtrack_core::{
        classify::{Classifier, classify},
        commit_gate::CommitGate,
        member::{MemberConfig, Members},
        placement,
        quota::{Demand, Limiter, Limits, SLOTS, SlotSet},
    },
    pondtrack_proto::{GroupSpec, LogPosition, Lsn, MemberState, MemberView, Name, ServerSpec, Term},
    std::{hint::black_box, process::ExitCode, time::Instant},
};

/// Rounds of each measurement; the quickest counts.
const ROUNDS: usize = 7;

fn main() -> ExitCode {
    let text = "SELECT qty FROM stock WHERE part = $1 AND depot = $2 ORDER BY part LIMIT 10";
    let mut known = Classifier::default();
    known.classify(text);
    let (small, large) = (members(76), members(760));
    let (few, many) = (fleet(76), fleet(760));
    let bounds = [
        ("a known text against a new one", time(|| known.classify(text)) / time(|| classify(text)), 0.2),
        (
            "placing a group among 760 instances against 76",
            time(|| placement::homes(&spec(), &large)) / time(|| placement::homes(&spec(), &small)),
            16.0,
        ),
        ("a tick of membership among 760 against 76", ticks(many) / ticks(few), 20.0),
        ("opening the gate for 1000 commits against 100", held(1_000) / held(100), 40.0),
        (
            "granting an operation among 5,000 organisations and 760 instances against 8 and 9",
            granted(760, 5_000) / granted(9, 8),
            8.0,
        ),
    ];
    println!("an operation among 5,000 organisations and 760 instances: {:.0} ns", granted(760, 5_000) * 1e9);
    let mut good = true;
    for (name, ratio, bound) in bounds {
        let ok = ratio <= bound;
        good &= ok;
        println!("{} {name}: {ratio:.2}, at most {bound}", if ok { "ok  " } else { "FAIL" });
    }
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Seconds of the quickest of some rounds of a piece of work.
fn time<T>(mut work: impl FnMut() -> T) -> f64 {
    let mut best = f64::MAX;
    for _ in 0..ROUNDS {
        let from = Instant::now();
        for _ in 0..200 {
            black_box(work());
        }
        best = best.min(from.elapsed().as_secs_f64());
    }
    best
}

fn members(n: usize) -> Vec<MemberView> {
    let one = |n: usize| MemberView {
        name: format!("p{n:04}").into(),
        addr: ([10, 0, (n >> 8) as u8, n as u8], 7_000).into(),
        zone: format!("z{}", n % 6).into(),
        incarnation: 1,
        state: MemberState::Alive,
    };
    (0..n).map(one).collect()
}

fn spec() -> GroupSpec {
    let server = |n: usize| ServerSpec {
        name: format!("db-{n}").into(),
        addr: ([10, 1, 0, n as u8], 5_432).into(),
        zone: format!("z{n}").into(),
        draining: false,
    };
    GroupSpec {
        name: "db".into(),
        servers: (0..3).map(server).collect(),
        limit: 25,
        policy: Default::default(),
    }
}

/// A member that knows a whole fleet.
fn fleet(n: usize) -> Members {
    let mut all = members(n);
    let me = all.remove(0);
    let mut it = Members::new(me, Vec::new(), MemberConfig::default(), 1);
    for from in all {
        let body = pondtrack_proto::Payload::Members;
        it.receive(0, pondtrack_proto::Datagram { from, facts: 0, updates: Vec::new(), body });
    }
    it
}

/// Seconds of the ticks of a minute.
fn ticks(mut it: Members) -> f64 {
    let from = Instant::now();
    for n in 0..600 {
        black_box(it.tick(n * 100));
    }
    from.elapsed().as_secs_f64()
}

/// Seconds to hold so many commits and let them out.
fn held(n: u64) -> f64 {
    time(|| {
        let mut it = CommitGate::new(3, 2);
        it.begin_term(Term(1));
        it.observe(0, Term(1), LogPosition::new(1, n));
        for lsn in 1..=n {
            black_box(it.request_ack(Term(1), Lsn(lsn)));
        }
        it.observe(1, Term(1), LogPosition::new(1, n)).len()
    })
}

/// Seconds to grant an operation of one of many organisations, to which so many instances have lent their shares.
fn granted(instances: usize, organisations: usize) -> f64 {
    const ASKED: usize = 2_000;
    let now = 1_000_000;
    let mut it = Limiter::new(1);
    let since = Some(it.timestamp(now));
    let mut slots = SlotSet::default();
    (0..SLOTS).for_each(|slot| slots.insert(slot));
    for n in 0..instances {
        it.accept(&Name::from(format!("n{n}")), 1, slots, 1.0 / instances as f64, since, now);
    }
    let names: Vec<Name> = (0..organisations).map(|n| Name::from(format!("organisation{n}"))).collect();
    let limits = Limits { rate: 1e9, burst: 1e9, margin: 0.0 };
    let mut best = f64::MAX;
    for _ in 0..ROUNDS {
        let from = Instant::now();
        for n in 0..ASKED {
            black_box(it.claim(
                &names[n * 7 % organisations],
                limits,
                Demand::unprioritised(1),
                now + n as u64,
            ));
        }
        best = best.min(from.elapsed().as_secs_f64() / ASKED as f64);
    }
    best
}
