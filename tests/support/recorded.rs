//! Compares the output of the code with recorded fixtures.
//!
//! A fixture is a text file in the `tests/fixtures` folder of the crate that includes this module. A fixture of messages has a
//! line for each message, with its name and its bytes in hexadecimal digits. If the environment variable `RECORD_FIXTURES` is
//! set, the file is written before it is compared. A changed fixture means a changed format, which other programs read.

use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// Returns the path of a fixture of the crate under test.
pub fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

/// Whether fixtures are written before they are compared.
pub fn recording() -> bool {
    std::env::var_os("RECORD_FIXTURES").is_some()
}

/// Compares text with a fixture.
#[allow(dead_code)] // not every test binary compares text
pub fn check_text(name: &str, text: &str) {
    let path = fixture(name);
    if recording() {
        std::fs::create_dir_all(path.parent().expect("the path has a parent folder"))
            .expect("create the fixture folder");
        std::fs::write(&path, text).expect("write the fixture");
    }
    let recorded = std::fs::read_to_string(&path).expect("read the fixture");
    for (index, (expected, actual)) in recorded.lines().zip(text.lines()).enumerate() {
        assert_eq!(actual, expected, "{name}, line {}", index + 1);
    }
    assert_eq!(text.lines().count(), recorded.lines().count(), "{name}: number of lines");
}

/// Compares messages, given as name and bytes, with a fixture that has the same names in the same order.
#[allow(dead_code)] // not every test binary compares messages
pub fn check_messages(name: &str, messages: &[(&str, Vec<u8>)]) {
    let mut text = String::new();
    for (message, bytes) in messages {
        let digits: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        writeln!(text, "{message} {digits}").expect("writing to a string cannot fail");
    }
    check_text(name, &text);
}
