/* Server lists at the size of a large fleet: which servers are new, removed or back, and to which pool they belong. */
#include <ev.h>
#include <stdio.h>
#include <string.h>

#include "../gateway/clock.h"
#include "../gateway/upstream.h"
#include "test.h"

#define SERVERS 3000U

static char last_line[512];

static void store_line(const char* line, void* user) {
    (void)user;
    snprintf(last_line, sizeof(last_line), "%s", line);
}

static void on_slot_free(void* user, pool_t* pool) {
    (void)user;
    (void)pool;
}

static const cw_log_t test_log = {.level = CW_LOG_WARN, .write = store_line};

static upstreams_t* make_upstreams(struct ev_loop* loop) {
    return upstreams_setup(&(upstreams_desc_t){.loop = loop,
                                               .log = &test_log,
                                               .dialect = &dialect_native,
                                               .host = 1,
                                               .max_conns = 10,
                                               .on_slot_free = on_slot_free});
}

static cw_server_t server(uint32_t number, const char* pool) {
    cw_server_t s = {.address = "127.0.0.1:9", .hall = "a", .slots = 4};
    snprintf(s.id, sizeof(s.id), "s%u", number);
    snprintf(s.pool, sizeof(s.pool), "%s", pool);
    return s;
}

/* The servers with numbers from first to last - 1, alternating between two pools. */
static cw_servers_t list_of(uint32_t first, uint32_t last) {
    cw_servers_t list = {0};
    for (uint32_t i = first; i < last; i++) {
        cw_server_t s = server(i, i % 2 ? "p" : "q");
        cw_servers_add(&list, &s);
    }
    return list;
}

static uint32_t set_servers(upstreams_t* u, int64_t now_ms, cw_servers_t list, bool after_outage) {
    uint32_t changes = upstreams_set_servers(u, now_ms, &list, after_outage);
    cw_servers_free(&list);
    return changes;
}

START_TEST(each_change_of_a_long_list_is_counted_once) {
    struct ev_loop* loop = ev_loop_new(0);
    upstreams_t* u = make_upstreams(loop);
    ck_assert_uint_eq(set_servers(u, 1000, list_of(0, SERVERS), false), SERVERS);
    ck_assert_uint_eq(upstreams_pool(u, "p")->ready, SERVERS / 2);
    ck_assert_uint_eq(set_servers(u, 1000, list_of(0, SERVERS), false), 0);
    ck_assert_uint_eq(set_servers(u, 1000, list_of(10, SERVERS), false), 10);
    ck_assert_ptr_null(upstreams_server(u, cw_name_id("s3")));
    ck_assert_ptr_nonnull(upstreams_server(u, cw_name_id("s2999")));
    ck_assert_uint_eq(set_servers(u, 1000, list_of(0, 20), false), 10 + SERVERS - 20); /* 10 back, others removed */
    ck_assert_uint_eq(upstreams_pool(u, "p")->ready, 10);
    ck_assert_uint_eq(set_servers(u, 1000, list_of(0, SERVERS), false), SERVERS - 20);
    upstreams_shutdown(u);
    ev_loop_destroy(loop);
}
END_TEST

/* Guards against dropping servers silently: of a pool of 5,682 engines and one of 321 services, 4,096 servers in all
   and 1,024 of a pool were kept and the others dropped without a log line, so that 67 services got no request in a
   day. */
