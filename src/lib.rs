//! The programs of dragonflyfront; each is a thin binary over `cmd`.

pub mod cmd;
