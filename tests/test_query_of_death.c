/*
    A query of death: a request that crashes each server that begins to run it.

    Guards against unlimited retries of such a request. With nine engines that restarted within seconds, one body that
    came about twice a second, under new ids and at any host, crashed 39 servers in 15 seconds, and the requests that
    ran beside it broke with them. The gateway sent the request to another server after each crash, and its caller
    sent it again under another id. Attempts, retry budget and suspicions are recorded by id, pool and server, so
    nothing identified the body. The crashes ended when the body stopped.

    The test sends the same request three times, each under its own id, to three servers that close without a
    response. Such a request may crash at most three servers in all.
*/
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"limits\":{\"head_bytes\":2000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":20000},"         \
    "\"pools\":[{\"name\":\"p\",\"health\":\"/health\"}],\"routes\":["                                                 \
    "{\"name\":\"again\",\"host\":\"h.example\",\"prefix\":\"/again/\",\"kind\":\"repeatable\",\"timeout_ms\":5000,"   \
    "\"target_ms\":2000,\"attempts\":2,\"open\":true,\"pools\":[{\"pool\":\"p\"}]}]}"

#define OK(body, length) "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: " length "\r\n\r\n" body
#define CLOSE_WITHOUT_RESPONSE                                                                                         \
    { RIG_RESPOND_CLOSE, "" }

static const char* send_request(rig_t* r, const char* id, const char* body) {
    char text[400];
    snprintf(text, sizeof(text),
             "POST /again/x HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
             id, strlen(body), body);
    return rig_call(r, text);
}

static void expect_status(const char* response, const char* status) {
    ck_assert_msg(strncmp(response, "HTTP/1.1 ", 9) == 0 && strncmp(response + 9, status, 3) == 0, "wanted %s, got: %s",
                  status, response);
}

START_TEST(request_that_crashed_three_servers_is_sent_to_no_other) {
    rig_t* r = rig_setup(ROUTES, 3);
    rig_script(r,
               (rig_step_t[]){CLOSE_WITHOUT_RESPONSE, CLOSE_WITHOUT_RESPONSE, CLOSE_WITHOUT_RESPONSE,
                              CLOSE_WITHOUT_RESPONSE, CLOSE_WITHOUT_RESPONSE, CLOSE_WITHOUT_RESPONSE},
               6);
    expect_status(send_request(r, "q1", "the same"), "502");
    expect_status(send_request(r, "q2", "the same"), "502");
    expect_status(send_request(r, "q3", "the same"), "503");
    ck_assert_uint_eq(r->arrival_count, 3);
    rig_shutdown(r);
}
END_TEST

/* The fingerprint of a request that send_request sends with this body. Every host computes the same one. */
static cw_fingerprint_t fingerprint(const char* body) {
    return cw_fingerprint(
        0, &(cw_fingerprint_parts_t){
               .method = "POST", .host = "h.example", .target = "/again/x", .body = body, .size = strlen(body)});
}

static uint32_t crashes_of(rig_t* r, cw_fingerprint_t request) {
    cw_suspects_t suspects = {.count = 1, .items = {request}};
    return quarantine_check(r->quarantine, &suspects, upstreams_pool(r->upstreams, "p")).crashes;
}

/* Other hosts report three servers that crashed under the request, a second apart. */
static void receive_three_crashes(rig_t* r, const char* body) {
    for (uint32_t i = 0; i < 3; i++) {
        quarantine_on_observation(r->quarantine, &(cw_quarantine_observation_t){.kind = CW_OBSERVED_CRASH,
                                                                                .suspect = fingerprint(body),
                                                                                .incarnation = 900 + i,
                                                                                .age_ms = 3000 - 1000 * i});
    }
}

START_TEST(observations_of_other_hosts_quarantine_that_request_only) {
    rig_t* r = rig_setup(ROUTES, 3);
    rig_script(r, (rig_step_t[]){{RIG_RESPOND, OK("fine", "4")}}, 1);
    receive_three_crashes(r, "the same");
    const char* response = send_request(r, "q1", "the same");
    expect_status(response, "503");
    ck_assert(strstr(response, "Retry-After: 179") && strstr(response, "servers ended under it"));
    expect_status(send_request(r, "q2", "another"), "200");
    ck_assert_uint_eq(r->arrival_count, 1);
    rig_shutdown(r);
}
END_TEST

static void on_observations_due(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    receive_three_crashes(w->data, "the same");
}

/* The request runs at the first server when the observations arrive. That server is spared, and the caller gets a
   response at once. */
START_TEST(running_request_is_aborted_when_it_becomes_quarantined) {
    rig_t* r = rig_setup(ROUTES, 3);
    ev_timer observations_timer;
    rig_script(r, (rig_step_t[]){{RIG_NO_RESPONSE, NULL}}, 1);
    ev_timer_init(&observations_timer, on_observations_due, 0.05, 0.0);
    observations_timer.data = r;
    ev_timer_start(r->loop, &observations_timer);
    expect_status(send_request(r, "q1", "the same"), "502");
    ck_assert_uint_eq(r->arrival_count, 1);
    rig_shutdown(r);
}
END_TEST

