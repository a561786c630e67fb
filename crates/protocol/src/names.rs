//! Names listed in the settings. The dispatch policy refers to each name by its index in its list.

/// Lists of names from the settings.
#[derive(Debug, Default)]
pub struct Names {
    /// Request classes.
    pub classes: Vec<String>,
    /// Tenants; empty if the settings name only one.
    pub tenants: Vec<String>,
    /// Zones of workers.
    pub zones: Vec<String>,
    /// Worker types.
    pub worker_types: Vec<String>,
}

/// Returns the index of a name as it is sent. In `names`, spaces and commas are written as
/// underscores.
pub fn index_of_name(names: &[String], name: &str) -> Option<usize> {
    let same_byte =
        |(listed, sent)| listed == sent || (listed == b'_' && matches!(sent, b' ' | b','));
    names.iter().position(|listed| {
        listed.len() == name.len() && listed.bytes().zip(name.bytes()).all(same_byte)
    })
}
