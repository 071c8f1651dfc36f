/* Requests from callers through the gateway's data path to scripted servers, in particular when servers fail. */
#include "../chalkway_stop.h"
#include "../gateway/clock.h"
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"limits\":{\"head_bytes\":2000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":20000},"         \
    "\"pools\":[{\"name\":\"p\",\"health\":\"/health\"}],\"workspaces\":[{\"name\":\"w\",\"keys\":[\"k1\",\"k2\"],"    \
    "\"tier\":3}],\"routes\":["                                                                                        \
    "{\"name\":\"once\",\"host\":\"h.example\",\"prefix\":\"/once/\",\"kind\":\"once\",\"timeout_ms\":5000,"           \
    "\"target_ms\":2000,\"attempts\":3,\"pools\":[{\"pool\":\"p\"}]},"                                                 \
    "{\"name\":\"one\",\"host\":\"h.example\",\"prefix\":\"/one/\",\"kind\":\"once\",\"timeout_ms\":5000,"             \
    "\"target_ms\":2000,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]},"                                                 \
    "{\"name\":\"again\",\"host\":\"h.example\",\"prefix\":\"/again/\",\"kind\":\"repeatable\",\"timeout_ms\":5000,"   \
    "\"target_ms\":2000,\"attempts\":2,\"pools\":[{\"pool\":\"p\"}]},"                                                 \
    "{\"name\":\"quick\",\"host\":\"h.example\",\"prefix\":\"/quick/\",\"kind\":\"repeatable\",\"timeout_ms\":5000,"   \
    "\"target_ms\":50,\"attempts\":2,\"pools\":[{\"pool\":\"p\"}]},"                                                   \
    "{\"name\":\"short\",\"host\":\"h.example\",\"prefix\":\"/short/\",\"kind\":\"once\",\"timeout_ms\":60,"           \
    "\"target_ms\":50,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]},"                                                   \
    "{\"name\":\"resume\",\"host\":\"h.example\",\"prefix\":\"/resume/\",\"kind\":\"stream\",\"resume\":true,"         \
    "\"timeout_ms\":5000,\"target_ms\":2000,\"gap_ms\":500,\"attempts\":2,\"pools\":[{\"pool\":\"p\"}]},"              \
    "{\"name\":\"stream\",\"host\":\"h.example\",\"prefix\":\"/stream/\",\"kind\":\"stream\",\"timeout_ms\":5000,"     \
    "\"target_ms\":2000,\"gap_ms\":500,\"attempts\":2,\"pools\":[{\"pool\":\"p\"}]}]}"

#define HEAD "Host: h.example\r\nAuthorization: Bearer k1\r\nChalkway-Request-Id: q1\r\n"
#define OK(body, length) "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: " length "\r\n\r\n" body
#define NOT_RUN                                                                                                        \
    "HTTP/1.1 503 Service Unavailable\r\nChalkway-Request-Id: @ID@\r\nChalkway-Not-Run: 1\r\nContent-Length: "         \
    "0\r\n\r\n"
#define EVENTS_HEAD                                                                                                    \
    "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Type: text/event-stream\r\n"                              \
    "Transfer-Encoding: chunked\r\n\r\n"

static void set_script(rig_t* r, uint32_t count, const rig_step_t* steps) {
    rig_script(r, steps, count);
}

static void expect_status(const char* response, const char* status) {
    ck_assert_msg(strncmp(response, "HTTP/1.1 ", 9) == 0 && strncmp(response + 9, status, 3) == 0, "wanted %s, got: %s",
                  status, response);
}

START_TEST(request_is_forwarded_with_fields_of_the_gateway) {
    rig_t* r = rig_setup(ROUTES, 1);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, OK("hello", "5")}});
    const char* response = rig_call(r, "POST /once/a/b?c=%20d HTTP/1.1\r\n" HEAD
                                       "Chalkway-Workspace: forged\r\nChalkway-Server: forged\r\nX-Own: 1\r\n"
                                       "Connection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 4\r\n\r\nbody");
    expect_status(response, "200");
    ck_assert(strstr(response, "\r\n\r\nhello"));
    const char* forwarded = r->arrivals[0];
    ck_assert(strncmp(forwarded, "POST /once/a/b?c=%20d HTTP/1.1\r\n", 32) == 0);
    ck_assert(strstr(forwarded, "\r\n\r\nbody"));
    ck_assert(strstr(forwarded, "Chalkway-Workspace: w\r\n"));
    ck_assert(strstr(forwarded, "Chalkway-Server: s0\r\n"));
    ck_assert(strstr(forwarded, "X-Own: 1\r\n"));
    ck_assert(strstr(forwarded, "Chalkway-Deadline-Ms: "));
    ck_assert(!strstr(forwarded, "forged") && !strstr(forwarded, "X-Hop") && !strstr(forwarded, "k1"));
    rig_shutdown(r);
}
END_TEST

START_TEST(chunked_body_and_pipelined_request_are_forwarded) {
    rig_t* r = rig_setup(ROUTES, 1);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, OK("one", "3")}, {RIG_RESPOND, OK("two", "3")}});
    const char* response = rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Transfer-Encoding: chunked\r\n\r\n"
                                       "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /again/ HTTP/1.1\r\n" HEAD "\r\n");
    expect_status(response, "200");
    while (r->arrival_count < 2 || !strstr(cw_buffer_text(&r->response), "two")) {
        rig_run(r);
    }
    ck_assert(strstr(r->arrivals[0], "\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"));
    rig_shutdown(r);
}
END_TEST

START_TEST(request_that_may_have_run_is_not_retried) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND_CLOSE, ""}});
    expect_status(rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "502");
    ck_assert_uint_eq(r->arrival_count, 1);
    rig_shutdown(r);
}
END_TEST

START_TEST(request_not_run_by_a_server_is_retried_at_another) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, NOT_RUN}, {RIG_RESPOND, OK("ran", "3")}});
    expect_status(rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "200");
    ck_assert_uint_ne(r->arrival_server[0], r->arrival_server[1]);
    rig_shutdown(r);
}
END_TEST

START_TEST(request_that_ran_nowhere_gets_503_with_retry_after) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, NOT_RUN}});
    const char* response = rig_call(r, "POST /one/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    expect_status(response, "503");
    ck_assert(strstr(response, "Retry-After: "));
    ck_assert(strstr(response, "Chalkway-Request-Id: q1\r\n"));
    rig_shutdown(r);
}
END_TEST

/* The first run was lost, the retry rejected: the request may have run all the same. */
START_TEST(rejected_retry_does_not_hide_an_earlier_run) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND_CLOSE, ""}, {RIG_RESPOND, NOT_RUN}});
    expect_status(rig_call(r, "GET /again/ HTTP/1.1\r\n" HEAD "\r\n"), "502");
    rig_shutdown(r);
}
END_TEST

