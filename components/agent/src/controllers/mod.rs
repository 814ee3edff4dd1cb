//! Controllers guard what must not happen twice or too late; each is a file.

pub mod once;
pub mod orders;
