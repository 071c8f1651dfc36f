/*
    Servers that announce in a response that they are leaving, or ask this host for a backoff.

    Guards against ignoring such announcements. While the source was unavailable, hosts went on sending to a server
    for nine seconds after its response had announced that it is leaving. On another day, servers that shed load
    rejected requests with Retry-After, and the same host went on sending them as many requests in that time as
    before. Each of these requests went to a server that had refused, though others had free slots. The only part of a
    response's head that was evaluated was "not run", which counted as no free slot for 100 ms. So only a new server
    list ended the sends.

    The tests script one response with an announcement and requests after it, and move the test clock (io/clock.h)
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
#define OK_RESPONSE                                                                                                    \
    { RIG_RESPOND, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: 4\r\n\r\nfine" }
#define LEAVING_RESPONSE                                                                                               \
    {                                                                                                                  \
        RIG_RESPOND, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nChalkway-Server-Leaving: 1\r\n"                  \
                     "Content-Length: 4\r\n\r\nfine"                                                                   \
    }
#define BACKOFF_RESPONSE(retry_after)                                                                                  \
    {                                                                                                                  \
        RIG_RESPOND,                                                                                                   \
            "HTTP/1.1 503 No\r\nChalkway-Request-Id: @ID@\r\nChalkway-Not-Run: 1\r\nRetry-After: " retry_after         \
            "\r\nContent-Length: 0\r\n\r\n"                                                                            \
    }
#define REJECT_LIMIT_RESPONSE                                                                                          \
    {                                                                                                                  \
        RIG_RESPOND, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nChalkway-Server-Reject-Limit: 3\r\n"             \
                     "Content-Length: 4\r\n\r\nfine"                                                                   \
    }
#define CALLS 8
#define BACKOFF_MS 30000
#define IN_FLIGHT_MS 500 /* requests that were in flight when the server responded may still arrive for this time */

static void expect_status(const char* response, const char* status) {
    ck_assert_msg(strncmp(response, "HTTP/1.1 ", 9) == 0 && strncmp(response + 9, status, 3) == 0, "wanted %s, got: %s",
                  status, response);
}

/* Makes this many calls one after the other and checks the status of each. Returns how many reached the server. */
static uint32_t make_calls(rig_t* r, uint32_t calls, const char* status, uint32_t server) {
    rig_step_t steps[CALLS];
    for (uint32_t i = 0; i < CALLS; i++) {
        steps[i] = (rig_step_t)OK_RESPONSE;
    }
    rig_script(r, steps, CALLS);
    for (uint32_t i = 0; i < calls; i++) {
        expect_status(rig_call(r, REQUEST), status);
    }
    uint32_t reached = 0;
    for (uint32_t i = 0; i < r->arrival_count; i++) {
        reached += r->arrival_server[i] == server;
    }
    return reached;
}

/* Makes one call, to which a server responds as the step says. Returns the index of that server. */
static uint32_t call_first(rig_t* r, rig_step_t step, const char* status) {
    rig_script(r, &step, 1);
    expect_status(rig_call(r, REQUEST), status);
    return r->arrival_server[0];
}

/* -- leaving -------------------------------------------------------------- */

START_TEST(server_that_announces_leaving_gets_no_more_requests) {
    rig_t* r = rig_setup(ROUTES, 2);
    uint32_t leaving = call_first(r, (rig_step_t)LEAVING_RESPONSE, "200");
    ck_assert_uint_eq(make_calls(r, CALLS, "200", leaving), 0);
    rig_shutdown(r);
}
END_TEST

/* Neither a list that was read before the announcement, nor one that lacks the server for a moment, nor the end of an
   outage brings the leaving server back. */
START_TEST(no_server_list_brings_a_leaving_server_back) {
    rig_t* r = rig_setup(ROUTES, 2);
    uint32_t leaving = call_first(r, (rig_step_t)LEAVING_RESPONSE, "200");
    rig_set_servers(r, 2, 0);
    ck_assert_uint_eq(make_calls(r, CALLS, "200", leaving), 0);
    rig_set_servers(r, 0, 0);
    rig_set_servers_at(r, clock_ms(), 2, 0, true);
    ck_assert_uint_eq(make_calls(r, CALLS, "200", leaving), 0);
    rig_shutdown(r);
}
END_TEST

/* The announcement arrives while a connection is being opened. Nothing has been sent, so the other server gets the
   request. */
START_TEST(request_not_sent_yet_goes_to_another_server) {
    rig_t* r = rig_setup(ROUTES, 2);
    r->leaving_count = 1;
    make_calls(r, 1, "200", 0);
    ck_assert_uint_eq(r->arrival_count, 1);
    r->leaving_count = 1;
    expect_status(rig_call(r, REQUEST), "503");
    rig_shutdown(r);
}
END_TEST

