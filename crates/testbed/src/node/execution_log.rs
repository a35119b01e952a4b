//! A node's own account of what it ran: the truth that billing is compared with.

use crate::lock;
use chalkgap_runtime::Micros;
use chalkgap_wire::truth::ExecutionStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// What a request used at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Used {
    /// The account.
    pub account: String,
    /// Quota units.
    pub units: u64,
    /// When the gateway wrote its ledger entry, as it says; 0 where it does not.
    pub entered: Micros,
}

#[derive(Debug, Default)]
struct Executions {
    completed: BTreeMap<String, Used>,
    running: BTreeSet<String>,
    /// Requests that were reported as never run, and so must not run any more.
    barred: BTreeSet<String>,
}

/// Executions by the name of the request, shared by the incarnations of a node.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog(Arc<Mutex<Executions>>);

impl ExecutionLog {
    /// All requests that ran to their end, by name.
    pub fn completed(&self) -> BTreeMap<String, Used> {
        lock(&self.0).completed.clone()
    }

    /// A process starts: what ran in the one before has died with it.
    pub(super) fn restart(&self) {
        lock(&self.0).running.clear();
    }

    /// Begins a request; false if it was reported as never run.
    pub(super) fn begin(&self, request: &str) -> bool {
        let mut executions = lock(&self.0);
        let permitted = !executions.barred.contains(request);
        if permitted {
            executions.running.insert(request.into());
        }
        permitted
    }

    /// Completes a request, so that its effect exists; false if it was reported as never run.
    pub(super) fn complete(&self, request: &str, usage: Used) -> bool {
        let mut executions = lock(&self.0);
        executions.running.remove(request);
        let permitted = !executions.barred.contains(request);
        if permitted {
            executions.completed.insert(request.into(), usage);
        }
        permitted
    }

    /// Whether a request ran. One that has not is barred from running later.
    pub(super) fn look_up(&self, request: &str) -> ExecutionStatus {
        let mut executions = lock(&self.0);
        if executions.completed.contains_key(request) {
            ExecutionStatus::Ran
        } else if executions.running.contains(request) {
            ExecutionStatus::Running
        } else {
            executions.barred.insert(request.into());
            ExecutionStatus::Never
        }
    }
}
