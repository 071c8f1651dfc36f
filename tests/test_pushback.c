/*
    Servers that say in an answer that they leave, or that they want nothing from this host for a while.

    Seen: while the source was away, hosts went on sending to a server for nine seconds after an answer of it had told
   them that it leaves. On another day servers that shed load turned requests away with a time to come back, and got as
   many from the same host in that time as before; each was spent on a server that had said no, though others had room.
   Cause: of an answer's head only "not run" was learned, as no room for 100 ms, whatever else it said. Proof: sends to
   those servers were the same before and after the answers, at hosts that had been told and at those that had not, and
   ended only with the list of servers.

    Pattern here: one answer that says so, and requests after it, with the clock of the tests (io/clock.h) moved on
   where time must pass.
*/
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"limits\":{\"head_bytes\":2000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":60000},"         \
    "\"pools\":[{\"name\":\"p\",\"health\":\"/health\"}],\"routes\":["                                                 \
    "{\"name\":\"again\",\"host\":\"h.example\",\"prefix\":\"/again/\",\"kind\":\"repeatable\",\"timeout_ms\":9000,"   \
    "\"target_ms\":300,\"attempts\":3,\"open\":true,\"pools\":[{\"pool\":\"p\"}]},"                                    \
    "{\"name\":\"once\",\"host\":\"h.example\",\"prefix\":\"/once/\",\"kind\":\"once\",\"timeout_ms\":9000,"           \
    "\"target_ms\":300,\"attempts\":1,\"open\":true,\"pools\":[{\"pool\":\"p\"}]}]}"
