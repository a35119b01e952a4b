//! Standard output of the commands. A reader that closes its pipe early, such as `head`, is an ordinary end of the output.

use std::fmt::Arguments;
use std::io::{self, ErrorKind, Write};

/// Prints a line, formatted as by `println!`. The output of a closed pipe is discarded; other errors are reported on standard error.
macro_rules! print_line {
    ($($argument:tt)*) => {
        $crate::output::write(format_args!("{}\n", format_args!($($argument)*)))
    };
}
pub(crate) use print_line;

/// Writes text to standard output and flushes it.
pub(crate) fn write(text: Arguments<'_>) {
    let mut output = io::stdout().lock();
    match output.write_fmt(text).and_then(|()| output.flush()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            eprintln!("chalkgap: standard output: {error}")
        }
        _ => {}
    }
}
