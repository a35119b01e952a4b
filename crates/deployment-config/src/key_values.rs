//! A flat table of settings with typed access to its values.

use crate::error::SettingsError;
use chalkgap_core::Micros;
use std::collections::HashMap;

/// Maximum duration in microseconds; leaves room for sums and multiples of durations in 64 bits.
const MAX_MICROS: Micros = u64::MAX >> 12;
/// Maximum length of a list, as items have 16-bit indexes.
const MAX_LIST_ITEMS: u64 = u16::MAX as u64;

/// Settings by dotted path, for example `grades.0.worth`. The path of an item in a list of objects contains its
/// index; the length of the list is under `.count`.
#[derive(Debug, Default)]
pub(crate) struct KeyValues(HashMap<String, String>);

impl KeyValues {
    /// Reads lines of `path=value`. Empty lines are skipped, and the last of several lines with the same path counts.
    ///
    /// # Errors
    /// Returns [`SettingsError::NoSeparator`] if a line has no `=`.
    pub(crate) fn from_lines(text: &str) -> Result<Self, SettingsError> {
        let mut key_values = KeyValues::default();
        for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
            let separated = line.split_once('=');
            let (key, value) = separated.ok_or(SettingsError::NoSeparator { line: index + 1 })?;
            key_values.insert(key.to_owned(), value.to_owned());
        }
        Ok(key_values)
    }

    /// Sets a value and replaces an earlier one with the same key.
    pub(crate) fn insert(&mut self, key: String, value: String) {
        self.0.insert(key, value);
    }

    /// Returns the value as text.
    pub(crate) fn text(&self, key: &str) -> Result<&str, SettingsError> {
        let value = self.0.get(key).map(String::as_str);
        value.ok_or_else(|| SettingsError::Missing { key: key.to_owned() })
    }

    /// Returns a finite number that is not negative.
    pub(crate) fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let text = self.text(key)?;
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(SettingsError::NotANumber { key: key.to_owned(), value: text.to_owned() }),
        }
    }

    /// Returns a finite number that is not negative, or `default` if the key is absent.
    pub(crate) fn number_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        if self.0.contains_key(key) {
            self.number(key)
        } else {
            Ok(default)
        }
    }

    /// Returns an integer of at most 8 bits.
    pub(crate) fn u8(&self, key: &str) -> Result<u8, SettingsError> {
        self.integer(key, u64::from(u8::MAX)).map(|value| value as u8)
    }

    /// Returns an integer of at most 16 bits.
    pub(crate) fn u16(&self, key: &str) -> Result<u16, SettingsError> {
        self.integer(key, u64::from(u16::MAX)).map(|value| value as u16)
    }

    /// Returns an integer of at most 32 bits.
    pub(crate) fn u32(&self, key: &str) -> Result<u32, SettingsError> {
        self.integer(key, u64::from(u32::MAX)).map(|value| value as u32)
    }

    /// Returns a duration in microseconds.
    pub(crate) fn micros(&self, key: &str) -> Result<Micros, SettingsError> {
        self.integer(key, MAX_MICROS)
    }

    /// Returns a boolean, written as `true` or `false`.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.text(key)? {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(SettingsError::NotABoolean { key: key.to_owned(), value: other.to_owned() }),
        }
    }

    /// Returns the items of a comma-separated list. Empty items are skipped.
    pub(crate) fn list(&self, key: &str) -> Result<Vec<String>, SettingsError> {
        Ok(self.text(key)?.split(',').filter(|value| !value.is_empty()).map(String::from).collect())
    }

    /// Returns the length of a list of objects.
    ///
    /// # Errors
    /// Returns [`SettingsError::ItemBeyondCount`] if an item has an index beyond the stated length, and the errors of
    /// an integer for the length itself.
    pub(crate) fn list_length(&self, list: &str) -> Result<u64, SettingsError> {
        let count = self.integer(&format!("{list}.count"), MAX_LIST_ITEMS)?;
        let prefix = format!("{list}.");
        for key in self.0.keys() {
            let index = key.strip_prefix(&prefix).and_then(|rest| rest.split('.').next());
            let index = index.and_then(|text| text.parse::<u64>().ok());
            if index.is_some_and(|index| index >= count) {
                return Err(SettingsError::ItemBeyondCount {
                    list: list.to_owned(),
                    count,
                    key: key.clone(),
                });
            }
        }
        Ok(count)
    }

    /// Returns the value under `name` of each item in a list of objects.
    pub(crate) fn column(&self, list: &str, name: &str) -> Result<Vec<String>, SettingsError> {
        let indexes = 0..self.list_length(list)?;
        indexes.map(|index| self.text(&format!("{list}.{index}.{name}")).map(String::from)).collect()
    }

    /// Returns an integer from 0 to `max`.
    fn integer(&self, key: &str, max: u64) -> Result<u64, SettingsError> {
        let text = self.text(key)?;
        match text.parse::<u64>() {
            Ok(value) if value <= max => Ok(value),
            _ => Err(SettingsError::NotAnInteger { key: key.to_owned(), max, value: text.to_owned() }),
        }
    }
}
