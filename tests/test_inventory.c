/* The prefix caches of engines are queried once at the start: by which host, how much is recorded, and what happens
   after a failed query. */
#include <stdlib.h>

#include "../gateway/clock.h"
#include "../gateway/inventory.h"
#include "../gateway/request_head.h"
#include "../platform/platform.h"
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\",\"engine\":{\"slots\":8,\"memory_tokens\":100000,"                     \
    "\"token_bytes\":100000,\"link_mbps\":400000}}],\"routes\":[{\"name\":\"r\",\"host\":\"h.example\","               \
    "\"prefix\":\"/r/\",\"kind\":\"stream\",\"timeout_ms\":5000,\"target_ms\":1000,\"attempts\":1,"                    \
    "\"pools\":[{\"pool\":\"p\"}]}]}"

/* A complete response of an engine that lists these parts. */
static const char* engine_response(const char* held) {
    static char text[1024];
    char body[512];
    int size = snprintf(body, sizeof(body), "{\"epoch\":1,\"next_token\":3,\"held\":[%s]}", held);
    snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body);
    return text;
}

/* Ownership as scripted, and what the inventory reported. */
typedef struct fixture_t {
    uint64_t owned_server;     /* key of the only server that this host owns; 0: all */
    uint32_t ownership_checks; /* calls of owns_server */
    uint32_t owned_for_checks; /* number of calls of owns_server, from the first, that may return true; 0: all */
    bool is_unconverged;       /* not all peers are known */
    uint32_t servers, parts;
    cw_prompt_part_t last;
    char server[CW_NAME_MAX];
} fixture_t;

static bool owns_server(void* user, uint64_t server) {
    fixture_t* fixture = user;
    fixture->ownership_checks++;
    bool is_owner = !fixture->owned_for_checks || fixture->ownership_checks <= fixture->owned_for_checks;
    return is_owner && (!fixture->owned_server || fixture->owned_server == server);
}

static bool is_converged(void* user) {
    return !((fixture_t*)user)->is_unconverged;
}

static void on_cached_parts(void* user, server_t* server, const cw_prompt_part_t* parts, uint32_t count) {
    fixture_t* fixture = user;
    fixture->servers++;
    fixture->parts += count;
    fixture->last = parts[count - 1];
    cw_copy(fixture->server, sizeof(fixture->server), server->published.id);
    for (uint32_t i = 0; i < count; i++) {
        cw_balance_on_peer_prompt(server->pool->balance, server->key, &parts[i]);
    }
}

static inventory_t* make_inventory(rig_t* r, const dialect_t* dialect, fixture_t* fixture) {
    return inventory_setup(&(inventory_desc_t){.loop = r->loop,
                                               .log = &r->log,
                                               .dialect = dialect,
                                               .upstreams = r->upstreams,
                                               .settle_delay_ms = 1,
                                               .owns_server = owns_server,
                                               .is_converged = is_converged,
                                               .on_cached_parts = on_cached_parts,
                                               .user_data = fixture});
}

static inventory_t* run_inventory(rig_t* r, const dialect_t* dialect, fixture_t* fixture) {
    inventory_t* v = make_inventory(r, dialect, fixture);
    int64_t now_ms = clock_ms();
    inventory_tick(v, now_ms);
    ck_assert_uint_eq(inventory_stats(v).queried, 0); /* the peers are not known yet */
    for (int i = 0; i < 2000 && !inventory_stats(v).is_done; i++) {
        inventory_tick(v, now_ms + 2);
        ev_run(r->loop, EVRUN_ONCE);
    }
    return v;
}