START_TEST(repeatable_request_is_retried_after_reset_and_after_500) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND_RESET, ""}, {RIG_RESPOND, OK("again", "5")}});
    expect_status(rig_call(r, "GET /again/ HTTP/1.1\r\n" HEAD "\r\n"), "200");
    set_script(
        r, 2,
        (rig_step_t[]){{RIG_RESPOND, "HTTP/1.1 500 Bad\r\nChalkway-Request-Id: @ID@\r\nContent-Length: 0\r\n\r\n"},
                       {RIG_RESPOND, OK("again", "5")}});
    expect_status(rig_call(r, "GET /again/ HTTP/1.1\r\n" HEAD "\r\n"), "200");
    rig_shutdown(r);
}
END_TEST

/* A server breaks off after the head of its response: the caller gets head and body of the same response. */
START_TEST(head_and_body_come_from_the_same_server) {
    static const char* const heads[] = {
        "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nX-From: a\r\nContent-Length: 9\r\n\r\n",
        "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nX-From: a\r\nTransfer-Encoding: chunked\r\n\r\n",
        "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nX-From: a\r\n\r\n"};
    const char* complete_response =
        "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nX-From: b\r\nContent-Length: 5\r\n\r\nagain";
    for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
        rig_t* r = rig_setup(ROUTES, 2);
        set_script(r, 2, (rig_step_t[]){{RIG_RESPOND_RESET, heads[i]}, {RIG_RESPOND, complete_response}});
        const char* response = rig_call(r, "GET /again/ HTTP/1.1\r\n" HEAD "\r\n");
        ck_assert_uint_eq(r->arrival_count, 2);
        ck_assert_msg(strstr(response, "X-From: b\r\n") && !strstr(response, "X-From: a"), "%s", response);
        ck_assert(strstr(response, "Content-Length: 5\r\n") && strstr(response, "\r\n\r\nagain"));
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(error_response_of_the_last_server_is_forwarded_unchanged) {
    rig_t* r = rig_setup(ROUTES, 1);
    const char* failure = "HTTP/1.1 500 Bad\r\nChalkway-Request-Id: @ID@\r\nX-Why: w\r\nContent-Length: 3\r\n\r\nwhy";
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, failure}});
    const char* response = rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    expect_status(response, "500");
    ck_assert(strstr(response, "X-Why: w\r\n") && strstr(response, "\r\n\r\nwhy"));
    rig_shutdown(r);
}
END_TEST

/* A retry at another server prefills the prompt again, so a stream without a first event stays at its server for twice
   its target. */
START_TEST(stalled_stream_is_retried_after_two_targets) {
    static const char document[] =
        "{\"revision\":1,\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"s\",\"host\":\"h.example\","
        "\"prefix\":\"/s/\",\"kind\":\"stream\",\"resume\":true,\"open\":true,\"timeout_ms\":4000,\"target_ms\":100,"
        "\"gap_ms\":500,\"attempts\":2,\"pools\":[{\"pool\":\"p\"}]}]}";
    rig_t* r = rig_setup(document, 2);
    set_script(r, 2, (rig_step_t[]){{RIG_NO_RESPONSE, ""}, {RIG_RESPOND, OK("other", "5")}});
    int64_t begun_ms = clock_ms();
    expect_status(rig_call(r, "POST /s/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "200");
    ck_assert_uint_eq(r->arrival_count, 2);
    ck_assert_int_ge(r->arrival_ms[1] - begun_ms, 200);
    rig_shutdown(r);
}
END_TEST

START_TEST(stalled_repeatable_call_is_retried_at_another_server) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 2, (rig_step_t[]){{RIG_NO_RESPONSE, ""}, {RIG_RESPOND, OK("other", "5")}});
    expect_status(rig_call(r, "GET /quick/ HTTP/1.1\r\n" HEAD "\r\n"), "200");
    ck_assert_uint_ge(r->closed_by_gateway, 1); /* the connection to the stalled server was closed */
    rig_shutdown(r);
}
END_TEST

START_TEST(passed_deadline_gives_504_at_once) {
    rig_t* r = rig_setup(ROUTES, 1);
    set_script(r, 1, (rig_step_t[]){{RIG_NO_RESPONSE, ""}});
    expect_status(rig_call(r, "POST /short/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "504");
    rig_shutdown(r);
}
END_TEST

START_TEST(broken_stream_resumes_at_another_server_without_lost_or_repeated_events) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 2,
               (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS_HEAD "18\r\nid: 1\ndata: a\n\nid: 2\nda\r\n"},
                              {RIG_RESPOND, EVENTS_HEAD "1e\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n\r\n0\r\n\r\n"}});
    const char* response = rig_call(r, "POST /resume/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    expect_status(response, "200");
    ck_assert_uint_eq(r->arrival_count, 2);
    ck_assert(strstr(r->arrivals[1], "Last-Event-Id: 1\r\n"));
    const char* pieces[] = {"data: a\n\n", "data: b\n\n", "data: c\n\n"};
    for (int i = 0; i < 3; i++) {
        const char* first = strstr(response, pieces[i]);
        ck_assert_msg(first && !strstr(first + 1, pieces[i]), "%s in %s", pieces[i], response);
    }
    ck_assert(strstr(response, "0\r\n\r\n"));
    rig_shutdown(r);
}
END_TEST

/* The text of the second server was lost, and the answer looked complete: its ids, which are no numbers, were compared
   as such, so all its events were taken for repeats of the last one passed on. */
START_TEST(a_stream_with_ids_that_are_no_numbers_resumes_without_lost_events) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(
        r, 2,
        (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS_HEAD "16\r\nid: m-a\ndata: a\n\nid: m\r\n"},
                       {RIG_RESPOND, EVENTS_HEAD "22\r\nid: m-b\ndata: b\n\nid: m-c\ndata: c\n\n\r\n0\r\n\r\n"}});
    const char* response = rig_call(r, "POST /resume/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    ck_assert(strstr(r->arrivals[1], "Last-Event-Id: m-a\r\n"));
    ck_assert_msg(rig_is_response_complete(response) && strstr(response, "data: a\n\n") &&
                      strstr(response, "data: b\n\n") && strstr(response, "data: c\n\n"),
                  "%s", response);
    rig_shutdown(r);
}
END_TEST

/* The caller takes a stream up, and what it gets breaks off again: the other server goes on where that ended, or where
   the caller asked to go on if nothing has arrived. */
