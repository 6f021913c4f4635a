//! Splits a JSON list into its entries, so that one that can't be parsed doesn't hide the others.

/// Maximum size of an entry that is looked for in a damaged list, in bytes.
const MAX_SALVAGED_BYTES: usize = 64 << 10;
/// Maximum nesting of such an entry. What nests deeper is left after a few bytes.
const MAX_SALVAGED_DEPTH: usize = 8;
/// Bytes that are read again for each byte of a damaged list.
const SALVAGE_EFFORT: usize = 16;

/// The entries of a list, found by brackets and strings alone. Numbers, escapes and UTF-8 aren't
/// interpreted, and nesting uses a byte of memory for each level.
///
/// ```
/// use wheel_types::RawEntries;
///
/// let page = br#"{"items":[{"id":1},1e999],"next":null}"#;
/// let raw = RawEntries::split(page, Some("items")).expect("it has the list");
/// assert_eq!(raw.entries, [&br#"{"id":1}"#[..], b"1e999"]);
/// assert_eq!(raw.field("next"), Some(&b"null"[..]));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RawEntries<'a> {
    /// The entries up to the first one whose end can't be found.
    pub entries: Vec<&'a [u8]>,
    /// The other fields of the object that contains the list: names without quotes, and values.
    pub fields: Vec<(&'a [u8], &'a [u8])>,
    /// Everything from the first entry on whose end can't be found.
    pub damaged: Option<&'a [u8]>,
    bytes: &'a [u8],
    /// Where each entry begins.
    starts: Vec<usize>,
}

impl<'a> RawEntries<'a> {
    /// Splits the list in the field `name` of an object, or the whole of `bytes` if there is no
    /// `name`. `None` if there is no such list.
    pub fn split(bytes: &'a [u8], name: Option<&str>) -> Option<Self> {
        let mut scanner = RawScanner::new(bytes);
        let mut raw = Self { bytes, ..Self::default() };
        let mut has_list = false;
        let end = match name {
            None => {
                has_list = scanner.peek() == Some(b'[');
                raw.scan_list(&mut scanner)
            }
            Some(name) => raw.scan_object(&mut scanner, Some(name), &mut has_list),
        };
        let end = end.and_then(|()| match scanner.peek() {
            None => Ok(()),
            Some(_) => Err(scanner.at),
        });
        raw.damaged = end.err().map(|at| &bytes[at..]);
        has_list.then_some(raw)
    }

    /// The fields of an object up to the first one that can't be told apart.
    pub fn fields_of(bytes: &'a [u8]) -> Vec<(&'a [u8], &'a [u8])> {
        let mut raw = Self::default();
        let _end = raw.scan_object(&mut RawScanner::new(bytes), None, &mut false);
        raw.fields
    }

