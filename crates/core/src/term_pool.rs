//! Pre-allocated terms.
//!
//! The group's record on the platform allocates terms in blocks, and each term only once. A home keeps a block, so that
//! a failover needs no platform call, and several failovers are possible while the platform is unavailable. No two
//! holders have the same term; if two race, the servers refuse the lower term.
//!
//! Blocks are allocated in increasing order, so a failover with a term of one block makes all lower blocks useless.
//! Homes that lost their terms in this way get a part of the block in use from its holder, without the platform.

use pondtrack_proto::{Term, TermRecord};

/// Number of terms in one block. Large blocks are affordable: at a thousand blocks a second, 64-bit terms last for
/// 500,000 years. A home splits off half of its terms at a time and each failover uses one, so with 16 terms there
/// would be none to split off after two failovers by different homes.
pub const BLOCK_SIZE: u64 = 1_024;
/// Number of usable terms below which the holder requests another block; two splits of a block reach that number.
const LOW_WATERMARK: u64 = 256;

/// The terms that one instance may use for promotions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct TermPool {
    /// Blocks as first term and exclusive end; sorted.
    blocks: Vec<(Term, Term)>,
}

impl TermPool {
    /// Adds a block of the terms from `first`, inclusive, to `end`, exclusive.
    pub fn add(&mut self, first: Term, end: Term) {
        self.blocks.push((first, end));
        self.blocks.sort_unstable();
    }

    /// Removes and returns the lowest term above `known`; none if there is none.
    pub fn take(&mut self, known: Term) -> Option<Term> {
        self.discard_through(known);
        let block = self.blocks.first_mut()?;
        let term = block.0;
        block.0 = Term(term.0 + 1);
        self.discard_through(known);
        Some(term)
    }

    /// Discards the terms up to and including `known`, which are no longer usable.
    pub fn discard_through(&mut self, known: Term) {
        for block in &mut self.blocks {
            block.0 = block.0.max(Term(known.0 + 1));
        }
        self.blocks.retain(|block| block.0 < block.1);
    }

    /// Splits off the upper half of the largest block, for another home; returns none if no block has two terms or
    /// more.
    ///
    /// The lower half is kept: the home that ran the last failover is the most likely to run the next one, and using
    /// a lower term then leaves the other homes' terms usable.
    pub fn split_off(&mut self, known: Term) -> Option<(Term, Term)> {
        self.discard_through(known);
        let block = self.blocks.iter_mut().max_by_key(|block| block.1.0 - block.0.0)?;
        let half = (block.1.0 - block.0.0) / 2;
        let first = Term(block.1.0 - half);
        let upper = (first, std::mem::replace(&mut block.1, first));
        (half > 0).then_some(upper)
    }

    /// Returns the number of remaining terms. Some may be unusable unless [`TermPool::discard_through`] was called with
    /// the newest term.
    pub fn remaining(&self) -> u64 {
        self.blocks.iter().map(|block| block.1.0 - block.0.0).sum()
    }

    /// Returns true if another block should be requested.
    pub fn is_low(&self) -> bool {
        self.remaining() < LOW_WATERMARK
    }
}

/// Returns the record after the allocation of a block above `known`, and the block.
///
/// `change` identifies this write, so that its writer recognises it after a lost answer.
pub fn allocate_block(record: &TermRecord, known: Term, change: u64) -> (TermRecord, (Term, Term)) {
    let first = Term(record.next.0.max(record.term.0 + 1).max(known.0 + 1));
    let end = Term(first.0 + BLOCK_SIZE);
    let next = TermRecord { next: end, change, ..record.clone() };
    (next, (first, end))
}
