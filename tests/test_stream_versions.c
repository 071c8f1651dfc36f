/* Streams that are resumed, by the host or by their callers, while servers of several software versions serve: a stream
   continues only at the version that began it. */
#include "rig.h"

#define SERVERS 3

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\"}],\"workspaces\":[{\"name\":\"w\",\"keys\":[\"k1\"]},"                 \
    "{\"name\":\"v\",\"keys\":[\"k2\"]}],\"routes\":[{\"name\":\"resume\",\"host\":\"h.example\",\"prefix\":\"/\","    \
    "\"kind\":\"stream\",\"resume\":true,\"timeout_ms\":5000,\"target_ms\":2000,\"gap_ms\":500,\"attempts\":3,"        \
    "\"pools\":[{\"pool\":\"p\"}]}]}"
#define EVENTS                                                                                                         \
    "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Type: text/event-stream\r\n"                              \
    "Transfer-Encoding: chunked\r\n\r\n"
#define FIRST_EVENT "f\r\nid: 1\ndata: a\n\n\r\n"
#define SECOND_EVENT "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n"
#define CALL(id, key, more)                                                                                            \
    "POST /x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer " key "\r\nChalkway-Request-Id: " id                 \
    "\r\nContent-Length: 0\r\n" more "\r\n"
#define RESUME(id, key) CALL(id, key, "Last-Event-Id: 1\r\nChalkway-Resumes: q1\r\n")

/* Three servers with these versions, "-": unknown. */
static rig_t* setup(const char* const versions[SERVERS]) {
    rig_t* r = rig_setup(ROUTES, 0);
    for (uint32_t i = 0; i < SERVERS; i++) {
        r->versions[i] = strcmp(versions[i], "-") == 0 ? NULL : versions[i];
    }
    rig_set_servers(r, SERVERS, 0);
    return r;
}

static bool is_same_version(const rig_t* r, uint32_t server, uint32_t other) {
    const char* a = r->versions[server] ? r->versions[server] : "";
    const char* b = r->versions[other] ? r->versions[other] : "";
    return strcmp(a, b) == 0;
}

/* The caller reads up to the event and closes its connection. */
static void read_until(rig_t* r, const char* call, const char* event) {
    r->stop_on_response = true;
    rig_write(r, call);
    while (r->is_caller_open && !strstr(cw_buffer_text(&r->response), event)) {
        ev_run(r->loop, EVRUN_ONCE);
        ck_assert_msg(!rig_is_response_complete(cw_buffer_text(&r->response)) ||
                          strstr(cw_buffer_text(&r->response), event),
                      "%s", cw_buffer_text(&r->response));
    }
    rig_disconnect(r);
}

static void begin_stream(rig_t* r) {
    read_until(r, CALL("q1", "k1", ""), "data: a");
}

static const char* const mixes[][SERVERS] = {{"1", "2", "2"}, {"2", "1", "2"}, {"2", "2", "1"},
                                             {"1", "1", "2"}, {"-", "1", "-"}, {"1", "-", "1"}};
#define MIXES (sizeof(mixes) / sizeof(mixes[0]))

/* Guards against an answer with events of two versions: the host resumed it at any server. */
START_TEST(a_host_resumes_a_stream_at_its_version_only) {
    for (size_t i = 0; i < MIXES; i++) {
        rig_t* r = setup(mixes[i]);
        rig_script(r,
                   (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS FIRST_EVENT "8\r\nid: 2\nda\r\n"},
                                  {RIG_RESPOND, EVENTS SECOND_EVENT}},
                   2);
        const char* response = rig_call(r, CALL("q1", "k1", ""));
        bool is_complete = rig_is_response_complete(response);
        ck_assert_uint_eq(r->arrival_count, is_complete ? 2 : 1);
        ck_assert(!is_complete || is_same_version(r, r->arrival_server[0], r->arrival_server[1]));
        rig_shutdown(r);
    }
}
END_TEST

/* Guards against a stream with events of two versions: the host that its caller asked to go on chose any server. The
   server that began the stream has left meanwhile. */
START_TEST(a_stream_that_its_caller_resumes_continues_at_its_version) {
    for (size_t i = 0; i < MIXES; i++) {
        rig_t* r = setup(mixes[i]);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND, EVENTS FIRST_EVENT}, {RIG_RESPOND, EVENTS SECOND_EVENT}}, 2);
        begin_stream(r);
        uint32_t began = r->arrival_server[0];
        rig_set_servers(r, SERVERS, 1U << began);
        bool is_served = strstr(rig_call(r, RESUME("q2", "k1")), "data: b") != NULL;
        bool has_other = false;
        for (uint32_t s = 0; s < SERVERS; s++) {
            has_other = has_other || (s != began && is_same_version(r, s, began));
        }
        ck_assert_int_eq(is_served, has_other);
        ck_assert_uint_eq(r->arrival_count, has_other ? 2 : 1);
        ck_assert(!has_other || is_same_version(r, began, r->arrival_server[1]));
        ck_assert(!has_other || strstr(r->arrivals[1], "Last-Event-Id: 1\r\n"));
        rig_shutdown(r);
    }
}
END_TEST

