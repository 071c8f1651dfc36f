/* Responses with neither a length nor chunks, which end with their connection. An event stream of that kind is complete
   only if its last event is. */
#include "../chalkway_wire.h"
#include "../gateway/clock.h"
#include "../io/httpd.h"
#include "rig_routes.h"
#include "rig_tunnel.h"

#define ROUTES RIG_ROUTES("5000")
#define HEAD "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\n"
#define EVENTS HEAD "Content-Type: text/event-stream\r\n\r\n"
#define EVENTS_CHUNKED HEAD "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

/* Plays the script for one request and returns the rig; the response is in rig->response. */
static rig_t* play(const char* call, uint32_t count, const rig_step_t* steps) {
    rig_t* r = rig_setup(ROUTES, 2);
    rig_script(r, steps, count);
    rig_call(r, call);
    return r;
}

static void expect_complete(const rig_t* r, const char* body) {
    const char* response = cw_buffer_text(&r->response);
    ck_assert_msg(rig_is_response_complete(response) && strstr(response, body), "not complete: %s", response);
}

static void expect_broken(const rig_t* r) {
    const char* response = cw_buffer_text(&r->response);
    bool is_success = strncmp(response, "HTTP/1.1 200", 12) == 0;
    ck_assert_msg(!is_success || !rig_is_response_complete(response), "looks complete: %s", response);
}

/* Guards against a part of a stream that its caller takes for the whole: the server closed inside an event, on routes
   whose streams can't be resumed. */
START_TEST(a_stream_that_ends_inside_an_event_does_not_look_complete) {
    static const char* const parts[] = {"id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n", "id: 1\r\ndata: a\r\n\r",
                                        "id: 1\ndata: a\n\nid: 2\ndata: b\n", ": comment"};
    static const char* const calls[] = {CALL("stream"), CALL("call")};
    for (size_t c = 0; c < sizeof(calls) / sizeof(calls[0]); c++) {
        for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
            char text[300];
            snprintf(text, sizeof(text), EVENTS "%s", parts[i]);
            rig_t* r = play(calls[c], 1, (rig_step_t[]){{RIG_RESPOND_CLOSE, text}});
            expect_broken(r);
            rig_shutdown(r);
        }
    }
}
END_TEST

START_TEST(a_stream_that_ends_after_an_event_is_complete) {
    static const char* const parts[] = {"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r",
                                        "data: x\n\n: comment\n\n", "\357\273\277data: a\n\n\n"};
    static const char* const calls[] = {CALL("stream"), CALL("call"), CALL("again")};
    for (size_t c = 0; c < sizeof(calls) / sizeof(calls[0]); c++) {
        for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
            char text[300];
            snprintf(text, sizeof(text), EVENTS "%s", parts[i]);
            rig_t* r = play(calls[c], 1, (rig_step_t[]){{RIG_RESPOND_CLOSE, text}});
            expect_complete(r, parts[i]);
            rig_shutdown(r);
        }
    }
}
END_TEST

/* Nothing shows that a stream without any event is complete. */
START_TEST(a_stream_without_an_event_is_not_complete) {
    rig_t* r = play(CALL("stream"), 1, (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS}});
    expect_broken(r);
    rig_shutdown(r);
}
END_TEST

/* A request that may be sent again is retried as long as its caller has got nothing of the response. */
START_TEST(a_stream_without_an_event_is_retried_at_another_server) {
    rig_t* r =
        play(CALL("again"), 2, (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS}, {RIG_RESPOND_CLOSE, EVENTS "data: a\n\n"}});
    expect_complete(r, "data: a\n\n");
    ck_assert_uint_ne(r->arrival_server[0], r->arrival_server[1]);
    rig_shutdown(r);
}
END_TEST

START_TEST(a_stream_that_ends_inside_an_event_resumes_at_another_server) {
    rig_t* r = play(CALL("resume"), 2,
                    (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS "id: 1\ndata: a\n\nid: 2\nda"},
                                   {RIG_RESPOND_CLOSE, EVENTS "id: 2\ndata: b\n\n"}});
    expect_complete(r, "id: 2\ndata: b\n\n");
    ck_assert(strstr(r->arrivals[1], "Last-Event-Id: 1\r\n"));
    ck_assert(!strstr(cw_buffer_text(&r->response), "id: 2\nda\r\n"));
    rig_shutdown(r);
}
END_TEST

/* The caller got events twice: nothing named the place at which a stream without ids broke, so the other server began
   anew. Such a stream is broken off. */
