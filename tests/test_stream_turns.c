/*
    Streams of sessions that had requests at another software version, with real processes on the platform's protocol,
    after a loss of all hosts. Engines of that version cache the prompt, and those that began the streams may have left.

    Seen: hosts asked the engines that were listed and didn't leave, took those of the new version for the ones that had
    begun a stream since no other had its prompt, and callers got a text joined from two versions.
*/
#include "stream_releases.h"

enum {
    TURNS_UNLISTED,
    TURNS_UNLISTED_WHOLE,
    TURNS_UNLISTED_DROPPED,
    TURNS_FORGOTTEN,
    TURNS_FORGOTTEN_WHOLE,
    TURNS_LAST_CHANGES,
    TURNS_RESTORED,
    TURNS_AWAY,
    TURNS_ENDED,
    TURNS_ENDED_WHOLE,
    TURNS_ENDED_DROPPED,
    TURNS_DRAINING,
    TURNS_DRAINING_WHOLE,
    TURNS_DRAINING_DROPPED,
    TURNS_DRAINING_FORGOTTEN,
    TURNS_HALFWAY,
    TURNS_IN_PLACE,
    TURNS_ROLLBACK,
    TURNS_TWO,
    TURNS_EMPTY_LISTS,
    TURNS_FORGOTTEN_DROPPED,
    BEGUN_AGAIN_DROPPED,
    TURNS_NO_STARTS,
    TURNS_NO_STARTS_FORGOTTEN,
    ONE_NO_STARTS_DROPPED,
    PLAY_COUNT
};

static const play_t plays[PLAY_COUNT] = {
    [TURNS_UNLISTED] = {"unlisted", play_release_unlisted, PLAIN, SHARE_TWO_VERSIONS, .turns = PROMPTS_ONLY},
    [TURNS_UNLISTED_WHOLE] = {"unlisted-whole", play_release_unlisted, PLAIN, SHARE_UNBOUNDED, .turns = WHOLE_TURNS,
                              .is_by_hand = true},
    [TURNS_UNLISTED_DROPPED] = {"unlisted-dropped", play_release_unlisted, PLAIN, SHARE_UNBOUNDED,
                                .turns = PROMPTS_ONLY, .drops_runs = true},
    [TURNS_FORGOTTEN] = {"forgotten", play_release_unlisted, HISTORY_FORGOTTEN, SHARE_TWO_VERSIONS,
                         .turns = PROMPTS_ONLY},
    [TURNS_FORGOTTEN_WHOLE] = {"forgotten-whole", play_release_unlisted, HISTORY_FORGOTTEN, SHARE_UNBOUNDED,
                               .turns = WHOLE_TURNS, .is_by_hand = true},
    [TURNS_LAST_CHANGES] = {"last-changes", play_release_unlisted, LAST_CHANGES_ONLY, SHARE_TWO_VERSIONS,
                            .turns = PROMPTS_ONLY},
    [TURNS_RESTORED] = {"restored", play_release_unlisted, SOURCE_RESTORED, SHARE_TWO_VERSIONS, .turns = PROMPTS_ONLY},
    [TURNS_AWAY] = {"away", play_release_unlisted, SOURCE_AWAY, SHARE_TWO_VERSIONS, .turns = PROMPTS_ONLY},
    [TURNS_ENDED] = {"ended", play_release_ended, PLAIN, SHARE_TWO_VERSIONS, .turns = PROMPTS_ONLY},
    [TURNS_ENDED_WHOLE] = {"ended-whole", play_release_ended, PLAIN, SHARE_UNBOUNDED, .turns = WHOLE_TURNS,
                           .is_by_hand = true},
    [TURNS_ENDED_DROPPED] = {"ended-dropped", play_release_ended, PLAIN, SHARE_UNBOUNDED, .turns = PROMPTS_ONLY,
                             .drops_runs = true},
    [TURNS_DRAINING] = {"draining", play_release_draining, PLAIN, SHARE_TWO_VERSIONS, .turns = PROMPTS_ONLY},
    [TURNS_DRAINING_WHOLE] = {"draining-whole", play_release_draining, PLAIN, SHARE_TWO_VERSIONS, .turns = WHOLE_TURNS},
    [TURNS_DRAINING_DROPPED] = {"draining-dropped", play_release_draining, PLAIN, SHARE_TWO_VERSIONS,
                                .turns = PROMPTS_ONLY, .drops_runs = true},
    [TURNS_DRAINING_FORGOTTEN] = {"draining-forgotten", play_release_draining, HISTORY_FORGOTTEN, SHARE_TWO_VERSIONS,
                                  .turns = PROMPTS_ONLY},
    [TURNS_HALFWAY] = {"halfway", play_release_halfway, PLAIN, SHARE_UNBOUNDED, .turns = PROMPTS_ONLY},
    [TURNS_IN_PLACE] = {"in-place", play_release_in_place, PLAIN, SHARE_TWO_VERSIONS, .turns = PROMPTS_ONLY},
    [TURNS_ROLLBACK] = {"rollback", play_rollback, PLAIN, SHARE_TWO_VERSIONS, .turns = PROMPTS_ONLY},
    [TURNS_TWO] = {"two-versions", play_two_versions, PLAIN, SHARE_UNBOUNDED, .turns = WHOLE_TURNS},
    [TURNS_EMPTY_LISTS] = {"empty-lists", play_release_unlisted, EMPTY_LISTS, SHARE_UNBOUNDED, .turns = PROMPTS_ONLY},
    [TURNS_FORGOTTEN_DROPPED] = {"forgotten-dropped", play_release_unlisted, HISTORY_FORGOTTEN, SHARE_UNBOUNDED,
                                 .turns = PROMPTS_ONLY, .drops_runs = true},
    [BEGUN_AGAIN_DROPPED] = {"begun-again-dropped", play_begun_again, PLAIN, SHARE_UNBOUNDED, .drops_runs = true},
    [TURNS_NO_STARTS] = {"no-starts", play_release_unlisted, BEGINNING_FORGOTTEN, SHARE_TWO_VERSIONS,
                         .turns = PROMPTS_ONLY, .hides_starts = true},
    [TURNS_NO_STARTS_FORGOTTEN] = {"no-starts-forgotten", play_release_unlisted, HISTORY_FORGOTTEN, SHARE_TWO_VERSIONS,
                                   .turns = PROMPTS_ONLY, .hides_starts = true, .is_by_hand = true},
    [ONE_NO_STARTS_DROPPED] = {"one-version-no-starts-dropped", play_one_version, BEGINNING_FORGOTTEN,
                               SHARE_ONE_VERSION, .hides_starts = true, .drops_runs = true},
};