/* The response to a health check, or to a request that the server rejects, can announce leaving as well. */
START_TEST(any_response_can_announce_leaving) {
    rig_t* r = rig_setup(ROUTES, 2);
    uint32_t leaving = call_first(r,
                                  (rig_step_t){RIG_RESPOND, "HTTP/1.1 503 No\r\nChalkway-Request-Id: @ID@\r\n"
                                                            "Chalkway-Not-Run: 1\r\nChalkway-Server-Leaving: 1\r\n"
                                                            "Content-Length: 0\r\n\r\n"},
                                  "503");
    ck_assert_uint_eq(make_calls(r, CALLS, "200", leaving), 0);
    rig_shutdown(r);
}
END_TEST

START_TEST(other_values_of_the_leaving_field_change_nothing) {
    rig_t* r = rig_setup(ROUTES, 1);
    call_first(r,
               (rig_step_t){RIG_RESPOND,
                            "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nChalkway-Server-Leaving: 0\r\n"
                            "Content-Length: 4\r\n\r\nfine"},
               "200");
    ck_assert_uint_eq(make_calls(r, CALLS, "200", 0), CALLS);
    rig_shutdown(r);
}
END_TEST

/* -- backoff -------------------------------------------------------------- */

START_TEST(server_in_backoff_gets_no_requests_until_it_ends) {
    rig_t* r = rig_setup(ROUTES, 2);
    uint32_t backoff_server = call_first(r, (rig_step_t)BACKOFF_RESPONSE("30"), "503");
    cw_clock_simulate_suspend(IN_FLIGHT_MS);
    ck_assert_uint_eq(make_calls(r, CALLS, "200", backoff_server), 0);
    cw_clock_simulate_suspend(BACKOFF_MS / 2);
    ck_assert_uint_eq(make_calls(r, CALLS, "200", backoff_server), 0);
    cw_clock_simulate_suspend(BACKOFF_MS);
    rig_set_servers(r, 2, 2 - backoff_server); /* the other server leaves */
    ck_assert_uint_eq(make_calls(r, CALLS, "200", backoff_server), CALLS);
    rig_shutdown(r);
}
END_TEST

/* No server is tried. The caller is refused at once and told when to retry. */
START_TEST(request_is_refused_with_the_earliest_end_when_all_servers_are_in_backoff) {
    rig_t* r = rig_setup(ROUTES, 1);
    call_first(r, (rig_step_t)BACKOFF_RESPONSE("30"), "503");
    cw_clock_simulate_suspend(IN_FLIGHT_MS);
    ck_assert_uint_eq(make_calls(r, 3, "503", 0), 0);
    const char* field = strstr(cw_buffer_text(&r->response), "Retry-After: ");
    ck_assert_msg(field && atof(field + strlen("Retry-After: ")) > 20, "%s", cw_buffer_text(&r->response));
    rig_shutdown(r);
}
END_TEST

/* A later response neither shortens a backoff nor ends it by serving a request. */
START_TEST(backoff_is_never_shortened) {
    rig_t* r = rig_setup(ROUTES, 1);
    call_first(r, (rig_step_t)BACKOFF_RESPONSE("30"), "503");
    server_t* s = upstreams_pool(r->upstreams, "p")->servers;
    cw_balance_back_off(s->pool->balance, clock_ms(), s->key, 1);
    cw_clock_simulate_suspend(IN_FLIGHT_MS);
    ck_assert_uint_eq(make_calls(r, 3, "503", 0), 0);
    rig_shutdown(r);
}
END_TEST

/* Requests that waited for the end of the backoff are not sent all at once. */
START_TEST(server_gets_few_requests_at_first_after_a_backoff) {
    cw_backoff_t rest = {0};
    ck_assert_uint_eq(cw_backoff_wait_ms(&rest, 1000), 0);
    cw_backoff_start(&rest, 1000, 3000);
    ck_assert_uint_eq(cw_backoff_wait_ms(&rest, 1500), 2500);
    uint32_t sent = 0;
    for (int64_t now_ms = 4000; now_ms < 4500; now_ms += 5) {
        for (uint32_t i = 0; i < 10 && !cw_backoff_wait_ms(&rest, now_ms); i++) {
            cw_backoff_on_send(&rest, now_ms);
            sent++;
        }
    }
    ck_assert_uint_ge(sent, 5);
    ck_assert_uint_le(sent, 12);
    ck_assert_uint_eq(cw_backoff_wait_ms(&rest, 6000), 0);
}
END_TEST

/* -- valid values --------------------------------------------------------- */

