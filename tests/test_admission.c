/* What the configuration allows a request, and how urgent servers are told that it is. */
#include <stdio.h>

#include "../gateway/admission.h"
#include "../platform/platform.h"
#include "test.h"

#define ROUTE(name, tier)                                                                                              \
    "{\"name\":\"" name "\",\"host\":\"h.example\",\"prefix\":\"/" name "/\",\"kind\":\"stream\",\"timeout_ms\":5000," \
    "\"target_ms\":250,\"tier\":" tier ",\"attempts\":1,\"pools\":[{\"pool\":\"p\"}]}"

#define CATALOG                                                                                                        \
    "{\"revision\":1,\"limits\":{\"head_bytes\":8000,\"body_bytes\":1000,\"head_ms\":5000,\"idle_ms\":20000},"         \
    "\"pools\":[{\"name\":\"p\"}],\"routes\":[" ROUTE("chat", "0") "," ROUTE("digest", "2") "," ROUTE(                 \
        "last", "9") "],"                                                                                              \
                     "\"workspaces\":[{\"name\":\"first\",\"keys\":[\"k0\"],\"tier\":0},{\"name\":\"usual\",\"keys\":" \
                     "[\"k1\"],\"tier\":1},"                                                                           \
                     "{\"name\":\"own\",\"keys\":[\"k2\"]},{\"name\":\"low\",\"keys\":[\"k7\"],\"tier\":7}]}"

static void no_handler(void* owner) {
    (void)owner;
}

static admission_t judged(const char* route, const char* key) {
    static const cw_message_handlers_t handlers = {.on_head = no_handler};
    cw_catalog_t* catalog = cw_catalog_read(CATALOG, strlen(CATALOG), NULL);
    cw_message_t m;
    char text[256];
    int size = snprintf(
        text, sizeof(text),
        "POST /%s/ HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", route, key);
    ck_assert_ptr_nonnull(catalog);
    cw_message_setup(&m, CW_MESSAGE_REQUEST, &handlers, NULL);
    cw_message_read(&m, text, (size_t)size);
    admission_t a = admission_check(&platform_dialect, catalog, &m);
    cw_message_shutdown(&m);
    cw_catalog_release(catalog);
    return a;
}

/* Workspaces with a priority of their own send all kinds of work with it. Servers preempt among equals whatever came
   last, so a kind with a short target must not look equal to one that can wait. */
START_TEST(kinds_of_one_priority_are_told_apart_to_servers) {
    admission_t chat = judged("chat", "k1");
    admission_t digest = judged("digest", "k1");
    ck_assert_uint_eq(chat.status, 0);
    ck_assert_uint_eq(chat.priority, digest.priority);
    ck_assert_uint_lt(chat.urgency, digest.urgency);
}
END_TEST

/* A digest of a workspace that goes first was begun before; a chat of any other workspace finds the engine full and is
   the newest there. It must not be the one that is preempted. */
START_TEST(the_kind_goes_before_the_workspace_s_priority) {
    ck_assert_uint_lt(judged("chat", "k1").urgency, judged("digest", "k0").urgency);
    ck_assert_uint_lt(judged("chat", "k7").urgency, judged("digest", "k0").urgency);
    ck_assert_uint_lt(judged("chat", "k0").urgency, judged("chat", "k1").urgency);
    ck_assert_uint_lt(judged("chat", "k2").urgency, judged("chat", "k1").urgency); /* the route's own: 0 */
    ck_assert_uint_le(judged("digest", "k1").urgency, judged("last", "k1").urgency);
}
END_TEST

START_TEST(no_urgency_is_beyond_what_servers_understand) {
    static const char* const keys[] = {"k0", "k1", "k2", "k7"};
    for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
        ck_assert_uint_le(judged("last", keys[i]).urgency, platform_dialect.priority_max);
        ck_assert_uint_le(judged("chat", keys[i]).urgency, judged("digest", keys[i]).urgency);
    }
}
END_TEST

static void add(TCase* tests) {
    tcase_add_test(tests, kinds_of_one_priority_are_told_apart_to_servers);
    tcase_add_test(tests, the_kind_goes_before_the_workspace_s_priority);
    tcase_add_test(tests, no_urgency_is_beyond_what_servers_understand);
}

int main(void) {
    return run_suite("admission", add, 30);
}
