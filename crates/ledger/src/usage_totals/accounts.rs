//! Accounts with their plans, each pair stored once.

use std::collections::BTreeMap;

/// The index of an account with a plan in [`AccountPlans`].
pub(super) type AccountPlanIndex = u32;

/// An account under a plan: what sums are kept for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AccountPlan {
    pub(super) account: String,
    pub(super) plan: String,
}

/// Pairs of account and plan, numbered in the order in which they were first seen.
#[derive(Default)]
pub(super) struct AccountPlans {
    list: Vec<AccountPlan>,
    indexes: BTreeMap<AccountPlan, AccountPlanIndex>,
}

impl AccountPlans {
    /// The index of a pair; a new one is added.
    pub(super) fn index_of(&mut self, account: &str, plan: &str) -> AccountPlanIndex {
        let pair = AccountPlan { account: account.to_owned(), plan: plan.to_owned() };
        if let Some(index) = self.indexes.get(&pair) {
            return *index;
        }
        let index = self.list.len() as AccountPlanIndex;
        self.list.push(pair.clone());
        self.indexes.insert(pair, index);
        index
    }

    /// The pair of an index that [`AccountPlans::index_of`] has returned.
    pub(super) fn get(&self, index: AccountPlanIndex) -> &AccountPlan {
        &self.list[index as usize]
    }
}
