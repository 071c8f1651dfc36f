/* The judge of a soak: a good record passes, and each kind of fault in one is found. */
#include <stdio.h>
#include <string.h>

#include "../tools/soak.h"
#include "test.h"

#define GRACE_MS 4000
#define DRAIN_MS 2000

#define FLEET "S 1 up e1 12\nS 1 up v1 0\n"
#define SERVED                                                                                                         \
    "C 10 sent a short h:1 500\nU 12 begin a e1 0 500\nU 40 end a e1\nC 41 done a 200 1 1 20\n"                        \
    "C 50 sent b call h:1 0\nU 51 begin b v1 2 0\nU 90 end b v1\nC 91 done b 200 1 1 40\n"

static soak_result_t judge(const char* text) {
    static char record[65536];
    snprintf(record, sizeof(record), "%s%s", FLEET, text);
    return soak_check_record(record, GRACE_MS, DRAIN_MS);
}

/* Only this check fails. */
static void expect(const char* text, soak_check_t check) {
    soak_result_t r = judge(text);
    for (int i = 0; i < SOAK_CHECK_COUNT; i++) {
        ck_assert_msg((r.count[i] > 0) == (i == (int)check), "%s: %u, %s", soak_check_name((soak_check_t)i), r.count[i],
                      r.first_finding[i]);
    }
    ck_assert(soak_has_failed(&r));
}

START_TEST(a_good_record_passes) {
    soak_result_t r = judge(SERVED "C 95 sent c get h:1 0\nC 99 left c\n");
    ck_assert(!soak_has_failed(&r));
    ck_assert_uint_eq(r.sent, 3);
    ck_assert_uint_eq(r.served, 2);
    ck_assert_uint_eq(r.abandoned, 1);
    ck_assert_uint_eq(r.calm_served, 2);
}
END_TEST

START_TEST(a_second_run_is_found_where_it_may_not_be) {
    expect(SERVED "U 95 begin b v1 2 0\nU 99 end b v1\n", SOAK_RAN_TWICE);
    soak_result_t r = judge(SERVED "U 95 begin a e1 0 500\nU 99 end a e1\n"); /* may be resumed */
    ck_assert(!soak_has_failed(&r));
}
END_TEST

/* The upstream's line came first, in the same millisecond. */
START_TEST(lines_of_one_millisecond_are_put_in_order) {
    soak_result_t r = judge("S 5 fault burst -\nU 10 begin b v1 2 0\nC 10 sent b call h:1 0\nC 11 done b 503 1 0 1\n");
    ck_assert_uint_eq(r.count[SOAK_RAN_AFTER_REFUSAL], 1);
}
END_TEST

START_TEST(a_broken_promise_is_found) {
    expect("S 5 fault burst -\nC 10 sent b call h:1 0\nU 11 begin b v1 2 0\nC 12 done b 503 1 0 1\n",
           SOAK_RAN_AFTER_REFUSAL);
}
END_TEST

START_TEST(a_wrong_answer_is_found) {
    soak_result_t r = judge("S 5 fault burst -\nC 10 sent b call h:1 0\nU 11 begin b v1 2 0\nC 12 done b 200 1 0 1\n");
    ck_assert_uint_eq(r.count[SOAK_WRONG_RESPONSE], 1);
}
END_TEST

#define CUT "C 210 sent b call h:1 0\nU 211 begin b v1 2 0\nC 250 done b 0 0 0 0\nU 251 gone b v1\n"

START_TEST(a_request_lost_by_a_planned_stop_is_found) {
    expect("S 200 fault stop h:1\n" CUT "S 300 ended h:1 0\nS 310 over stop h:1\n", SOAK_LOST_ON_STOP);
    soak_result_t killed = judge("S 200 fault kill h:1\n" CUT "S 310 over kill h:1\n");
    ck_assert_uint_eq(killed.count[SOAK_LOST_ON_STOP], 0);
    soak_result_t crashed = judge("S 200 fault stop h:1\nS 205 fault crash v1\n" CUT "S 300 ended h:1 0\n");
    ck_assert_uint_eq(crashed.count[SOAK_LOST_ON_STOP], 0);
}
END_TEST

