//! A node's record of the requests that it executed, with which billing is compared.

use crate::lock;
use chalkgap_runtime::Micros;
use chalkgap_wire::truth::ExecutionStatus;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};

/// The usage of a request at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Usage {
    /// The account that the request is charged to.
    pub account: String,
    /// Number of quota units.
    pub units: u64,
    /// When the gateway wrote its ledger entry, according to the request; 0 if the request does not state it.
    pub entered: Micros,
}

#[derive(Debug, Default)]
struct Executions {
    completed: BTreeMap<String, Usage>,
    running: BTreeSet<String>,
    /// Requests that were reported as never executed, and so must not be executed later.
    barred: BTreeSet<String>,
}

/// The executions of a node by the name of the request. Shared by the successive processes of the node.
#[derive(Clone, Debug, Default)]
pub struct ExecutionLog(Arc<Mutex<Executions>>);

impl ExecutionLog {
    /// Returns the usage of all completed requests, by name.
    pub fn completed(&self) -> BTreeMap<String, Usage> {
        lock(&self.0).completed.clone()
    }

    /// Marks the start of a new process: requests that were running in the previous one were lost with it.
    pub(super) fn restart(&self) {
        lock(&self.0).running.clear();
    }

    /// Begins a request; returns false if it was reported as never executed.
    pub(super) fn begin(&self, request: &str) -> bool {
        let mut executions = lock(&self.0);
        let permitted = !executions.barred.contains(request);
        if permitted {
            executions.running.insert(request.into());
        }
        permitted
    }

    /// Completes a request, so that its effect exists; returns false if it was reported as never executed.
    pub(super) fn complete(&self, request: &str, usage: Usage) -> bool {
        let mut executions = lock(&self.0);
        executions.running.remove(request);
        let permitted = !executions.barred.contains(request);
        if permitted {
            executions.completed.insert(request.into(), usage);
        }
        permitted
    }

    /// Returns whether a request was executed. A request that was not is barred from being executed later.
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
