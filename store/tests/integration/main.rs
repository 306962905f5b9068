//! Integration tests of the data folder on the file system.

mod folder;
mod journal_fuzz;
