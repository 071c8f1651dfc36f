/* How late streams get beside prompts that are read: what was seen, what was not, and what is old. */
#include "../chalkway_pause.h"

#include "test.h"

#define FAR_MS 10000.0 /* reading that lasts longer than any pause in question */

static void learn(cw_pauses_t* p, uint32_t tokens, double pause_ms, uint32_t times) {
    for (uint32_t i = 0; i < times; i++) {
        cw_pauses_learn(p, tokens, pause_ms);
    }
}

START_TEST(the_share_of_longer_pauses_is_told) {
    cw_pauses_t p = {0};
    learn(&p, 8000, 100, 30);
    learn(&p, 8000, 300, 10);
    ck_assert_double_eq_tol(cw_pauses_late(&p, 8000, FAR_MS, 200), 0.25, 0.001);
    ck_assert_double_eq_tol(cw_pauses_late(&p, 8000, FAR_MS, 50), 1, 0.001);
    ck_assert_double_eq_tol(cw_pauses_late(&p, 8000, FAR_MS, 400), 0, 0.001);
    ck_assert_double_eq_tol(cw_pauses_late(&p, 8000, FAR_MS, 0), 0, 0.001); /* it may pause for any time */
    ck_assert_double_ge(cw_pauses_quantile(&p, 8000, 0.9), 300 / 1.08);
    ck_assert_double_le(cw_pauses_quantile(&p, 8000, 0.5), 100 * 1.08);
}
END_TEST

START_TEST(reading_that_is_short_makes_nothing_late) {
    cw_pauses_t p = {0};
    learn(&p, 8000, 300, 40);
    ck_assert_double_eq_tol(cw_pauses_late(&p, 8000, 100, 200), 0, 0.001);
    ck_assert_double_eq_tol(cw_pauses_late(&p, 8000, 200, 200), 0.5, 0.001); /* how long it lasts is a prediction */
    ck_assert_double_eq_tol(cw_pauses_late(&p, 8000, 300, 200), 1, 0.001);
}
END_TEST

START_TEST(a_length_that_was_not_seen_is_taken_to_harm) {
    cw_pauses_t p = {0};
    ck_assert_double_eq(cw_pauses_late(&p, 8000, FAR_MS, 200), 1);
    ck_assert_double_eq(cw_pauses_late(&p, 8000, 100, 200), 0); /* but for no longer than it is read */
    learn(&p, 8000, 100, 5);
    ck_assert_double_eq(cw_pauses_late(&p, 8000, FAR_MS, 200), 1); /* a few say nothing */
    ck_assert_double_eq(cw_pauses_quantile(&p, 8000, 0.9), 0);
    learn(&p, 8000, 100, 20);
    ck_assert_double_eq(cw_pauses_late(&p, 8000, FAR_MS, 200), 0);
}
END_TEST

START_TEST(a_longer_prompt_is_no_less_harmful) {
    cw_pauses_t p = {0};
    learn(&p, 4000, 300, 40);
    learn(&p, 16000, 100, 40);
    ck_assert_double_eq_tol(cw_pauses_late(&p, 16000, FAR_MS, 200), 1, 0.001);
    ck_assert_double_eq_tol(cw_pauses_late(&p, 2000, FAR_MS, 1), 1, 0.001);
}
END_TEST

START_TEST(old_pauses_are_forgotten) {
    cw_pauses_t p = {0};
    learn(&p, 8000, 300, 400);
    ck_assert_double_eq_tol(cw_pauses_late(&p, 8000, FAR_MS, 200), 1, 0.001);
    learn(&p, 8000, 100, 3000);
    ck_assert_double_le(cw_pauses_late(&p, 8000, FAR_MS, 200), 0.01);
}
END_TEST

/* Against a plain count, for random pauses of one length of prompt: no bin is wider than its step. */
START_TEST(the_share_is_that_of_a_plain_count) {
    rng_t rng = {.state = 5};
    cw_pauses_t p = {0};
    uint32_t over = 0;
    uint32_t count = 300;
    for (uint32_t i = 0; i < count; i++) {
        double pause_ms = 20 + rng_below(&rng, 400);
        over += pause_ms > 200;
        cw_pauses_learn(&p, 6000, pause_ms);
    }
    ck_assert_double_eq_tol(cw_pauses_late(&p, 6000, FAR_MS, 200), (double)over / count, 0.04);
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, the_share_of_longer_pauses_is_told);
    tcase_add_test(t, reading_that_is_short_makes_nothing_late);
    tcase_add_test(t, a_length_that_was_not_seen_is_taken_to_harm);
    tcase_add_test(t, a_longer_prompt_is_no_less_harmful);
    tcase_add_test(t, old_pauses_are_forgotten);
    tcase_add_test(t, the_share_is_that_of_a_plain_count);
}

int main(void) {
    return run_suite("pause", add, 10);
}