START_TEST(a_stream_that_its_caller_took_up_resumes_after_its_last_event) {
    static const char* const parts[] = {"f\r\nid: 6\ndata: a\n\n\r\n", "a\r\nid: 6\ndata\r\n", "9\r\n: note\n\n\n\r\n"};
    static const char* const last_events[] = {"Last-Event-Id: 6\r\n", "Last-Event-Id: 5\r\n", "Last-Event-Id: 5\r\n"};
    for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        char text[300];
        snprintf(text, sizeof(text), EVENTS_HEAD "%s", parts[i]);
        rig_t* r = rig_setup(ROUTES, 2);
        streams_on_history(r->streams, SOURCE_HISTORY_COMPLETE); /* one version has served, so the stream is of it */
        set_script(r, 2,
                   (rig_step_t[]){{RIG_RESPOND_CLOSE, text},
                                  {RIG_RESPOND, EVENTS_HEAD "f\r\nid: 7\ndata: b\n\n\r\n0\r\n\r\n"}});
        const char* response = rig_call(r, "POST /resume/ HTTP/1.1\r\n" HEAD
                                           "Last-Event-Id: 5\r\nChalkway-Resumes: q0\r\nContent-Length: 0\r\n\r\n");
        ck_assert_msg(rig_is_response_complete(response) && strstr(response, "data: b"), "%s", response);
        const char* field = strstr(r->arrivals[1], "Last-Event-Id:");
        ck_assert_msg(field && !strstr(field + 1, "Last-Event-Id:") &&
                          strncmp(field, last_events[i], strlen(last_events[i])) == 0,
                      "%s", r->arrivals[1]);
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(broken_stream_without_resume_does_not_look_complete) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS_HEAD "10\r\nid: 1\ndata: a\n\n\n\r\n"}});
    const char* response = rig_call(r, "POST /stream/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    ck_assert(!r->is_caller_open);
    ck_assert(!strstr(response, "\r\n0\r\n\r\n"));
    ck_assert_uint_eq(r->arrival_count, 1);
    rig_shutdown(r);
}
END_TEST

START_TEST(response_without_length_ends_with_its_connection) {
    rig_t* r = rig_setup(ROUTES, 1);
    const char* unframed = "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\n\r\nall of it";
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND_CLOSE, unframed}});
    const char* response = rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    ck_assert(strstr(response, "all of it\r\n0\r\n\r\n"));
    rig_shutdown(r);
}
END_TEST

START_TEST(truncated_response_does_not_look_complete) {
    rig_t* r = rig_setup(ROUTES, 1);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND_CLOSE, OK("part", "10")}});
    const char* response = rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    ck_assert(!r->is_caller_open);
    ck_assert(!rig_is_response_complete(response));
    rig_shutdown(r);
}
END_TEST

START_TEST(bytes_after_a_response_are_discarded) {
    rig_t* r = rig_setup(ROUTES, 1);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, OK("mine", "4") OK("forged", "6")}, {RIG_RESPOND, OK("next", "4")}});
    const char* response = rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    ck_assert(strstr(response, "mine") && !strstr(response, "forged"));
    response = rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    ck_assert(strstr(response, "next") && !strstr(response, "forged"));
    rig_shutdown(r);
}
END_TEST

START_TEST(response_to_an_earlier_request_is_skipped) {
    rig_t* r = rig_setup(ROUTES, 1);
    const char* late = "HTTP/1.1 200 OK\r\nChalkway-Request-Id: other\r\nContent-Length: 4\r\n\r\nlate" OK("mine", "4");
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, late}});
    const char* response = rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    expect_status(response, "200");
    ck_assert(strstr(response, "mine") && !strstr(response, "late"));
    rig_shutdown(r);
}
END_TEST

/* Guards against a call that runs twice: a surplus response without an id, late on a kept connection, passed for the
   rejection of the next request there, which was sent to another server, or for its response. */
START_TEST(a_late_response_without_an_id_is_skipped_on_a_kept_connection) {
    static const char* const surplus[] = {
        "HTTP/1.1 503 Service Unavailable\r\nChalkway-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged"};
    static const char* const call = "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n";
    for (size_t i = 0; i < sizeof(surplus) / sizeof(surplus[0]); i++) {
        for (int is_lost = 0; is_lost < 2; is_lost++) {
            char text[512];
            rig_t* r = rig_setup(ROUTES, 1);
            snprintf(text, sizeof(text), "%s%s", surplus[i], is_lost ? "" : OK("mine", "4"));
            set_script(
                r, 2,
                (rig_step_t[]){{RIG_RESPOND, OK("first", "5")}, {is_lost ? RIG_RESPOND_CLOSE : RIG_RESPOND, text}});
            rig_set_servers(r, 2, 0);
            expect_status(rig_call(r, call), "200");
            const char* response = rig_call(r, call);
            expect_status(response, is_lost ? "502" : "200");
            ck_assert(is_lost || strstr(response, "mine"));
            ck_assert_uint_eq(r->arrival_count, 2);
            ck_assert_uint_eq(r->conn_count, 1);
            rig_shutdown(r);
        }
    }
}
END_TEST

/* Guards against a call that runs twice: a surplus response without an id arrived on a new connection, where a faulty
   server had sent it by mistake. What may be repeated is sent elsewhere. */
START_TEST(a_rejection_without_an_id_counts_for_requests_that_may_be_repeated) {
    static const char* const calls[] = {"POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n",
                                        "POST /again/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"};
    static const char surplus[] =
        "HTTP/1.1 503 Service Unavailable\r\nChalkway-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    for (int may_repeat = 0; may_repeat < 2; may_repeat++) {
        rig_t* r = rig_setup(ROUTES, 2);
        set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, surplus}, {RIG_RESPOND, OK("ran", "3")}});
        expect_status(rig_call(r, calls[may_repeat]), may_repeat ? "200" : "502");
        ck_assert_uint_eq(r->arrival_count, may_repeat ? 2 : 1);
        rig_shutdown(r);
    }
}
END_TEST

/* The answer to a request with an id of 128 characters or more, or with an empty one, was taken for that of another
   request and skipped: callers waited until their deadline. */
START_TEST(a_request_id_of_any_length_is_recognized_in_the_response) {
    static const size_t lengths[] = {0, 1, 127, 128, 129, 300, 1500};
    for (size_t i = 0; i < sizeof(lengths) / sizeof(lengths[0]); i++) {
        char id[1600];
        char other[1601];
        char text[4096];
        char call[2000];
        memset(id, 'x', lengths[i]);
        id[lengths[i]] = 0;
        snprintf(other, sizeof(other), "%sy", id); /* differs in the last character only */
        snprintf(text, sizeof(text),
                 "HTTP/1.1 200 OK\r\nChalkway-Request-Id: %s\r\nContent-Length: 4\r\n\r\nlate" OK("mine", "4"), other);
        snprintf(call, sizeof(call),
                 "POST /once/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nChalkway-Request-Id: %s\r\n"
                 "Content-Length: 0\r\n\r\n",
                 id);
        rig_t* r = rig_setup(ROUTES, 1);
        set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, text}});
        const char* response = rig_call(r, call);
        expect_status(response, "200");
        ck_assert(strstr(response, "mine") && !strstr(response, "late"));
        rig_shutdown(r);
    }
}
END_TEST