#define REQUEST "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"
#define FINE                                                                                                           \
    { RIG_ANSWER, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: 4\r\n\r\nfine" }
#define LEAVES                                                                                                         \
    {                                                                                                                  \
        RIG_ANSWER, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nChalkway-Server-Leaving: 1\r\n"                   \
                    "Content-Length: 4\r\n\r\nfine"                                                                    \
    }
#define AWAY(retry_after)                                                                                              \
    {                                                                                                                  \
        RIG_ANSWER, "HTTP/1.1 503 No\r\nChalkway-Request-Id: @ID@\r\nChalkway-Not-Run: 1\r\nRetry-After: " retry_after \
                    "\r\nContent-Length: 0\r\n\r\n"                                                                    \
    }
#define CALLS 8
#define REST_MS 30000
#define UNDER_WAY_MS 500 /* what was on its way as the server spoke may still come for so long */

static void expect_status(const char* answer, const char* status) {
    ck_assert_msg(strncmp(answer, "HTTP/1.1 ", 9) == 0 && strncmp(answer + 9, status, 3) == 0, "wanted %s, got: %s",
                  status, answer);
}

/* So many calls, one after the other, each of which is answered so; returns how many reached the server. */
static uint32_t call(rig_t* r, uint32_t calls, const char* status, uint32_t server) {
    rig_step_t steps[CALLS];
    for (uint32_t i = 0; i < CALLS; i++) {
        steps[i] = (rig_step_t)FINE;
    }
    rig_script(r, steps, CALLS);
    for (uint32_t i = 0; i < calls; i++) {
        expect_status(rig_call(r, REQUEST), status);
    }
    uint32_t there = 0;
    for (uint32_t i = 0; i < r->arrival_count; i++) {
        there += r->arrival_server[i] == server;
    }
    return there;
}

/* Calls once; the server, whose index is returned, answers by the step. */
static uint32_t call_first(rig_t* r, rig_step_t step, const char* status) {
    rig_script(r, &step, 1);
    expect_status(rig_call(r, REQUEST), status);
    return r->arrival_server[0];
}

/* -- leaving -------------------------------------------------------------- */

START_TEST(a_server_that_says_it_leaves_gets_nothing_more) {
    rig_t* r = rig_setup(ROUTES, 2);
    uint32_t leaving = call_first(r, (rig_step_t)LEAVES, "200");
    ck_assert_uint_eq(call(r, CALLS, "200", leaving), 0);
    rig_shutdown(r);
}
END_TEST

/* A list read before it left, a list that lacks it for a moment, and the end of an outage: it has left all the same. */
START_TEST(no_list_brings_a_server_back_that_said_it_leaves) {
    rig_t* r = rig_setup(ROUTES, 2);
    uint32_t leaving = call_first(r, (rig_step_t)LEAVES, "200");
    rig_set_servers(r, 2, 0);
    ck_assert_uint_eq(call(r, CALLS, "200", leaving), 0);
    rig_set_servers(r, 0, 0);
    rig_set_servers_at(r, clock_ms(), 2, 0, true);
    ck_assert_uint_eq(call(r, CALLS, "200", leaving), 0);
    rig_shutdown(r);
}
END_TEST

/* The word comes while a connection is being opened: nothing has been sent, and the other server gets the request. */
START_TEST(a_request_that_is_about_to_be_sent_goes_elsewhere) {
    rig_t* r = rig_setup(ROUTES, 2);
    r->departing = 1;
    call(r, 1, "200", 0);
    ck_assert_uint_eq(r->arrival_count, 1);
    r->departing = 1;
    expect_status(rig_call(r, REQUEST), "503");
    rig_shutdown(r);
}
END_TEST

/* Whatever it answers to: a health check, or a request that it turns away. */
START_TEST(any_answer_tells_that_a_server_leaves) {
    rig_t* r = rig_setup(ROUTES, 2);
    uint32_t leaving = call_first(r,
                                  (rig_step_t){RIG_ANSWER, "HTTP/1.1 503 No\r\nChalkway-Request-Id: @ID@\r\n"
                                                           "Chalkway-Not-Run: 1\r\nChalkway-Server-Leaving: 1\r\n"
                                                           "Content-Length: 0\r\n\r\n"},
                                  "503");
    ck_assert_uint_eq(call(r, CALLS, "200", leaving), 0);
    rig_shutdown(r);
}
END_TEST

START_TEST(another_word_than_yes_changes_nothing) {
    rig_t* r = rig_setup(ROUTES, 1);
    call_first(r,
               (rig_step_t){RIG_ANSWER, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nChalkway-Server-Leaving: 0\r\n"
                                        "Content-Length: 4\r\n\r\nfine"},
               "200");
    ck_assert_uint_eq(call(r, CALLS, "200", 0), CALLS);
    rig_shutdown(r);
}
END_TEST

/* -- rest ----------------------------------------------------------------- */

START_TEST(a_server_that_asked_for_rest_gets_nothing_until_it_is_over) {
    rig_t* r = rig_setup(ROUTES, 2);
    uint32_t resting = call_first(r, (rig_step_t)AWAY("30"), "503");
    cw_clock_suspend(UNDER_WAY_MS);
    ck_assert_uint_eq(call(r, CALLS, "200", resting), 0);
    cw_clock_suspend(REST_MS / 2);
    ck_assert_uint_eq(call(r, CALLS, "200", resting), 0);
    cw_clock_suspend(REST_MS);
    rig_set_servers(r, 2, 2 - resting); /* the other one leaves */
    ck_assert_uint_eq(call(r, CALLS, "200", resting), CALLS);
    rig_shutdown(r);
}
END_TEST

/* None is tried after all: the caller is told at once, and when to come back. */
START_TEST(where_all_rest_a_request_is_refused_with_the_soonest_end) {
    rig_t* r = rig_setup(ROUTES, 1);
    call_first(r, (rig_step_t)AWAY("30"), "503");
    cw_clock_suspend(UNDER_WAY_MS);
    ck_assert_uint_eq(call(r, 3, "503", 0), 0);
    const char* field = strstr(cw_buffer_text(&r->answer), "Retry-After: ");
    ck_assert_msg(field && atof(field + strlen("Retry-After: ")) > 20, "%s", cw_buffer_text(&r->answer));
    rig_shutdown(r);
}
END_TEST

/* A later answer neither shortens a rest nor, served, ends it. */
START_TEST(a_rest_is_never_shortened) {
    rig_t* r = rig_setup(ROUTES, 1);
    call_first(r, (rig_step_t)AWAY("30"), "503");
    server_t* s = upstreams_pool(r->upstreams, "p")->servers;
    cw_balance_rest(s->pool->balance, clock_ms(), s->key, 1);
    cw_clock_suspend(UNDER_WAY_MS);
    ck_assert_uint_eq(call(r, 3, "503", 0), 0);
    rig_shutdown(r);
}
END_TEST

/* What waited for the end doesn't come all at once. */
START_TEST(after_a_rest_a_server_is_used_slowly_at_first) {
    cw_rest_t rest = {0};
    ck_assert_uint_eq(cw_rest_wait_ms(&rest, 1000), 0);
    cw_rest_ask(&rest, 1000, 3000);
    ck_assert_uint_eq(cw_rest_wait_ms(&rest, 1500), 2500);
    uint32_t sent = 0;
    for (int64_t now_ms = 4000; now_ms < 4500; now_ms += 5) {
        for (uint32_t i = 0; i < 10 && !cw_rest_wait_ms(&rest, now_ms); i++) {
            cw_rest_take(&rest, now_ms);
            sent++;
        }
    }
    ck_assert_uint_ge(sent, 5);
    ck_assert_uint_le(sent, 12);
    ck_assert_uint_eq(cw_rest_wait_ms(&rest, 6000), 0);
}
END_TEST

/* -- what can be read ----------------------------------------------------- */

START_TEST(odd_values_change_nothing_and_huge_ones_are_bounded) {
    static const char* const odd[] = {
        "", " ", "-1", "1e3", "inf", "nan", "0x10", "1.2.3", "1,5", "3 s", "+1", ".", "Thu, 03 Dec 2026 08:00:00 GMT"};
    for (size_t i = 0; i < sizeof(odd) / sizeof(*odd); i++) {
        double per_s = 7;
        uint32_t ms = 7;
        ck_assert_msg(!cw_pushback_limit(odd[i], &per_s) && !cw_pushback_rest(odd[i], 1000, &ms), "%s", odd[i]);
        ck_assert(per_s == 7 && ms == 7);
    }
    double per_s = 0;
    uint32_t ms = 0;
    ck_assert(cw_pushback_limit(" 2.5 ", &per_s) && per_s == 2.5);
    ck_assert(cw_pushback_limit("0", &per_s) && per_s == 0);
    ck_assert(cw_pushback_limit("99999999999999999999", &per_s) && per_s == CW_PUSHBACK_LIMIT_MAX);
    ck_assert(cw_pushback_rest("0.0005", 1000, &ms) && ms == 1);
    ck_assert(cw_pushback_rest("0", 1000, &ms) && ms == 0);
    ck_assert(cw_pushback_rest("99999999999999999999", 1000, &ms) && ms == 1000);
    ck_assert(!cw_pushback_limit(NULL, &per_s) && !cw_pushback_rest(NULL, 1000, &ms));
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_rest_is_never_shortened);
    tcase_add_test(t, after_a_rest_a_server_is_used_slowly_at_first);
    tcase_add_test(t, odd_values_change_nothing_and_huge_ones_are_bounded);
    tcase_add_test(t, a_server_that_says_it_leaves_gets_nothing_more);
    tcase_add_test(t, no_list_brings_a_server_back_that_said_it_leaves);
    tcase_add_test(t, a_request_that_is_about_to_be_sent_goes_elsewhere);
    tcase_add_test(t, any_answer_tells_that_a_server_leaves);
    tcase_add_test(t, another_word_than_yes_changes_nothing);
    tcase_add_test(t, a_server_that_asked_for_rest_gets_nothing_until_it_is_over);
    tcase_add_test(t, where_all_rest_a_request_is_refused_with_the_soonest_end);
}

int main(void) {
    return run_suite("pushback", add_tests, 60);
}