START_TEST(a_host_that_does_not_end_in_order_is_found) {
    expect("S 5 fault stop h:1\nS 300 ended h:1 139\nS 310 over stop h:1\n", SOAK_UNCLEAN_EXIT);
    expect("S 5 fault stop h:1\nS 9000 ended h:1 0\nS 9010 over stop h:1\n", SOAK_UNCLEAN_EXIT);
    expect("S 2 started h:1\nS 205 fault reload h:1\nS 300 ended h:1 129\n", SOAK_UNCLEAN_EXIT);
    expect("S 2 started h:1\nS 5 fault stop h:1\nS 90 ended h:1 1\n", SOAK_UNCLEAN_EXIT); /* not by the signal */
    ck_assert_uint_eq(judge("S 2 started h:1\nS 5 fault reload h:1\nS 300 ended h:1 129\n").count[SOAK_UNCLEAN_EXIT],
                      0);
    ck_assert_uint_eq(judge("S 2 started h:1\nS 5 fault stop h:1\nS 6 ended h:1 143\n").count[SOAK_UNCLEAN_EXIT], 0);
}
END_TEST

START_TEST(a_refusal_by_idle_engines_is_found) {
    soak_result_t r = judge("C 10 sent a medium h:1 7000\nC 12 done a 503 1 0 1\n");
    ck_assert_uint_eq(r.count[SOAK_REFUSED_WHILE_IDLE], 1);
    soak_result_t stirred = judge("S 5 fault burst -\nC 10 sent a medium h:1 7000\nC 12 done a 503 1 0 1\n");
    ck_assert_uint_eq(stirred.count[SOAK_REFUSED_WHILE_IDLE], 0);
}
END_TEST

/* Eleven prompts of the more urgent kind are refused while larger ones of the less urgent kind begin. */
START_TEST(a_kind_that_is_put_behind_is_found) {
    static char text[8192];
    for (uint32_t long_tokens = 1500; long_tokens <= 9000; long_tokens += 7500) {
        size_t n = 0;
        for (int i = 0; i < 11; i++) {
            n += (size_t)snprintf(text + n, sizeof(text) - n,
                                  "C %d sent m%d medium h:1 2000\nC %d done m%d 503 1 0 1\nC %d sent l%d long h:1 %u\n"
                                  "U %d begin l%d e1 2 %u\n",
                                  10 + i, i, 12 + i, i, 14 + i, i, long_tokens, 16 + i, i, long_tokens);
        }
        ck_assert_uint_eq(judge(text).count[SOAK_PRIORITY_INVERSION] > 0, long_tokens > 4000);
    }
}
END_TEST

START_TEST(work_given_to_a_server_that_left_is_found) {
    expect("S 5 leaves v1\nC 4000 sent b call h:1 0\nU 4010 begin b v1 2 0\nU 4050 end b v1\n"
           "C 4051 done b 200 1 1 40\n",
           SOAK_SENT_TO_LEAVING);
}
END_TEST

/* The source is down as the server leaves: three seconds after it is back all must know. */
START_TEST(a_source_that_is_away_excuses_only_as_long_as_it_hides) {
    static const char leaves[] = "S 5 fault source-down source\nS 8 leaves v1\nS 3500 over source-down source\n";
    char text[1024];
    for (int at = 4000; at <= 8000; at += 4000) {
        snprintf(text, sizeof(text), "%sC %d sent b call h:1 0\nU %d begin b v1 2 0\nU %d end b v1\n", leaves, at,
                 at + 1, at + 2);
        ck_assert_uint_eq(judge(text).count[SOAK_SENT_TO_LEAVING], at > 6500);
    }
}
END_TEST

START_TEST(work_for_callers_that_left_is_found) {
    static char text[4096];
    size_t n = 0;
    for (int i = 0; i < 6; i++) {
        n += (size_t)snprintf(text + n, sizeof(text) - n,
                              "C 10 sent a%d short h:1 500\nU 12 begin a%d e1 0 500\nC 20 left a%d\nU 900 end a%d e1\n",
                              i, i, i, i);
    }
    expect(text, SOAK_RAN_AFTER_CANCEL);
}
END_TEST

START_TEST(too_little_service_in_calm_seconds_is_found) {
    expect(SERVED "C 95 sent c get h:1 0\nC 99 done c 502 1 0 4\n", SOAK_RECOVERY);
}
END_TEST