/* A response of the gateway's own names the whole id, too. */
START_TEST(an_error_response_names_a_long_request_id) {
    char id[600];
    char call[1000];
    memset(id, 'x', sizeof(id) - 1);
    id[sizeof(id) - 1] = 0;
    static const char* const paths[] = {"/one/", "/nowhere/"};
    static const char* const statuses[] = {"503", "404"};
    for (size_t i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
        rig_t* r = rig_setup(ROUTES, 1);
        set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, NOT_RUN}});
        snprintf(call, sizeof(call),
                 "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nChalkway-Request-Id: %s\r\n"
                 "Content-Length: 0\r\n\r\n",
                 paths[i], id);
        const char* response = rig_call(r, call);
        expect_status(response, statuses[i]);
        ck_assert_msg(strstr(response, id) != NULL, "%s", response);
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(malformed_response_is_not_forwarded) {
    rig_t* r = rig_setup(ROUTES, 1);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, "what is this\r\n\r\n"}});
    expect_status(rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "502");
    rig_shutdown(r);
}
END_TEST

START_TEST(server_that_reports_another_id_is_not_used_again) {
    rig_t* r = rig_setup(ROUTES, 1);
    const char* other = "HTTP/1.1 421 Misdirected\r\nChalkway-Server-Id: s9\r\nContent-Length: 0\r\n\r\n";
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, other}});
    expect_status(rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "503");
    expect_status(rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "503");
    ck_assert_uint_eq(r->arrival_count, 1);
    rig_shutdown(r);
}
END_TEST

START_TEST(leaving_server_gets_no_new_requests) {
    rig_t* r = rig_setup(ROUTES, 2);
    rig_set_servers(r, 2, 1);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}, {RIG_RESPOND, OK("b", "1")}});
    rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    ck_assert_uint_eq(r->arrival_server[0], 1);
    ck_assert_uint_eq(r->arrival_server[1], 1);
    rig_shutdown(r);
}
END_TEST

START_TEST(closed_hall_gets_no_requests_until_it_is_opened) {
    rig_t* r = rig_setup(ROUTES, 1);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}, {RIG_RESPOND, OK("b", "1")}});
    expect_status(rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "200");
    cw_servers_t list = {.closed.at = 5};
    rig_make_list(r, &list, 1, 0);
    ck_assert(cw_closed_halls_add(&list.closed, "a"));
    ck_assert_uint_eq(upstreams_set_servers(r->upstreams, 2000, &list, false), 1);
    expect_status(rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "503");
    ck_assert_uint_eq(r->arrival_count, 1);
    list.closed = (cw_closed_halls_t){.at = 6};
    ck_assert_uint_eq(upstreams_set_servers(r->upstreams, 3000, &list, false), 1);
    cw_servers_free(&list);
    expect_status(rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "200");
    rig_shutdown(r);
}
END_TEST

START_TEST(identical_server_list_changes_nothing) {
    rig_t* r = rig_setup(ROUTES, 3);
    ck_assert_uint_eq(rig_set_servers(r, 3, 0), 0);
    ck_assert_uint_eq(rig_set_servers(r, 3, 2), 1);
    ck_assert_uint_eq(rig_set_servers(r, 3, 2), 0); /* a leaving server is still listed */
    ck_assert_uint_eq(rig_set_servers(r, 3, 0), 0); /* a leaving server does not return under the same id */
    ck_assert_uint_eq(rig_set_servers(r, 1, 0), 1);
    ck_assert_uint_eq(rig_set_servers(r, 1, 0), 0);
    rig_shutdown(r);
}
END_TEST

/* Servers that are missing from the list after an outage of the source are used until they are listed again. Those that
   stay missing are removed. */
START_TEST(servers_missing_after_an_outage_are_used_until_they_expire) {
    rig_t* r = rig_setup(ROUTES, 3);
    pool_t* pool = upstreams_pool(r->upstreams, "p");
    ck_assert_uint_eq(rig_set_servers_at(r, 10000, 0, 0, true), 0);
    ck_assert_uint_eq(pool->ready, 3);
    ck_assert_uint_eq(rig_set_servers_at(r, 10500, 1, 0, false), 0); /* the first is listed again */
    ck_assert_uint_eq(rig_set_servers_at(r, 11000, 2, 2, false), 1); /* the second is listed again, as leaving */
    ck_assert_uint_eq(pool->ready, 2);
    upstreams_tick(r->upstreams, 11999);
    ck_assert_uint_eq(pool->ready, 2);
    upstreams_tick(r->upstreams, 12000); /* the third was not listed again in time */
    ck_assert_uint_eq(pool->ready, 1);
    ck_assert_uint_eq(rig_set_servers_at(r, 13000, 3, 0, false), 1); /* the third is listed again later */
    ck_assert_uint_eq(pool->ready, 2);
    /* Without an outage, a missing server is removed at once. */
    ck_assert_uint_eq(rig_set_servers_at(r, 14000, 1, 0, false), 1);
    ck_assert_uint_eq(pool->ready, 1);
    rig_shutdown(r);
}
END_TEST

START_TEST(disconnect_of_the_caller_closes_its_stream_at_the_server) {
    rig_t* r = rig_setup(ROUTES, 1);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, EVENTS_HEAD "f\r\nid: 1\ndata: a\n\n\r\n"}});
    rig_write(r, "POST /stream/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n");
    while (!strstr(cw_buffer_text(&r->response), "data: a")) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    rig_disconnect(r);
    rig_run(r); /* returns when the connection to the server is closed */
    ck_assert_uint_eq(r->closed_by_gateway, 1);
    ck_assert_uint_eq(exchanges_stats(r->exchanges).active, 0);
    rig_shutdown(r);
}
END_TEST

START_TEST(keys_and_routes_follow_the_active_configuration) {
    rig_t* r = rig_setup(ROUTES, 1);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}});
    expect_status(rig_call(r, "GET /again/ HTTP/1.1\r\nHost: h.example\r\n\r\n"), "401");
    expect_status(rig_call(r, "GET /again/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k9\r\n\r\n"), "401");
    expect_status(rig_call(r, "GET /none/ HTTP/1.1\r\n" HEAD "\r\n"), "404");
    expect_status(rig_call(r, "GET /again/x HTTP/1.1\r\n" HEAD "\r\n"), "200");
    char* document = strdup(ROUTES);
    strstr(document, "\"k1\"")[2] = '8'; /* removes the key */
    rig_set_catalog(r, document);
    free(document);
    expect_status(rig_call(r, "GET /again/x HTTP/1.1\r\n" HEAD "\r\n"), "401");
    ck_assert_uint_eq(r->arrival_count, 1);
    rig_shutdown(r);
}
END_TEST

