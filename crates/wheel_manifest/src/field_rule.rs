//! The keys that each section of the manifest may have.

/// What a key's value must be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FieldKind {
    /// A name of letters, digits, `.`, `_` and `-`.
    Name,
    /// The name of a model, which may have `/` too.
    ModelName,
    /// Any string.
    Text,
    /// An IP address with a port.
    Address,
    /// One of these strings.
    Choice(&'static [&'static str]),
    /// An integer from 0 to this maximum.
    Count(u64),
    /// An integer or a float that is finite.
    Number,
    /// `true` or `false`.
    Flag,
    /// An array of names.
    Names,
    /// An array of names of models.
    ModelNames,
}

/// One key of a section.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FieldRule {
    pub(crate) key: &'static str,
    pub(crate) kind: FieldKind,
    pub(crate) required: bool,
}

/// One kind of section.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SectionRule {
    /// The section's key in the manifest.
    pub(crate) key: &'static str,
    /// Its keys.
    pub(crate) fields: &'static [FieldRule],
}

const U32_MAX: u64 = u32::MAX as u64;
const I64_MAX: u64 = i64::MAX as u64;

const fn required(key: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { key, kind, required: true }
}

const fn optional(key: &'static str, kind: FieldKind) -> FieldRule {
    FieldRule { key, kind, required: false }
}

/// The key of the group's name, the only one outside sections.
pub(crate) const GROUP: FieldRule = required("group", FieldKind::Name);

/// `[identity]`.
pub(crate) const IDENTITY: SectionRule = SectionRule {
    key: "identity",
    fields: &[
        required("by", FieldKind::Choice(&["bearer", "header"])),
        optional("name", FieldKind::Text),
    ],
};

/// `[store]`.
pub(crate) const STORE: SectionRule = SectionRule {
    key: "store",
    fields: &[
        optional("loads_per_second", FieldKind::Number),
        optional("full_speed_loads", FieldKind::Count(U32_MAX)),
        optional("adapter_loads", FieldKind::Count(U32_MAX)),
    ],
};

/// `[[rank]]`.
pub(crate) const RANK: SectionRule = SectionRule {
    key: "rank",
    fields: &[
        required("name", FieldKind::Name),
        required("deadline_ms", FieldKind::Count(I64_MAX)),
        optional("floor_percent", FieldKind::Count(U32_MAX)),
        optional("worth", FieldKind::Number),
    ],
};

/// `[[data_centre]]`.
pub(crate) const CENTRE: SectionRule = SectionRule {
    key: "data_centre",
    fields: &[
        required("name", FieldKind::Name),
        required("region", FieldKind::Name),
        required("grantors", FieldKind::Names),
    ],
};

/// `[[link]]`.
pub(crate) const LINK: SectionRule = SectionRule {
    key: "link",
    fields: &[
        required("between", FieldKind::Names),
        optional("delay_ms", FieldKind::Number),
        optional("price", FieldKind::Number),
    ],
};

/// `[[caller]]`.
pub(crate) const CALLER: SectionRule = SectionRule {
    key: "caller",
    fields: &[
        required("name", FieldKind::Name),
        optional("token_hash", FieldKind::Text),
        optional("weight", FieldKind::Count(U32_MAX)),
    ],
};

/// `[[upstream]]`.
pub(crate) const UPSTREAM: SectionRule = SectionRule {
    key: "upstream",
    fields: &[
        required("name", FieldKind::Name),
        required("kind", FieldKind::Choice(&["engine", "service"])),
        required("data_centre", FieldKind::Name),
        required("address", FieldKind::Address),
        required("slots", FieldKind::Count(U32_MAX)),
        optional("memory_mib", FieldKind::Count(I64_MAX)),
        optional("accelerators", FieldKind::Count(U32_MAX)),
        optional("enforces_fencing", FieldKind::Flag),
        optional("services", FieldKind::Names),
    ],
};

/// `[[model]]`.
pub(crate) const MODEL: SectionRule = SectionRule {
    key: "model",
    fields: &[
        required("name", FieldKind::ModelName),
        optional("version", FieldKind::Count(U32_MAX)),
        required("memory_mib", FieldKind::Count(I64_MAX)),
        required("load_ms", FieldKind::Count(I64_MAX)),
        optional("min_replicas", FieldKind::Count(U32_MAX)),
        optional("max_replicas", FieldKind::Count(U32_MAX)),
    ],
};

/// `[[adapter]]`.
pub(crate) const ADAPTER: SectionRule = SectionRule {
    key: "adapter",
    fields: &[
        required("name", FieldKind::Name),
        required("model", FieldKind::ModelName),
        required("memory_mib", FieldKind::Count(I64_MAX)),
    ],
};

/// `[[service]]`.
pub(crate) const SERVICE: SectionRule = SectionRule {
    key: "service",
    fields: &[
        required("name", FieldKind::Name),
        required("rank", FieldKind::Name),
        optional("callers", FieldKind::Names),
        optional("models", FieldKind::ModelNames),
        optional("adapters", FieldKind::Names),
        optional("depends_on", FieldKind::Names),
        optional("time_zone", FieldKind::Text),
        optional("path_prefix", FieldKind::Text),
        optional("idempotent", FieldKind::Flag),
    ],
};

/// The sections that are a single table.
pub(crate) const SINGLE_SECTIONS: [SectionRule; 2] = [IDENTITY, STORE];

/// The sections that are an array of tables, one for each entry.
pub(crate) const LISTED_SECTIONS: [SectionRule; 8] =
    [RANK, CENTRE, LINK, CALLER, UPSTREAM, MODEL, ADAPTER, SERVICE];