/* Other hosts report four servers that crashed under the request, three of them at the same moment as another server.
 */
static void receive_crashes_up_to_a_trial(rig_t* r, const char* body) {
    uint32_t pool = cw_quarantine_pool(upstreams_pool(r->upstreams, "p")->id);
    for (uint32_t i = 0; i < 4; i++) {
        cw_quarantine_observation_t crash = {.kind = CW_OBSERVED_CRASH,
                                             .suspect = fingerprint(body),
                                             .incarnation = 900 + i,
                                             .pool = pool,
                                             .age_ms = 4000 - 1000 * i};
        quarantine_on_observation(r->quarantine, &crash);
        crash.suspect = (cw_fingerprint_t){0};
        crash.incarnation = 950 + i;
        if (i < 3) {
            quarantine_on_observation(r->quarantine, &crash);
        }
    }
}

static void send_response(struct ev_loop* loop, ev_timer* w, int events) {
    static const char text[] = "HTTP/1.1 200 OK\r\nChalkway-Request-Id: q1\r\nContent-Length: 4\r\n\r\nfine";
    (void)loop;
    (void)events;
    rig_t* r = w->data;
    cw_stream_write(&r->conns[0].stream, text, sizeof(text) - 1);
    cw_stream_flush(&r->conns[0].stream);
}

/* Guards against a trial that ends itself: the attempt was ended by the verdict that its own announcement completed,
   and the request was quarantined. */
START_TEST(an_attempt_on_trial_runs_to_its_end) {
    rig_t* r = rig_setup(ROUTES, 3);
    ev_timer response_timer;
    rig_script(r, (rig_step_t[]){{RIG_NO_RESPONSE, NULL}, {RIG_RESPOND, OK("fine", "4")}}, 2);
    receive_crashes_up_to_a_trial(r, "the same");
    ev_timer_init(&response_timer, send_response, 0.15, 0.0);
    response_timer.data = r;
    ev_timer_start(r->loop, &response_timer);
    expect_status(send_request(r, "q1", "the same"), "200");
    expect_status(send_request(r, "q2", "the same"), "200");
    ck_assert_uint_eq(crashes_of(r, fingerprint("the same")), 0);
    rig_shutdown(r);
}
END_TEST

/* Guards against the end of a sound response that has long been written: three servers had ended under its content, one
   of them for another reason that became unknown, so that the crashes got their full weight while it ran. */
START_TEST(a_response_that_is_written_for_a_while_is_not_ended) {
    rig_t* r = rig_setup(ROUTES, 3);
    ev_timer observations_timer;
    rig_script(r, (rig_step_t[]){{RIG_RESPOND, OK("begin", "14") RIG_SILENT_MS(400) "more" RIG_SILENT_MS(400) "ended"}},
               1);
    ev_timer_init(&observations_timer, on_observations_due, 0.6, 0.0);
    observations_timer.data = r;
    ev_timer_start(r->loop, &observations_timer);
    const char* response = send_request(r, "q1", "the same");
    expect_status(response, "200");
    ck_assert_msg(strstr(response, "beginmoreended"), "%s", response);
    rig_shutdown(r);
}
END_TEST

/* Two servers crash under an ordinary request, and the third one serves it: it is not quarantined, then or later. */
START_TEST(complete_response_clears_a_request_with_two_crashes) {
    rig_t* r = rig_setup(ROUTES, 3);
    rig_script(r,
               (rig_step_t[]){CLOSE_WITHOUT_RESPONSE,
                              CLOSE_WITHOUT_RESPONSE,
                              {RIG_RESPOND, OK("fine", "4")},
                              CLOSE_WITHOUT_RESPONSE,
                              {RIG_RESPOND, OK("fine", "4")}},
               5);
    expect_status(send_request(r, "q1", "ordinary"), "502");
    expect_status(send_request(r, "q2", "ordinary"), "200");
    expect_status(send_request(r, "q3", "ordinary"), "200");
    cw_fingerprint_t request = fingerprint("ordinary");
    ck_assert_uint_eq(crashes_of(r, request), 0);
    rig_shutdown(r);
}
END_TEST

static void send_late_response(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    rig_t* r = w->data;
    rig_conn_t* first = &r->conns[0];
    cw_stream_write(&first->stream, "HTTP/1.1 200 OK\r\n", 17);
    cw_stream_flush(&first->stream);
    ev_break(r->loop, EVBREAK_ALL);
}

