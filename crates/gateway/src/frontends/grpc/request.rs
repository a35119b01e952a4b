//! Conversion of a rate limit message to a request. Account, class and idempotency key are entries of descriptors.

use crate::frontends::context::ClientRequest;
use crate::settings::Front;
use bytes::Bytes;
use chalkgap_runtime::Micros;
use chalkgap_wire::grpc::{Code, Status};
use chalkgap_wire::ratelimit::{Entry, RateLimitRequest};

/// Maximum number of descriptors in a call; far more than clients need.
const MAX_DESCRIPTORS: usize = 64;
/// Maximum number of entries in a descriptor; far more than clients need.
const MAX_ENTRIES: usize = 64;

/// Values of the entries whose keys are in the settings.
#[derive(Default)]
struct NamedEntries {
    account: Option<String>,
    class: Option<String>,
    idempotency_key: Option<String>,
}

impl NamedEntries {
    /// Returns the field for the value of an entry with this key. `None` if the key is not in the settings.
    fn slot(&mut self, frontend: &Front, key: &str) -> Option<&mut Option<String>> {
        if key == frontend.account_entry {
            Some(&mut self.account)
        } else if key == frontend.class_entry {
            Some(&mut self.class)
        } else if key == frontend.key_entry {
            Some(&mut self.idempotency_key)
        } else {
            None
        }
    }
}

/// Converts a call's message to a request.
///
/// # Errors
/// Status `INVALID_ARGUMENT`, if the domain differs from the settings, or descriptors or entries are missing, too many
/// or contradictory.
pub(super) fn parse_request(
    frontend: &Front,
    message: RateLimitRequest,
    arrived_at: Micros,
    timeout: Option<Micros>,
) -> Result<ClientRequest, Status> {
    if let Some(domain) = frontend.domain.as_ref().filter(|domain| **domain != message.domain) {
        return Err(invalid(format!("domain {:?}: expected {domain:?}", message.domain)));
    }
    let count = message.descriptors.len();
    if count == 0 || count > MAX_DESCRIPTORS {
        return Err(invalid(format!("descriptors: expected 1 to {MAX_DESCRIPTORS}, found {count}")));
    }
    let mut named = NamedEntries::default();
    let mut other_entries = Vec::new();
    let mut units = 0u64;
    for (index, descriptor) in message.descriptors.into_iter().enumerate() {
        // `hits_addend` of a descriptor overrides that of the call. 0 counts as 1.
        let hits = descriptor.hits_addend.map_or(u64::from(message.hits_addend), |hits| hits.value);
        read_entries(frontend, index, descriptor.entries, &mut named, &mut other_entries)?;
        units = units.max(hits.max(1));
    }
    Ok(ClientRequest {
        account: named.account.unwrap_or_default(),
        class: named.class,
        idempotency_key: named.idempotency_key,
        // A saturated value exceeds every limit on units.
        units: u32::try_from(units).unwrap_or(u32::MAX),
        arrived_at,
        timeout,
        entries: other_entries,
        payload: Bytes::new(),
    })
}

/// Reads the entries of a descriptor. It must contain the account. Named entries must have the same value in all
/// descriptors.
fn read_entries(
    frontend: &Front,
    descriptor: usize,
    entries: Vec<Entry>,
    named: &mut NamedEntries,
    others: &mut Vec<Entry>,
) -> Result<(), Status> {
    let count = entries.len();
    if count > MAX_ENTRIES {
        let text = format!("descriptors[{descriptor}].entries: at most {MAX_ENTRIES}, found {count}");
        return Err(invalid(text));
    }
    let mut has_account = false;
    for (index, Entry { key, value }) in entries.into_iter().enumerate() {
        has_account |= key == frontend.account_entry;
        let Some(slot) = named.slot(frontend, &key) else {
            others.push(Entry { key, value });
            continue;
        };
        if let Some(first) = slot.as_ref().filter(|first| **first != value) {
            let path = format!("descriptors[{descriptor}].entries[{index}]");
            return Err(invalid(format!("{path}: {key} {value:?}, but one before says {first:?}")));
        }
        *slot = Some(value);
    }
    if !has_account {
        let account_entry = &frontend.account_entry;
        return Err(invalid(format!("descriptors[{descriptor}]: expected an entry {account_entry:?}")));
    }
    Ok(())
}

fn invalid(text: String) -> Status {
    Status::new(Code::InvalidArgument, text)
}
