//! `parsleyspool questionnaire`.

use crate::error::CommandError;
use crate::output::print_line;
use clap::{Args, Subcommand};
use error_stack::{Report, ResultExt};
use parsleyspool_questionnaire::{
    Interview, InterviewStep, Question, TeamAnswers, generate, validate,
};
use serde::Serialize;
use std::io::{BufRead, Write};
use std::path::{Path, PathBuf};

/// Subcommands of `questionnaire`.
#[derive(Debug, Subcommand)]
pub enum QuestionnaireCommand {
    /// Ask the questions and write the answers to a file.
    Ask(AskArgs),
    /// Check an answer file and list every fault with its place and a fix.
    Check(AnswerFileArgs),
    /// Generate the configuration and the settings of every process.
    Generate(GenerateArgs),
}

/// Arguments of `questionnaire ask`.
#[derive(Debug, Args)]
pub struct AskArgs {
    /// Answer file to write.
    file: PathBuf,
}

/// Arguments of `questionnaire check`.
#[derive(Debug, Args)]
pub struct AnswerFileArgs {
    /// Answer file.
    file: PathBuf,
}

/// Arguments of `questionnaire generate`.
#[derive(Debug, Args)]
pub struct GenerateArgs {
    /// Answer file.
    file: PathBuf,
    /// Directory for the generated files.
    #[arg(long)]
    out: PathBuf,
}

impl QuestionnaireCommand {
    /// Runs the subcommand.
    pub fn run(self) -> Result<(), Report<CommandError>> {
        match self {
            Self::Ask(args) => {
                let answers = interview(&mut std::io::stdin().lock(), &mut std::io::stdout())?;
                write_yaml(&args.file, &answers)?;
                print_line!("wrote {}", args.file.display());
                fail_on_faults(&answers, &args.file)
            }
            Self::Check(args) => {
                let answers = read_answers(&args.file)?;
                fail_on_faults(&answers, &args.file)?;
                print_line!("{}: the answers are right", args.file.display());
                Ok(())
            }
            Self::Generate(args) => args.run(),
        }
    }
}

impl GenerateArgs {
    fn run(self) -> Result<(), Report<CommandError>> {
        let answers = read_answers(&self.file)?;
        fail_on_faults(&answers, &self.file)?;
        let deployment = generate(&answers);
        std::fs::create_dir_all(&self.out)
            .change_context(CommandError::Input)
            .attach_with(|| format!("could not create {}", self.out.display()))?;
        write_yaml(&self.out.join("changes.yaml"), &deployment.changes)?;
        for file in &deployment.settings {
            write_yaml(&self.out.join(&file.name), &file.settings)?;
        }
        for line in &deployment.explanation {
            print_line!("{line}");
        }
        print_line!(
            "wrote {} files to {}; start the processes, then run `parsleyspool apply {}`",
            deployment.settings.len() + 1,
            self.out.display(),
            self.out.join("changes.yaml").display()
        );
        Ok(())
    }
}

/// Writes every question to `output` and reads the answers from `input`.
fn interview(
    input: &mut impl BufRead,
    output: &mut impl Write,
) -> Result<TeamAnswers, Report<CommandError>> {
    let mut interview = Interview::new();
    loop {
        let question = match interview.step() {
            InterviewStep::Done(answers) => return Ok(*answers),
            InterviewStep::Ask(question) => question,
        };
        print_question(&question, output).change_context(CommandError::Input)?;
        let mut line = String::new();
        if input.read_line(&mut line).change_context(CommandError::Input)? == 0 {
            let text = format!("the input ended before the question: {}", question.text);
            return Err(Report::new(CommandError::Input).attach(text));
        }
        if let Err(fault) = interview.answer(&line) {
            writeln!(output, "  {fault}").change_context(CommandError::Input)?;
        }
    }
}

fn print_question(question: &Question, output: &mut impl Write) -> std::io::Result<()> {
    writeln!(output, "{}", question.text)?;
    write!(output, "  {}", question.format)?;
    if !question.default.is_empty() {
        write!(output, " [{}]", question.default)?;
    }
    write!(output, ": ")?;
    output.flush()
}

fn read_answers(path: &Path) -> Result<TeamAnswers, Report<CommandError>> {
    let text = std::fs::read_to_string(path)
        .change_context(CommandError::Input)
        .attach_with(|| format!("could not read {}", path.display()))?;
    serde_saphyr::from_str(&text).map_err(|error| {
        Report::new(CommandError::Input).attach(format!("{}: {error}", path.display()))
    })
}

fn fail_on_faults(answers: &TeamAnswers, path: &Path) -> Result<(), Report<CommandError>> {
    let faults = validate(answers);
    if faults.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> =
        faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect();
    Err(Report::new(CommandError::Input).attach(lines.join("\n")))
}

fn write_yaml<T: Serialize>(path: &Path, value: &T) -> Result<(), Report<CommandError>> {
    let text = serde_saphyr::to_string(value).change_context(CommandError::Input)?;
    std::fs::write(path, text)
        .change_context(CommandError::Input)
        .attach_with(|| format!("could not write {}", path.display()))
}
