//! Accounts of servers that instances tell each other, late, in any order and more than once.

use {
    pondtrack_core::{
        Time,
        commit_gate::CommitGate,
        freshness::{self, Freshness},
    },
    pondtrack_proto::{LogPosition, Lsn, Term},
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
};

/// The load: a primary that writes at every step and a replica that follows, both asked by a home at random; what it knows
/// goes on to a second instance and from there to a third, over ways that take up to `CROSSING`.
const STEPS: Time = 4_000;
const CROSSING: Time = 40;
/// Answers of servers take up to this long.
const ANSWER: Time = 30;
const SEEDS: u64 = 200;
const PRIMARY: usize = 0;
const REPLICA: usize = 1;

/// An account, and since when it was asked for at the latest, as an instance takes it.
#[derive(Clone, Copy)]
struct Account {
    server: usize,
    at: LogPosition,
    asked: Time,
}

/// Something under way.
struct Way {
    comes: Time,
    to: usize,
    account: Account,
}

/// What the group is at a time: term 2 begins half way, and loses what the replica lacked.
struct Truth {
    change: Time,
}

impl Truth {
    fn term(&self, now: Time) -> Term {
        Term(if now < self.change { 1 } else { 2 })
    }

    /// The end of a server's log.
    fn log(&self, server: usize, now: Time) -> LogPosition {
        let lsn = if server == REPLICA { now - now % 7 } else { now };
        LogPosition { term: self.term(now), lsn: Lsn(lsn) }
    }

    /// The last position that had been acknowledged before a time.
    fn acknowledged(&self, before: Time) -> Lsn {
        self.log(REPLICA, before.saturating_sub(1)).lsn
    }
}

/// An instance's evidence.
struct Seen {
    fresh: Freshness,
    gate: CommitGate,
    /// What it tells: the latest account of each server.
    known: [Option<Account>; 2],
    offset: Time,
}

impl Seen {
    fn new(offset: Time) -> Seen {
        Seen { fresh: Freshness::new(2, 1), gate: CommitGate::new(2, 1), known: [None; 2], offset }
    }

    fn take(&mut self, it: Account) {
        self.fresh.begin_term(it.at.term);
        self.gate.begin_term(it.at.term);
        match it.server {
            PRIMARY => self.fresh.observe(it.at.term, it.at, it.asked),
            _ => {
                self.fresh.confirm(it.server, it.at.term, it.asked);
                self.gate.observe(it.server, it.at.term, it.at);
            }
        }
        let known = &mut self.known[it.server];
        if known.is_none_or(|old| old.asked < it.asked) {
            *known = Some(it);
        }
    }
}

/// What one schedule showed.
#[derive(Default)]
struct Shown {
    handed: usize,
    let_out: usize,
}

fn schedule(seed: u64, age: fn(Time, Time) -> Time, asked: fn(Time, Time) -> Option<Time>) -> Shown {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let truth = Truth { change: 10_000 + STEPS / 2 };
    // Clocks are not compared.
    let mut seen = [5, 7_000, 2_000].map(Seen::new);
    let mut ways: Vec<Way> = Vec::new();
    let mut shown = Shown::default();
    for now in 10_000..10_000 + STEPS {
        if rng.random_range(0..20) == 0 {
            let server = rng.random_range(0..2);
            let answered = now + rng.random_range(1..ANSWER);
            let asked = now - seen[0].offset;
            let account = Account { server, at: truth.log(server, answered), asked };
            ways.push(Way { comes: answered + rng.random_range(1..CROSSING), to: 0, account });
        }
        if rng.random_range(0..10) == 0 {
            let to = rng.random_range(1..3);
            let teller = &seen[to - 1];
            // The question was sent a while ago and came now; the answer comes later.
            let sent = now - rng.random_range(1..CROSSING) - seen[to].offset;
            let came = now - teller.offset;
            for it in teller.known.into_iter().flatten() {
                let Some(asked) = asked(sent, age(came, it.asked)) else { continue };
                let account = Account { asked, ..it };
                for _ in 0..rng.random_range(1..3) {
                    ways.push(Way { comes: now + rng.random_range(1..4 * CROSSING), to, account });
                }
            }
        }
        ways.retain(|it| {
            if it.comes <= now {
                seen[it.to].take(it.account);
            }
            it.comes > now
        });
        for it in &seen {
            check(&truth, it, now, &mut rng, &mut shown);
        }
    }
    shown
}

/// What is handed out holds all that had been acknowledged by then, and nothing is let out that no replica has.
fn check(truth: &Truth, seen: &Seen, now: Time, rng: &mut Pcg64Mcg, shown: &mut Shown) {
    let since = now - seen.offset - rng.random_range(0..400);
    if let Some((at, needed)) = seen.fresh.required_position(since) {
        let known = truth.acknowledged(at.min(now - seen.offset) + seen.offset);
        assert!(at >= since && needed.lsn >= known, "{needed:?} at {at} lacks {known:?}");
        // A term that had ended by then is never taken for confirmed.
        assert!(needed.term >= truth.term(at + seen.offset), "{needed:?} at {at}");
        assert!(needed.lsn <= truth.log(PRIMARY, now).lsn, "{needed:?} is of the future");
        shown.handed += 1;
    }
    let durable = seen.gate.commit_lsn();
    assert!(durable <= truth.log(REPLICA, now).lsn, "{durable:?} is let out, and no replica has it");
    shown.let_out += usize::from(durable > Lsn(0));
}

#[test]
fn what_was_told_late_and_in_any_order_is_never_taken_for_younger_than_it_is() {
    let mut all = Shown::default();
    for seed in 0..SEEDS {
        let it = schedule(seed, freshness::age, freshness::asked_at);
        all.handed += it.handed;
        all.let_out += it.let_out;
    }
    // The schedules reach what they are for.
    assert!(all.handed > 100_000 && all.let_out > 100_000, "{} {}", all.handed, all.let_out);
}

#[test]
#[should_panic(expected = "lacks")]
fn an_age_that_counts_from_the_answer_is_found_by_the_same_schedules() {
    for seed in 0..SEEDS {
        schedule(seed, freshness::age, |sent, age| freshness::asked_at(sent + CROSSING, age));
    }
}

#[test]
#[should_panic(expected = "lacks")]
fn ages_that_do_not_add_up_are_found_by_the_same_schedules() {
    for seed in 0..SEEDS {
        schedule(seed, |_, _| 0, freshness::asked_at);
    }
}