START_TEST(no_server_of_a_large_fleet_is_dropped) {
    enum { ENGINES = 5682, SERVICES = 321 };
    struct ev_loop* loop = ev_loop_new(0);
    upstreams_t* u = upstreams_setup(&(upstreams_desc_t){.loop = loop,
                                                         .log = &test_log,
                                                         .dialect = &dialect_native,
                                                         .host = 1,
                                                         .max_conns = 10,
                                                         .max_servers = 20000,
                                                         .on_slot_free = on_slot_free});
    cw_servers_t list = {0};
    for (uint32_t i = 0; i < ENGINES + SERVICES; i++) {
        cw_server_t s = server(i, i < ENGINES ? "engines" : "services");
        cw_servers_add(&list, &s);
    }
    ck_assert_uint_eq(set_servers(u, 1000, list, false), ENGINES + SERVICES);
    ck_assert_uint_eq(upstreams_servers_rejected(u), 0);
    pool_t* engines = upstreams_pool(u, "engines");
    ck_assert_uint_eq(upstreams_pool(u, "services")->ready, SERVICES);
    ck_assert_uint_eq(engines->listed, ENGINES);
    ck_assert_uint_ge(engines->ready, 1024);
    for (int64_t now_ms = 2000; upstreams_expand_subset(engines, now_ms); now_ms += 200) {
    }
    ck_assert_uint_eq(engines->ready, ENGINES); /* after requests found no free slot */
    upstreams_shutdown(u);
    ev_loop_destroy(loop);
}
END_TEST

START_TEST(servers_beyond_max_servers_are_rejected) {
    struct ev_loop* loop = ev_loop_new(0);
    upstreams_t* u = make_upstreams(loop);
    uint32_t known = set_servers(u, 1000, list_of(0, 3 * SERVERS), false);
    ck_assert_uint_ge(known, SERVERS);
    ck_assert_uint_lt(known, (uint64_t)3 * SERVERS);
    ck_assert_uint_eq(upstreams_servers_rejected(u), 3 * SERVERS - known);
    ck_assert_ptr_nonnull(strstr(last_line, "servers-full"));
    ck_assert_uint_eq(set_servers(u, 1000, list_of(3 * SERVERS - 5, 3 * SERVERS), false), known); /* all removed */
    ck_assert_uint_eq(set_servers(u, 1000, list_of(3 * SERVERS - 5, 3 * SERVERS), false), 5);     /* 5 fit */
    upstreams_shutdown(u);
    ev_loop_destroy(loop);
}
END_TEST

/* After an outage of the source, missing servers get time to be listed again. Otherwise they are removed at once. */
START_TEST(servers_missing_after_an_outage_get_time_to_return) {
    struct ev_loop* loop = ev_loop_new(0);
    upstreams_t* u = make_upstreams(loop);
    set_servers(u, 1000, list_of(0, 10), false);
    ck_assert_uint_eq(set_servers(u, 2000, list_of(0, 5), true), 0);
    ck_assert_uint_eq(upstreams_pool(u, "p")->ready, 5);
    ck_assert_uint_eq(set_servers(u, 2100, list_of(0, 6), false), 0); /* others still have time */
    upstreams_tick(u, 4100);
    ck_assert_uint_eq(upstreams_pool(u, "p")->ready, 3); /* the time is over */
    upstreams_shutdown(u);
    ev_loop_destroy(loop);
}
END_TEST

START_TEST(id_listed_in_another_pool_is_removed_from_the_first) {
    struct ev_loop* loop = ev_loop_new(0);
    upstreams_t* u = make_upstreams(loop);
    cw_server_t here = server(1, "p");
    cw_server_t there = server(1, "q");
    cw_servers_t first = {0};
    cw_servers_add(&first, &here);
    ck_assert_uint_eq(set_servers(u, 1000, first, false), 1);
    cw_servers_t second = {0};
    cw_servers_add(&second, &there);
    set_servers(u, 1000, second, false);
    ck_assert_uint_eq(upstreams_pool(u, "p")->ready, 0);
    cw_servers_t third = {0};
    cw_servers_add(&third, &there);
    ck_assert_uint_eq(set_servers(u, 1000, third, false), 1);
    ck_assert_uint_eq(upstreams_pool(u, "q")->ready, 1);
    upstreams_shutdown(u);
    ev_loop_destroy(loop);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, each_change_of_a_long_list_is_counted_once);
    tcase_add_test(t, no_server_of_a_large_fleet_is_dropped);
    tcase_add_test(t, servers_beyond_max_servers_are_rejected);
    tcase_add_test(t, servers_missing_after_an_outage_get_time_to_return);
    tcase_add_test(t, id_listed_in_another_pool_is_removed_from_the_first);
}

int main(void) {
    return run_suite("upstream", add_tests, 30);
}