/* Three upstreams may end under a body, and it may reach others for three seconds after the third and three times
 * later. */
START_TEST(a_deadly_body_that_goes_on_reaching_upstreams_is_found) {
    static char text[8192];
    for (int reaches = 7; reaches <= 8; reaches++) {
        size_t n = 0;
        for (int i = 0; i < reaches; i++) {
            int at = i < 4 ? 100 * i : 4000 + 100 * i;
            n += (size_t)snprintf(text + n, sizeof(text) - n,
                                  "C %d sent d%d get h:1 0 deadly-1\nU %d reach d%d v1\nU %d begin d%d v1 2 0\n"
                                  "U %d died d%d v1\nC %d done d%d 502 1 0 0 0\nS %d over died v1\n",
                                  at, i, at + 1, i, at + 2, i, at + 3, i, at + 4, i, at + 50);
        }
        soak_result_t r = judge(text);
        ck_assert_uint_eq(r.count[SOAK_QUERY_OF_DEATH], reaches == 8);
        ck_assert_uint_eq(r.qod_crashes, reaches);
        ck_assert_uint_eq(r.sent, 0);
    }
}
END_TEST

/* The upstream's line came first, in the same millisecond. */
START_TEST(a_deadly_request_that_reaches_as_it_is_sent_counts) {
    static char text[8192];
    size_t n = 0;
    for (int i = 0; i < 8; i++) {
        int at = i < 4 ? 100 * i + 1 : 4000 + 100 * i;
        n += (size_t)snprintf(text + n, sizeof(text) - n,
                              "U %d died d%d v1\nU %d reach d%d v1\nC %d sent d%d get h:1 0 deadly-1\n"
                              "S %d over died v1\n",
                              at, i, at, i, at, i, at + 50);
    }
    soak_result_t r = judge(text);
    ck_assert_uint_eq(r.count[SOAK_QUERY_OF_DEATH], 1);
    ck_assert_uint_eq(r.qod_crashes, 8);
}
END_TEST

/* The same by a host that has started a second before: it may not know yet. Seen as all hosts were lost at once. */
START_TEST(a_host_that_has_just_started_may_not_know_a_deadly_body) {
    static char text[8192];
    for (int young = 0; young < 2; young++) {
        size_t n = (size_t)snprintf(text, sizeof(text), "S %d started h:1\n", young ? 4300 : 300);
        for (int i = 0; i < 8; i++) {
            int at = i < 4 ? 100 * i : 4600 + 100 * i;
            n += (size_t)snprintf(text + n, sizeof(text) - n,
                                  "C %d sent d%d get h:1 0 deadly-1\nU %d reach d%d v1\nU %d died d%d v1\n"
                                  "C %d done d%d 502 1 0 0 0\nS %d over died v1\n",
                                  at, i, at + 1, i, at + 3, i, at + 4, i, at + 50);
        }
        ck_assert_uint_eq(judge(text).count[SOAK_QUERY_OF_DEATH], !young);
    }
}
END_TEST

START_TEST(an_ordinary_request_that_is_held_back_is_found) {
    expect(SERVED "S 92 fault died v1\nC 95 sent c get h:1 0 -\nC 99 done c 503 1 0 1 1\n", SOAK_FALSE_QUARANTINE);
    soak_result_t r = judge(SERVED "C 95 sent c get h:1 0 deadly-1\nC 99 done c 503 1 0 1 1\n");
    ck_assert(!soak_has_failed(&r));
}
END_TEST

/* Sixteen come within a second at a rate of 0.5, four seconds after it was named: from a host that was told (allowed
   8), or from one that was not. */
static const char* rate_record(const char* host) {
    static char text[8192];
    size_t at = (size_t)snprintf(text, sizeof(text),
                                 "U 1000 rate - e1 0.5\nC 1000 sent n short h:1 500\nU 1001 came n e1\n"
                                 "U 1002 named n e1\nC 1010 done n 200 1 1 20\n");
    for (int i = 0; i < 16; i++) {
        int ms = 5000 + 10 * i;
        at += (size_t)snprintf(text + at, sizeof(text) - at,
                               "C %d sent r%d short %s 500\nU %d came r%d e1\nC %d done r%d 200 1 1 2\n", ms, i, host,
                               ms + 1, i, ms + 4, i);
    }
    return text;
}

