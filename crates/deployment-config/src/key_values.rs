//! A flat table of settings with typed access to its values.

use crate::error::SettingsError;
use chalkgap_core::Micros;
use std::collections::HashMap;

/// Leaves room for sums and multiples of durations in 64 bits.
const MAX_MICROS: Micros = u64::MAX >> 12;
/// Lists hold at most as many items as their 16-bit indexes can name.
const MAX_LIST_ITEMS: u64 = u16::MAX as u64;

/// Settings by dotted path, for example `grades.0.worth`. An item of a list of objects has its index in the path, and
/// the list's length stands under `.count`.
#[derive(Debug, Default)]
pub(crate) struct KeyValues(HashMap<String, String>);

impl KeyValues {
    /// Reads lines of `path=value`; empty lines are skipped, and the last of several equal paths wins.
    ///
    /// # Errors
    /// [`SettingsError::NoSeparator`].
    pub(crate) fn from_lines(text: &str) -> Result<Self, SettingsError> {
        let mut key_values = KeyValues::default();
        for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.is_empty()) {
            let separated = line.split_once('=');
            let (key, value) = separated.ok_or(SettingsError::NoSeparator { line: index + 1 })?;
            key_values.insert(key.to_owned(), value.to_owned());
        }
        Ok(key_values)
    }

    /// Sets a value, in place of an earlier one with the same key.
    pub(crate) fn insert(&mut self, key: String, value: String) {
        self.0.insert(key, value);
    }

    /// The value as it stands.
    pub(crate) fn text(&self, key: &str) -> Result<&str, SettingsError> {
        let value = self.0.get(key).map(String::as_str);
        value.ok_or_else(|| SettingsError::Missing { key: key.to_owned() })
    }

    /// A finite number from 0 up.
    pub(crate) fn number(&self, key: &str) -> Result<f64, SettingsError> {
        let text = self.text(key)?;
        match text.parse::<f64>() {
            Ok(number) if number.is_finite() && number >= 0.0 => Ok(number),
            _ => Err(SettingsError::NotANumber { key: key.to_owned(), value: text.to_owned() }),
        }
    }

    /// A finite number from 0 up; `default` where the key is absent.
    pub(crate) fn number_or(&self, key: &str, default: f64) -> Result<f64, SettingsError> {
        if self.0.contains_key(key) {
            self.number(key)
        } else {
            Ok(default)
        }
    }

    /// An integer that fits into 8 bits.
    pub(crate) fn u8(&self, key: &str) -> Result<u8, SettingsError> {
        self.integer(key, u64::from(u8::MAX)).map(|value| value as u8)
    }

    /// An integer that fits into 16 bits.
    pub(crate) fn u16(&self, key: &str) -> Result<u16, SettingsError> {
        self.integer(key, u64::from(u16::MAX)).map(|value| value as u16)
    }

    /// An integer that fits into 32 bits.
    pub(crate) fn u32(&self, key: &str) -> Result<u32, SettingsError> {
        self.integer(key, u64::from(u32::MAX)).map(|value| value as u32)
    }

    /// A duration in microseconds.
    pub(crate) fn micros(&self, key: &str) -> Result<Micros, SettingsError> {
        self.integer(key, MAX_MICROS)
    }

    /// `true` or `false`.
    pub(crate) fn flag(&self, key: &str) -> Result<bool, SettingsError> {
        match self.text(key)? {
            "true" => Ok(true),
            "false" => Ok(false),
            other => Err(SettingsError::NotABoolean { key: key.to_owned(), value: other.to_owned() }),
        }
    }

    /// A list of plain values, joined by commas. Empty values are skipped.
    pub(crate) fn list(&self, key: &str) -> Result<Vec<String>, SettingsError> {
        Ok(self.text(key)?.split(',').filter(|value| !value.is_empty()).map(String::from).collect())
    }

    /// The length of a list of objects.
    ///
    /// # Errors
    /// Also [`SettingsError::ItemBeyondCount`], where the list holds more items than its length says.
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

    /// The value under `name` of each item in a list of objects.
    pub(crate) fn column(&self, list: &str, name: &str) -> Result<Vec<String>, SettingsError> {
        let indexes = 0..self.list_length(list)?;
        indexes.map(|index| self.text(&format!("{list}.{index}.{name}")).map(String::from)).collect()
    }

    fn integer(&self, key: &str, max: u64) -> Result<u64, SettingsError> {
        let text = self.text(key)?;
        match text.parse::<u64>() {
            Ok(value) if value <= max => Ok(value),
            _ => Err(SettingsError::NotAnInteger { key: key.to_owned(), max, value: text.to_owned() }),
        }
    }
}
