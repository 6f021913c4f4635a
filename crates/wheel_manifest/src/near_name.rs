//! Suggests known names for misspelt ones.

use similar::get_close_matches;

/// Smallest similarity of a suggested name, from 0 to 1.
const MIN_SIMILARITY: f32 = 0.6;

/// Largest number of known names that a misspelt one is compared with.
const MAX_COMPARED: usize = 5_000;

/// The known name that is most similar to `name`, if any is similar enough.
pub(crate) fn near_name<'a>(
    name: &str,
    known: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    let known: Vec<&str> = known.into_iter().take(MAX_COMPARED).collect();
    get_close_matches(name, &known, 1, MIN_SIMILARITY).into_iter().next()
}
