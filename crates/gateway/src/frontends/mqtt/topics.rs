//! Account and class of a topic, as the settings map them.

use crate::settings::{Mqtt, Part};
use chalkgap_wire::mqtt::topic;

/// The names of the account and the class that a topic stands for.
pub(super) struct TopicTarget {
    pub account: String,
    pub class: String,
}

/// The target of a topic: that of the first filter that matches. `None` if no filter matches, or if the topic or the
/// connection lacks the part that the settings name.
pub(super) fn resolve(settings: &Mqtt, name: &str, user: Option<&str>) -> Option<TopicTarget> {
    let mapping = settings.topics.iter().find(|mapping| topic::covers(&mapping.filter, name))?;
    let part = |part: &Part| match part {
        Part::Level(level) => name.split('/').nth(*level).map(str::to_owned),
        Part::User => user.map(str::to_owned),
        Part::Is(name) => Some(name.clone()),
    };
    Some(TopicTarget { account: part(&mapping.account)?, class: part(&mapping.class)? })
}
