//! Checks of values that depend on other values.

use super::{Class, Fleet, Plan, Settings};
use std::fmt::Display;

/// Complaints found so far. They are collected, so that all are reported together.
#[derive(Default)]
pub(super) struct Complaints(Vec<String>);

impl Complaints {
    /// Adds a complaint about the value at `path`.
    pub fn add(&mut self, path: impl Display, text: impl Display) {
        self.0.push(format!("settings.{path}: {text}"));
    }

    pub fn into_lines(self) -> Vec<String> {
        self.0
    }
}

pub(super) fn check_fleet(fleet: &Fleet, complaints: &mut Complaints) {
    let gateways = fleet.ingresses;
    if fleet.me >= gateways {
        let text = format!("expected less than the {gateways} ingresses, found {}", fleet.me);
        complaints.add("fleet.me", text);
    }
    let Some(peers) = &fleet.peers else { return };
    let needs_address = peers.view.as_ref().is_some_and(|view| view.address.is_none());
    if needs_address && peers.listen.ip().is_unspecified() {
        // Other gateways cannot send to an unspecified address: to them, it means their own host.
        let listen = peers.listen;
        let text = format!(
            "expected the address at which other ingresses reach this one, as `listen` is {listen}; found none"
        );
        complaints.add("fleet.peers.view.address", text);
    }
    let discovered = peers.view.is_some() && peers.addresses.is_empty();
    let found = peers.addresses.len();
    if !discovered && found != usize::from(gateways) {
        let text = format!("expected one for each of the {gateways} ingresses, found {found}");
        complaints.add("fleet.peers.addresses", text);
    }
}

pub(super) fn check_classes(classes: &[Class], complaints: &mut Complaints) {
    for (index, class) in classes.iter().enumerate() {
        if class.aim_ms > class.deadline_ms {
            let text = format!(
                "expected at most `deadline_ms`, which is {}, found {}",
                class.deadline_ms, class.aim_ms
            );
            complaints.add(format_args!("classes[{index}].aim_ms"), text);
        }
    }
}

pub(super) fn check_plans(plans: &[Plan], complaints: &mut Complaints) {
    for (index, plan) in plans.iter().enumerate() {
        if plan.rate > 0.0 && plan.burst < 1.0 {
            let text = format!("expected at least 1 if `rate` is not 0, found {}", plan.burst);
            complaints.add(format_args!("plans[{index}].burst"), text);
        }
        if plan.ceiling_rate > 0.0 && plan.ceiling_burst < 1.0 {
            let text =
                format!("expected at least 1 if `ceiling_rate` is not 0, found {}", plan.ceiling_burst);
            complaints.add(format_args!("plans[{index}].ceiling_burst"), text);
        }
    }
}

pub(super) fn check_admission(settings: &Settings, complaints: &mut Complaints) {
    let admission = &settings.admission;
    let reserve = admission.reserve;
    if admission.preferred > reserve {
        let preferred = admission.preferred;
        let text = format!("expected at most `reserve`, which is {reserve}, found {preferred}");
        complaints.add("admission.preferred", text);
    }
    let handshakes = admission.handshakes;
    if admission.handshakes_per_address > handshakes {
        let per_address = admission.handshakes_per_address;
        let text = format!("expected at most `handshakes`, which is {handshakes}, found {per_address}");
        complaints.add("admission.handshakes_per_address", text);
    }
    let per_prefix = admission.per_prefix;
    if admission.per_address > per_prefix {
        let per_address = admission.per_address;
        let text = format!("expected at most `per_prefix`, which is {per_prefix}, found {per_address}");
        complaints.add("admission.per_address", text);
    }
}

pub(super) fn check_ledger_group(settings: &Settings, complaints: &mut Complaints) {
    let Some(group) = settings.ledger.as_ref().and_then(|ledger| ledger.group.as_ref()) else { return };
    let fleet = &settings.fleet;
    if !group.addresses.contains_key(&fleet.me) {
        let text = format!("expected an address for this ingress, {}", fleet.me);
        complaints.add("ledger.group.addresses", text);
    }
    if let Some(id) = group.addresses.keys().find(|id| **id >= fleet.ingresses) {
        let text = format!("expected ids less than the {} ingresses, found {id}", fleet.ingresses);
        complaints.add("ledger.group.addresses", text);
    }
}

/// Checks password hashes. Complaints name the user and do not quote the hash, which is secret.
pub(super) fn check_mqtt_users(settings: &Settings, complaints: &mut Complaints) {
    let Some(mqtt) = &settings.mqtt else { return };
    for (index, (user, secret)) in mqtt.users.iter().enumerate() {
        if argon2::password_hash::phc::PasswordHash::new(secret).is_err() {
            let text = format!("user {user:?}: expected a PHC string of Argon2");
            complaints.add(format_args!("mqtt.users[{index}]"), text);
        }
    }
}
