/* How late streams get beside prompts that are read: what was seen, what was not, and what is left to be read. */
#include "../chalkway_pause.h"

#include <math.h>

#include "test.h"

#define READ_MS 0.02 /* a token */

static void learn(cw_pauses_t* p, uint32_t tokens, double pause_ms, uint32_t times) {
    for (uint32_t i = 0; i < times; i++) {
        cw_pauses_learn(p, tokens, pause_ms);
    }
}

START_TEST(harm_grows_with_the_learned_pause) {
    cw_pauses_t p = {0};
    learn(&p, 8000, 100, 50);
    ck_assert_double_eq_tol(cw_pauses_harm(&p, 8000, 100, READ_MS, INFINITY), 0.5, 0.01);
    ck_assert_double_eq_tol(cw_pauses_harm(&p, 8000, 200, READ_MS, INFINITY), 0, 0.01);
    ck_assert_double_eq_tol(cw_pauses_harm(&p, 8000, 50, READ_MS, INFINITY), 1, 0.01);
    ck_assert_double_eq(cw_pauses_harm(&p, 8000, 0, READ_MS, INFINITY), 0); /* it may pause for any time */
}
END_TEST

/* A prompt whose parts are kept is read soon: it holds up nobody for longer than that. */
START_TEST(harm_ends_with_what_is_left_to_be_read) {
    cw_pauses_t p = {0};
    learn(&p, 8000, 300, 50);
    ck_assert_double_eq(cw_pauses_harm(&p, 8000, 200, READ_MS, INFINITY), 1);
    ck_assert_double_eq(cw_pauses_harm(&p, 8000, 200, READ_MS, 100), 0);
    ck_assert_double_eq_tol(cw_pauses_harm(&p, 8000, 200, READ_MS, 200), 0.5, 0.01);
    ck_assert_double_eq(cw_pauses_harm(&p, 8000, 200, READ_MS, 400), 1);
}
END_TEST

START_TEST(a_length_that_was_not_seen_counts_as_long_as_it_is_read) {
    cw_pauses_t p = {0};
    ck_assert_double_eq_tol(cw_pauses_expected(&p, 8000, READ_MS), 160, 0.01);
    learn(&p, 8000, 40, 5);
    ck_assert_double_eq_tol(cw_pauses_expected(&p, 8000, READ_MS), 160, 0.01); /* a few say nothing */
    learn(&p, 8000, 40, 200);
    ck_assert_double_eq_tol(cw_pauses_expected(&p, 8000, READ_MS), 40, 1);
}
END_TEST

START_TEST(a_longer_prompt_is_no_less_harmful) {
    cw_pauses_t p = {0};
    learn(&p, 4000, 300, 50);
    learn(&p, 16000, 100, 50);
    ck_assert_double_ge(cw_pauses_expected(&p, 16000, READ_MS), 299);
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, harm_grows_with_the_learned_pause);
    tcase_add_test(t, harm_ends_with_what_is_left_to_be_read);
    tcase_add_test(t, a_length_that_was_not_seen_counts_as_long_as_it_is_read);
    tcase_add_test(t, a_longer_prompt_is_no_less_harmful);
}

int main(void) {
    return run_suite("pause", add, 10);
}
