//! Settings are a Starlark script that binds `settings` to a dictionary. It runs by itself: bounded steps, calls and
//! memory, no `load`, nothing of the outside but the values that the caller gives it as `given`.

use super::SettingsError;
use starlark::environment::{Globals, Module};
use starlark::eval::Evaluator;
use starlark::syntax::{AstModule, Dialect};

/// Bytes of a script.
pub const MOST_SCRIPT: u64 = 1 << 20;
const MOST_HEAP: usize = 64 << 20;
const MOST_TICKS: u64 = 5_000_000;
const MOST_CALLS: usize = 50;

/// Runs a script and gives the value that it bound to `name`. Each of `given` is text that the script reads as
/// `given["KEY"]`.
///
/// # Errors
/// The script cannot be read or run, with line and column; it passed a bound; it binds no `name`; the value holds
/// something that JSON has no form for.
pub fn run(
    file: &str,
    text: String,
    given: &[(String, String)],
    name: &str,
) -> Result<serde_json::Value, SettingsError> {
    let failed = |e: String| SettingsError::Script { file: file.into(), what: e };
    if text.len() as u64 > MOST_SCRIPT {
        return Err(failed(format!("the script has {} bytes, at most {MOST_SCRIPT} are read", text.len())));
    }
    let dialect = Dialect { enable_load: false, enable_top_level_stmt: true, ..Dialect::Standard };
    let ast = AstModule::parse(file, text, &dialect).map_err(|e| failed(e.to_string()))?;
    Module::with_temp_heap(|module| {
        let map = module.heap().alloc(starlark::values::dict::AllocDict(given.iter().cloned()));
        module.set("given", map);
        {
            let mut eval = Evaluator::new(&module);
            let bounds = eval
                .set_max_callstack_size(MOST_CALLS)
                .and_then(|()| eval.set_max_heap_size(MOST_HEAP))
                .and_then(|()| eval.set_max_tick_count(MOST_TICKS));
            bounds.map_err(|e| failed(e.to_string()))?;
            eval.eval_module(ast, &Globals::standard()).map_err(|e| failed(e.to_string()))?;
        }
        let value =
            module.get(name).ok_or_else(|| failed(format!("expected the script to bind `{name}`")))?;
        value.to_json_value().map_err(|e| failed(format!("`{name}`: {e}")))
    })
}