START_TEST(a_rate_that_is_not_kept_is_found) {
    expect(rate_record("h:1"), SOAK_RATE_EXCEEDED);
    soak_result_t r = judge(rate_record("h:2"));
    ck_assert(!soak_has_failed(&r));
}
END_TEST

#define TURNED_AWAY                                                                                                    \
    "S 900 fault rest v1\nC 1000 sent n call h:1 0\nU 1001 came n v1\nU 1002 away n v1 3000\nC 1003 done n 503 1 0 "   \
    "2\n"
#define COMES(id, host, ms, after)                                                                                     \
    "C " ms " sent " id " call " host " 0\nU " after " came " id " v1\nC " after " done " id " 200 1 1 2\n"

START_TEST(a_rest_that_is_not_kept_is_found) {
    expect(TURNED_AWAY COMES("a", "h:1", "2000", "2001") COMES("b", "h:1", "2100", "2101")
               COMES("c", "h:1", "2200", "2201"),
           SOAK_BACKOFF_IGNORED);
    soak_result_t r = judge(TURNED_AWAY COMES("a", "h:1", "2000", "2001") COMES("b", "h:1", "2100", "2101")
                                COMES("c", "h:2", "2200", "2201") COMES("d", "h:1", "4100", "4101"));
    ck_assert_uint_eq(r.count[SOAK_BACKOFF_IGNORED], 0);
}
END_TEST

#define SAYS_IT_LEAVES "C 1000 sent n call h:1 0\nU 1001 came n v1\nU 1002 parts n v1\nC 1003 done n 200 1 1 2\n"

START_TEST(a_request_after_an_upstream_said_that_it_leaves_is_found) {
    expect(SAYS_IT_LEAVES COMES("a", "h:1", "5000", "5001"), SOAK_LEAVING_IGNORED);
    soak_result_t r = judge(SAYS_IT_LEAVES COMES("a", "h:1", "2000", "2001") COMES("b", "h:2", "5000", "5001"));
    ck_assert_uint_eq(r.count[SOAK_LEAVING_IGNORED], 0);
    r = judge(SAYS_IT_LEAVES "S 3000 down v1\nS 3100 up v1 0\n" COMES("a", "h:1", "7500", "7501"));
    ck_assert_uint_eq(r.count[SOAK_LEAVING_IGNORED], 0); /* its next life says nothing of the kind */
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, a_rate_that_is_not_kept_is_found);
    tcase_add_test(t, a_rest_that_is_not_kept_is_found);
    tcase_add_test(t, a_request_after_an_upstream_said_that_it_leaves_is_found);
    tcase_add_test(t, a_deadly_body_that_goes_on_reaching_upstreams_is_found);
    tcase_add_test(t, a_deadly_request_that_reaches_as_it_is_sent_counts);
    tcase_add_test(t, a_host_that_has_just_started_may_not_know_a_deadly_body);
    tcase_add_test(t, an_ordinary_request_that_is_held_back_is_found);
    tcase_add_test(t, a_good_record_passes);
    tcase_add_test(t, a_second_run_is_found_where_it_may_not_be);
    tcase_add_test(t, lines_of_one_millisecond_are_put_in_order);
    tcase_add_test(t, a_broken_promise_is_found);
    tcase_add_test(t, a_wrong_answer_is_found);
    tcase_add_test(t, a_request_lost_by_a_planned_stop_is_found);
    tcase_add_test(t, a_host_that_does_not_end_in_order_is_found);
    tcase_add_test(t, a_refusal_by_idle_engines_is_found);
    tcase_add_test(t, a_kind_that_is_put_behind_is_found);
    tcase_add_test(t, work_given_to_a_server_that_left_is_found);
    tcase_add_test(t, a_source_that_is_away_excuses_only_as_long_as_it_hides);
    tcase_add_test(t, work_for_callers_that_left_is_found);
    tcase_add_test(t, too_little_service_in_calm_seconds_is_found);
}

int main(void) {
    return run_suite("soak-check", add, 30);
}