/* Guards against a prompt that counts as proof although engines that left the list can't be asked for it. */
START_TEST(no_stream_is_joined_after_its_session_was_at_the_new_version) {
    check_play(TURNS_UNLISTED);
}
END_TEST

/* The same where nothing is left of a run that was broken off but its prompt. */
START_TEST(no_stream_is_joined_where_broken_runs_keep_their_prompt_alone) {
    check_play(TURNS_UNLISTED_DROPPED);
}
END_TEST

/* The same without a history: nothing shows which engines have left the list. */
START_TEST(no_stream_is_joined_though_no_history_shows_which_engines_left) {
    check_play(TURNS_FORGOTTEN);
}
END_TEST

/* The same with a history that holds removals without a value. */
START_TEST(no_stream_is_joined_though_the_history_lacks_the_entries_of_engines_that_left) {
    check_play(TURNS_LAST_CHANGES);
}
END_TEST

/* The same after a restore of the source from an older copy. */
START_TEST(no_stream_is_joined_though_the_source_lists_engines_that_left_again) {
    check_play(TURNS_RESTORED);
}
END_TEST

/* The same while the source is away as the hosts start. */
START_TEST(no_stream_is_joined_though_the_source_was_away_as_hosts_started) {
    check_play(TURNS_AWAY);
}
END_TEST

/* Guards against engines that have ended and count as having nothing. */
START_TEST(no_stream_is_joined_after_the_end_of_the_engines_that_began_it) {
    check_play(TURNS_ENDED);
}
END_TEST

/* The same where nothing is left of a run that was broken off but its prompt. */
START_TEST(no_stream_is_joined_after_that_end_where_broken_runs_keep_their_prompt_alone) {
    check_play(TURNS_ENDED_DROPPED);
}
END_TEST

/* Guards against engines that are listed and leave, which were not asked. */
START_TEST(engines_that_leave_are_asked_for_the_prompts_that_they_cache) {
    check_play(TURNS_DRAINING);
}
END_TEST

/* The same after whole turns. */
START_TEST(engines_that_leave_are_asked_after_whole_turns_elsewhere) {
    check_play(TURNS_DRAINING_WHOLE);
}
END_TEST

/* Guards against refusing streams whose prompt decides, since all engines were asked. */
START_TEST(streams_go_on_by_their_prompt_where_each_engine_was_asked) {
    check_play(TURNS_DRAINING_DROPPED);
}
END_TEST

