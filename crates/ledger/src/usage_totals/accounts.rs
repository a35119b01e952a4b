//! Interns pairs of account and plan, so that sums refer to a pair by index.

use std::collections::BTreeMap;

/// Index of an [`AccountPlan`] in [`AccountPlans`].
pub(super) type AccountPlanIndex = u32;

/// An account under a plan.
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
    /// Returns the index of a pair, which is added if it is new.
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

    /// Returns the pair with an index that [`AccountPlans::index_of`] has returned.
    pub(super) fn get(&self, index: AccountPlanIndex) -> &AccountPlan {
        &self.list[index as usize]
    }
}
