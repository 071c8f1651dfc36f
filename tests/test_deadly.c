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

static void add_tests(TCase* t) {
    tcase_add_test(t, a_request_that_ended_three_servers_is_sent_to_no_other);
}

int main(void) {
    return run_suite("deadly", add_tests, 10);
}
