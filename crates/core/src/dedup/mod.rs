//! Request ids that must not run twice.

mod home_cover;
mod id_window;

pub use {
    home_cover::{HomeCover, home_of},
    id_window::{IdVerdict, IdWindow},
};
