//! Whether the fleet has shrunk, or this member is cut off from it. Nobody can see the difference in one moment: a part
//! that holds more than half of those that were there goes on as the fleet, all others hold still until they meet again.

use crate::view::{State, View};
use crate::Number;
use std::collections::BTreeSet;

/// How a member stands to its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// All that were there are there, or went in order.
    Whole,
    /// Some are lost, and more than half are there: this part is the fleet.
    Most,
    /// Half or fewer are there, or nobody answers: cut off, as far as this one can know. What was agreed before holds.
    CutOff,
}

/// Those by whom halves are counted: all that were in and did not leave in order. Who is lost stays one of them, however
/// long: a part that dropped its dead by itself would, after a second cut, hold most of what it remembers while another
/// part holds most of what *it* remembers. Numbers are kept over starts, so the dead come back as themselves.
#[derive(Clone, Debug, Default)]
pub(crate) struct Basis {
    members: BTreeSet<Number>,
}

impl Basis {
    /// Takes up what the view says now. `silent`: nobody answers this member.
    pub(crate) fn look(&mut self, view: &View, silent: bool) -> Standing {
        for m in view.members().filter(|m| m.fact.state == State::Left) {
            self.members.remove(&m.fact.number);
        }
        let counts = |n: &Number| view.get(*n).is_some_and(|m| m.fact.state.counts());
        let there = self.members.iter().filter(|n| counts(n)).count();
        // Who is new adds its voice only where most of the old ones are, or a small part grows into a greater one by
        // what is started in it.
        if 2 * there > self.members.len() || self.members.len() <= 1 {
            let known = view.members().filter(|m| m.fact.state != State::Left);
            self.members.extend(known.map(|m| m.fact.number));
        }
        let (there, of) = (self.members.iter().filter(|n| counts(n)).count(), self.members.len());
        match () {
            () if silent || 2 * there <= of => Standing::CutOff,
            () if there == of => Standing::Whole,
            () => Standing::Most,
        }
    }

    /// By how many halves are counted.
    pub(crate) fn of(&self) -> usize {
        self.members.len()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::view::Fact;

    fn set(view: &mut View, numbers: &[Number], state: State, turn: u32) {
        for n in numbers {
            let address = ([127, 0, 0, 1], *n).into();
            view.put(Fact { number: *n, state, turn, start: 1, address, by: *n }, 0);
        }
    }

    #[test]
    fn half_or_fewer_are_cut_off_and_who_left_in_order_is_not_counted() {
        let (mut view, mut basis) = (View::default(), Basis::default());
        set(&mut view, &[0, 1, 2, 3, 4, 5], State::In, 0);
        assert_eq!(basis.look(&view, false), Standing::Whole);
        assert_eq!(basis.look(&view, true), Standing::CutOff, "nobody answers");
        set(&mut view, &[5], State::Lost, 1);
        assert_eq!(basis.look(&view, false), Standing::Most);
        set(&mut view, &[3, 4], State::Lost, 1);
        assert_eq!((basis.look(&view, false), basis.of()), (Standing::CutOff, 6), "half is not most");
        set(&mut view, &[5], State::Left, 3);
        assert_eq!((basis.look(&view, false), basis.of()), (Standing::Most, 5));
    }

    #[test]
    fn a_small_part_does_not_grow_great_by_new_members() {
        let (mut view, mut basis) = (View::default(), Basis::default());
        set(&mut view, &[0, 1, 2], State::In, 0);
        basis.look(&view, false);
        set(&mut view, &[1, 2], State::Lost, 1);
        set(&mut view, &[7, 8, 9], State::In, 0);
        assert_eq!((basis.look(&view, false), basis.of()), (Standing::CutOff, 3));
        set(&mut view, &[1, 2], State::In, 2);
        assert_eq!((basis.look(&view, false), basis.of()), (Standing::Whole, 6));
    }
}
