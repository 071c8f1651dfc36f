/*
    A host whose machine was suspended for seconds.

    Pattern: the monotonic clock, and with it every timer of the loop, leaves the suspended time out, while deadlines,
    ages and windows go on. Brought about here by the clock that tests may shift (io/clock.h); the lengths are those of
   a nap, of the time that news and lists may be old, and of longer than any request is held. Each must be noticed in
   the first turn of the loop, before anything else is done.
*/
#include "../gateway/wake.h"
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"limits\":{\"head_bytes\":2000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":20000},"         \
    "\"pools\":[{\"name\":\"p\",\"health\":\"/health\"}],\"routes\":["                                                 \
    "{\"name\":\"again\",\"host\":\"h.example\",\"prefix\":\"/again/\",\"kind\":\"repeatable\",\"timeout_ms\":3000,"   \
    "\"target_ms\":2000,\"attempts\":2,\"open\":true,\"pools\":[{\"pool\":\"p\"}]},"                                   \
    "{\"name\":\"once\",\"host\":\"h.example\",\"prefix\":\"/once/\",\"kind\":\"once\",\"timeout_ms\":3000,"           \
    "\"target_ms\":2000,\"attempts\":1,\"open\":true,\"pools\":[{\"pool\":\"p\"}]}]}"
#define HEAD " HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: q1\r\nContent-Length: 0\r\n\r\n"
#define OK(body, length) "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: " length "\r\n\r\n" body

typedef struct sleeper_t {
    rig_t* rig;
    wake_t wake;
    ev_timer nap;
    int64_t for_ms;
    bool slept, woke;
    uint32_t active; /* requests that were left then */
    bool answers;    /* the first server answers as the machine wakes */
} sleeper_t;

static void on_wake(void* user, int64_t suspended_ms) {
    sleeper_t* s = user;
    ck_assert_int_ge(suspended_ms, s->for_ms);
    exchanges_on_wake(s->rig->exchanges);
    upstreams_on_wake(s->rig->upstreams);
    s->woke = true;
    s->active = exchanges_stats(s->rig->exchanges).active;
}

static void on_nap(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    sleeper_t* s = w->data;
    cw_clock_suspend(s->for_ms);
    s->slept = true;
    if (s->answers) {
        static const char text[] = "HTTP/1.1 200 OK\r\nChalkway-Request-Id: q1\r\nContent-Length: 4\r\n\r\nlate";
        cw_stream_write(&s->rig->conns[0].stream, text, sizeof(text) - 1);
        cw_stream_flush(&s->rig->conns[0].stream);
    }
}

static void sleeper_setup(sleeper_t* s, rig_t* r, int64_t for_ms) {
    *s = (sleeper_t){.rig = r, .for_ms = for_ms};
    wake_setup(&s->wake, r->loop, on_wake, s);
    ev_timer_init(&s->nap, on_nap, 0.05, 0.0);
    s->nap.data = s;
    ev_timer_start(r->loop, &s->nap);
}

static void expect_status(const char* answer, const char* status) {
    ck_assert_msg(strncmp(answer, "HTTP/1.1 ", 9) == 0 && strncmp(answer + 9, status, 3) == 0, "wanted %s, got: %s",
                  status, answer);
}

/* It is with a server as the machine sleeps, for longer than it may be held. */
START_TEST(a_deadline_that_passed_meanwhile_ends_the_request_at_once) {
    static const char* const texts[] = {"POST /again/x" HEAD, "POST /once/x" HEAD};
    for (int i = 0; i < 2; i++) {
        rig_t* r = rig_setup(ROUTES, 2);
        sleeper_t s;
        rig_script(r, (rig_step_t[]){{RIG_SILENT, NULL}}, 1);
        sleeper_setup(&s, r, 30000);
        expect_status(rig_call(r, texts[i]), "504");
        ck_assert(s.woke);
        ck_assert_uint_eq(s.active, i); /* one that may not be repeated is left to itself for a while */
        ck_assert_uint_eq(r->arrival_count, 1);
        wake_shutdown(&s.wake);
        rig_shutdown(r);
    }
}
END_TEST

/* No server is ready: it waits for one, which its pool may find after the wait is over. */
START_TEST(a_wait_that_is_over_meanwhile_is_given_up) {
    rig_t* r = rig_setup(ROUTES, 1);
    sleeper_t s;
    rig_script(r, (rig_step_t[]){{RIG_SILENT, NULL}}, 1);
    pool_t* pool = upstreams_pool(r->upstreams, "p");
    cw_balance_away(pool->balance, clock_ms(), cw_name_id("s0"), true);
    for (server_t* server = pool->servers; server; server = server->next) {
        cw_balance_away(pool->balance, clock_ms(), server->key, true);
    }
    sleeper_setup(&s, r, 4000);
    expect_status(rig_call(r, "POST /once/x" HEAD), "503");
    ck_assert(s.woke && !s.active);
    ck_assert_uint_eq(r->arrival_count, 0);
    wake_shutdown(&s.wake);
    rig_shutdown(r);
}
END_TEST

/* A request is answered over a connection that is kept, the machine sleeps for a second, and one comes that may not be
   repeated: it goes over a new connection, since the kept one may be dead without a sign. */
START_TEST(kept_connections_are_not_trusted_after_it) {
    rig_t* r = rig_setup(ROUTES, 1);
    sleeper_t s;
    rig_script(r, (rig_step_t[]){{RIG_ANSWER, OK("one", "3")}, {RIG_ANSWER, OK("two", "3")}}, 2);
    expect_status(rig_call(r, "POST /once/x" HEAD), "200");
    ck_assert_uint_eq(r->conn_count, 1);
    sleeper_setup(&s, r, 1000);
    while (!s.slept) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    expect_status(rig_call(r, "POST /once/x" HEAD), "200");
    ck_assert_uint_eq(r->conn_count, 2);
    wake_shutdown(&s.wake);
    rig_shutdown(r);
}
END_TEST

/* The machine sleeps for less than the request has left, and the answer is there as it wakes: it is delivered. */
START_TEST(a_request_with_time_left_goes_on) {
    rig_t* r = rig_setup(ROUTES, 1);
    sleeper_t s;
    rig_script(r, (rig_step_t[]){{RIG_SILENT, NULL}}, 1);
    sleeper_setup(&s, r, 1000);
    s.answers = true;
    expect_status(rig_call(r, "POST /once/x" HEAD), "200");
    wake_shutdown(&s.wake);
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_deadline_that_passed_meanwhile_ends_the_request_at_once);
    tcase_add_test(t, a_wait_that_is_over_meanwhile_is_given_up);
    tcase_add_test(t, kept_connections_are_not_trusted_after_it);
    tcase_add_test(t, a_request_with_time_left_goes_on);
}

int main(void) {
    return run_suite("suspended", add_tests, 20);
}