/* Guards against a stream whose version is forgotten at the moment at which its caller resumes it: when its deadline
   has cut it off. */
START_TEST(a_stream_that_its_deadline_cut_off_continues_at_its_version) {
    static const char* const two_versions[SERVERS] = {"1", "2", "2"};
    rig_t* r = setup(two_versions);
    rig_script(
        r, (rig_step_t[]){{RIG_RESPOND, EVENTS FIRST_EVENT RIG_SILENT_MS(900)}, {RIG_RESPOND, EVENTS SECOND_EVENT}}, 2);
    r->stop_on_response = true;
    rig_write(r, CALL("q1", "k1", "Chalkway-Deadline-Ms: 200\r\n"));
    while (r->is_caller_open) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    ck_assert(strstr(cw_buffer_text(&r->response), "data: a"));
    rig_disconnect(r);
    const char* response = rig_call(r, RESUME("q2", "k1"));
    ck_assert_msg(strstr(response, "data: b"), "%s", response);
    ck_assert(is_same_version(r, r->arrival_server[0], r->arrival_server[1]));
    rig_shutdown(r);
}
END_TEST

/* A stream whose id has 128 characters or more was denied when its caller took it up. Ids that differ in their last
   character only name two streams. */
START_TEST(a_stream_with_a_long_id_continues_at_its_version) {
    char id[401];
    char call[1000];
    memset(id, 'x', sizeof(id) - 1);
    id[sizeof(id) - 1] = 0;
    for (size_t i = 0; i < MIXES; i++) {
        rig_t* r = setup(mixes[i]);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND, EVENTS FIRST_EVENT}, {RIG_RESPOND, EVENTS SECOND_EVENT}}, 2);
        snprintf(call, sizeof(call), CALL("%s", "k1", ""), id);
        read_until(r, call, "data: a");
        snprintf(call, sizeof(call), CALL("q2", "k1", "Last-Event-Id: 1\r\nChalkway-Resumes: %sy\r\n"), id);
        const char* response = rig_call(r, call);
        ck_assert_msg(strncmp(response, "HTTP/1.1 503", 12) == 0, "%s", response);
        snprintf(call, sizeof(call), CALL("q3", "k1", "Last-Event-Id: 1\r\nChalkway-Resumes: %s\r\n"), id);
        response = rig_call(r, call);
        ck_assert_msg(strstr(response, "data: b") != NULL, "%s", response);
        ck_assert(is_same_version(r, r->arrival_server[0], r->arrival_server[1]));
        rig_shutdown(r);
    }
}
END_TEST

/* A stream that begins was refused as an unknown one because its caller sent an empty id of the last event, as clients
   that have received none do. It begins like any other, and is bound to its version. */
START_TEST(a_request_with_an_empty_id_of_the_last_event_begins_a_stream) {
    for (size_t i = 0; i < MIXES; i++) {
        rig_t* r = setup(mixes[i]);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND, EVENTS FIRST_EVENT}, {RIG_RESPOND, EVENTS SECOND_EVENT}}, 2);
        read_until(r, CALL("q1", "k1", "Last-Event-Id: \r\n"), "data: a");
        ck_assert(strstr(rig_call(r, RESUME("q2", "k1")), "data: b"));
        ck_assert(is_same_version(r, r->arrival_server[0], r->arrival_server[1]));
        rig_shutdown(r);
    }
}
END_TEST

#define THIRD_EVENT "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n"
#define UNFINISHED "f\r\nid: 2\ndata: b\n\n\r\n"

/* A stream that was taken up was refused the next time, since its version was forgotten at the deadline of the attempt
   that began it. */
START_TEST(a_stream_goes_on_at_its_version_however_often_it_is_taken_up) {
    for (size_t i = 0; i < MIXES; i++) {
        rig_t* r = setup(mixes[i]);
        rig_script(r,
                   (rig_step_t[]){{RIG_RESPOND, EVENTS FIRST_EVENT},
                                  {RIG_RESPOND, EVENTS UNFINISHED},
                                  {RIG_RESPOND, EVENTS THIRD_EVENT}},
                   3);
        read_until(r, CALL("q1", "k1", "Chalkway-Deadline-Ms: 300\r\n"), "data: a");
        read_until(r, CALL("q2", "k1", "Last-Event-Id: 1\r\nChalkway-Resumes: q1\r\n"), "data: b");
        for (int64_t until_ms = clock_ms() + 400; clock_ms() < until_ms;) {
            ev_run(r->loop, EVRUN_ONCE);
        }
        read_until(r, CALL("q3", "k1", "Last-Event-Id: 2\r\nChalkway-Resumes: q1\r\n"), "data: c");
        ck_assert(is_same_version(r, r->arrival_server[0], r->arrival_server[1]));
        ck_assert(is_same_version(r, r->arrival_server[0], r->arrival_server[2]));
        rig_shutdown(r);
    }
}
END_TEST

