/// One setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Long name of the flag, without dashes.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub variable: &'static str,
    /// What the value looks like, for the help text.
    pub hint: &'static str,
    /// What it is for, for the help text.
    pub help: &'static str,
    /// Value when none is given. `None` makes the setting required.
    pub default: Option<&'static str>,
    /// The value is not shown when settings are printed.
    pub is_secret: bool,
}

impl Setting {
    /// Declares a setting that may be shown.
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
