use super::*;

const OWN_STORE: u64 = 10;
const DOCUMENT: u64 = 7;

fn handshake(document: u64, voters: &[(&str, u64)]) -> VoterHandshake {
    let voters = voters.iter().map(|(name, id)| (name.to_string(), *id)).collect();
    VoterHandshake { name: "g1".to_string(), id: 11, document, voters }
}

fn initial_state(document: u64) -> InitialState {
    InitialState { document, durable: DurableState::empty() }
}

fn decide(
    handshakes: &[VoterHandshake],
    new_document: Option<InitialState>,
    members_have_document: bool,
) -> Bootstrap {
    let inputs =
        BootstrapInputs { name: "g0", store_id: OWN_STORE, handshakes, new_document, members_have_document };
    inputs.decide()
}

fn started_document(decision: &Bootstrap) -> Option<u64> {
    match decision {
        Bootstrap::Start(start) => Some(start.document),
        Bootstrap::Refuse(_) | Bootstrap::Wait => None,
    }
}

fn refusal(decision: Bootstrap) -> Option<NotVoting> {
    match decision {
        Bootstrap::Refuse(reason) => Some(reason),
        Bootstrap::Start(_) | Bootstrap::Wait => None,
    }
}

/// If all initial voters lost their stores, they must not create a second document beside the one that other gateways
/// act on.
#[test]
fn initial_voters_create_a_document_only_if_all_have_a_store_and_no_document_exists() {
    let no_document = [handshake(0, &[])];
    assert!(matches!(decide(&no_document, None, false), Bootstrap::Wait));
    assert_eq!(started_document(&decide(&no_document, Some(initial_state(DOCUMENT)), false)), Some(DOCUMENT));
    let refused = decide(&no_document, Some(initial_state(DOCUMENT)), true);
    assert_eq!(refusal(refused), Some(NotVoting::StoresLost));
}

/// An initial voter must start with the same document if another initial voter created it a moment earlier.
#[test]
fn document_just_created_by_another_initial_voter_is_started_here_too() {
    let existing = [handshake(DOCUMENT, &[])];
    assert_eq!(started_document(&decide(&existing, Some(initial_state(DOCUMENT)), true)), Some(DOCUMENT));
}

/// A store that the document does not list for this voter must not vote, for example one that was emptied.
#[test]
fn existing_document_is_joined_only_with_the_store_id_that_it_lists() {
    let lists_this_store = [handshake(DOCUMENT, &[("g0", OWN_STORE)])];
    assert_eq!(started_document(&decide(&lists_this_store, Some(initial_state(8)), true)), Some(DOCUMENT));
    let lists_another_store = [handshake(DOCUMENT, &[("g0", 99)])];
    assert_eq!(refusal(decide(&lists_another_store, None, true)), Some(NotVoting::StoreReplaced));
    let lists_no_store = [handshake(DOCUMENT, &[])];
    assert_eq!(refusal(decide(&lists_no_store, None, true)), Some(NotVoting::NotAdded));
}
