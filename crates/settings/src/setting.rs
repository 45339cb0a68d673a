//! Declaration of a setting. Its value is read and converted elsewhere.

/// One setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Long flag, without dashes.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub variable: &'static str,
    /// Placeholder for the value in the help text, such as `IP:PORT`.
    pub hint: &'static str,
    /// Description in the help text.
    pub help: &'static str,
    /// Value if none is given. `None` makes the setting required, an empty text optional.
    pub default: Option<&'static str>,
    /// The value is hidden when the settings are printed.
    pub is_secret: bool,
}

impl Setting {
    /// Declares a setting whose value is not secret.
    pub const fn new(
        flag: &'static str,
        variable: &'static str,
        hint: &'static str,
        help: &'static str,
        default: Option<&'static str>,
    ) -> Setting {
        Setting { flag, variable, hint, help, default, is_secret: false }
    }
}