START_TEST(a_stream_is_not_resumed_after_an_event_without_an_id) {
    static const char* const parts[] = {"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n", "data: a\n\ndata: b\n\nda",
                                        "id: 1\ndata: a\n\ndata: b\n\n: note\n\nid: 2\n"};
    for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
        char text[300];
        snprintf(text, sizeof(text), EVENTS_CHUNKED "ff\r\n%s", parts[i]);
        rig_t* r = play(CALL("resume"), 2,
                        (rig_step_t[]){{RIG_RESPOND_CLOSE, text}, {RIG_RESPOND_CLOSE, EVENTS "data: a\n\n"}});
        expect_broken(r);
        ck_assert_uint_eq(r->arrival_count, 1);
        rig_shutdown(r);
    }
}
END_TEST

/* A stream that lacked its last events looked complete: the other server began anew and ended before the event after
   which it was to go on, so that all it sent was skipped. */
START_TEST(a_resumed_stream_that_ends_too_early_is_not_complete) {
    static const char* const first[] = {"id: 8\ndata: a\n\nid: 9\ndata: b\n\n", "id: x\ndata: a\n\nid: c\ndata: b\n\n"};
    static const char* const second[] = {"id: 1\ndata: c\n\nid: 2\ndata: d\n\n",
                                         "id: x\ndata: a\n\nid: b\ndata: d\n\n"};
    static const char* const heads[] = {HEAD "Content-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n", EVENTS};
    for (size_t i = 0; i < sizeof(first) / sizeof(first[0]); i++) {
        for (size_t h = 0; h < sizeof(heads) / sizeof(heads[0]); h++) {
            char texts[2][300];
            snprintf(texts[0], sizeof(texts[0]), EVENTS_CHUNKED "1e\r\n%s", first[i]);
            snprintf(texts[1], sizeof(texts[1]), "%s%s", heads[h], second[i]);
            rig_t* r =
                play(CALL("resume"), 2, (rig_step_t[]){{RIG_RESPOND_CLOSE, texts[0]}, {RIG_RESPOND_CLOSE, texts[1]}});
            expect_broken(r);
            ck_assert_uint_eq(r->arrival_count, 2);
            rig_shutdown(r);
        }
    }
}
END_TEST

/* The first server broke off between its last event and the end: nothing is left to go on with. */
START_TEST(a_resumed_stream_that_ends_at_the_last_event_is_complete) {
    static const char* const second[] = {"0\r\n\r\n", "f\r\nid: 9\ndata: b\n\n\r\n0\r\n\r\n",
                                         "e\r\nid: 9\ndata: b\n\r\n0\r\n\r\n"};
    for (size_t i = 0; i < sizeof(second) / sizeof(second[0]); i++) {
        char text[300];
        snprintf(text, sizeof(text), EVENTS_CHUNKED "%s", second[i]);
        rig_t* r = play(
            CALL("resume"), 2,
            (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS_CHUNKED "f\r\nid: 9\ndata: b\n\n\r\n"}, {RIG_RESPOND, text}});
        expect_complete(r, "\r\n\r\nf\r\nid: 9\ndata: b\n\n\r\n0\r\n\r\n");
        rig_shutdown(r);
    }
}
END_TEST

/* Comments are no pieces of a stream: nothing is lost or repeated if another server begins anew. */
START_TEST(a_stream_of_which_only_comments_arrived_is_sent_again) {
    rig_t* r = play(CALL("resume"), 2,
                    (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS_CHUNKED "ff\r\n: note\n\n"},
                                   {RIG_RESPOND_CLOSE, EVENTS "data: a\n\n"}});
    expect_complete(r, "data: a\n\n");
    ck_assert(!strstr(r->arrivals[1], "Last-Event-Id"));
    rig_shutdown(r);
}
END_TEST

/* What resumes a stream must be a stream: a plain response without a length has no end that shows. */
START_TEST(a_stream_is_not_resumed_with_a_response_of_another_kind) {
    rig_t* r = play(CALL("resume"), 2,
                    (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS "id: 1\ndata: a\n\nid: 2\nda"},
                                   {RIG_RESPOND_CLOSE, HEAD "Content-Type: text/plain\r\n\r\nid: 2\ndata: b\n\n"}});
    expect_broken(r);
    ck_assert(!strstr(cw_buffer_text(&r->response), "data: b"));
    rig_shutdown(r);
}
END_TEST

/* The server broke the stream off, so it may have crashed under the request. Guards against a request that ends its
   servers in this way and is taken for harmless. */
