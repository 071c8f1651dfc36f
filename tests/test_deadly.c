/*
    A request that ends each server that begins to run it.

    Seen: with nine engines that come back seconds after they ended, a body that came about twice a second, under new
   ids and at any host, ended 39 servers in 15 seconds, and what ran beside it broke with them. How it came about: a
   request that loses its server is sent to another one, and its caller sends it again under another id. Cause:
   attempts, the window of repeats and suspicions are kept by id, pool and server, so nothing knew it again. Proof: the
   servers ended under one body whatever its id and host, and no more once that body stopped; nothing else was common to
   them.

    Pattern here: the same request three times, each under its own id, at three servers that close without an answer.
    Three servers is what such a request is allowed in all.
*/
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"limits\":{\"head_bytes\":2000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":20000},"         \
    "\"pools\":[{\"name\":\"p\",\"health\":\"/health\"}],\"routes\":["                                                 \
    "{\"name\":\"again\",\"host\":\"h.example\",\"prefix\":\"/again/\",\"kind\":\"repeatable\",\"timeout_ms\":5000,"   \
    "\"target_ms\":2000,\"attempts\":2,\"open\":true,\"pools\":[{\"pool\":\"p\"}]}]}"

#define OK(body, length) "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: " length "\r\n\r\n" body
#define CLOSES                                                                                                         \
    { RIG_ANSWER_CLOSE, "" }

static const char* ask(rig_t* r, const char* id, const char* body) {
    char text[400];
    snprintf(text, sizeof(text),
             "POST /again/x HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n%s",
             id, strlen(body), body);
    return rig_call(r, text);
}

static void expect_status(const char* answer, const char* status) {
    ck_assert_msg(strncmp(answer, "HTTP/1.1 ", 9) == 0 && strncmp(answer + 9, status, 3) == 0, "wanted %s, got: %s",
                  status, answer);
}

START_TEST(a_request_that_ended_three_servers_is_sent_to_no_other) {
    rig_t* r = rig_setup(ROUTES, 3);
    rig_script(r, (rig_step_t[]){CLOSES, CLOSES, CLOSES, CLOSES, CLOSES, CLOSES}, 6);
    expect_status(ask(r, "q1", "the same"), "502");
    expect_status(ask(r, "q2", "the same"), "502");
    expect_status(ask(r, "q3", "the same"), "503");
    ck_assert_uint_eq(r->arrival_count, 3);
    rig_shutdown(r);
}
END_TEST

/* What the request above is, as every host makes it. */
static cw_fingerprint_t fingerprint(const char* body) {
    return cw_fingerprint(
        0, &(cw_fingerprint_parts_t){
               .method = "POST", .host = "h.example", .target = "/again/x", .body = body, .size = strlen(body)});
}

/* Other hosts tell that three servers ended under it, a second apart. */
static void hear_of_three_ends(rig_t* r, const char* body) {
    for (uint32_t i = 0; i < 3; i++) {
        quarantine_on_mark(r->quarantine, &(cw_mark_t){.kind = CW_MARK_ENDED,
                                                       .request = fingerprint(body),
                                                       .life = 900 + i,
                                                       .age_ms = 3000 - 1000 * i});
    }
}

START_TEST(what_others_saw_holds_a_request_that_never_came_here_and_no_other) {
    rig_t* r = rig_setup(ROUTES, 3);
    rig_script(r, (rig_step_t[]){{RIG_ANSWER, OK("fine", "4")}}, 1);
    hear_of_three_ends(r, "the same");
    const char* answer = ask(r, "q1", "the same");
    expect_status(answer, "503");
    ck_assert(strstr(answer, "Retry-After: 179") && strstr(answer, "servers ended under it"));
    expect_status(ask(r, "q2", "another"), "200");
    ck_assert_uint_eq(r->arrival_count, 1);
    rig_shutdown(r);
}
END_TEST

static void on_news(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    hear_of_three_ends(w->data, "the same");
}

/* It runs at the first server as the news comes: that server is spared, and the caller is answered at once. */
START_TEST(one_that_runs_as_the_news_comes_is_given_up) {
    rig_t* r = rig_setup(ROUTES, 3);
    ev_timer news;
    rig_script(r, (rig_step_t[]){{RIG_SILENT, NULL}}, 1);
    ev_timer_init(&news, on_news, 0.05, 0.0);
    news.data = r;
    ev_timer_start(r->loop, &news);
    expect_status(ask(r, "q1", "the same"), "502");
    ck_assert_uint_eq(r->arrival_count, 1);
    rig_shutdown(r);
}
END_TEST

/* Two servers end under each of many ordinary requests, which are answered by the third: none is held, then or later.
 */
START_TEST(an_answer_clears_what_shared_two_ends) {
    rig_t* r = rig_setup(ROUTES, 3);
    rig_script(r, (rig_step_t[]){CLOSES, CLOSES, {RIG_ANSWER, OK("fine", "4")}, CLOSES, {RIG_ANSWER, OK("fine", "4")}},
               5);
    expect_status(ask(r, "q1", "ordinary"), "502");
    expect_status(ask(r, "q2", "ordinary"), "200");
    expect_status(ask(r, "q3", "ordinary"), "200");
    cw_fingerprint_t request = fingerprint("ordinary");
    ck_assert_uint_eq(quarantine_check(r->quarantine, &request).ends, 0);
    rig_shutdown(r);
}
END_TEST

