//! Answer files: any text is read or refused, and every fault is found at once.

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
    fn damaged_answers_are_read_or_refused(at in any::<usize>(), to in any::<char>()) {
        let mut text: Vec<char> = PRIZELEAF.chars().collect();
        let at = at % text.len();
        text[at] = to;
        let text: String = text.into_iter().collect();
        if let Ok(answers) = serde_saphyr::from_str::<TeamAnswers>(&text) {
            let deployment = generate(&answers);
            let processes = answers.entries.len() + answers.servers.len();
            assert_eq!(deployment.settings.len(), processes);
        }
    }
}

#[test]
fn the_answers_of_both_users_have_no_fault() {
    for text in [PRIZELEAF, REGISTRO] {
        let answers: TeamAnswers = serde_saphyr::from_str(text).expect("the answers can be read");
        assert_eq!(validate(&answers), []);
    }
}
