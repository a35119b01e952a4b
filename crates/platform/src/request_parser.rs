//! Parses a client's command into a request. Commands that violate the protocol are rejected here: they are not forwarded to
//! any backend and consume no quota of the customer that they name.

use crate::request::{ForwardedCommand, InvalidRequest, Request, ATTRIBUTES_INDEX, MAX_DIGITS};
use chalkgap_core::{Micros, RetrySafety};
use chalkgap_deployment_config::DeploymentConfig;
use chalkgap_resp::Command;
use std::collections::HashMap;

/// Customer numbers are less than this.
const CUSTOMER_NUMBER_LIMIT: u64 = 1 << 33;
/// Maximum length of the attribute list, in bytes.
const MAX_ATTRIBUTE_BYTES: usize = 512;
/// Number of hexadecimal digits of a customer number, request id or idempotency key.
const HEX_DIGITS: usize = 16;

/// What the parser needs to know of a request class of the settings.
#[derive(Clone, Copy)]
struct ClassEntry {
    index: u8,
    retry_safety: RetrySafety,
    max_timeout: Micros,
}

/// Parses requests, using the class names, plan names and limits of the settings.
pub struct RequestParser {
    classes: HashMap<Vec<u8>, ClassEntry>,
    plans: HashMap<Vec<u8>, u16>,
    max_units: f64,
    gateways: f64,
}

/// An attribute of a command.
#[derive(Clone, Copy)]
struct Attribute<'a> {
    value: &'a [u8],
    /// Offset of the value in the attribute list.
    offset: usize,
}

/// The attributes of a command. Each field is `None` if the command lacks the attribute.
#[derive(Default)]
struct Attributes<'a> {
    class: Option<Attribute<'a>>,
    plan: Option<Attribute<'a>>,
    deadline: Option<Attribute<'a>>,
    key: Option<Attribute<'a>>,
    units: Option<Attribute<'a>>,
    spread: Option<Attribute<'a>>,
    first: Option<Attribute<'a>>,
    retry: Option<Attribute<'a>>,
}

impl<'a> Attributes<'a> {
    fn parse(list: &'a [u8]) -> Result<Self, InvalidRequest> {
        let mut attributes = Attributes::default();
        let mut item_offset = 0;
        for item in list.split(|byte| *byte == b',') {
            let equals = item.iter().position(|byte| *byte == b'=').ok_or(InvalidRequest::Attributes)?;
            let value = &item[equals + 1..];
            let offset = item_offset + equals + 1;
            item_offset += item.len() + 1;
            let attribute = attributes.by_name(&item[..equals]).ok_or(InvalidRequest::Attributes)?;
            if attribute.replace(Attribute { value, offset }).is_some() {
                return Err(InvalidRequest::Attributes);
            }
        }
        Ok(attributes)
    }

    fn by_name(&mut self, name: &[u8]) -> Option<&mut Option<Attribute<'a>>> {
        match name {
            b"c" => Some(&mut self.class),
            b"t" => Some(&mut self.plan),
            b"d" => Some(&mut self.deadline),
            b"k" => Some(&mut self.key),
            b"units" => Some(&mut self.units),
            b"spread" => Some(&mut self.spread),
            b"first" => Some(&mut self.first),
            b"r" => Some(&mut self.retry),
            _ => None,
        }
    }
}

fn parse_hex(digits: &[u8]) -> Option<u64> {
    if digits.len() != HEX_DIGITS {
        return None;
    }
    let append = |number: u64, digit: &u8| Some(number << 4 | u64::from(char::from(*digit).to_digit(16)?));
    digits.iter().try_fold(0, append)
}

/// Parses a decimal number that consists of digits and at most one point, without a sign or an exponent.
fn parse_number(text: &[u8]) -> Option<f64> {
    let is_plain = text.iter().all(|byte| byte.is_ascii_digit() || *byte == b'.');
    if !is_plain || text.len() > MAX_DIGITS {
        return None;
    }
    let number = std::str::from_utf8(text).ok()?.parse::<f64>().ok()?;
    number.is_finite().then_some(number)
}

fn parse_integer(attribute: Option<Attribute<'_>>) -> Option<f64> {
    parse_number(attribute?.value).filter(|number| number.fract() == 0.0)
}

