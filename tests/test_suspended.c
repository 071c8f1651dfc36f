/*
    A host whose machine was suspended for seconds.

    The monotonic clock, and with it every timer of the loop, doesn't count suspended time, while deadlines, ages and
    time windows do. The tests simulate a suspension by shifting the clock (io/clock.h): for 1 s, for 4 s, after which
    load reports and lists are outdated, and for 30 s, longer than any request may run. It must be detected in the first
    iteration of the loop, before any other event is handled.
*/
#include "../gateway/suspend_detector.h"
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

typedef struct suspension_t {
    rig_t* rig;
    suspend_detector_t detector;
    ev_timer suspend_timer;
    int64_t duration_ms;
    bool was_suspended, was_resumed;
    uint32_t active_requests; /* requests still active after the resume */
    bool sends_response;      /* the first server responds when the machine resumes */
} suspension_t;

static void on_resume(void* user, int64_t suspended_ms) {
    suspension_t* s = user;
    ck_assert_int_ge(suspended_ms, s->duration_ms);
    exchanges_on_resume(s->rig->exchanges);
    upstreams_on_resume(s->rig->upstreams);
    s->was_resumed = true;
    s->active_requests = exchanges_stats(s->rig->exchanges).active;
}

static void on_suspend_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    suspension_t* s = w->data;
    cw_clock_simulate_suspend(s->duration_ms);
    s->was_suspended = true;
    if (s->sends_response) {
        static const char text[] = "HTTP/1.1 200 OK\r\nChalkway-Request-Id: q1\r\nContent-Length: 4\r\n\r\nlate";
        cw_stream_write(&s->rig->conns[0].stream, text, sizeof(text) - 1);
        cw_stream_flush(&s->rig->conns[0].stream);
    }
}

static void suspension_setup(suspension_t* s, rig_t* r, int64_t duration_ms) {
    *s = (suspension_t){.rig = r, .duration_ms = duration_ms};
    suspend_detector_setup(&s->detector, r->loop, on_resume, s);
    ev_timer_init(&s->suspend_timer, on_suspend_timer, 0.05, 0.0);
    s->suspend_timer.data = s;
    ev_timer_start(r->loop, &s->suspend_timer);
}

static void expect_status(const char* response, const char* status) {
    ck_assert_msg(strncmp(response, "HTTP/1.1 ", 9) == 0 && strncmp(response + 9, status, 3) == 0, "wanted %s, got: %s",
                  status, response);
}

/* A request runs at a server while the machine is suspended past its deadline. */
START_TEST(a_request_whose_deadline_passed_ends_at_once) {
    static const char* const texts[] = {"POST /again/x" HEAD, "POST /once/x" HEAD};
    for (int i = 0; i < 2; i++) {
        rig_t* r = rig_setup(ROUTES, 2);
        suspension_t s;
        rig_script(r, (rig_step_t[]){{RIG_NO_RESPONSE, NULL}}, 1);
        suspension_setup(&s, r, 30000);
        expect_status(rig_call(r, texts[i]), "504");
        ck_assert(s.was_resumed);
        /* The second request may not be retried and stays at the server for a while. */
        ck_assert_uint_eq(s.active_requests, i);
        ck_assert_uint_eq(r->arrival_count, 1);
        suspend_detector_shutdown(&s.detector);
        rig_shutdown(r);
    }
}
END_TEST

/* No server is ready, so the request is queued. The pool might have a server only after the request's wait limit. */
START_TEST(a_queued_request_whose_wait_limit_passed_is_refused) {
    rig_t* r = rig_setup(ROUTES, 1);
    suspension_t s;
    rig_script(r, (rig_step_t[]){{RIG_NO_RESPONSE, NULL}}, 1);
    pool_t* pool = upstreams_pool(r->upstreams, "p");
    cw_balance_set_unreachable(pool->balance, clock_ms(), cw_name_id("s0"), true);
    for (server_t* server = pool->servers; server; server = server->next) {
        cw_balance_set_unreachable(pool->balance, clock_ms(), server->key, true);
    }
    suspension_setup(&s, r, 4000);
    expect_status(rig_call(r, "POST /once/x" HEAD), "503");
    ck_assert(s.was_resumed && !s.active_requests);
    ck_assert_uint_eq(r->arrival_count, 0);
    suspend_detector_shutdown(&s.detector);
    rig_shutdown(r);
}
END_TEST

/* A request was answered over a connection that stays open, the machine is suspended for a second, and a request comes
   that may not be retried. It must use a new connection: the open one may be dead without this host having noticed. */
START_TEST(idle_connections_are_not_reused_after_a_suspension) {
    rig_t* r = rig_setup(ROUTES, 1);
    suspension_t s;
    rig_script(r, (rig_step_t[]){{RIG_RESPOND, OK("one", "3")}, {RIG_RESPOND, OK("two", "3")}}, 2);
    expect_status(rig_call(r, "POST /once/x" HEAD), "200");
    ck_assert_uint_eq(r->conn_count, 1);
    suspension_setup(&s, r, 1000);
    while (!s.was_suspended) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    expect_status(rig_call(r, "POST /once/x" HEAD), "200");
    ck_assert_uint_eq(r->conn_count, 2);
    suspend_detector_shutdown(&s.detector);
    rig_shutdown(r);
}
END_TEST

/* The machine is suspended for less than the request's remaining time, and the response is there when it resumes. */
START_TEST(a_request_with_time_left_continues) {
    rig_t* r = rig_setup(ROUTES, 1);
    suspension_t s;
    rig_script(r, (rig_step_t[]){{RIG_NO_RESPONSE, NULL}}, 1);
    suspension_setup(&s, r, 1000);
    s.sends_response = true;
    expect_status(rig_call(r, "POST /once/x" HEAD), "200");
    suspend_detector_shutdown(&s.detector);
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_request_whose_deadline_passed_ends_at_once);
    tcase_add_test(t, a_queued_request_whose_wait_limit_passed_is_refused);
    tcase_add_test(t, idle_connections_are_not_reused_after_a_suspension);
    tcase_add_test(t, a_request_with_time_left_continues);
}

int main(void) {
    return run_suite("suspended", add_tests, 20);
}