    /// The value of the last field with this name outside of the list.
    pub fn field(&self, name: &str) -> Option<&'a [u8]> {
        let mut fields = self.fields.iter().rev();
        fields.find(|(found, _)| *found == name.as_bytes()).map(|(_, value)| *value)
    }

    /// Counts a damaged list as damaged from the first entry on that isn't readable: an opening
    /// bracket may have taken the following entries with it up to a bracket that fits.
    pub fn widen_damage(mut self, is_readable: impl Fn(&[u8]) -> bool) -> Self {
        let mut entries = self.entries.iter().take_while(|_| self.damaged.is_some());
        if let Some(first) = entries.position(|entry| !is_readable(entry)) {
            self.damaged = Some(&self.bytes[self.starts[first]..]);
            self.entries.truncate(first);
            self.starts.truncate(first);
        }
        self
    }

    /// Looks in the damaged part for objects that `accept` takes, each at most once and none within
    /// another one. The effort is bounded by the size of the part.
    pub fn salvage(&self, mut accept: impl FnMut(&'a [u8]) -> bool) -> Vec<&'a [u8]> {
        let bytes = self.damaged.unwrap_or_default();
        let mut effort = bytes.len().saturating_mul(SALVAGE_EFFORT);
        let (mut found, mut at, mut previous) = (Vec::new(), 0, b'[');
        while at < bytes.len() && effort > 0 {
            let begins_entry = bytes[at] == b'{' && matches!(previous, b',' | b'[' | b']' | b'}');
            if !bytes[at].is_ascii_whitespace() {
                previous = bytes[at];
            }
            let limit = bytes.len().min(at + MAX_SALVAGED_BYTES.min(effort));
            let mut scanner = RawScanner {
                at,
                max_depth: MAX_SALVAGED_DEPTH,
                ..RawScanner::new(&bytes[..limit])
            };
            let entry = match begins_entry {
                true => scanner.value().ok(),
                false => None,
            };
            effort -= (scanner.at - at).min(effort);
            match entry {
                Some(entry) if accept(entry) => {
                    found.push(entry);
                    (at, previous) = (at + entry.len(), b'}');
                }
                _ => at += 1,
            }
        }
        found
    }

    /// The value that follows the last occurrence of a field's name in the damaged part.
    pub fn salvage_field(&self, name: &str) -> Option<&'a [u8]> {
        let bytes = self.damaged.unwrap_or_default();
        let quoted = format!("\"{name}\"");
        let at = bytes.windows(quoted.len()).rposition(|part| part == quoted.as_bytes())?;
        let mut scanner = RawScanner { at: at + quoted.len(), ..RawScanner::new(bytes) };
        scanner.expect(b':').ok()?;
        scanner.value().ok()
    }

    /// Scans an object. The list in the field `name` is split; all other values are kept whole.
    ///
    /// # Errors
    /// Where the part begins that can't be told apart.
    fn scan_object(
        &mut self,
        scanner: &mut RawScanner<'a>,
        name: Option<&str>,
        has_list: &mut bool,
    ) -> Result<(), usize> {
        scanner.expect(b'{')?;
        if scanner.expect(b'}').is_ok() {
            return Ok(());
        }
        loop {
            let begun = scanner.at;
            let key = match scanner.peek() {
                Some(b'"') => scanner.value()?,
                _ => return Err(begun),
            };
            let key = &key[1..key.len() - 1];
            scanner.expect(b':')?;
            let is_list = name.is_some_and(|name| name.as_bytes() == key);
            match scanner.peek() {
                Some(b'[') if is_list && !*has_list => {
                    *has_list = true;
                    self.scan_list(scanner)?;
                }
                _ => {
                    let value = scanner.value()?;
                    self.fields.push((key, value));
                }
            }
            if scanner.expect(b'}').is_ok() {
                return Ok(());
            }
            scanner.expect(b',')?;
        }
    }

    /// Scans a list.
    ///
    /// # Errors
    /// Where the part begins that can't be told apart.
    fn scan_list(&mut self, scanner: &mut RawScanner<'a>) -> Result<(), usize> {
        scanner.expect(b'[')?;
        if scanner.expect(b']').is_ok() {
            return Ok(());
        }
        loop {
            let _next = scanner.peek();
            let begun = scanner.at;
            let entry = scanner.value().map_err(|_| begun)?;
            self.entries.push(entry);
            self.starts.push(begun);
            if scanner.expect(b']').is_ok() {
                return Ok(());
            }
            scanner.expect(b',')?;
        }
    }
}

/// A position in JSON text.
struct RawScanner<'a> {
    bytes: &'a [u8],
    at: usize,
    /// The brackets that close what is open, the innermost last.
    closers: Vec<u8>,
    /// Maximum number of brackets that may be open.
    max_depth: usize,
}

impl<'a> RawScanner<'a> {
    fn new(bytes: &'a [u8]) -> Self {
        Self { bytes, at: 0, closers: Vec::new(), max_depth: usize::MAX }
    }

    /// Skips white space. Returns the byte after it.
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    /// Skips white space and `byte`.
    ///
    /// # Errors
    /// The position, if another byte is there.
    fn expect(&mut self, byte: u8) -> Result<(), usize> {
        match self.peek() {
            Some(found) if found == byte => {
                self.at += 1;
                Ok(())
            }
            _ => Err(self.at),
        }
    }

    /// Skips white space and a value.
    ///
    /// # Errors
    /// The position, if the value doesn't end or has brackets that don't match.
    fn value(&mut self) -> Result<&'a [u8], usize> {
        let first = self.peek().ok_or(self.at)?;
        let begun = self.at;
        match first {
            b'"' => self.skip_string()?,
            b'{' | b'[' => self.skip_brackets()?,
            b',' | b':' | b'}' | b']' => return Err(self.at),
            _ => {
                let is_part = |byte: &u8| {
                    !byte.is_ascii_whitespace()
                        && !matches!(byte, b',' | b':' | b'"')
                        && !matches!(byte, b'{' | b'}' | b'[' | b']')
                };
                while self.bytes.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
            }
        }
        Ok(&self.bytes[begun..self.at])
    }

    fn skip_string(&mut self) -> Result<(), usize> {
        self.at += 1;
        loop {
            match self.bytes.get(self.at) {
                None => return Err(self.bytes.len()),
                Some(b'"') => break,
                Some(b'\\') => self.at += 2,
                Some(_) => self.at += 1,
            }
        }
        self.at += 1;
        Ok(())
    }

    fn skip_brackets(&mut self) -> Result<(), usize> {
        self.closers.clear();
        loop {
            match *self.bytes.get(self.at).ok_or(self.at)? {
                b'"' => {
                    self.skip_string()?;
                    continue;
                }
                b'{' | b'[' if self.closers.len() == self.max_depth => return Err(self.at),
                b'{' => self.closers.push(b'}'),
                b'[' => self.closers.push(b']'),
                byte @ (b'}' | b']') if self.closers.pop() != Some(byte) => return Err(self.at),
                _ => {}
            }
            self.at += 1;
            if self.closers.is_empty() {
                return Ok(());
            }
        }
    }
}