START_TEST(an_end_inside_an_event_counts_as_a_crash_under_the_request) {
    static const char* const calls[] = {CALL("stream"), CALL("resume"), CALL("call")};
    for (size_t c = 0; c < sizeof(calls) / sizeof(calls[0]); c++) {
        rig_t* r = play(calls[c], 2,
                        (rig_step_t[]){{RIG_RESPOND_CLOSE, EVENTS "id: 1\ndata: a\n\nid: 2\nda"},
                                       {RIG_RESPOND_CLOSE, EVENTS "id: 2\ndata: b\n\n"}});
        ck_assert_uint_ge(r->observations_published, 1);
        ck_assert_uint_ge(r->liveness_reports, 1);
        rig_shutdown(r);
    }
}
END_TEST

/* A length or the last chunk shows the end, so a last event without its blank line was sent that way. */
START_TEST(framing_shows_the_end_of_a_stream_whatever_its_last_event) {
    static const char chunked[] = EVENTS_CHUNKED "1b\r\nid: 1\ndata: a\n\ndata: [DONE]\r\n0\r\n\r\n";
    static const char with_length[] =
        HEAD "Content-Type: text/event-stream\r\nContent-Length: 27\r\n\r\nid: 1\ndata: a\n\ndata: [DONE]";
    static const char* const texts[] = {chunked, with_length};
    static const char* const calls[] = {CALL("stream"), CALL("resume")};
    for (size_t c = 0; c < sizeof(calls) / sizeof(calls[0]); c++) {
        for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
            rig_t* r = play(calls[c], 2, (rig_step_t[]){{RIG_RESPOND, texts[i]}, {RIG_RESPOND, texts[i]}});
            expect_complete(r, "data: [DONE]");
            ck_assert_uint_eq(r->arrival_count, 1);
            rig_shutdown(r);
        }
    }
}
END_TEST

START_TEST(a_response_that_is_no_event_stream_ends_with_its_connection) {
    static const char* const heads[] = {HEAD "\r\n", HEAD "Content-Type: application/json\r\n\r\n",
                                        HEAD "Content-Type: text/event-streams\r\n\r\n"};
    for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
        char text[300];
        snprintf(text, sizeof(text), "%sall of it", heads[i]);
        rig_t* r = play(CALL("call"), 1, (rig_step_t[]){{RIG_RESPOND_CLOSE, text}});
        expect_complete(r, "all of it");
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(a_reset_response_is_not_complete) {
    static const char* const texts[] = {HEAD "\r\nall of it", EVENTS "id: 1\ndata: a\n\n"};
    static const char* const calls[] = {CALL("call"), CALL("stream")};
    for (size_t i = 0; i < 2; i++) {
        rig_t* r = play(calls[i], 1, (rig_step_t[]){{RIG_RESPOND_RESET, texts[i]}});
        expect_broken(r);
        rig_shutdown(r);
    }
}
END_TEST

/* -- tunnels -------------------------------------------------------------- */

/* Guards against a part of a response that its caller takes for the whole: the host that carries the tunnel stops or
   dies, and its end of the tunnel is closed as if the server had closed. */
START_TEST(a_response_is_not_complete_when_its_tunnel_ends_before_its_server) {
    static const char* const texts[] = {HEAD "\r\npart of it", EVENTS "id: 1\ndata: a\n\n"};
    static const char* const calls[] = {CALL("call"), CALL("stream")};
    for (size_t i = 0; i < 2; i++) {
        rig_t* r = rig_setup(ROUTES, 1);
        tunnels_t* tunnels = rig_tunnel_setup(r, 78);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND, texts[i]}}, 1);
        r->stop_on_response = true;
        rig_write(r, calls[i]);
        while (!strstr(cw_buffer_text(&r->response), i ? "data: a" : "part of it")) {
            ev_run(r->loop, EVRUN_ONCE);
        }
        tunnels_shutdown(tunnels);
        rig_run(r);
        expect_broken(r);
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(a_response_is_complete_when_its_server_closes_behind_a_tunnel) {
    static const char* const texts[] = {HEAD "\r\nall of it", EVENTS "id: 1\ndata: a\n\n"};
    static const char* const calls[] = {CALL("call"), CALL("stream")};
    for (size_t i = 0; i < 2; i++) {
        rig_t* r = rig_setup(ROUTES, 1);
        tunnels_t* tunnels = rig_tunnel_setup(r, 78);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND_CLOSE, texts[i]}}, 1);
        rig_call(r, calls[i]);
        expect_complete(r, i ? "data: a\n\n" : "all of it");
        tunnels_shutdown(tunnels);
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(a_response_is_not_complete_when_its_server_resets_behind_a_tunnel) {
    static const char* const texts[] = {HEAD "\r\nall of it", EVENTS "id: 1\ndata: a\n\n"};
    static const char* const calls[] = {CALL("call"), CALL("stream")};
    for (size_t i = 0; i < 2; i++) {
        rig_t* r = rig_setup(ROUTES, 1);
        tunnels_t* tunnels = rig_tunnel_setup(r, 78);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND_RESET, texts[i]}}, 1);
        rig_call(r, calls[i]);
        expect_broken(r);
        ck_assert_uint_eq(r->observations_published, 1);
        tunnels_shutdown(tunnels);
        rig_shutdown(r);
    }
}
END_TEST