START_TEST(invalid_values_change_nothing_and_huge_ones_are_bounded) {
    static const char* const invalid[] = {
        "", " ", "-1", "1e3", "inf", "nan", "0x10", "1.2.3", "1,5", "3 s", "+1", ".", "Thu, 03 Dec 2026 08:00:00 GMT"};
    for (size_t i = 0; i < sizeof(invalid) / sizeof(*invalid); i++) {
        double per_s = 7;
        uint32_t ms = 7;
        ck_assert_msg(!cw_pushback_parse_rate(invalid[i], &per_s) &&
                          !cw_pushback_parse_retry_after(invalid[i], 1000, &ms),
                      "%s", invalid[i]);
        ck_assert(per_s == 7 && ms == 7);
    }
    double per_s = 0;
    uint32_t ms = 0;
    ck_assert(cw_pushback_parse_rate(" 2.5 ", &per_s) && per_s == 2.5);
    ck_assert(cw_pushback_parse_rate("0", &per_s) && per_s == 0);
    ck_assert(cw_pushback_parse_rate("99999999999999999999", &per_s) && per_s == CW_PUSHBACK_LIMIT_MAX);
    ck_assert(cw_pushback_parse_retry_after("0.0005", 1000, &ms) && ms == 1);
    ck_assert(cw_pushback_parse_retry_after("0", 1000, &ms) && ms == 0);
    ck_assert(cw_pushback_parse_retry_after("99999999999999999999", 1000, &ms) && ms == 1000);
    ck_assert(!cw_pushback_parse_rate(NULL, &per_s) && !cw_pushback_parse_retry_after(NULL, 1000, &ms));
}
END_TEST

#define CALLERS 6
#define SLOTS 4 /* of a server, as the rig publishes it */

/* A server under strain advertises how many requests it may reject, while all callers send at once. Requests beyond its
   slots wait at the gateway and reach the server only as slots become free. Without the limit they would wait in the
   server's queue, which may be too short for them. */
START_TEST(requests_beyond_the_slots_wait_while_a_limit_on_rejections_is_advertised) {
    rig_t* r = rig_setup(ROUTES, 1);
    cw_stream_t callers[CALLERS];
    rig_script(r, (rig_step_t[]){REJECT_LIMIT_RESPONSE}, 1);
    expect_status(rig_call(r, REQUEST), "200");
    ck_assert(cw_balance_is_reject_limited(upstreams_pool(r->upstreams, "p")->balance, clock_ms()));
    rig_script(r,
               (rig_step_t[]){{RIG_NO_RESPONSE, ""},
                              {RIG_NO_RESPONSE, ""},
                              {RIG_NO_RESPONSE, ""},
                              {RIG_NO_RESPONSE, ""},
                              OK_RESPONSE,
                              OK_RESPONSE},
               CALLERS);
    for (int i = 0; i < CALLERS; i++) {
        rig_send_from_other_caller(r, &callers[i], REQUEST);
    }
    ev_tstamp end = ev_time() + 0.2;
    while (ev_time() < end) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    ck_assert_uint_eq(r->arrival_count, SLOTS);
    ck_assert_uint_eq(exchanges_stats(r->exchanges).waiting, CALLERS - SLOTS);
    for (uint32_t i = 0; i < r->conn_count; i++) { /* the server answers the requests that it runs */
        static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate";
        if (r->conns[i].is_open) {
            cw_stream_write(&r->conns[i].stream, text, strlen(text));
            cw_stream_flush(&r->conns[i].stream);
        }
    }
    while (r->arrival_count < CALLERS) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    for (int i = 0; i < CALLERS; i++) {
        cw_stream_close(&callers[i]);
    }
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, requests_beyond_the_slots_wait_while_a_limit_on_rejections_is_advertised);
    tcase_add_test(t, backoff_is_never_shortened);
    tcase_add_test(t, server_gets_few_requests_at_first_after_a_backoff);
    tcase_add_test(t, invalid_values_change_nothing_and_huge_ones_are_bounded);
    tcase_add_test(t, server_that_announces_leaving_gets_no_more_requests);
    tcase_add_test(t, no_server_list_brings_a_leaving_server_back);
    tcase_add_test(t, request_not_sent_yet_goes_to_another_server);
    tcase_add_test(t, any_response_can_announce_leaving);
    tcase_add_test(t, other_values_of_the_leaving_field_change_nothing);
    tcase_add_test(t, server_in_backoff_gets_no_requests_until_it_ends);
    tcase_add_test(t, request_is_refused_with_the_earliest_end_when_all_servers_are_in_backoff);
}

int main(void) {
    return run_suite("pushback", add_tests, 60);
}