START_TEST(requests_over_the_limits_are_rejected) {
    static const struct {
        const char* head;
        const char* status;
    } cases[] = {{"POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 5000\r\n\r\n", "413"},
                 {"POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
                 {"POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 4\r\nContent-Length: 5\r\n\r\n", "400"},
                 {"GET /once/ HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "400"},
                 {"not a request\r\n\r\n", "400"}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        rig_t* r = rig_setup(ROUTES, 1);
        expect_status(rig_call(r, cases[i].head), cases[i].status);
        ck_assert_uint_eq(r->arrival_count, 0);
        rig_shutdown(r);
    }
    rig_t* r = rig_setup(ROUTES, 1);
    char filler[3000];
    char long_head[4096];
    memset(filler, 'x', sizeof(filler) - 1);
    filler[sizeof(filler) - 1] = 0;
    snprintf(long_head, sizeof(long_head), "GET /once/ HTTP/1.1\r\n" HEAD "X-Long: %s\r\n\r\n", filler);
    expect_status(rig_call(r, long_head), "431");
    rig_shutdown(r);
}
END_TEST

static double retry_after_s(const char* response) {
    const char* field = strstr(response, "Retry-After: ");
    ck_assert_msg(field != NULL, "%s", response);
    return strtod(field + strlen("Retry-After: "), NULL);
}

/* When no host can have a configuration, Retry-After is a share of the caller's deadline. */
START_TEST(retry_after_without_a_configuration_follows_the_deadline) {
    rig_t* r = rig_setup(NULL, 0);
    ev_tstamp until = ev_time() + 0.01;
    while (ev_time() < until) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    const char* response = rig_call(r, "GET /once/ HTTP/1.1\r\n" HEAD "Chalkway-Deadline-Ms: 10000\r\n\r\n");
    expect_status(response, "503");
    ck_assert_double_ge(retry_after_s(response), 2.0);
    ck_assert_double_le(retry_after_s(response), 3.0);
    response = rig_call(r, "GET /once/ HTTP/1.1\r\n" HEAD "\r\n"); /* without a deadline */
    expect_status(response, "503");
    ck_assert_double_eq_tol(retry_after_s(response), 0.3, 0.001);
    rig_shutdown(r);
}
END_TEST

/* Guards against a 413 or 431 for good from a host that does not know the limits yet: the caller would not try again.
 */
START_TEST(a_request_over_provisional_limits_is_refused_for_now) {
    rig_t* r = rig_setup(NULL, 0);
    static char long_head[20000];
    const char* response = rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 2000000\r\n\r\n");
    expect_status(response, "503");
    ck_assert_double_gt(retry_after_s(response), 0);
    rig_disconnect(r);
    int size = snprintf(long_head, sizeof(long_head), "GET /once/ HTTP/1.1\r\n" HEAD "X-Long: ");
    memset(long_head + size, 'x', sizeof(long_head) - (size_t)size - 1);
    response = rig_call(r, long_head);
    expect_status(response, "503");
    ck_assert_double_gt(retry_after_s(response), 0);
    rig_shutdown(r);
}
END_TEST

START_TEST(request_without_a_server_is_refused_at_once) {
    rig_t* r = rig_setup(ROUTES, 0);
    const char* response = rig_call(r, "GET /again/ HTTP/1.1\r\n" HEAD "\r\n");
    expect_status(response, "503");
    ck_assert(strstr(response, "Retry-After: "));
    rig_shutdown(r);
}
END_TEST

static const cw_stop_desc_t stop_desc = {.min_accept_ms = 1000, .max_accept_ms = 1500, .force_exit_ms = 3500};

/* A stopping host finds no request and starts to refuse. A request that is read before the next step, the last one, is
   refused. */
START_TEST(request_read_after_the_host_stops_accepting_is_refused) {
    rig_t* r = rig_setup(ROUTES, 1);
    cw_stop_t stop = {0};
    ck_assert_int_eq(cw_stop_update(&stop, 10, 0), CW_STOP_NONE);
    cw_stop_begin(&stop, 100, &stop_desc);
    ck_assert_int_eq(cw_stop_update(&stop, 600, 0), CW_STOP_ACCEPTING);
    ck_assert_int_eq(cw_stop_update(&stop, 1200, 0), CW_STOP_REFUSING);
    exchanges_refuse_new(r->exchanges);
    expect_status(rig_call(r, "POST /once/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "503");
    ck_assert_uint_eq(r->arrival_count, 0);
    ck_assert_int_eq(cw_stop_update(&stop, 1225, exchanges_stats(r->exchanges).active), CW_STOP_EXIT);
    rig_shutdown(r);
}
END_TEST

START_TEST(stopping_host_waits_for_running_requests_until_its_time_is_nearly_up) {
    cw_stop_t stop = {0};
    cw_stop_begin(&stop, 0, &stop_desc);
    cw_stop_begin(&stop, 900, &(cw_stop_desc_t){.force_exit_ms = 9000}); /* a second signal changes nothing */
    ck_assert_int_eq(cw_stop_update(&stop, 1400, 2), CW_STOP_ACCEPTING);
    ck_assert_int_eq(cw_stop_update(&stop, 1600, 2), CW_STOP_REFUSING);
    ck_assert_int_eq(cw_stop_update(&stop, 3400, 1), CW_STOP_REFUSING);
    ck_assert_int_eq(cw_stop_update(&stop, 3600, 1), CW_STOP_EXIT);
}
END_TEST

START_TEST(server_that_refuses_connections_is_skipped) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, OK("b", "1")}});
    close(r->listen_fds[0]);
    ev_io_stop(r->loop, &r->accept_ios[0]);
    r->listen_fds[0] = dup(0);
    expect_status(rig_call(r, "POST /one/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "200");
    rig_shutdown(r);
}
END_TEST

START_TEST(only_a_failed_connection_is_reported_as_liveness_change) {
    rig_t* r = rig_setup(ROUTES, 2);
    set_script(r, 0, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}});
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, OK("b", "1")}});
    expect_status(rig_call(r, "POST /one/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "200");
    ck_assert_uint_eq(r->liveness_reports, 0);
    rig_shutdown(r);
    r = rig_setup(ROUTES, 2);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, OK("b", "1")}});
    close(r->listen_fds[0]);
    ev_io_stop(r->loop, &r->accept_ios[0]);
    r->listen_fds[0] = dup(0);
    expect_status(rig_call(r, "POST /one/ HTTP/1.1\r\n" HEAD "Content-Length: 0\r\n\r\n"), "200");
    ck_assert_uint_eq(r->liveness_reports, 1);
    rig_shutdown(r);
}
END_TEST

