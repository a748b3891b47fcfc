//! The commands, one module each with its arguments and its implementation.

pub mod engines;
pub mod explain;
pub mod key_digest;
pub mod limits;
pub mod lost;
pub mod settings;
pub mod settings_add;
pub mod settings_check;
pub mod settings_diff;
pub mod settings_edit;
pub mod settings_export;
pub mod settings_get;
pub mod settings_import;
pub mod settings_keys;
pub mod settings_log;
pub mod settings_move;
pub mod settings_remove;
pub mod settings_set;
pub mod settings_show;
pub mod settings_unset;
pub mod settings_wait;
pub mod status;
pub mod suspects;
