//! Parser of the command line and the environment.
//!
//! It finds the text of each setting, but does not check it: [`Values`] does so when the program
//! asks for a typed value.

use std::collections::BTreeMap;

use getopts::Options;

use crate::{Errors, Problem, Setting, Values};

/// Command line parser for the settings of one program.
#[derive(Clone, Debug)]
pub struct Parser {
    program: &'static str,
    about: &'static str,
    settings: Vec<Setting>,
}

/// Result of parsing a command line.
#[derive(Debug)]
pub enum Parsed {
    /// The program runs with these values.
    Run(Values),
    /// The program prints this text and exits with success.
    Print(String),
}

impl Parser {
    /// Creates a parser. `about` describes the program in its help text.
    pub fn new(program: &'static str, about: &'static str, settings: Vec<Setting>) -> Parser {
        Parser { program, about, settings }
    }

    /// Finds the text of each setting: the flag, else the environment variable, else the default.
    ///
    /// `env` looks up an environment variable by its name.
    ///
    /// # Errors
    ///
    /// Fails on an unknown flag or a positional argument. Invalid values are reported by
    /// [`Values`], while the program resolves them.
    pub fn parse(
        &self,
        args: impl Iterator<Item = String>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Parsed, Errors> {
        let options = self.options();
        let usage = |error: getopts::Fail| Errors(vec![Problem::Usage(error.to_string())]);
        let matches = options.parse(args).map_err(usage)?;
        if let Some(extra) = matches.free.first() {
            let message = format!("unexpected argument `{extra}`");
            return Err(Errors(vec![Problem::Usage(message)]));
        }
        if matches.opt_present("help") {
            return Ok(Parsed::Print(self.help(&options)));
        }
        if matches.opt_present("version") {
            let version = format!("{} {}\n", self.program, env!("CARGO_PKG_VERSION"));
            return Ok(Parsed::Print(version));
        }
        let mut raw = BTreeMap::new();
        for setting in &self.settings {
            let value = matches
                .opt_str(setting.flag)
                .or_else(|| env(setting.variable))
                .or_else(|| setting.default.map(str::to_string));
            raw.insert(setting.flag, value);
        }
        if matches.opt_present("print-settings") {
            return Ok(Parsed::Print(self.format_settings(&raw)));
        }
        Ok(Parsed::Run(Values::new(self.settings.clone(), raw)))
    }

    fn options(&self) -> Options {
        let mut options = Options::new();
        for setting in &self.settings {
            options.optopt("", setting.flag, &help_text(setting), setting.hint);
        }
        options.optflag("", "print-settings", "print the settings in force and exit");
        options.optflag("h", "help", "print this help and exit");
        options.optflag("V", "version", "print the version and exit");
        options
    }

    fn help(&self, options: &Options) -> String {
        options.usage(&format!("{}\n\nUsage: {} [OPTIONS]", self.about, self.program))
    }

    fn format_settings(&self, raw: &BTreeMap<&'static str, Option<String>>) -> String {
        let mut text = String::new();
        for setting in &self.settings {
            let value = raw.get(setting.flag).cloned().flatten();
            let displayed = match value {
                None => "(not set)".to_string(),
                Some(_) if setting.is_secret => "(hidden)".to_string(),
                Some(value) => value,
            };
            text.push_str(&format!("{}={displayed}\n", setting.variable));
        }
        text
    }
}

fn help_text(setting: &Setting) -> String {
    let default = match setting.default {
        None => "required".to_string(),
        Some("") => "default: none".to_string(),
        Some(default) => format!("default: {default}"),
    };
    format!("{} ({default}) [{}]", setting.help, setting.variable)
}