/* Nobody here knows the stream: a wrong guess would mix two versions. The caller is told when to ask again. */
START_TEST(an_unknown_stream_is_refused_while_two_versions_serve) {
    static const char* const calls[] = {RESUME("q2", "k1"), CALL("q2", "k1", "Last-Event-Id: 1\r\n"),
                                        CALL("q2", "k1", "Last-Event-Id:\r\nChalkway-Resumes: q1\r\n"),
                                        CALL("q2", "k1", "Last-Event-Id: 0\r\n")};
    for (size_t i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
        rig_t* r = setup(mixes[0]);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND, EVENTS SECOND_EVENT}}, 1);
        const char* response = rig_call(r, calls[i]);
        ck_assert_msg(strncmp(response, "HTTP/1.1 503", 12) == 0, "%s", response);
        ck_assert(strstr(response, "Retry-After: "));
        ck_assert_uint_eq(r->arrival_count, 0);
        rig_shutdown(r);
    }
}
END_TEST

/* An id of another workspace's stream tells nothing about it, not even whether it exists. */
START_TEST(a_stream_of_another_workspace_is_unknown) {
    rig_t* r = setup(mixes[0]);
    rig_script(r, (rig_step_t[]){{RIG_RESPOND, EVENTS FIRST_EVENT}, {RIG_RESPOND, EVENTS SECOND_EVENT}}, 2);
    begin_stream(r);
    const char* response = rig_call(r, RESUME("q2", "k2"));
    ck_assert_msg(strncmp(response, "HTTP/1.1 503", 12) == 0, "%s", response);
    ck_assert_uint_eq(r->arrival_count, 1);
    rig_shutdown(r);
}
END_TEST

/* A host that has just started sees one version. The list alone doesn't show that no other has served a moment before;
   the complete history of the source does. */
START_TEST(an_unknown_stream_goes_on_where_one_version_serves) {
    static const char* const versions[][SERVERS] = {{"1", "1", "1"}, {"-", "-", "-"}};
    for (size_t i = 0; i < sizeof(versions) / sizeof(versions[0]); i++) {
        rig_t* r = setup(versions[i]);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND, EVENTS SECOND_EVENT}}, 1);
        ck_assert(strncmp(rig_call(r, RESUME("q2", "k1")), "HTTP/1.1 503", 12) == 0);
        streams_on_history(r->streams, SOURCE_HISTORY_COMPLETE);
        ck_assert(strstr(rig_call(r, RESUME("q2", "k1")), "data: b"));
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(an_invalid_id_of_a_stream_is_denied) {
    static const char* const calls[] = {CALL("q2", "k1", "Last-Event-Id: 1\r\nChalkway-Resumes: a b\r\n"),
                                        CALL("q2", "k1", "Last-Event-Id: 1\r\nChalkway-Resumes:\r\n"),
                                        CALL("q2", "k1", "Chalkway-Resumes: a\r\nChalkway-Resumes: b\r\n")};
    for (size_t i = 0; i < sizeof(calls) / sizeof(calls[0]); i++) {
        rig_t* r = setup(mixes[0]);
        const char* response = rig_call(r, calls[i]);
        ck_assert_msg(strncmp(response, "HTTP/1.1 400", 12) == 0 && strstr(response, "Chalkway-Resumes"), "%s",
                      response);
        rig_shutdown(r);
    }
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_host_resumes_a_stream_at_its_version_only);
    tcase_add_test(t, a_stream_that_its_caller_resumes_continues_at_its_version);
    tcase_add_test(t, a_stream_that_its_deadline_cut_off_continues_at_its_version);
    tcase_add_test(t, a_stream_with_a_long_id_continues_at_its_version);
    tcase_add_test(t, a_request_with_an_empty_id_of_the_last_event_begins_a_stream);
    tcase_add_test(t, a_stream_goes_on_at_its_version_however_often_it_is_taken_up);
    tcase_add_test(t, an_unknown_stream_is_refused_while_two_versions_serve);
    tcase_add_test(t, a_stream_of_another_workspace_is_unknown);
    tcase_add_test(t, an_unknown_stream_goes_on_where_one_version_serves);
    tcase_add_test(t, an_invalid_id_of_a_stream_is_denied);
}

int main(void) {
    return run_suite("stream_versions", add_tests, 60);
}