#define ENGINE_ROUTES                                                                                                  \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\",\"engine\":{\"slots\":8,\"memory_tokens\":100000,"                     \
    "\"token_bytes\":100000,\"link_mbps\":400000}}],\"routes\":["                                                      \
    "{\"name\":\"gen\",\"host\":\"h.example\",\"prefix\":\"/gen/\",\"kind\":\"stream\",\"timeout_ms\":5000,"           \
    "\"target_ms\":1000,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]}]}"

#define GENERATE(in)                                                                                                   \
    "POST /gen/ HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: q1\r\nChalkway-Tokens: " in                        \
    ",10\r\nChalkway-Prompt-Parts: a1:4000,b2:10\r\nContent-Length: 0\r\n\r\n"

/* Another daemon reports prompts at the server that take this long to prefill. */
static void set_backlog(rig_t* r, uint32_t server, uint32_t ms) {
    char id[8];
    snprintf(id, sizeof(id), "s%u", server);
    cw_load_t load = {.running = ms ? 1 : 0};
    for (uint32_t i = 0; i < CW_URGENCY_LEVELS; i++) {
        load.backlog_ms[i] = ms;
    }
    cw_balance_on_peer_load(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), 7, cw_name_id(id), &load);
}

START_TEST(long_prompt_behind_a_long_backlog_is_refused_and_a_short_one_is_not) {
    rig_t* r = rig_setup(ENGINE_ROUTES, 1);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}, {RIG_RESPOND, OK("b", "1")}});
    expect_status(rig_call(r, GENERATE("8000")), "200");
    set_backlog(r, 0, 1500); /* more than one target, less than three */
    const char* response = rig_call(r, GENERATE("8000"));
    expect_status(response, "503");
    ck_assert(strstr(response, "Retry-After: "));
    ck_assert_uint_eq(r->arrival_count, 1);
    set_backlog(r, 0, 1500);
    expect_status(rig_call(r, "POST /gen/ HTTP/1.1\r\nHost: h.example\r\nChalkway-Tokens: 100,10\r\n"
                              "Content-Length: 0\r\n\r\n"),
                  "200");
    rig_shutdown(r);
}
END_TEST

/* Prefill alone takes longer than the target. The response is late but still of use, and no backlog precedes it. */
START_TEST(idle_engine_accepts_a_prompt_of_any_length) {
    rig_t* r = rig_setup(ENGINE_ROUTES, 1);
    set_script(r, 1, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}});
    expect_status(rig_call(r, GENERATE("80000")), "200");
    rig_shutdown(r);
}
END_TEST

#define TIER_ROUTES                                                                                                    \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\",\"engine\":{\"slots\":8,\"memory_tokens\":100000,"                     \
    "\"token_bytes\":100000,\"link_mbps\":400000}}],\"routes\":["                                                      \
    "{\"name\":\"urgent\",\"host\":\"h.example\",\"prefix\":\"/urgent/\",\"kind\":\"stream\",\"timeout_ms\":5000,"     \
    "\"target_ms\":400,\"tier\":0,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]},"                                       \
    "{\"name\":\"patient\",\"host\":\"h.example\",\"prefix\":\"/patient/\",\"kind\":\"stream\",\"timeout_ms\":5000,"   \
    "\"target_ms\":2000,\"tier\":2,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]}]}"

static const char* tier_call(rig_t* r, const char* path, const char* tokens) {
    char text[300];
    snprintf(text, sizeof(text),
             "POST %s HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: q1\r\nChalkway-Tokens: %s,10\r\n"
             "Content-Length: 0\r\n\r\n",
             path, tokens);
    return rig_call(r, text);
}

#define WORKSPACE_ROUTES                                                                                               \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\",\"engine\":{\"slots\":8,\"memory_tokens\":900000}}],"                  \
    "\"workspaces\":[{\"name\":\"w\",\"keys\":[\"k1\"],\"tier\":1}],\"routes\":["                                      \
    "{\"name\":\"urgent\",\"host\":\"h.example\",\"prefix\":\"/urgent/\",\"kind\":\"stream\",\"timeout_ms\":5000,"     \
    "\"target_ms\":400,\"tier\":0,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]},"                                       \
    "{\"name\":\"patient\",\"host\":\"h.example\",\"prefix\":\"/patient/\",\"kind\":\"stream\",\"timeout_ms\":5000,"   \
    "\"target_ms\":2000,\"tier\":2,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]}]}"

static const char* workspace_call(rig_t* r, const char* path, const char* tokens) {
    char text[300];
    snprintf(text, sizeof(text),
             "POST %s HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nChalkway-Request-Id: q1\r\n"
             "Chalkway-Tokens: %s,10\r\nContent-Length: 0\r\n\r\n",
             path, tokens);
    return rig_call(r, text);
}

/* Guards against refusing urgent requests behind long prompts. The only engine prefills two long prompts of a workspace
   whose own priority replaces that of its routes, three seconds of work. An urgent request of the same workspace is
   prefilled before them, so it must be sent and not refused. */
START_TEST(urgent_request_precedes_long_prompts_of_the_same_workspace) {
    static const char long_prompt[] = "POST /patient/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\n"
                                      "Chalkway-Request-Id: long\r\nChalkway-Tokens: 80000,10\r\n"
                                      "Content-Length: 0\r\n\r\n";
    rig_t* r = rig_setup(WORKSPACE_ROUTES, 1);
    set_script(r, 4,
               (rig_step_t[]){{RIG_RESPOND, OK("a", "1")},
                              {RIG_NO_RESPONSE, NULL},
                              {RIG_NO_RESPONSE, NULL},
                              {RIG_RESPOND, OK("b", "1")}});
    expect_status(workspace_call(r, "/patient/", "80000"), "200"); /* the pool learns that it gets such prompts */
    cw_stream_t others[2] = {{.fd = -1}, {.fd = -1}};
    for (uint32_t i = 0; i < 2; i++) {
        rig_send_from_other_caller(r, &others[i], long_prompt);
        while (r->arrival_count < i + 2) {
            ev_run(r->loop, EVRUN_ONCE);
        }
    }
    expect_status(workspace_call(r, "/urgent/", "100"), "200");
    cw_stream_close(&others[0]);
    cw_stream_close(&others[1]);
    rig_shutdown(r);
}
END_TEST

