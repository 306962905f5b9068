//! Integration tests of the data folder on the file system.

mod folder;
mod full_disk;
mod journal_fuzz;
mod side_file;
