//! Terms taken ahead of need.
//!
//! The group's record on the platform gives out each term once, in blocks. A home keeps a block, so that
//! a failover needs no platform call and several are possible while the platform is down. Two holders
//! never have the same term; of two that race, the servers refuse the lower.
//!
//! Blocks lie one above the other, so a change with a term of one makes all lower blocks worthless. Homes
//! whose terms are gone that way get a part of the block in use from its holder, without the platform.

use pondtrack_proto::{Term, TermRecord};

/// Terms in one block. Numbers cost nothing: with a thousand blocks a second they last for 500,000 years. A home
/// parts with half of its terms at a time and each change of primary takes one, so of 16 none could be parted with
/// after two changes by different homes.
pub const BLOCK_SIZE: u64 = 1_024;
/// A holder asks for another block when fewer usable terms than this are left: it has parted with some twice.
const LOW: u64 = 256;

/// The terms one instance may promote with.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TermPool {
    blocks: Vec<(Term, Term)>,
}

impl TermPool {
    /// Adds a block: the terms from `first` up to, without, `end`.
    pub fn add(&mut self, first: Term, end: Term) {
        self.blocks.push((first, end));
        self.blocks.sort_unstable();
    }

    /// Takes the lowest granted term above `known`; it is never handed out again.
    pub fn take(&mut self, known: Term) -> Option<Term> {
        self.discard_through(known);
        let block = self.blocks.first_mut()?;
        let term = block.0;
        block.0 = Term(term.0 + 1);
        self.discard_through(known);
        Some(term)
    }

    /// Drops terms that are no longer of use.
    pub fn discard_through(&mut self, known: Term) {
        for it in &mut self.blocks {
            it.0 = it.0.max(Term(known.0 + 1));
        }
        self.blocks.retain(|it| it.0 < it.1);
    }

    /// Parts with the upper half of a block, for another home; none when no home could do with less.
    ///
    /// The lower half stays: whoever changed the primary last is the likeliest to do so again, and what it
    /// takes next then leaves the terms of the others usable.
    pub fn split_off(&mut self, known: Term) -> Option<(Term, Term)> {
        self.discard_through(known);
        let block = self.blocks.iter_mut().max_by_key(|it| it.1.0 - it.0.0)?;
        let half = (block.1.0 - block.0.0) / 2;
        let first = Term(block.1.0 - half);
        let upper = (first, std::mem::replace(&mut block.1, first));
        (half > 0).then_some(upper)
    }

    /// How many terms are left; some may be of no use, unless [`TermPool::discard_through`] was told of the newest.
    pub fn remaining(&self) -> u64 {
        self.blocks.iter().map(|it| it.1.0 - it.0.0).sum()
    }

    /// Whether another block should be asked for.
    pub fn is_low(&self) -> bool {
        self.remaining() < LOW
    }
}

/// The record after giving out one more block above `known`, and the block.
///
/// `change` names this change, so that its writer recognises it after a lost answer.
pub fn allocate_block(record: &TermRecord, known: Term, change: u64) -> (TermRecord, (Term, Term)) {
    let first = Term(record.next.0.max(record.term.0 + 1).max(known.0 + 1));
    let end = Term(first.0 + BLOCK_SIZE);
    let next = TermRecord { next: end, change, ..record.clone() };
    (next, (first, end))
}
