//! Tests of answer files: damaged text never causes a panic, and the answers of both deployments
//! are valid.

use parsleyspool_questionnaire::{TeamAnswers, generate, validate};
use proptest::prelude::{any, proptest};
use proptest::test_runner::{Config, RngSeed};

const PRIZELEAF: &str = include_str!("../../../deployments/prizeleaf.answers.yaml");
const REGISTRO: &str = include_str!("../../../deployments/registro.answers.yaml");

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn damaged_answers_are_read_or_rejected(index in any::<usize>(), replacement in any::<char>()) {
        let mut text: Vec<char> = PRIZELEAF.chars().collect();
        let index = index % text.len();
        text[index] = replacement;
        let text: String = text.into_iter().collect();
        if let Ok(answers) = serde_saphyr::from_str::<TeamAnswers>(&text) {
            let deployment = generate(&answers);
            let processes = answers.entries.len() + answers.servers.len();
            assert_eq!(deployment.settings.len(), processes);
        }
    }
}

#[test]
fn the_answers_of_both_deployments_are_valid() {
    for text in [PRIZELEAF, REGISTRO] {
        let answers: TeamAnswers =
            serde_saphyr::from_str(text).expect("the answers can be decoded");
        assert_eq!(validate(&answers), []);
    }
}
