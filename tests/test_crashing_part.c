/*
    A part of prompts that crashes each engine that begins to write a response to a prompt with it.

    Guards against suspicion by the content of requests only. With twelve engines that restarted within seconds,
    requests with one part, no two alike, crashed 66 engines: each began with nothing against it, and crashed one engine
    for each of its attempts.

    Engines are scripted: such a request gets a head, and then its engine closes. At most four engines may crash.
*/
#include "rig.h"

#define ENGINES 8
#define CRASHES_MAX 4
#define SPACING_S 0.12 /* between requests: crashes further apart have no common moment */

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"limits\":{\"head_bytes\":2000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":20000},"         \
    "\"pools\":[{\"name\":\"p\"}],\"routes\":["                                                                        \
    "{\"name\":\"chat\",\"host\":\"h.example\",\"prefix\":\"/chat/\",\"kind\":\"stream\",\"resume\":true,"             \
    "\"timeout_ms\":5000,\"target_ms\":2000,\"attempts\":2,\"open\":true,\"pools\":[{\"pool\":\"p\"}]}]}"

#define STREAM_HEAD                                                                                                    \
    "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Type: text/event-stream\r\n"                              \
    "Transfer-Encoding: chunked\r\n\r\n"
#define CRASHES                                                                                                        \
    { RIG_RESPOND_CLOSE, STREAM_HEAD }
#define SERVES                                                                                                         \
    { RIG_RESPOND, STREAM_HEAD "12\r\nid: 1\ndata: fine\n\n\r\n0\r\n\r\n" }

/* Sends a request whose body and last part no other request has. parts: the parts before the last one. */
static const char* send_prompt(rig_t* r, const char* id, const char* parts) {
    char text[500];
    char body[40];
    snprintf(body, sizeof(body), "prompt %s", id);
    snprintf(text, sizeof(text),
             "POST /chat/x HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: %s\r\nChalkway-Tokens: 900,20\r\n"
             "Chalkway-Prompt-Parts: %s,%x:300\r\nContent-Length: %zu\r\n\r\n%s",
             id, parts, (unsigned)cw_mix(1, cw_name_id(id)) | 1U, strlen(body), body);
    return rig_call(r, text);
}

static bool has_status(const char* response, const char* status) {
    return strncmp(response, "HTTP/1.1 ", 9) == 0 && strncmp(response + 9, status, 3) == 0;
}

static void stop_loop(struct ev_loop* loop, ev_timer* w, int events) {
    (void)w;
    (void)events;
    ev_break(loop, EVBREAK_ALL);
}

static void pause_for(rig_t* r, double s) {
    ev_timer timer;
    ev_timer_init(&timer, stop_loop, s, 0.0);
    ev_timer_start(r->loop, &timer);
    ev_run(r->loop, 0);
    ev_timer_stop(r->loop, &timer);
}

/* Sends up to count prompts with the part until one is refused. Returns how many engines crashed. */
static uint32_t crash_engines(rig_t* r, const char* parts, int count) {
    for (int i = 0; i < count; i++) {
        char id[24];
        snprintf(id, sizeof(id), "bad-%d", i);
        if (has_status(send_prompt(r, id, parts), "503")) {
            break;
        }
        pause_for(r, SPACING_S);
    }
    return r->arrival_count;
}

/* Each request reaches two engines, since its route allows two attempts. */
START_TEST(prompts_with_a_part_that_crashed_engines_are_sent_to_no_other) {
    rig_t* r = rig_setup(ROUTES, ENGINES);
    rig_script(r, (rig_step_t[]){CRASHES, CRASHES, CRASHES, CRASHES, CRASHES, CRASHES, CRASHES, CRASHES}, ENGINES);
    uint32_t crashes = crash_engines(r, "a1:400,dead:200", 4);
    ck_assert_msg(crashes <= CRASHES_MAX, "%u engines crashed", crashes);
    ck_assert(has_status(send_prompt(r, "bad-9", "a1:400,dead:200"), "503"));
    send_prompt(r, "bad-10", "b2:70,dead:200"); /* distinguishes the part from the first one */
    pause_for(r, SPACING_S);
    ck_assert(has_status(send_prompt(r, "bad-11", "b2:70,dead:200"), "503"));
    ck_assert(has_status(send_prompt(r, "bad-12", "a1:400,dead:200"), "503"));
    ck_assert_uint_le(r->arrival_count, CRASHES_MAX);
    rig_shutdown(r);
}
END_TEST

/* Prompts that share the other parts are served before and after it. */
START_TEST(prompts_that_share_the_other_parts_are_served) {
    rig_t* r = rig_setup(ROUTES, ENGINES);
    rig_step_t steps[] = {CRASHES, CRASHES, SERVES, CRASHES, CRASHES, SERVES, SERVES, SERVES};
    rig_script(r, steps, ENGINES);
    send_prompt(r, "bad-1", "a1:400,dead:200");
    ck_assert_uint_eq(r->arrival_count, 2);
    pause_for(r, SPACING_S);
    ck_assert(has_status(send_prompt(r, "good-1", "a1:400,c3:50"), "200"));
    for (int i = 0; i < 3 && r->arrival_count < 5; i++) {
        char id[24];
        snprintf(id, sizeof(id), "bad-2%d", i);
        send_prompt(r, id, "a1:400,dead:200");
        pause_for(r, SPACING_S);
    }
    r->next_step = 5;
    ck_assert(has_status(send_prompt(r, "bad-3", "a1:400,dead:200"), "503"));
    ck_assert(has_status(send_prompt(r, "good-2", "a1:400,c3:50"), "200"));
    ck_assert(has_status(send_prompt(r, "good-3", "a1:400"), "200"));
    rig_shutdown(r);
}
END_TEST

static void set_version(rig_t* r, const char* version, int64_t at_ms) {
    for (uint32_t i = 0; i < ENGINES; i++) {
        r->versions[i] = version;
    }
    rig_set_servers_at(r, at_ms, ENGINES, 0, false);
}

/* Guards against a part that stays refused after a release that mends the engines. */
START_TEST(a_part_is_tried_again_once_all_engines_have_another_version) {
    rig_t* r = rig_setup(ROUTES, ENGINES);
    set_version(r, "v1", 1000);
    rig_script(r, (rig_step_t[]){CRASHES, CRASHES, CRASHES, CRASHES, SERVES, SERVES, SERVES, SERVES}, ENGINES);
    crash_engines(r, "a1:400,dead:200", 4);
    ck_assert(has_status(send_prompt(r, "bad-9", "a1:400,dead:200"), "503"));
    r->next_step = 4;
    set_version(r, "v2", clock_ms()); /* engines with the first version may still be about to be listed again */
    ck_assert(has_status(send_prompt(r, "bad-10", "a1:400,dead:200"), "503"));
    cw_clock_simulate_suspend(31000);
    ck_assert(has_status(send_prompt(r, "good-1", "a1:400,dead:200"), "200"));
    ck_assert(has_status(send_prompt(r, "good-2", "a1:400,dead:200"), "200"));
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, prompts_with_a_part_that_crashed_engines_are_sent_to_no_other);
    tcase_add_test(t, prompts_that_share_the_other_parts_are_served);
    tcase_add_test(t, a_part_is_tried_again_once_all_engines_have_another_version);
}

int main(void) {
    return run_suite("crashing part", add_tests, 20);
}
