//! Small numbers for large values.

use std::collections::HashMap;
use std::hash::Hash;
use std::rc::Rc;

/// Assigns equal values the same number, so that states of a search stay small.
pub(crate) struct Interner<T> {
    values: Vec<Rc<T>>,
    numbers: HashMap<Rc<T>, u32>,
}

impl<T: Eq + Hash> Interner<T> {
    pub(crate) fn number(&mut self, value: T) -> u32 {
        if let Some(number) = self.numbers.get(&value) {
            return *number;
        }
        let (number, value) = (self.values.len() as u32, Rc::new(value));
        self.values.push(Rc::clone(&value));
        self.numbers.insert(value, number);
        number
    }

    pub(crate) fn value(&self, number: u32) -> Rc<T> {
        Rc::clone(&self.values[number as usize])
    }
}

impl<T> Default for Interner<T> {
    fn default() -> Self {
        Self { values: Vec::new(), numbers: HashMap::new() }
    }
}
