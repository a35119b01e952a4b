use super::*;
use crate::view::MemberRecord;

fn set_state(view: &mut View, ids: &[MemberId], state: MemberState, version: u32) {
    for id in ids {
        let address = ([127, 0, 0, 1], *id).into();
        view.put(MemberRecord { id: *id, state, version, incarnation: 1, address, reported_by: *id }, 0);
    }
}

#[test]
fn half_or_fewer_have_no_quorum_and_members_that_left_are_not_counted() {
    let mut view = View::default();
    let mut voters = Voters::default();
    set_state(&mut view, &[0, 1, 2, 3, 4, 5], MemberState::Alive, 0);
    assert_eq!(voters.update(&view, Contact::Answered), PartitionStatus::Complete);
    assert_eq!(voters.update(&view, Contact::Unanswered), PartitionStatus::NoQuorum, "no member answers");
    set_state(&mut view, &[5], MemberState::Dead, 1);
    assert_eq!(voters.update(&view, Contact::Answered), PartitionStatus::Majority);
    set_state(&mut view, &[3, 4], MemberState::Dead, 1);
    assert_eq!(voters.update(&view, Contact::Answered), PartitionStatus::NoQuorum, "half is no majority");
    assert_eq!(voters.count(), 6);
    set_state(&mut view, &[5], MemberState::Left, 3);
    assert_eq!(voters.update(&view, Contact::Answered), PartitionStatus::Majority);
    assert_eq!(voters.count(), 5);
}

#[test]
fn a_minority_does_not_become_a_majority_by_new_members() {
    let mut view = View::default();
    let mut voters = Voters::default();
    set_state(&mut view, &[0, 1, 2], MemberState::Alive, 0);
    voters.update(&view, Contact::Answered);
    set_state(&mut view, &[1, 2], MemberState::Dead, 1);
    set_state(&mut view, &[7, 8, 9], MemberState::Alive, 0);
    assert_eq!(voters.update(&view, Contact::Answered), PartitionStatus::NoQuorum);
    assert_eq!(voters.count(), 3);
    set_state(&mut view, &[1, 2], MemberState::Alive, 2);
    assert_eq!(voters.update(&view, Contact::Answered), PartitionStatus::Complete);
    assert_eq!(voters.count(), 6);
}