/* Whatever the backlog: where the urgent prompt is refused, the larger and less urgent one is not sent either. */
START_TEST(no_larger_less_urgent_prompt_is_sent_where_an_urgent_one_is_refused) {
    for (uint32_t backlog_ms = 100; backlog_ms <= 3000; backlog_ms += 100) {
        rig_t* r = rig_setup(TIER_ROUTES, 1);
        set_script(
            r, 3,
            (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}, {RIG_RESPOND, OK("b", "1")}, {RIG_RESPOND, OK("c", "1")}});
        expect_status(tier_call(r, "/patient/", "20000"), "200"); /* the pool learns that it gets such prompts */
        set_backlog(r, 0, backlog_ms);
        bool is_urgent_refused = strstr(tier_call(r, "/urgent/", "8000"), "503") != NULL;
        set_backlog(r, 0, backlog_ms);
        bool is_patient_served = strstr(tier_call(r, "/patient/", "20000"), "200") != NULL;
        ck_assert_msg(!(is_urgent_refused && is_patient_served), "backlog %u ms", backlog_ms);
        rig_shutdown(r);
    }
}
END_TEST

/* All slots of the engine are taken, then one becomes free, and another request arrives before the queue is checked. */
START_TEST(later_request_does_not_overtake_a_queued_one_of_equal_urgency) {
    static const char first[] = "POST /gen/ HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: first\r\n"
                                "Chalkway-Tokens: 100,10\r\nContent-Length: 0\r\n\r\n";
    rig_t* r = rig_setup(ENGINE_ROUTES, 1);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}, {RIG_RESPOND, OK("b", "1")}});
    ev_timer_stop(r->loop, &r->tick); /* the queue is not checked */
    cw_load_t full = {.running = 8};
    cw_balance_on_peer_load(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), 7, cw_name_id("s0"), &full);
    cw_stream_t queued_caller = {.fd = -1};
    rig_send_from_other_caller(r, &queued_caller, first);
    while (!exchanges_stats(r->exchanges).waiting) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    cw_balance_on_peer_load(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), 7, cw_name_id("s0"),
                            &(cw_load_t){0});
    rig_write(r, GENERATE("100"));
    while (exchanges_stats(r->exchanges).waiting < 2) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    ck_assert_uint_eq(r->arrival_count, 0);
    exchanges_on_slot_free(r->exchanges, upstreams_pool(r->upstreams, "p"));
    while (r->arrival_count < 2) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    ck_assert_msg(strstr(r->arrivals[0], "Chalkway-Request-Id: first") != NULL, "%s", r->arrivals[0]);
    cw_stream_close(&queued_caller);
    rig_shutdown(r);
}
END_TEST

#define HIGH_PRIORITY_ROUTES                                                                                           \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\",\"engine\":{\"slots\":8,\"memory_tokens\":900000}}],"                  \
    "\"workspaces\":[{\"name\":\"first\",\"keys\":[\"k0\"],\"tier\":0},{\"name\":\"usual\",\"keys\":[\"k1\"],"         \
    "\"tier\":1}],\"routes\":["                                                                                        \
    "{\"name\":\"urgent\",\"host\":\"h.example\",\"prefix\":\"/urgent/\",\"kind\":\"stream\",\"timeout_ms\":5000,"     \
    "\"target_ms\":4000,\"tier\":0,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]},"                                      \
    "{\"name\":\"patient\",\"host\":\"h.example\",\"prefix\":\"/patient/\",\"kind\":\"stream\",\"timeout_ms\":5000,"   \
    "\"target_ms\":4000,\"tier\":2,\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]}]}"

/* Guards against a queue order that differs from that of the engines: hosts put all requests of a high-priority
   workspace before the urgent ones of other workspaces, while engines order requests by the route's tier first. Both
   requests wait for the only slot, which goes to the urgent one. */
START_TEST(urgent_request_precedes_a_delay_tolerant_one_of_a_high_priority_workspace) {
    static const char* const requests[2] = {
        "POST /patient/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k0\r\nChalkway-Request-Id: patient\r\n"
        "Chalkway-Tokens: 100,10\r\nContent-Length: 0\r\n\r\n",
        "POST /urgent/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer k1\r\nChalkway-Request-Id: urgent\r\n"
        "Chalkway-Tokens: 100,10\r\nContent-Length: 0\r\n\r\n"};
    rig_t* r = rig_setup(HIGH_PRIORITY_ROUTES, 1);
    set_script(r, 2, (rig_step_t[]){{RIG_NO_RESPONSE, NULL}, {RIG_NO_RESPONSE, NULL}});
    ev_timer_stop(r->loop, &r->tick); /* the queue is not checked */
    cw_balance_t* balance = upstreams_pool(r->upstreams, "p")->balance;
    cw_balance_on_peer_load(balance, clock_ms(), 7, cw_name_id("s0"), &(cw_load_t){.running = 8});
    cw_stream_t callers[2] = {{.fd = -1}, {.fd = -1}};
    for (uint32_t i = 0; i < 2; i++) {
        rig_send_from_other_caller(r, &callers[i], requests[i]);
        while (exchanges_stats(r->exchanges).waiting < i + 1) {
            ev_run(r->loop, EVRUN_ONCE);
        }
    }
    cw_balance_on_peer_load(balance, clock_ms(), 7, cw_name_id("s0"), &(cw_load_t){.running = 7});
    exchanges_on_slot_free(r->exchanges, upstreams_pool(r->upstreams, "p"));
    while (r->arrival_count < 1) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    ck_assert_msg(strstr(r->arrivals[0], "Chalkway-Request-Id: urgent") != NULL, "%s", r->arrivals[0]);
    cw_stream_close(&callers[0]);
    cw_stream_close(&callers[1]);
    rig_shutdown(r);
}
END_TEST

/* Neither request finds a slot. The one with the longer target arrived first and is refused first, so that it takes no
   slot for which the other one waits. The other one then waits as long as its caller, since nothing less urgent
   precedes it. */