START_TEST(each_engine_is_queried_once_and_its_parts_are_recorded) {
    rig_t* r = rig_setup(ROUTES, 2);
    fixture_t fixture = {0};
    rig_script(r,
               (rig_step_t[]){{RIG_RESPOND_CLOSE, engine_response("[\"\",\"a1\",4000,\"m\"],[\"\",\"b2\",10,\"m\"]")},
                              {RIG_RESPOND_CLOSE, "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"held\":[]}"}},
               2);
    inventory_t* v = run_inventory(r, &platform_dialect, &fixture);
    ck_assert(inventory_stats(v).is_done);
    ck_assert_uint_eq(inventory_stats(v).queried, 2);
    ck_assert_uint_eq(inventory_stats(v).failed, 0);
    ck_assert_uint_eq(fixture.servers, 1); /* the other engine has nothing cached */
    ck_assert_uint_eq(fixture.parts, 2);
    ck_assert(strncmp(r->arrivals[0], "GET /kv-list HTTP/1.1\r\n", 23) == 0);
    inventory_tick(v, clock_ms() + 60000);
    ck_assert_uint_eq(inventory_stats(v).queried, 2);
    /* a prompt that begins with these parts goes to the engine that has them cached */
    pool_t* pool = upstreams_pool(r->upstreams, "p");
    cw_work_t work = {.prompt_tokens = 4010,
                      .target_ms = 1000,
                      .part_count = 2,
                      .parts = {{request_part_id("a1"), 4000}, {request_part_id("B2"), 10}}};
    cw_choice_t c = cw_balance_choose(pool->balance, clock_ms(), &work, NULL, 0);
    ck_assert_uint_eq(c.cached_tokens, 4010);
    ck_assert_str_eq(upstreams_server(r->upstreams, cw_name_id(fixture.server))->published.id, fixture.server);
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

START_TEST(only_engines_owned_by_this_host_are_queried) {
    rig_t* r = rig_setup(ROUTES, 3);
    fixture_t fixture = {.owned_server = cw_name_id("s1")};
    rig_script(r, (rig_step_t[]){{RIG_RESPOND_CLOSE, engine_response("[\"\",\"a1\",4000,\"m\"]")}}, 1);
    inventory_t* v = run_inventory(r, &platform_dialect, &fixture);
    ck_assert_uint_eq(r->arrival_count, 1);
    ck_assert_uint_eq(r->arrival_server[0], 1);
    ck_assert_str_eq(fixture.server, "s1");
    ck_assert_uint_eq(fixture.last.tokens, 0); /* the query added no tokens to the engine's cache */
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

/* A host that starts knows few peers. As it gets to know more, engines pass to other owners. */
START_TEST(engines_that_pass_to_another_owner_are_not_queried) {
    rig_t* r = rig_setup(ROUTES, 3);
    fixture_t fixture = {.owned_for_checks = 3};
    rig_script(r, (rig_step_t[]){{RIG_NO_RESPONSE, ""}, {RIG_NO_RESPONSE, ""}, {RIG_NO_RESPONSE, ""}}, 3);
    inventory_t* v = run_inventory(r, &platform_dialect, &fixture);
    ck_assert(inventory_stats(v).is_done);
    ck_assert_uint_eq(inventory_stats(v).queried, 0);
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

/* Guards against queries before the peers are known. When all hosts of a large fleet start at once, they get to know
   each other within seconds. Until then each took most engines for its own: 584 hosts queried 5,682 engines 261,643
   times, each time on a new connection. */
START_TEST(no_engine_is_queried_before_peers_are_known) {
    rig_t* r = rig_setup(ROUTES, 2);
    fixture_t fixture = {.is_unconverged = true};
    rig_script(r,
               (rig_step_t[]){{RIG_RESPOND_CLOSE, engine_response("[\"\",\"a1\",4000,\"m\"]")},
                              {RIG_RESPOND_CLOSE, engine_response("[\"\",\"a1\",4000,\"m\"]")}},
               2);
    inventory_t* v = make_inventory(r, &platform_dialect, &fixture);
    int64_t now_ms = clock_ms();
    for (int64_t ms = 0; ms < 20000; ms += 50) {
        inventory_tick(v, now_ms + ms);
    }
    ck_assert_uint_eq(inventory_stats(v).queried, 0);
    fixture.is_unconverged = false;
    for (int i = 0; i < 2000 && !inventory_stats(v).is_done; i++) {
        inventory_tick(v, now_ms + 20000 + i);
        ev_run(r->loop, EVRUN_NOWAIT);
    }
    ck_assert_uint_eq(inventory_stats(v).queried, 2);
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

START_TEST(failed_query_is_counted_and_records_nothing) {
    static const char* const responses[] = {
        "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"held\":[", "nonsense\r\n\r\n"};
    for (size_t i = 0; i < sizeof(responses) / sizeof(responses[0]); i++) {
        rig_t* r = rig_setup(ROUTES, 1);
        fixture_t fixture = {0};
        rig_script(r, (rig_step_t[]){{RIG_RESPOND_CLOSE, responses[i]}}, 1);
        inventory_t* v = run_inventory(r, &platform_dialect, &fixture);
        ck_assert(inventory_stats(v).is_done);
        ck_assert_uint_eq(inventory_stats(v).failed, 1);
        ck_assert_uint_eq(fixture.servers, 0);
        inventory_shutdown(v);
        rig_shutdown(r);
    }
}
END_TEST

START_TEST(engines_without_an_inventory_path_are_not_queried) {
    rig_t* r = rig_setup(ROUTES, 2);
    fixture_t fixture = {0};
    inventory_t* v = inventory_setup(&(inventory_desc_t){.loop = r->loop,
                                                         .log = &r->log,
                                                         .dialect = &dialect_native,
                                                         .upstreams = r->upstreams,
                                                         .settle_delay_ms = 1,
                                                         .owns_server = owns_server,
                                                         .on_cached_parts = on_cached_parts,
                                                         .user_data = &fixture});
    for (int64_t i = 0; i < 10; i++) {
        inventory_tick(v, clock_ms() + 1000 * i);
    }
    ck_assert_uint_eq(inventory_stats(v).queried, 0);
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

static void count_part(void* user, const cw_prompt_part_t* part) {
    *(uint32_t*)user += part->tokens;
}

START_TEST(malformed_entries_are_skipped) {
    static const char text[] = "{\"held\":[[\"\",\"zz\",5,\"m\"],[\"\",\"a1\",-5,\"m\"],[\"\",7,5],[],3,"
                               "[\"\",\"a1\",99999999999,\"m\"],[\"\",\"a1\",40,\"m\"]]}";
    uint32_t tokens = 0;
    int64_t started_ms = 0;
    cw_error_t err = {0};
    ck_assert_int_eq(platform_read_inventory(text, sizeof(text) - 1, &started_ms, count_part, &tokens, &err), CW_OK);
    ck_assert_uint_eq(tokens, 40);
    ck_assert_int_eq(platform_read_inventory("{}", 2, &started_ms, count_part, &tokens, &err), CW_ERR_PROTOCOL);
    ck_assert_int_eq(platform_read_inventory("{", 1, &started_ms, count_part, &tokens, &err), CW_ERR_PROTOCOL);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, each_engine_is_queried_once_and_its_parts_are_recorded);
    tcase_add_test(t, only_engines_owned_by_this_host_are_queried);
    tcase_add_test(t, engines_that_pass_to_another_owner_are_not_queried);
    tcase_add_test(t, no_engine_is_queried_before_peers_are_known);
    tcase_add_test(t, failed_query_is_counted_and_records_nothing);
    tcase_add_test(t, engines_without_an_inventory_path_are_not_queried);
    tcase_add_test(t, malformed_entries_are_skipped);
}

int main(void) {
    return run_suite("inventory", add_tests, 30);
}
