/*
    Servers that advertise the rate at which they accept requests from all hosts together.

    Guards against ignoring that rate. With nine engines and eight hosts, two engines advertised 3.3 and 1 requests
    per second in all their responses and got 36 and 15 requests in four seconds, as many as before. Every host went
    on choosing them by cost: a response's head was evaluated for its own request only, so the advertised rate never
    reached the choice of a server.

    The tests script a server that advertises a rate in each response, and send requests as fast as they are served.
    In four seconds the server may get one and a half times its rate, plus five requests.
*/
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"limits\":{\"head_bytes\":2000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":20000},"         \
    "\"pools\":[{\"name\":\"p\"}],\"routes\":["                                                                        \
    "{\"name\":\"once\",\"host\":\"h.example\",\"prefix\":\"/once/\",\"kind\":\"once\",\"timeout_ms\":5000,"           \
    "\"target_ms\":300,\"attempts\":1,\"open\":true,\"pools\":[{\"pool\":\"p\"}]}]}"
#define REQUEST "POST /once/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n\r\n"
#define LIMITED_RESPONSE                                                                                               \
    {                                                                                                                  \
        RIG_RESPOND, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nChalkway-Server-Limit: 0.01\r\n"                 \
                     "Content-Length: 4\r\n\r\nfine"                                                                   \
    }
#define PER_S 0.01
#define WINDOW_S 4
#define ALLOWED (1.5 * PER_S * WINDOW_S + 5)
#define CALLS 16

/* Makes calls one after the other and checks that those not served are refused as not run. Returns how many were
   served. */
static uint32_t call_all(rig_t* r) {
    uint32_t served = 0;
    for (uint32_t i = 0; i < CALLS; i++) {
        const char* response = rig_call(r, REQUEST);
        bool is_served = strncmp(response, "HTTP/1.1 200", 12) == 0;
        ck_assert_msg(is_served || (strncmp(response, "HTTP/1.1 503", 12) == 0 && strstr(response, "Retry-After: ")),
                      "%s", response);
        served += is_served;
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

static void script_limited_responses(rig_t* r) {
    rig_step_t steps[CALLS];
    for (uint32_t i = 0; i < CALLS; i++) {
        steps[i] = (rig_step_t)LIMITED_RESPONSE;
    }
    rig_script(r, steps, CALLS);
}

START_TEST(server_gets_no_more_than_its_advertised_rate) {
    rig_t* r = rig_setup(ROUTES, 1);
    script_limited_responses(r);
    uint32_t served = call_all(r);
    ck_assert_msg(r->arrival_count <= ALLOWED, "%u requests reached it", r->arrival_count);
    ck_assert_uint_eq(served, r->arrival_count);
    rig_shutdown(r);
}
END_TEST

/* The second server advertises no rate: it gets the requests beyond the first one's rate, and none is refused. */
START_TEST(requests_beyond_the_advertised_rate_go_to_other_servers) {
    rig_t* r = rig_setup(ROUTES, 2);
    script_limited_responses(r);
    rig_call(r, REQUEST);
    uint32_t limited = r->arrival_server[0];
    rig_step_t steps[CALLS];
    for (uint32_t i = 0; i < CALLS; i++) {
        steps[i] =
            (rig_step_t){RIG_RESPOND, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: 4\r\n\r\nfine"};
    }
    rig_script(r, steps, CALLS);
    ck_assert_uint_eq(call_all(r), CALLS);
    ck_assert_uint_le(arrivals_at(r, limited), (uint32_t)ALLOWED);
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, server_gets_no_more_than_its_advertised_rate);
    tcase_add_test(t, requests_beyond_the_advertised_rate_go_to_other_servers);
}

int main(void) {
    return run_suite("limited", add_tests, 60);
}