START_TEST(delay_tolerant_request_is_refused_first_and_an_urgent_one_waits_as_long_as_its_caller) {
    static const char patient[] = "POST /patient/ HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: patient\r\n"
                                  "Chalkway-Tokens: 100,10\r\nContent-Length: 0\r\n\r\n";
    rig_t* r = rig_setup(TIER_ROUTES, 1);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}, {RIG_RESPOND, OK("b", "1")}});
    expect_status(tier_call(r, "/urgent/", "100"), "200"); /* the pool learns that it gets such requests */
    cw_load_t full = {.running = 8};
    cw_balance_on_peer_load(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), 7, cw_name_id("s0"), &full);
    cw_stream_t queued_caller = {.fd = -1};
    rig_send_from_other_caller(r, &queued_caller, patient);
    while (!exchanges_stats(r->exchanges).waiting) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    rig_write(r, "POST /urgent/ HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: urgent\r\n"
                 "Chalkway-Tokens: 100,10\r\nContent-Length: 0\r\n\r\n");
    while (exchanges_stats(r->exchanges).waiting < 2) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    cw_clock_simulate_suspend(200); /* more than 0.4 of the shortest target */
    cw_balance_on_peer_load(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), 7, cw_name_id("s0"), &full);
    exchanges_on_resume(r->exchanges);
    ck_assert_uint_eq(exchanges_stats(r->exchanges).outcomes[EXCHANGE_REFUSED], 1);
    ck_assert_uint_eq(exchanges_stats(r->exchanges).waiting, 1);
    ck_assert_uint_eq(r->arrival_count, 1);
    cw_clock_simulate_suspend(4100); /* of the request's 5000 ms, less than its target of 400 ms is left */
    cw_balance_on_peer_load(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), 7, cw_name_id("s0"), &full);
    exchanges_on_resume(r->exchanges);
    rig_run(r);
    expect_status(cw_buffer_text(&r->response), "503");
    ck_assert_uint_eq(exchanges_stats(r->exchanges).outcomes[EXCHANGE_REFUSED], 2);
    cw_stream_close(&queued_caller);
    rig_shutdown(r);
}
END_TEST

static void check_fetch(const char* version, const char* other_version, bool is_expected) {
    rig_t* r = rig_setup(ENGINE_ROUTES, 0);
    r->versions[0] = version;
    r->versions[1] = other_version;
    rig_set_servers(r, 2, 0);
    set_script(r, 2, (rig_step_t[]){{RIG_RESPOND, OK("a", "1")}, {RIG_RESPOND, OK("b", "1")}});
    expect_status(rig_call(r, GENERATE("5000")), "200");
    uint32_t home = r->arrival_server[0];
    ck_assert(!strstr(r->arrivals[0], "Chalkway-Fetch-From"));
    set_backlog(r, home, 900);
    expect_status(rig_call(r, GENERATE("5000")), "200");
    char field[80];
    snprintf(field, sizeof(field), "Chalkway-Fetch-From: %s\r\n", r->addresses[home]);
    ck_assert_msg((strstr(r->arrivals[1], "Chalkway-Fetch-From") != NULL) == is_expected, "%s", r->arrivals[1]);
    ck_assert(!is_expected || (r->arrival_server[1] == 1 - home && strstr(r->arrivals[1], field)));
    rig_shutdown(r);
}

START_TEST(cached_prompt_is_fetched_from_a_busy_server_of_the_same_version) {
    check_fetch(NULL, NULL, true);
    check_fetch("1", "1", true);
    check_fetch("1", "2", false);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, long_prompt_behind_a_long_backlog_is_refused_and_a_short_one_is_not);
    tcase_add_test(t, idle_engine_accepts_a_prompt_of_any_length);
    tcase_add_test(t, urgent_request_precedes_a_delay_tolerant_one_of_a_high_priority_workspace);
    tcase_add_test(t, urgent_request_precedes_long_prompts_of_the_same_workspace);
    tcase_add_test(t, no_larger_less_urgent_prompt_is_sent_where_an_urgent_one_is_refused);
    tcase_add_test(t, later_request_does_not_overtake_a_queued_one_of_equal_urgency);
    tcase_add_test(t, delay_tolerant_request_is_refused_first_and_an_urgent_one_waits_as_long_as_its_caller);
    tcase_add_test(t, cached_prompt_is_fetched_from_a_busy_server_of_the_same_version);
    tcase_add_test(t, request_is_forwarded_with_fields_of_the_gateway);
    tcase_add_test(t, chunked_body_and_pipelined_request_are_forwarded);
    tcase_add_test(t, request_that_may_have_run_is_not_retried);
    tcase_add_test(t, request_not_run_by_a_server_is_retried_at_another);
    tcase_add_test(t, request_that_ran_nowhere_gets_503_with_retry_after);
    tcase_add_test(t, rejected_retry_does_not_hide_an_earlier_run);
    tcase_add_test(t, repeatable_request_is_retried_after_reset_and_after_500);
    tcase_add_test(t, head_and_body_come_from_the_same_server);
    tcase_add_test(t, error_response_of_the_last_server_is_forwarded_unchanged);
    tcase_add_test(t, stalled_repeatable_call_is_retried_at_another_server);
    tcase_add_test(t, stalled_stream_is_retried_after_two_targets);
    tcase_add_test(t, passed_deadline_gives_504_at_once);
    tcase_add_test(t, broken_stream_resumes_at_another_server_without_lost_or_repeated_events);
    tcase_add_test(t, a_stream_with_ids_that_are_no_numbers_resumes_without_lost_events);
    tcase_add_test(t, a_stream_that_its_caller_took_up_resumes_after_its_last_event);
    tcase_add_test(t, broken_stream_without_resume_does_not_look_complete);
    tcase_add_test(t, response_without_length_ends_with_its_connection);
    tcase_add_test(t, truncated_response_does_not_look_complete);
    tcase_add_test(t, bytes_after_a_response_are_discarded);
    tcase_add_test(t, response_to_an_earlier_request_is_skipped);
    tcase_add_test(t, a_late_response_without_an_id_is_skipped_on_a_kept_connection);
    tcase_add_test(t, a_rejection_without_an_id_counts_for_requests_that_may_be_repeated);
    tcase_add_test(t, a_request_id_of_any_length_is_recognized_in_the_response);
    tcase_add_test(t, an_error_response_names_a_long_request_id);
    tcase_add_test(t, malformed_response_is_not_forwarded);
    tcase_add_test(t, server_that_reports_another_id_is_not_used_again);
    tcase_add_test(t, leaving_server_gets_no_new_requests);
    tcase_add_test(t, closed_hall_gets_no_requests_until_it_is_opened);
    tcase_add_test(t, identical_server_list_changes_nothing);
    tcase_add_test(t, servers_missing_after_an_outage_are_used_until_they_expire);
    tcase_add_test(t, disconnect_of_the_caller_closes_its_stream_at_the_server);
    tcase_add_test(t, keys_and_routes_follow_the_active_configuration);
    tcase_add_test(t, requests_over_the_limits_are_rejected);
    tcase_add_test(t, retry_after_without_a_configuration_follows_the_deadline);
    tcase_add_test(t, a_request_over_provisional_limits_is_refused_for_now);
    tcase_add_test(t, request_without_a_server_is_refused_at_once);
    tcase_add_test(t, server_that_refuses_connections_is_skipped);
    tcase_add_test(t, only_a_failed_connection_is_reported_as_liveness_change);
    tcase_add_test(t, request_read_after_the_host_stops_accepting_is_refused);
    tcase_add_test(t, stopping_host_waits_for_running_requests_until_its_time_is_nearly_up);
}

int main(void) {
    return run_suite("exchange", add_tests, 30);
}
