/* Tickets and idempotency keys of calls that run at most once. */
#include <stdio.h>
#include <string.h>

#include "../chalkway_runonce.h"
#include "test.h"

#define WORKSPACE 5
#define BODY 77

static cw_runonce_t* make_table(const char* host, uint64_t incarnation) {
    return cw_runonce_setup(&(cw_runonce_desc_t){.host = host,
                                                 .incarnation = incarnation,
                                                 .ticket_ms = 1000,
                                                 .max_deadline_ms = 500,
                                                 .max_records = 4,
                                                 .max_response_bytes = 100});
}

typedef struct idempotency_key_t {
    char text[CW_IDEMPOTENCY_KEY_MAX];
} idempotency_key_t;

static idempotency_key_t make_key(const cw_runonce_t* t, int64_t now, const char* suffix) {
    idempotency_key_t key;
    snprintf(key.text, sizeof(key.text), "%s/%s", cw_runonce_ticket(t, now).text, suffix);
    return key;
}

static cw_run_verdict_t begin_verdict(cw_runonce_t* t, int64_t now, idempotency_key_t key) {
    return cw_runonce_begin(t, now, WORKSPACE, key.text, BODY).verdict;
}

START_TEST(key_runs_once) {
    cw_runonce_t* t = make_table("a", 9);
    idempotency_key_t key = make_key(t, 0, "x");
    cw_runonce_begin_t b = cw_runonce_begin(t, 1, WORKSPACE, key.text, BODY);
    ck_assert_int_eq(b.verdict, CW_RUN_NEW);
    ck_assert_int_eq(begin_verdict(t, 2, key), CW_RUN_JOIN);
    int response = 1;
    cw_runonce_complete(t, b.record, &response, 10);
    cw_runonce_begin_t retry = cw_runonce_begin(t, 3, WORKSPACE, key.text, BODY);
    ck_assert_int_eq(retry.verdict, CW_RUN_REPLAY);
    ck_assert_ptr_eq(retry.response, &response);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(call_that_did_not_run_may_be_retried) {
    cw_runonce_t* t = make_table("a", 9);
    idempotency_key_t key = make_key(t, 0, "x");
    cw_runonce_abort(t, cw_runonce_begin(t, 1, WORKSPACE, key.text, BODY).record);
    ck_assert_int_eq(begin_verdict(t, 2, key), CW_RUN_NEW);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(no_other_process_runs_the_key) {
    cw_runonce_t* a = make_table("a", 9);
    cw_runonce_t* b = make_table("b", 9);
    cw_runonce_t* later = make_table("a", 10);
    idempotency_key_t key = make_key(a, 0, "x");
    ck_assert_int_eq(begin_verdict(b, 1, key), CW_RUN_UNKNOWN);
    ck_assert_int_eq(begin_verdict(later, 1, key), CW_RUN_UNKNOWN);
    cw_runonce_shutdown(a);
    cw_runonce_shutdown(b);
    cw_runonce_shutdown(later);
}
END_TEST

/* The record outlives the ticket by the longest deadline. After that the key must never run again. */
START_TEST(expired_key_never_runs) {
    cw_runonce_t* t = make_table("a", 9);
    idempotency_key_t used = make_key(t, 0, "used");
    idempotency_key_t fresh = make_key(t, 0, "fresh");
    cw_runonce_complete(t, cw_runonce_begin(t, 900, WORKSPACE, used.text, BODY).record, NULL, 0);
    ck_assert_int_eq(begin_verdict(t, 1400, used), CW_RUN_RESPONSE_LOST);
    ck_assert_int_eq(begin_verdict(t, 1001, fresh), CW_RUN_UNKNOWN);
    ck_assert_int_eq(begin_verdict(t, 1501, used), CW_RUN_UNKNOWN);
    ck_assert_uint_eq(cw_runonce_count(t), 0);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(running_call_does_not_expire) {
    cw_runonce_t* t = make_table("a", 9);
    idempotency_key_t key = make_key(t, 0, "x");
    ck_assert_int_eq(begin_verdict(t, 1, key), CW_RUN_NEW);
    ck_assert_int_eq(begin_verdict(t, 100000, key), CW_RUN_JOIN);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(keys_without_a_ticket_are_refused) {
    cw_runonce_t* t = make_table("a", 9);
    const char* const malformed[] = {
        "", "x", "a/x", "a~0/x", "a~0000000000000009~/x", "a~0000000000000009~10/", "~~/", "a~0000000000000009~zz/x"};
    for (size_t i = 0; i < sizeof(malformed) / sizeof(malformed[0]); i++) {
        ck_assert_int_eq(cw_runonce_begin(t, 0, WORKSPACE, malformed[i], BODY).verdict, CW_RUN_NO_TICKET);
    }
    /* A forged ticket with an expiry far in the future would keep its record forever. */
    ck_assert_int_eq(cw_runonce_begin(t, 0, WORKSPACE, "a~0000000000000009~ffffffff/x", BODY).verdict, CW_RUN_UNKNOWN);
    cw_runonce_shutdown(t);
}
END_TEST

START_TEST(other_body_is_a_mismatch_other_workspace_another_call) {
    cw_runonce_t* t = make_table("a", 9);
    idempotency_key_t key = make_key(t, 0, "x");
    ck_assert_int_eq(begin_verdict(t, 1, key), CW_RUN_NEW);
    ck_assert_int_eq(cw_runonce_begin(t, 2, WORKSPACE, key.text, BODY + 1).verdict, CW_RUN_MISMATCH);
    ck_assert_int_eq(cw_runonce_begin(t, 2, WORKSPACE + 1, key.text, BODY).verdict, CW_RUN_NEW);
    cw_runonce_shutdown(t);
}
END_TEST

static void count_free(void* response, void* user) {
    (void)response;
    ++*(int*)user;
}

START_TEST(oldest_responses_are_dropped_first) {
    int freed = 0;
    cw_runonce_t* t = cw_runonce_setup(&(cw_runonce_desc_t){
        .host = "a", .incarnation = 9, .max_response_bytes = 100, .free_response = count_free, .user_data = &freed});
    idempotency_key_t keys[3];
    for (int i = 0; i < 3; i++) {
        char suffix[16];
        snprintf(suffix, sizeof(suffix), "%d", i);
        keys[i] = make_key(t, 0, suffix);
        cw_runonce_complete(t, cw_runonce_begin(t, i, WORKSPACE, keys[i].text, BODY).record, &freed, 40);
    }
    ck_assert_int_eq(freed, 1);
    ck_assert_int_eq(begin_verdict(t, 5, keys[0]), CW_RUN_RESPONSE_LOST);
    ck_assert_int_eq(begin_verdict(t, 5, keys[1]), CW_RUN_REPLAY);
    cw_runonce_shutdown(t);
    ck_assert_int_eq(freed, 3);
}
END_TEST

START_TEST(full_table_refuses) {
    cw_runonce_t* t = make_table("a", 9);
    for (int i = 0; i < 5; i++) {
        char suffix[16];
        snprintf(suffix, sizeof(suffix), "%d", i);
        ck_assert_int_eq(begin_verdict(t, 1, make_key(t, 0, suffix)), i < 4 ? CW_RUN_NEW : CW_RUN_FULL);
    }
    cw_runonce_shutdown(t);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, key_runs_once);
    tcase_add_test(t, call_that_did_not_run_may_be_retried);
    tcase_add_test(t, no_other_process_runs_the_key);
    tcase_add_test(t, expired_key_never_runs);
    tcase_add_test(t, running_call_does_not_expire);
    tcase_add_test(t, keys_without_a_ticket_are_refused);
    tcase_add_test(t, other_body_is_a_mismatch_other_workspace_another_call);
    tcase_add_test(t, oldest_responses_are_dropped_first);
    tcase_add_test(t, full_table_refuses);
}

int main(void) {
    return run_suite("runonce", add_tests, 30);
}
