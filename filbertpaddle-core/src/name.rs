//! The string type of names: immutable and cheap to clone.

/// The name of a customer, template, VM, target, data centre or model.
///
/// Cloning is cheap: short names are stored inline, long ones are shared.
pub type Name = smol_str::SmolStr;
