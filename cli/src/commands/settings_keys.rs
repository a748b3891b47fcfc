//! `badgerferry settings keys`

use argh::FromArgs;
use badgerferry_lib::settings_schema::SETTINGS;

use crate::output::Table;

/// List every setting with its values, unit, default and meaning.
#[derive(FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct SettingsKeysArgs {}

/// Prints the settings schema as a text table.
pub fn cmd_settings_keys(_args: &SettingsKeysArgs) {
    let mut table = Table::new(&["KEY", "DEFAULT", "UNIT", "TAKES", "MEANING"]);
    for setting in SETTINGS {
        table.push_row([
            setting.key.to_string(),
            setting.domain.default_value().to_string(),
            setting.unit.to_owned(),
            setting.domain.to_string(),
            setting.help.to_owned(),
        ]);
    }
    print!("{}", table.render());
}
