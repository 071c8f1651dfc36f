/* Stalls of streams during prefills: prompt lengths with and without samples, and the bound by the prefill left. */
#include "../chalkway_stall.h"

#include <math.h>

#include "test.h"

#define PREFILL_MS_PER_TOKEN 0.02

static void add_samples(cw_stalls_t* s, uint32_t tokens, double stall_ms, uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        cw_stalls_learn(s, tokens, stall_ms);
    }
}

START_TEST(the_risk_grows_with_the_learned_stall) {
    cw_stalls_t s = {0};
    add_samples(&s, 8000, 100, 50);
    ck_assert_double_eq_tol(cw_stalls_violation_risk(&s, 8000, 100, PREFILL_MS_PER_TOKEN, INFINITY), 0.5, 0.01);
    ck_assert_double_eq_tol(cw_stalls_violation_risk(&s, 8000, 200, PREFILL_MS_PER_TOKEN, INFINITY), 0, 0.01);
    ck_assert_double_eq_tol(cw_stalls_violation_risk(&s, 8000, 50, PREFILL_MS_PER_TOKEN, INFINITY), 1, 0.01);
    /* A stream without a gap limit. */
    ck_assert_double_eq(cw_stalls_violation_risk(&s, 8000, 0, PREFILL_MS_PER_TOKEN, INFINITY), 0);
}
END_TEST

/* A prompt with cached parts has little prefill left, and stalls no stream for longer than this prefill takes. */
START_TEST(the_risk_is_bounded_by_the_prefill_left) {
    cw_stalls_t s = {0};
    add_samples(&s, 8000, 300, 50);
    ck_assert_double_eq(cw_stalls_violation_risk(&s, 8000, 200, PREFILL_MS_PER_TOKEN, INFINITY), 1);
    ck_assert_double_eq(cw_stalls_violation_risk(&s, 8000, 200, PREFILL_MS_PER_TOKEN, 100), 0);
    ck_assert_double_eq_tol(cw_stalls_violation_risk(&s, 8000, 200, PREFILL_MS_PER_TOKEN, 200), 0.5, 0.01);
    ck_assert_double_eq(cw_stalls_violation_risk(&s, 8000, 200, PREFILL_MS_PER_TOKEN, 400), 1);
}
END_TEST

START_TEST(a_length_without_samples_stalls_for_its_whole_prefill) {
    cw_stalls_t s = {0};
    ck_assert_double_eq_tol(cw_stalls_expected_ms(&s, 8000, PREFILL_MS_PER_TOKEN), 160, 0.01);
    add_samples(&s, 8000, 40, 5);
    ck_assert_double_eq_tol(cw_stalls_expected_ms(&s, 8000, PREFILL_MS_PER_TOKEN), 160, 0.01); /* too few samples */
    add_samples(&s, 8000, 40, 200);
    ck_assert_double_eq_tol(cw_stalls_expected_ms(&s, 8000, PREFILL_MS_PER_TOKEN), 40, 1);
}
END_TEST

START_TEST(a_longer_prompt_stalls_no_less_than_a_shorter_one) {
    cw_stalls_t s = {0};
    add_samples(&s, 4000, 300, 50);
    add_samples(&s, 16000, 100, 50);
    ck_assert_double_ge(cw_stalls_expected_ms(&s, 16000, PREFILL_MS_PER_TOKEN), 299);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, the_risk_grows_with_the_learned_stall);
    tcase_add_test(t, the_risk_is_bounded_by_the_prefill_left);
    tcase_add_test(t, a_length_without_samples_stalls_for_its_whole_prefill);
    tcase_add_test(t, a_longer_prompt_stalls_no_less_than_a_shorter_one);
}

int main(void) {
    return run_suite("pause", add_tests, 10);
}
