//! Suggestions for misspelt names.

use similar::get_close_matches;

/// How much two names must have in common, from 0 to 1.
const LIKENESS: f32 = 0.6;

/// Most names that a misspelt one is compared with.
const MAX_COMPARED: usize = 5_000;

/// The name that was probably meant, if one is close.
pub(crate) fn near_name<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let known: Vec<&str> = known.into_iter().take(MAX_COMPARED).collect();
    get_close_matches(name, &known, 1, LIKENESS).into_iter().next()
}
