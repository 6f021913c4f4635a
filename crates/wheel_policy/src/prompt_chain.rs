//! Identifies the beginnings of a prompt.

use blake3::Hasher;

/// One beginning of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct ChainLink {
    /// Digest of the team, the model, the adapter and all parts up to this one.
    digest: u64,
    /// Tokens of all parts up to this one.
    tokens: u64,
}

/// The beginnings of a prompt that an upstream may hold, each with all parts before it.
///
/// Two prompts have the same beginning only if the team, the model, the adapter and the ids of all
/// parts are the same.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PromptChain {
    links: Vec<ChainLink>,
    /// Number of beginnings that other requests may share: all but the whole prompt.
    shared: usize,
}

impl PromptChain {
    /// Length of a shared beginning, in tokens, from which on all instances prefer the same
    /// upstreams for it. Reading as many takes some 50 ms, more than a network detour.
    pub const MIN_AGREED_TOKENS: u64 = 1_000;

    /// The beginnings of a prompt whose parts have the given ids and tokens, in order.
    pub fn new(
        team: Option<&str>,
        model: &str,
        adapter: Option<&str>,
        parts: impl IntoIterator<Item = (u64, u32)>,
    ) -> Self {
        let mut hasher = Hasher::new();
        for name in [team, Some(model), adapter] {
            let name = name.map(|name| (name.len() as u64, name));
            hasher.update(&[u8::from(name.is_some())]);
            if let Some((length, name)) = name {
                hasher.update(&length.to_le_bytes()).update(name.as_bytes());
            }
        }
        let mut tokens = 0;
        let links = parts.into_iter().map(|(id, part_tokens)| {
            tokens += u64::from(part_tokens);
            hasher.update(&id.to_le_bytes());
            ChainLink { digest: short_digest(&hasher), tokens }
        });
        let links: Vec<ChainLink> = links.collect();
        Self { shared: links.len().saturating_sub(1), links }
    }

    /// Whether the prompt has no parts.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    /// The digests of the beginnings, the shortest first, each with its tokens.
    pub(crate) fn beginnings(&self) -> impl DoubleEndedIterator<Item = (u64, u64)> {
        self.links.iter().map(|link| (link.digest, link.tokens))
    }

    /// Tokens of the longest beginning that other requests may share, if all instances prefer the
    /// same upstreams for it.
    pub(crate) fn agreed_tokens(&self) -> Option<u64> {
        let longest = self.links[..self.shared].last()?.tokens;
        Some(longest).filter(|tokens| *tokens >= Self::MIN_AGREED_TOKENS)
    }

    /// The order in which all instances prefer upstreams for the prompt; the highest one first.
    /// `None` without a long shared beginning. Prompts that only continue differently prefer the
    /// same ones.
    pub(crate) fn preference(&self, upstream: &str) -> Option<u64> {
        let mut shared = self.links[..self.shared].iter();
        let first = shared.find(|link| link.tokens >= Self::MIN_AGREED_TOKENS)?;
        let mut hasher = Hasher::new();
        hasher.update(&first.digest.to_le_bytes()).update(upstream.as_bytes());
        Some(short_digest(&hasher))
    }
}

fn short_digest(hasher: &Hasher) -> u64 {
    let mut short = [0; 8];
    short.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(short)
}