static void on_late_answer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    rig_t* r = w->data;
    rig_conn_t* first = &r->conns[0];
    cw_stream_write(&first->stream, "HTTP/1.1 200 OK\r\n", 17);
    cw_stream_flush(&first->stream);
    ev_break(r->loop, EVBREAK_ALL);
}

/* One connection breaks, and 0.35 s later the server goes on over another one that is older: it did not end. */
START_TEST(a_server_that_goes_on_over_an_older_connection_did_not_end) {
    static const char text[] = "POST /again/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n";
    rig_t* r = rig_setup(ROUTES, 1);
    cw_stream_t other;
    ev_timer late;
    rig_script(r, (rig_step_t[]){{RIG_SILENT, NULL}, CLOSES}, 2);
    rig_send_beside(r, &other, text);
    while (!r->arrival_count) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    usleep(2000); /* the next connection is younger */
    expect_status(ask(r, "q1", "the same"), "502");
    cw_fingerprint_t request = fingerprint("the same");
    ck_assert_uint_eq(quarantine_check(r->quarantine, &request).ends, 1);
    ev_timer_init(&late, on_late_answer, 0.35, 0.0);
    late.data = r;
    ev_timer_start(r->loop, &late);
    rig_run(r);
    while (quarantine_check(r->quarantine, &request).ends) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    cw_stream_close(&other);
    rig_shutdown(r);
}
END_TEST

/* An operator sees what is held back, and releases it: the next one is sent. */
START_TEST(an_operator_lists_and_releases_what_is_held) {
    rig_t* r = rig_setup(ROUTES, 3);
    cw_buffer_t list = {0};
    char fingerprint_hex[20];
    cw_fingerprint_t request = fingerprint("the same");
    snprintf(fingerprint_hex, sizeof(fingerprint_hex), "%016llx", (unsigned long long)request.content);
    rig_script(r, (rig_step_t[]){{RIG_ANSWER, OK("fine", "4")}}, 1);
    hear_of_three_ends(r, "the same");
    expect_status(ask(r, "q1", "the same"), "503");
    quarantine_write(r->quarantine, &list);
    ck_assert(strstr(cw_buffer_text(&list), fingerprint_hex) && strstr(cw_buffer_text(&list), "\"held\""));
    ck_assert(!quarantine_release(r->quarantine, "77", "0"));
    uint32_t told = r->observations_published;
    ck_assert(quarantine_release(r->quarantine, fingerprint_hex, "0"));
    ck_assert_uint_eq(r->observations_published, told + 1);
    expect_status(ask(r, "q2", "the same"), "200");
    cw_buffer_free(&list);
    rig_shutdown(r);
}
END_TEST

/* A server ends under two requests, and the budget has one repeat left. Both are sent again over connections that take
   a moment to come up: what was decided for the first one must count for the second. Seen with half of nine engines
   ending at once: 391 repeats in ten seconds where 359 were allowed. */
START_TEST(requests_that_break_at_once_share_what_is_left_of_the_budget) {
    static const char text[] = "POST /again/y HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n";
    rig_t* r = rig_setup(ROUTES, 1);
    cw_stream_t others[2];
    rig_script(r, (rig_step_t[]){{RIG_SILENT, NULL}, {RIG_SILENT, NULL}, {RIG_SILENT, NULL}, {RIG_SILENT, NULL}}, 4);
    for (int i = 0; i < 2; i++) {
        rig_send_beside(r, &others[i], text);
    }
    while (r->arrival_count < 2) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    rig_set_servers(r, 3, 0);
    pool_t* pool = upstreams_pool(r->upstreams, "p");
    pool->retries = (cw_retry_window_t){.ratio = 0, .slack = 1, .window_ms = 60000, .daemons = 1};
    for (uint32_t i = 0; i < 2; i++) {
        r->conns[i].open = false;
        cw_stream_close(&r->conns[i].stream);
    }
    while (exchanges_stats(r->exchanges).sends < 3 || exchanges_stats(r->exchanges).outcomes[EXCHANGE_FAILED] < 1) {
        ck_assert_uint_le(exchanges_stats(r->exchanges).sends, 3);
        ev_run(r->loop, EVRUN_ONCE);
    }
    ck_assert_uint_eq(exchanges_stats(r->exchanges).repeats, 1);
    for (int i = 0; i < 2; i++) {
        cw_stream_close(&others[i]);
    }
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, what_others_saw_holds_a_request_that_never_came_here_and_no_other);
    tcase_add_test(t, one_that_runs_as_the_news_comes_is_given_up);
    tcase_add_test(t, an_answer_clears_what_shared_two_ends);
    tcase_add_test(t, a_server_that_goes_on_over_an_older_connection_did_not_end);
    tcase_add_test(t, requests_that_break_at_once_share_what_is_left_of_the_budget);
    tcase_add_test(t, an_operator_lists_and_releases_what_is_held);
    tcase_add_test(t, a_request_that_ended_three_servers_is_sent_to_no_other);
}

int main(void) {
    return run_suite("deadly", add_tests, 10);
}