/* -- a relay of an earlier version, which forwards bytes without frames ---- */

typedef struct old_relay_t {
    ev_io accept_io;
    cw_stream_t host;
    cw_wire_t* wire;
    const char* response; /* sent with the end of the connection, as if the server had closed */
    uint32_t reads;
} old_relay_t;

static void old_relay_on_data(void* owner, const char* data, size_t size) {
    old_relay_t* relay = owner;
    (void)data;
    (void)size;
    if (relay->reads++ == 0) {
        const cw_msg_t msg = {.type = CW_MSG_TUNNEL_REPLY, .tunnel_reply = {.result = CW_TUNNEL_OPENED}};
        cw_bytes_t frame = cw_wire_encode_frame(relay->wire, &msg);
        cw_stream_write(&relay->host, frame.data, frame.size);
        cw_stream_flush(&relay->host);
        return;
    }
    cw_stream_write(&relay->host, relay->response, strlen(relay->response));
    cw_stream_flush(&relay->host);
    cw_stream_close(&relay->host);
}

static void old_relay_on_accept(struct ev_loop* loop, ev_io* w, int events) {
    static const cw_stream_handlers_t handlers = {.on_data = old_relay_on_data, .on_end = rig_ignore_end};
    old_relay_t* relay = w->data;
    (void)events;
    int fd = accept4(w->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
        cw_stream_accept(&relay->host, loop, fd, &handlers, relay);
    }
}

/* Such a relay can't tell how the connection ended: only a response whose framing shows its end is complete. */
START_TEST(a_tunnel_without_frames_does_not_show_the_end_of_a_response) {
    static const char* const responses[] = {
        "HTTP/1.1 200 OK\r\nChalkway-Request-Id: q1\r\n\r\nbody",
        "HTTP/1.1 200 OK\r\nChalkway-Request-Id: q1\r\nContent-Length: 4\r\n\r\nbody"};
    for (size_t i = 0; i < 2; i++) {
        old_relay_t old = {.host = {.fd = -1}, .response = responses[i]};
        rig_t* r = rig_setup(ROUTES, 1);
        cw_error_t err = {0};
        int fd = cw_addr_listen("127.0.0.1:0", r->tunnel_host, &err);
        ck_assert_msg(fd >= 0, "%s", cw_error_text(&err).text);
        old.wire = cw_wire_setup(NULL);
        ev_io_init(&old.accept_io, old_relay_on_accept, fd, EV_READ);
        old.accept_io.data = &old;
        ev_io_start(r->loop, &old.accept_io);
        r->choose_tunnel_host = rig_restore_paths;
        rig_break_path(upstreams_server(r->upstreams, cw_name_id("s0")));
        rig_call(r, CALL("call"));
        if (i == 0) {
            expect_broken(r);
        } else {
            expect_complete(r, "body");
        }
        ev_io_stop(r->loop, &old.accept_io);
        close(fd);
        cw_stream_close(&old.host);
        cw_wire_shutdown(old.wire);
        rig_shutdown(r);
    }
}
END_TEST

/* The server is sound, so neither it nor the request is suspected, and a request that may be sent again is. */
START_TEST(a_tunnel_that_ends_is_held_against_neither_server_nor_request) {
    rig_t* r = rig_setup(ROUTES, 1);
    tunnels_t* tunnels = rig_tunnel_setup(r, 78);
    rig_script(r, (rig_step_t[]){{RIG_NO_RESPONSE, ""}, {RIG_RESPOND, HEAD "Content-Length: 2\r\n\r\nok"}}, 2);
    r->stop_on_response = true;
    rig_write(r, CALL("again"));
    while (!r->arrival_count) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    tunnels_shutdown(tunnels);
    rig_run(r);
    expect_complete(r, "ok");
    ck_assert_uint_eq(r->observations_published, 0);
    ck_assert_uint_eq(r->liveness_reports, 0);
    rig_shutdown(r);
}
END_TEST