/* The same without a history. */
START_TEST(engines_that_leave_are_asked_though_the_history_is_forgotten) {
    check_play(TURNS_DRAINING_FORGOTTEN);
}
END_TEST

/* Guards against a version that counts as asked though some of its engines have left the list. */
START_TEST(no_stream_is_joined_though_some_engines_of_its_version_are_listed) {
    check_play(TURNS_HALFWAY);
}
END_TEST

/* Guards against engines that started again with another version and count as having been asked. */
START_TEST(no_stream_is_joined_after_engines_started_again_at_the_version_of_another_turn) {
    check_play(TURNS_IN_PLACE);
}
END_TEST

/* The same where the version of the turn has left the list. */
START_TEST(no_stream_is_joined_after_a_rollback_of_the_version_of_another_turn) {
    check_play(TURNS_ROLLBACK);
}
END_TEST

/* Guards against a guess where engines of both versions have the prompt. */
START_TEST(no_stream_is_joined_where_engines_of_both_versions_serve) {
    check_play(TURNS_TWO);
}
END_TEST

/* The same where engines list nothing. */
START_TEST(no_stream_is_joined_where_engines_list_nothing) {
    check_play(TURNS_EMPTY_LISTS);
}
END_TEST

/* Guards against a prompt alone that counts where neither a history nor the events of a run are left. */
START_TEST(no_stream_is_joined_where_nothing_but_prompts_is_left) {
    check_play(TURNS_FORGOTTEN_DROPPED);
}
END_TEST

/* Guards against a guess between the prompts of two attempts of one caller, where broken runs keep no events. */
START_TEST(no_stream_that_its_caller_began_again_is_joined_where_broken_runs_keep_their_prompt_alone) {
    check_play(BEGUN_AGAIN_DROPPED);
}
END_TEST

/* Guards against engines that left the list unseen, where none states its start and the source has forgotten its
 * beginning. */
START_TEST(no_stream_is_joined_though_engines_state_no_start) {
    check_play(TURNS_NO_STARTS);
}
END_TEST

/* Guards against refusing streams whose prompt decides: the changes that the source has show that no engine has left.
 */
START_TEST(streams_go_on_by_their_prompt_where_the_changes_that_are_left_show_no_departure) {
    check_play(ONE_NO_STARTS_DROPPED);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, no_stream_is_joined_after_its_session_was_at_the_new_version);
    tcase_add_test(t, no_stream_is_joined_where_broken_runs_keep_their_prompt_alone);
    tcase_add_test(t, no_stream_is_joined_though_no_history_shows_which_engines_left);
    tcase_add_test(t, no_stream_is_joined_though_the_history_lacks_the_entries_of_engines_that_left);
    tcase_add_test(t, no_stream_is_joined_though_the_source_lists_engines_that_left_again);
    tcase_add_test(t, no_stream_is_joined_though_the_source_was_away_as_hosts_started);
    tcase_add_test(t, no_stream_is_joined_after_the_end_of_the_engines_that_began_it);
    tcase_add_test(t, no_stream_is_joined_after_that_end_where_broken_runs_keep_their_prompt_alone);
    tcase_add_test(t, engines_that_leave_are_asked_for_the_prompts_that_they_cache);
    tcase_add_test(t, engines_that_leave_are_asked_after_whole_turns_elsewhere);
    tcase_add_test(t, streams_go_on_by_their_prompt_where_each_engine_was_asked);
    tcase_add_test(t, engines_that_leave_are_asked_though_the_history_is_forgotten);
    tcase_add_test(t, no_stream_is_joined_though_some_engines_of_its_version_are_listed);
    tcase_add_test(t, no_stream_is_joined_after_engines_started_again_at_the_version_of_another_turn);
    tcase_add_test(t, no_stream_is_joined_after_a_rollback_of_the_version_of_another_turn);
    tcase_add_test(t, no_stream_is_joined_where_engines_of_both_versions_serve);
    tcase_add_test(t, no_stream_is_joined_where_engines_list_nothing);
    tcase_add_test(t, no_stream_is_joined_where_nothing_but_prompts_is_left);
    tcase_add_test(t, no_stream_is_joined_though_engines_state_no_start);
    tcase_add_test(t, streams_go_on_by_their_prompt_where_the_changes_that_are_left_show_no_departure);
    tcase_add_test(t, no_stream_that_its_caller_began_again_is_joined_where_broken_runs_keep_their_prompt_alone);
}

int main(int argc, char** argv) {
    return plays_main(argc, argv, &(plays_desc_t){"stream_turns", plays, PLAY_COUNT, add_tests});
}