impl RequestParser {
    /// Creates a parser for a deployment.
    pub fn new(deployment: &DeploymentConfig) -> Self {
        let classes = deployment.class_names.iter().zip(&deployment.settings.classes).enumerate();
        let classes = classes.map(|(index, (name, class))| {
            let entry = ClassEntry {
                index: index.min(255) as u8,
                retry_safety: class.retry_safety,
                max_timeout: class.deadline,
            };
            (name.clone().into_bytes(), entry)
        });
        let plans = deployment.plan_names.iter().enumerate();
        let plans = plans.map(|(index, name)| (name.clone().into_bytes(), index.min(65_535) as u16));
        RequestParser {
            classes: classes.collect(),
            plans: plans.collect(),
            max_units: deployment.max_units,
            gateways: f64::from(deployment.settings.gateways),
        }
    }

    /// Parses a command other than `PING`.
    ///
    /// # Errors
    /// The first violation found, see [`InvalidRequest`].
    pub fn parse(&self, command: Command) -> Result<Request, InvalidRequest> {
        let arguments = command.arguments;
        let name: &[u8] = arguments.first().map_or(&[], |argument| argument);
        let is_query = match name {
            b"SVC.QUERY" => true,
            b"SVC.SUBMIT" => false,
            _ => return Err(InvalidRequest::UnknownCommand),
        };
        // A query needs no body. One that has a body is forwarded unchanged.
        if !(4..=5).contains(&arguments.len()) {
            return Err(InvalidRequest::ArgumentCount);
        }
        let customer = parse_hex(&arguments[1]).filter(|customer| *customer < CUSTOMER_NUMBER_LIMIT);
        let customer = customer.ok_or(InvalidRequest::Customer)?;
        let id = parse_hex(&arguments[2]).ok_or(InvalidRequest::Id)?;
        let list = &arguments[ATTRIBUTES_INDEX];
        if list.len() > MAX_ATTRIBUTE_BYTES {
            return Err(InvalidRequest::Attributes);
        }
        let attributes = Attributes::parse(list)?;
        let class = self.class(&attributes, is_query)?;
        let plan = attributes.plan.and_then(|plan| self.plans.get(plan.value)).copied();
        let plan = plan.ok_or(InvalidRequest::Plan)?;
        let deadline = attributes.deadline.ok_or(InvalidRequest::Deadline)?;
        let deadline_millis = parse_number(deadline.value)
            .filter(|_| deadline.value.iter().all(u8::is_ascii_digit))
            .ok_or(InvalidRequest::Deadline)?;
        check_key(class, attributes.key)?;
        let units = self.units(&attributes)?;
        let spread = parse_integer(attributes.spread).filter(|spread| (1.0..=self.gateways).contains(spread));
        let spread = spread.ok_or(InvalidRequest::Spread)?;
        let first_ingress = parse_integer(attributes.first).filter(|first| *first < self.gateways);
        let first_ingress = first_ingress.ok_or(InvalidRequest::Spread)?;
        if attributes.retry.is_some_and(|retry| retry.value != b"1") {
            return Err(InvalidRequest::Attributes);
        }
        let timeout = ((deadline_millis * 1000.0) as Micros).min(class.max_timeout);
        let deadline_digits = deadline.offset..deadline.offset + deadline.value.len();
        let command = ForwardedCommand::new(arguments, deadline_digits);
        Ok(Request { customer, id, class: class.index, plan, timeout, units, spread, first_ingress, command })
    }

    /// Looks up the request class. It must match the command: classes of `SVC.QUERY` are idempotent, those of `SVC.SUBMIT` are
    /// not.
    fn class(&self, attributes: &Attributes<'_>, is_query: bool) -> Result<ClassEntry, InvalidRequest> {
        let class = attributes.class.and_then(|class| self.classes.get(class.value)).copied();
        let class = class.ok_or(InvalidRequest::Class)?;
        if is_query != (class.retry_safety == RetrySafety::Idempotent) {
            return Err(InvalidRequest::Class);
        }
        Ok(class)
    }

    fn units(&self, attributes: &Attributes<'_>) -> Result<f64, InvalidRequest> {
        let units = attributes.units.and_then(|units| parse_number(units.value));
        units.filter(|units| *units > 0.0 && *units <= self.max_units).ok_or(InvalidRequest::Units)
    }
}

/// Checks that an idempotency key is given if, and only if, the class requires one.
fn check_key(class: ClassEntry, key: Option<Attribute<'_>>) -> Result<(), InvalidRequest> {
    let requires_key = matches!(class.retry_safety, RetrySafety::IdempotencyKey { .. });
    let is_valid = key.is_none_or(|key| parse_hex(key.value).is_some());
    if requires_key != key.is_some() || !is_valid {
        return Err(InvalidRequest::IdempotencyKey);
    }
    Ok(())
}
