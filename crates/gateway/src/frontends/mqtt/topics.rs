//! Mapping of topics to accounts and classes by the settings.

use crate::settings::{Mqtt, Part};
use chalkgap_wire::mqtt::topic;

/// Names of the account and the class that a topic maps to.
pub(super) struct TopicTarget {
    pub account: String,
    pub class: String,
}

/// Returns the target of topic `name` by the first filter that matches. `None` if no filter matches, or if that filter
/// uses a topic level or a user name that is missing.
pub(super) fn resolve(settings: &Mqtt, name: &str, user: Option<&str>) -> Option<TopicTarget> {
    let mapping = settings.topics.iter().find(|mapping| topic::covers(&mapping.filter, name))?;
    let part = |part: &Part| match part {
        Part::Level(level) => name.split('/').nth(*level).map(str::to_owned),
        Part::User => user.map(str::to_owned),
        Part::Is(name) => Some(name.clone()),
    };
    Some(TopicTarget { account: part(&mapping.account)?, class: part(&mapping.class)? })
}