/* -- callers of HTTP/1.0, who get no chunks ------------------------------- */

typedef struct old_caller_t {
    struct ev_loop* loop;
    bool is_complete; /* how the server ends its responses */
    bool is_ended;
    cw_stream_end_reason_t end;
} old_caller_t;

static void stream_response(cw_exchange_t* x, void* user) {
    const old_caller_t* c = user;
    cw_exchange_stream(x, 200, NULL, 0);
    cw_exchange_push(x, "body", 4);
    cw_exchange_finish(x, c->is_complete);
}

static void old_caller_on_end(void* owner, cw_stream_end_reason_t end) {
    old_caller_t* c = owner;
    c->is_ended = true;
    c->end = end;
}

START_TEST(a_truncated_response_to_a_caller_of_http_1_0_is_reset) {
    static const cw_stream_handlers_t handlers = {.on_data = rig_ignore_data, .on_end = old_caller_on_end};
    for (int is_complete = 0; is_complete < 2; is_complete++) {
        old_caller_t c = {.loop = ev_loop_new(0), .is_complete = is_complete};
        cw_error_t err = {0};
        cw_httpd_t* httpd = cw_httpd_setup(
            &(cw_httpd_desc_t){
                .loop = c.loop, .address = "127.0.0.1:0", .on_request = stream_response, .user_data = &c},
            &err);
        ck_assert_msg(httpd != NULL, "%s", cw_error_text(&err).text);
        struct sockaddr_in address;
        cw_addr_parse(cw_httpd_address(httpd), &address, NULL);
        cw_stream_t stream;
        ck_assert_int_eq(cw_stream_connect(&stream, c.loop, &address, &handlers, &c), CW_OK);
        static const char request[] = "GET / HTTP/1.0\r\n\r\n";
        cw_stream_write(&stream, request, sizeof(request) - 1);
        cw_stream_flush(&stream);
        ev_tstamp end = ev_time() + RIG_TIMEOUT_S;
        while (!c.is_ended) {
            ck_assert_msg(ev_time() < end, "the response does not end");
            ev_run(c.loop, EVRUN_ONCE);
        }
        ck_assert_int_eq(c.end, is_complete ? CW_STREAM_PEER_CLOSED : CW_STREAM_RESET);
        cw_httpd_shutdown(httpd);
        ev_loop_destroy(c.loop);
    }
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_stream_that_ends_inside_an_event_does_not_look_complete);
    tcase_add_test(t, a_stream_that_ends_after_an_event_is_complete);
    tcase_add_test(t, a_stream_without_an_event_is_not_complete);
    tcase_add_test(t, a_stream_without_an_event_is_retried_at_another_server);
    tcase_add_test(t, a_stream_that_ends_inside_an_event_resumes_at_another_server);
    tcase_add_test(t, a_stream_is_not_resumed_after_an_event_without_an_id);
    tcase_add_test(t, a_resumed_stream_that_ends_too_early_is_not_complete);
    tcase_add_test(t, a_resumed_stream_that_ends_at_the_last_event_is_complete);
    tcase_add_test(t, a_stream_of_which_only_comments_arrived_is_sent_again);
    tcase_add_test(t, a_stream_is_not_resumed_with_a_response_of_another_kind);
    tcase_add_test(t, an_end_inside_an_event_counts_as_a_crash_under_the_request);
    tcase_add_test(t, framing_shows_the_end_of_a_stream_whatever_its_last_event);
    tcase_add_test(t, a_response_that_is_no_event_stream_ends_with_its_connection);
    tcase_add_test(t, a_reset_response_is_not_complete);
    tcase_add_test(t, a_response_is_not_complete_when_its_tunnel_ends_before_its_server);
    tcase_add_test(t, a_response_is_complete_when_its_server_closes_behind_a_tunnel);
    tcase_add_test(t, a_response_is_not_complete_when_its_server_resets_behind_a_tunnel);
    tcase_add_test(t, a_tunnel_without_frames_does_not_show_the_end_of_a_response);
    tcase_add_test(t, a_truncated_response_to_a_caller_of_http_1_0_is_reset);
    tcase_add_test(t, a_tunnel_that_ends_is_held_against_neither_server_nor_request);
}

int main(void) {
    return run_suite("unframed", add_tests, 60);
}
