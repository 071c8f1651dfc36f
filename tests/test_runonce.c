/* Tickets and the names of calls that run at most once. */
#include <stdio.h>
#include <string.h>

#include "../chalkway_runonce.h"
#include "test.h"

#define WORKSPACE 5
#define BODY 77

static cw_runonce_t* table(const char* host, uint64_t incarnation) {
    return cw_runonce_setup(&(cw_runonce_desc_t){.host = host,
                                                 .incarnation = incarnation,
                                                 .ticket_ms = 1000,
                                                 .longest_ms = 500,
                                                 .max_records = 4,
                                                 .max_answer_bytes = 100});
}

typedef struct name_t {
    char text[CW_CALL_NAME_MAX];
} name_t;

static name_t name_of(const cw_runonce_t* t, int64_t now, const char* suffix) {
    name_t n;
    snprintf(n.text, sizeof(n.text), "%s/%s", cw_runonce_ticket(t, now).text, suffix);
    return n;
}

static cw_run_verdict_t verdict(cw_runonce_t* t, int64_t now, name_t n) {
    return cw_runonce_begin(t, now, WORKSPACE, n.text, BODY).verdict;
}

START_TEST(a_name_runs_once) {
    cw_runonce_t* t = table("a", 9);
    name_t n = name_of(t, 0, "x");
    cw_runonce_begin_t b = cw_runonce_begin(t, 1, WORKSPACE, n.text, BODY);
    ck_assert_int_eq(b.verdict, CW_RUN_NEW);
    ck_assert_int_eq(verdict(t, 2, n), CW_RUN_JOIN);
    int answer = 1;
    cw_runonce_keep(t, b.record, &answer, 10);
    cw_runonce_begin_t again = cw_runonce_begin(t, 3, WORKSPACE, n.text, BODY);
    ck_assert_int_eq(again.verdict, CW_RUN_KEPT);
    ck_assert_ptr_eq(again.answer, &answer);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(a_call_that_did_not_run_may_come_again) {
    cw_runonce_t* t = table("a", 9);
    name_t n = name_of(t, 0, "x");
    cw_runonce_release(t, cw_runonce_begin(t, 1, WORKSPACE, n.text, BODY).record);
    ck_assert_int_eq(verdict(t, 2, n), CW_RUN_NEW);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(no_other_process_runs_it) {
    cw_runonce_t* a = table("a", 9);
    cw_runonce_t* b = table("b", 9);
    cw_runonce_t* later = table("a", 10);
    name_t n = name_of(a, 0, "x");
    ck_assert_int_eq(verdict(b, 1, n), CW_RUN_UNKNOWN);
    ck_assert_int_eq(verdict(later, 1, n), CW_RUN_UNKNOWN);
    cw_runonce_shutdown(a);
    cw_runonce_shutdown(b);
    cw_runonce_shutdown(later);
}
END_TEST

/* The record outlives the ticket by the longest deadline; afterwards nobody may run the name any more. */
START_TEST(an_expired_name_never_runs) {
    cw_runonce_t* t = table("a", 9);
    name_t used = name_of(t, 0, "used");
    name_t fresh = name_of(t, 0, "fresh");
    cw_runonce_keep(t, cw_runonce_begin(t, 900, WORKSPACE, used.text, BODY).record, NULL, 0);
    ck_assert_int_eq(verdict(t, 1400, used), CW_RUN_LOST);
    ck_assert_int_eq(verdict(t, 1001, fresh), CW_RUN_UNKNOWN);
    ck_assert_int_eq(verdict(t, 1501, used), CW_RUN_UNKNOWN);
    ck_assert_uint_eq(cw_runonce_count(t), 0);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(a_running_call_is_not_forgotten) {
    cw_runonce_t* t = table("a", 9);
    name_t n = name_of(t, 0, "x");
    ck_assert_int_eq(verdict(t, 1, n), CW_RUN_NEW);
    ck_assert_int_eq(verdict(t, 100000, n), CW_RUN_JOIN);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(names_without_a_ticket_are_refused) {
    cw_runonce_t* t = table("a", 9);
    const char* const bad[] = {
        "", "x", "a/x", "a~0/x", "a~0000000000000009~/x", "a~0000000000000009~10/", "~~/", "a~0000000000000009~zz/x"};
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        ck_assert_int_eq(cw_runonce_begin(t, 0, WORKSPACE, bad[i], BODY).verdict, CW_RUN_NO_TICKET);
    }
    /* A ticket made up to last for ever would keep its record for ever. */
    ck_assert_int_eq(cw_runonce_begin(t, 0, WORKSPACE, "a~0000000000000009~ffffffff/x", BODY).verdict, CW_RUN_UNKNOWN);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(another_body_or_workspace_is_another_call) {
    cw_runonce_t* t = table("a", 9);
    name_t n = name_of(t, 0, "x");
    ck_assert_int_eq(verdict(t, 1, n), CW_RUN_NEW);
    ck_assert_int_eq(cw_runonce_begin(t, 2, WORKSPACE, n.text, BODY + 1).verdict, CW_RUN_MISMATCH);
    ck_assert_int_eq(cw_runonce_begin(t, 2, WORKSPACE + 1, n.text, BODY).verdict, CW_RUN_NEW);
    cw_runonce_shutdown(t);
}
END_TEST

static void count_free(void* answer, void* user) {
    (void)answer;
    ++*(int*)user;
}

START_TEST(the_oldest_answers_go_first) {
    int freed = 0;
    cw_runonce_t* t = cw_runonce_setup(&(cw_runonce_desc_t){
        .host = "a", .incarnation = 9, .max_answer_bytes = 100, .free_answer = count_free, .user_data = &freed});
    name_t names[3];
    for (int i = 0; i < 3; i++) {
        char suffix[16];
        snprintf(suffix, sizeof(suffix), "%d", i);
        names[i] = name_of(t, 0, suffix);
        cw_runonce_keep(t, cw_runonce_begin(t, i, WORKSPACE, names[i].text, BODY).record, &freed, 40);
    }
    ck_assert_int_eq(freed, 1);
    ck_assert_int_eq(verdict(t, 5, names[0]), CW_RUN_LOST);
    ck_assert_int_eq(verdict(t, 5, names[1]), CW_RUN_KEPT);
    cw_runonce_shutdown(t);
    ck_assert_int_eq(freed, 3);
}
END_TEST

START_TEST(a_full_table_refuses) {
    cw_runonce_t* t = table("a", 9);
    for (int i = 0; i < 5; i++) {
        char suffix[16];
        snprintf(suffix, sizeof(suffix), "%d", i);
        ck_assert_int_eq(verdict(t, 1, name_of(t, 0, suffix)), i < 4 ? CW_RUN_NEW : CW_RUN_FULL);
    }
    cw_runonce_shutdown(t);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_name_runs_once);
    tcase_add_test(t, a_call_that_did_not_run_may_come_again);
    tcase_add_test(t, no_other_process_runs_it);
    tcase_add_test(t, an_expired_name_never_runs);
    tcase_add_test(t, a_running_call_is_not_forgotten);
    tcase_add_test(t, names_without_a_ticket_are_refused);
    tcase_add_test(t, another_body_or_workspace_is_another_call);
    tcase_add_test(t, the_oldest_answers_go_first);
    tcase_add_test(t, a_full_table_refuses);
}

int main(void) {
    return run_suite("runonce", add_tests, 30);
}