/* One connection breaks, and 0.35 s later the server sends data on an older one: it did not crash. */
START_TEST(data_on_an_older_connection_revokes_a_presumed_crash) {
    static const char text[] = "POST /again/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n";
    rig_t* r = rig_setup(ROUTES, 1);
    cw_stream_t other;
    ev_timer late;
    rig_script(r, (rig_step_t[]){{RIG_NO_RESPONSE, NULL}, CLOSE_WITHOUT_RESPONSE}, 2);
    rig_send_from_other_caller(r, &other, text);
    while (!r->arrival_count) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    usleep(2000); /* so that the next connection is younger */
    expect_status(send_request(r, "q1", "the same"), "502");
    cw_fingerprint_t request = fingerprint("the same");
    ck_assert_uint_eq(crashes_of(r, request), 1);
    ev_timer_init(&late, send_late_response, 0.35, 0.0);
    late.data = r;
    ev_timer_start(r->loop, &late);
    rig_run(r);
    while (crashes_of(r, request)) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    cw_stream_close(&other);
    rig_shutdown(r);
}
END_TEST

/* An operator lists the quarantined requests and releases one: the next copy of it is sent. */
START_TEST(operator_lists_and_releases_a_quarantined_request) {
    rig_t* r = rig_setup(ROUTES, 3);
    cw_buffer_t list = {0};
    char fingerprint_hex[20];
    cw_fingerprint_t request = fingerprint("the same");
    snprintf(fingerprint_hex, sizeof(fingerprint_hex), "%016llx", (unsigned long long)request.content_hash);
    rig_script(r, (rig_step_t[]){{RIG_RESPOND, OK("fine", "4")}}, 1);
    receive_three_crashes(r, "the same");
    expect_status(send_request(r, "q1", "the same"), "503");
    quarantine_write_json(r->quarantine, &list);
    ck_assert(strstr(cw_buffer_text(&list), fingerprint_hex) && strstr(cw_buffer_text(&list), "\"held\""));
    ck_assert(!quarantine_release(r->quarantine, "77", "0"));
    uint32_t published = r->observations_published;
    ck_assert(quarantine_release(r->quarantine, fingerprint_hex, "0"));
    ck_assert_uint_eq(r->observations_published, published + 1);
    expect_status(send_request(r, "q2", "the same"), "200");
    cw_buffer_free(&list);
    rig_shutdown(r);
}
END_TEST

/* A server crashes under two requests, and the budget has one retry left. Both would be retried over connections that
   take a moment to open, so the retry must be reserved when it is decided. Without that, when half of nine engines
   crashed at once, 391 retries were sent in ten seconds where 359 were allowed. */
START_TEST(requests_that_fail_together_share_the_remaining_retry_budget) {
    static const char text[] = "POST /again/y HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n";
    rig_t* r = rig_setup(ROUTES, 1);
    cw_stream_t others[2];
    rig_script(r,
               (rig_step_t[]){
                   {RIG_NO_RESPONSE, NULL}, {RIG_NO_RESPONSE, NULL}, {RIG_NO_RESPONSE, NULL}, {RIG_NO_RESPONSE, NULL}},
               4);
    for (int i = 0; i < 2; i++) {
        rig_send_from_other_caller(r, &others[i], text);
    }
    while (r->arrival_count < 2) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    rig_set_servers(r, 3, 0);
    pool_t* pool = upstreams_pool(r->upstreams, "p");
    pool->retries = (cw_retry_window_t){.ratio = 0, .slack = 1, .window_ms = 60000, .daemons = 1};
    for (uint32_t i = 0; i < 2; i++) {
        r->conns[i].is_open = false;
        cw_stream_close(&r->conns[i].stream);
    }
    while (exchanges_stats(r->exchanges).sends < 3 || exchanges_stats(r->exchanges).outcomes[EXCHANGE_FAILED] < 1) {
        ck_assert_uint_le(exchanges_stats(r->exchanges).sends, 3);
        ev_run(r->loop, EVRUN_ONCE);
    }
    ck_assert_uint_eq(exchanges_stats(r->exchanges).retries_sent, 1);
    for (int i = 0; i < 2; i++) {
        cw_stream_close(&others[i]);
    }
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, observations_of_other_hosts_quarantine_that_request_only);
    tcase_add_test(t, running_request_is_aborted_when_it_becomes_quarantined);
    tcase_add_test(t, an_attempt_on_trial_runs_to_its_end);
    tcase_add_test(t, a_response_that_is_written_for_a_while_is_not_ended);
    tcase_add_test(t, complete_response_clears_a_request_with_two_crashes);
    tcase_add_test(t, data_on_an_older_connection_revokes_a_presumed_crash);
    tcase_add_test(t, requests_that_fail_together_share_the_remaining_retry_budget);
    tcase_add_test(t, operator_lists_and_releases_a_quarantined_request);
    tcase_add_test(t, request_that_crashed_three_servers_is_sent_to_no_other);
}

int main(void) {
    return run_suite("deadly", add_tests, 10);
}
