/*
    A server that names the rate at which it takes requests, from all hosts together.

    Seen: nine engines before eight hosts; two of them named 3.3 and 1 requests a second in all their answers and got 36
   and 15 in four seconds, as many as before. How it came about: every host went on choosing them by cost. Cause: an
   answer's head was looked at by its request alone, so nothing of what it says of its server reached the choice. Proof:
   sends to the two servers were the same in the four seconds before and after they named a rate, at hosts that had been
   told and at those that had not.

    Pattern here: a server that names a rate in each answer, and requests that come as fast as they are answered. What
   it may get in four seconds is one and a half times its rate, and five more.
*/
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"limits\":{\"head_bytes\":2000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":20000},"         \
    "\"pools\":[{\"name\":\"p\"}],\"routes\":["                                                                        \
    "{\"name\":\"once\",\"host\":\"h.example\",\"prefix\":\"/once/\",\"kind\":\"once\",\"timeout_ms\":5000,"           \
    "\"target_ms\":300,\"attempts\":1,\"open\":true,\"pools\":[{\"pool\":\"p\"}]}]}"
#define REQUEST "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"
#define LIMITED                                                                                                        \
    {                                                                                                                  \
        RIG_ANSWER, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nChalkway-Server-Limit: 0.01\r\n"                  \
                    "Content-Length: 4\r\n\r\nfine"                                                                    \
    }
#define PER_S 0.01
#define WINDOW_S 4
#define ALLOWED (1.5 * PER_S * WINDOW_S + 5)
#define CALLS 16

/* Calls one after the other; returns how many were served, and checks that the others were refused as not run. */
static uint32_t call_all(rig_t* r) {
    uint32_t served = 0;
    for (uint32_t i = 0; i < CALLS; i++) {
        const char* answer = rig_call(r, REQUEST);
        bool ok = strncmp(answer, "HTTP/1.1 200", 12) == 0;
        ck_assert_msg(ok || (strncmp(answer, "HTTP/1.1 503", 12) == 0 && strstr(answer, "Retry-After: ")), "%s",
                      answer);
        served += ok;
    }
    return served;
}

static uint32_t arrivals_at(const rig_t* r, uint32_t server) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < r->arrival_count; i++) {
        count += r->arrival_server[i] == server;
    }
    return count;
}

static void all_limited(rig_t* r) {
    rig_step_t steps[CALLS];
    for (uint32_t i = 0; i < CALLS; i++) {
        steps[i] = (rig_step_t)LIMITED;
    }
    rig_script(r, steps, CALLS);
}

START_TEST(a_server_gets_no_more_than_the_rate_that_it_named) {
    rig_t* r = rig_setup(ROUTES, 1);
    all_limited(r);
    uint32_t served = call_all(r);
    ck_assert_msg(r->arrival_count <= ALLOWED, "%u requests reached it", r->arrival_count);
    ck_assert_uint_eq(served, r->arrival_count);
    rig_shutdown(r);
}
END_TEST

/* The second server names nothing: what the first may not get goes there, and nobody is refused. */
START_TEST(what_a_limited_server_may_not_get_goes_to_the_others) {
    rig_t* r = rig_setup(ROUTES, 2);
    all_limited(r);
    rig_call(r, REQUEST);
    uint32_t limited = r->arrival_server[0];
    rig_step_t steps[CALLS];
    for (uint32_t i = 0; i < CALLS; i++) {
        steps[i] =
            (rig_step_t){RIG_ANSWER, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: 4\r\n\r\nfine"};
    }
    rig_script(r, steps, CALLS);
    ck_assert_uint_eq(call_all(r), CALLS);
    ck_assert_uint_le(arrivals_at(r, limited), (uint32_t)ALLOWED);
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_server_gets_no_more_than_the_rate_that_it_named);
    tcase_add_test(t, what_a_limited_server_may_not_get_goes_to_the_others);
}

int main(void) {
    return run_suite("limited", add_tests, 60);
}
