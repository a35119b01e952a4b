//! Compares bytes that the code writes now with bytes that were recorded before.
//!
//! A fixture is a text file in the `tests/fixtures` folder of the crate that includes this module: a line for each
//! message, its name and its bytes in hexadecimal digits. With `RECORD_FIXTURES` in the environment the file is
//! written instead of compared; a change of a fixture is a change of a format that others read.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// The path of a fixture of the crate under test.
pub fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Whether fixtures are to be written rather than compared.
pub fn recording() -> bool {
    std::env::var_os("RECORD_FIXTURES").is_some()
}

/// Compares text with a fixture.
#[allow(dead_code)] // not every test binary has text
pub fn check_text(name: &str, text: &str) {
    let path = fixture(name);
    if recording() {
        std::fs::create_dir_all(path.parent().expect("a folder")).expect("the folder is made");
        std::fs::write(&path, text).expect("the fixture is written");
    }
    let recorded = std::fs::read_to_string(&path).expect("the fixture is read");
    for (number, (before, now)) in recorded.lines().zip(text.lines()).enumerate() {
        assert_eq!(now, before, "{name}, line {}", number + 1);
    }
    assert_eq!(text.lines().count(), recorded.lines().count(), "{name}: number of lines");
}

/// Compares messages with a fixture, by name and in their order.
#[allow(dead_code)] // not every test binary has messages
pub fn check_messages(name: &str, messages: &[(&str, Vec<u8>)]) {
    let mut text = String::new();
    for (message, bytes) in messages {
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "{message} {digits}").expect("a string takes any text");
    }
    check_text(name, &text);
}
