/* What a host concludes from the absence of something, where one of the sources could not be asked
   (docs/design/33-conclusions-from-absence.md). */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../gateway/clock.h"
#include "../gateway/inventory.h"
#include "../platform/platform.h"
#include "rig.h"

#define POOLS                                                                                                          \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\",\"engine\":{\"slots\":8,\"memory_tokens\":100000,"                     \
    "\"event_tokens\":6}}],\"routes\":[]}"
#define EMPTY_LIST "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"held\":[]}"

/* -- which engines were queried ------------------------------------------- */

typedef struct ownership_t {
    uint64_t owned_server; /* key of the only server that this host owns; 0: all */
} ownership_t;

static bool owns_server(void* user, uint64_t server) {
    const ownership_t* ownership = user;
    return !ownership->owned_server || ownership->owned_server == server;
}

static uint64_t fleet_set(void* user) {
    return ((const ownership_t*)user)->owned_server;
}

static void ignore_parts(void* user, server_t* server, const cw_prompt_part_t* parts, uint32_t count) {
    (void)user;
    (void)server;
    (void)parts;
    (void)count;
}

static inventory_t* make_inventory(rig_t* r, ownership_t* ownership) {
    return inventory_setup(&(inventory_desc_t){.loop = r->loop,
                                               .log = &r->log,
                                               .dialect = &platform_dialect,
                                               .upstreams = r->upstreams,
                                               .settle_delay_ms = 1,
                                               .owns_server = owns_server,
                                               .fleet_set = fleet_set,
                                               .on_cached_parts = ignore_parts,
                                               .user_data = ownership});
}

static void run_inventory(rig_t* r, inventory_t* v) {
    int64_t now_ms = clock_ms();
    for (int i = 0; i < 2000 && !inventory_is_complete(v); i++) {
        inventory_tick(v, now_ms + 2L * i);
        ev_run(r->loop, EVRUN_ONCE);
    }
    ck_assert(inventory_is_complete(v));
}

/* The other host has ended, and nobody has what it was told by its engines. Streams are resumed on the word of all
   hosts that "no engine of another version has it", for engines that none of those alive has queried. */
START_TEST(engines_of_a_host_that_ended_do_not_count_as_queried) {
    rig_t* r = rig_setup(POOLS, 2);
    uint64_t pool = upstreams_pool(r->upstreams, "p")->id;
    uint64_t version = 0;
    ownership_t ownership = {.owned_server = cw_name_id("s1")};
    rig_script(r, (rig_step_t[]){{RIG_RESPOND_CLOSE, EMPTY_LIST}, {RIG_RESPOND_CLOSE, EMPTY_LIST}}, 2);
    inventory_t* v = make_inventory(r, &ownership);
    run_inventory(r, v);
    ck_assert_uint_eq(inventory_stats(v).queried, 1);
    ownership.owned_server = 0;
    inventory_tick(v, clock_ms() + 60000);
    bool is_open = !inventory_is_complete(v);
    ck_assert(is_open || inventory_stats(v).queried == 2 || inventory_count_failed(v, pool, &version));
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

/* The same at the moment in which the other host ends: a reply to another host's inquiry was made a moment before. */
START_TEST(engines_that_pass_to_this_host_are_noticed_at_once) {
    rig_t* r = rig_setup(POOLS, 2);
    ownership_t ownership = {.owned_server = cw_name_id("s1")};
    rig_script(r, (rig_step_t[]){{RIG_RESPOND_CLOSE, EMPTY_LIST}, {RIG_RESPOND_CLOSE, EMPTY_LIST}}, 2);
    inventory_t* v = make_inventory(r, &ownership);
    run_inventory(r, v);
    ownership.owned_server = 0;
    ck_assert(!inventory_is_complete(v));
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

/* The other host is suspected, is there again before this one has asked its engines, and ends later. */
START_TEST(engines_that_pass_to_this_host_twice_are_asked) {
    rig_t* r = rig_setup(POOLS, 2);
    ownership_t ownership = {.owned_server = cw_name_id("s1")};
    rig_script(r, (rig_step_t[]){{RIG_RESPOND_CLOSE, EMPTY_LIST}, {RIG_RESPOND_CLOSE, EMPTY_LIST}}, 2);
    inventory_t* v = make_inventory(r, &ownership);
    run_inventory(r, v);
    ownership.owned_server = 0;
    inventory_tick(v, clock_ms() + 60000);
    ck_assert(!inventory_is_complete(v));
    ownership.owned_server = cw_name_id("s1");
    inventory_tick(v, clock_ms() + 61000);
    ownership.owned_server = 0;
    inventory_tick(v, clock_ms() + 62000);
    ck_assert(!inventory_is_complete(v));
    run_inventory(r, v);
    ck_assert_uint_eq(inventory_stats(v).queried, 2);
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

/* The entry of an engine is missing from one list, and nobody inquires meanwhile. */
START_TEST(an_engine_whose_entry_returns_is_asked_again) {
    rig_t* r = rig_setup(POOLS, 2);
    ownership_t ownership = {0};
    rig_script(r,
               (rig_step_t[]){
                   {RIG_RESPOND_CLOSE, EMPTY_LIST}, {RIG_RESPOND_CLOSE, EMPTY_LIST}, {RIG_RESPOND_CLOSE, EMPTY_LIST}},
               3);
    inventory_t* v = make_inventory(r, &ownership);
    run_inventory(r, v);
    ck_assert_uint_eq(inventory_stats(v).queried, 2);
    rig_set_servers(r, 1, 0);
    rig_set_servers(r, 2, 0);
    inventory_tick(v, clock_ms() + 60000);
    ck_assert(!inventory_is_complete(v));
    run_inventory(r, v);
    ck_assert_uint_eq(inventory_stats(v).queried, 3);
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

/* The entry is missing as the engine's list arrives, which is dropped, and returns while a connection keeps the server.
 */
START_TEST(an_engine_whose_list_was_dropped_does_not_count_as_queried) {
    rig_t* r = rig_setup(POOLS, 1);
    uint64_t pool = upstreams_pool(r->upstreams, "p")->id;
    uint64_t version = 0;
    ownership_t ownership = {0};
    rig_script(r, (rig_step_t[]){{RIG_RESPOND_CLOSE, EMPTY_LIST}, {RIG_RESPOND_CLOSE, EMPTY_LIST}}, 2);
    inventory_t* v = make_inventory(r, &ownership);
    for (int64_t i = 0; i < 100 && !inventory_stats(v).queried; i++) {
        inventory_tick(v, clock_ms() + 2 * i);
    }
    ck_assert_uint_eq(inventory_stats(v).queried, 1);
    rig_set_servers_at(r, clock_ms(), 0, 0, true);
    for (int i = 0; i < 100 && !inventory_stats(v).is_done; i++) {
        ev_run(r->loop, EVRUN_ONCE);
        inventory_tick(v, clock_ms() + 60000);
    }
    rig_set_servers_at(r, clock_ms(), 1, 0, true);
    ck_assert(inventory_stats(v).is_done);
    ck_assert(!inventory_is_complete(v) || inventory_stats(v).queried == 2 ||
              inventory_count_failed(v, pool, &version));
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

/* Two hosts have the same list. One of them has read an earlier one, in which the server states its start. */
START_TEST(hosts_with_the_same_list_have_the_same_view_of_it) {
    rig_t* r = rig_setup(POOLS, 0);
    rig_t* started = rig_setup(POOLS, 0);
    cw_server_t server = {.id = "e", .pool = "p", .hall = "a", .version = "2", .slots = 8, .address = "127.0.0.1:1"};
    static const int64_t earlier_ms[] = {0, 1000, 3000};
    static const int64_t now_ms[] = {2000, 0, 2000};
    for (int k = 0; k < 2; k++) {
        cw_servers_t list = {0};
        server.started_ms = k ? now_ms[_i] : earlier_ms[_i];
        cw_servers_add(&list, &server);
        upstreams_set_servers(r->upstreams, clock_ms(), &list, false);
        if (k) {
            upstreams_set_servers(started->upstreams, clock_ms(), &list, false);
        }
        cw_servers_free(&list);
    }
    ck_assert(upstreams_pool(r->upstreams, "p")->listed_set == upstreams_pool(started->upstreams, "p")->listed_set);
    rig_shutdown(started);
    rig_shutdown(r);
}
END_TEST

#define POOL_COUNT 70

static void write_pool_name(char name[8], uint32_t i) {
    snprintf(name, 8, "p%u", i % POOL_COUNT);
}

/* Pools of one server each, to which no connection can be opened. */
static void set_unreachable_pools(rig_t* r) {
    static char document[POOL_COUNT * 80];
    cw_servers_t list = {0};
    int size = snprintf(document, sizeof(document), "{\"revision\":2,\"routes\":[],\"pools\":[");
    for (uint32_t i = 0; i < POOL_COUNT; i++) {
        cw_server_t server = {.slots = 4, .address = "127.0.0.1:1", .hall = "a", .version = "1"};
        write_pool_name(server.pool, i);
        snprintf(server.id, sizeof(server.id), "e%u", i);
        cw_servers_add(&list, &server);
        size +=
            snprintf(document + size, sizeof(document) - (size_t)size,
                     "%s{\"name\":\"%s\",\"engine\":{\"slots\":8,\"memory_tokens\":1000}}", i ? "," : "", server.pool);
    }
    snprintf(document + size, sizeof(document) - (size_t)size, "]}");
    rig_set_catalog(r, document);
    upstreams_set_servers(r->upstreams, clock_ms(), &list, false);
    cw_servers_free(&list);
}

/* The only host of a site with many pools, whose engines it can't reach. */
START_TEST(no_engine_that_failed_to_list_its_parts_is_forgotten) {
    rig_t* r = rig_setup(POOLS, 1);
    ownership_t ownership = {0};
    rig_set_servers(r, 0, 0);
    set_unreachable_pools(r);
    inventory_t* v = make_inventory(r, &ownership);
    run_inventory(r, v);
    ck_assert_uint_eq(inventory_stats(v).failed, POOL_COUNT);
    uint32_t remembered = 0;
    for (uint32_t i = 0; i < POOL_COUNT; i++) {
        char name[8];
        uint64_t version = 0;
        write_pool_name(name, i);
        remembered += inventory_count_failed(v, upstreams_pool(r->upstreams, name)->id, &version) > 0;
    }
    ck_assert_uint_eq(remembered, POOL_COUNT);
    inventory_shutdown(v);
    rig_shutdown(r);
}
END_TEST

/* -- which versions have served ------------------------------------------- */

static int64_t list_age(void* user) {
    return *(int64_t*)user;
}

static void on_resolved(void* user, uint64_t stream) {
    (void)user;
    (void)stream;
}

static streams_t* make_streams(rig_t* r, int64_t* list_age_ms) {
    return streams_setup(&(streams_desc_t){.log = &r->log,
                                           .upstreams = r->upstreams,
                                           .list_age_ms = list_age,
                                           .on_resolved = on_resolved,
                                           .user_data = list_age_ms});
}

static void settle_alone(streams_t* s) {
    cw_handover_request_t request;
    ck_assert(!streams_next_handover(s, clock_ms() + CW_HANDOVER_DISCOVERY_MS, NULL, 0, &request));
}

static stream_request_t make_request(const rig_t* r) {
    return (stream_request_t){.pool = upstreams_pool(r->upstreams, "p"),
                              .stream = 5,
                              .id = "q2",
                              .resumes = "q1",
                              .part = 77,
                              .part_tokens = 1000,
                              .events = 10};
}

/* The version at which the stream goes on, 0: it is refused. */
static uint64_t resolve(streams_t* s, const rig_t* r) {
    const stream_request_t request = make_request(r);
    cw_stream_inquiry_t inquiry = {0};
    ck_assert(!streams_inquire(s, &request, &inquiry));
    return streams_resolve_unanswered(s, &request, &inquiry);
}

/* A page of a host with this knowledge, as the reply to the request. */
static void send_page(streams_t* s, const cw_handover_request_t* request, streams_t* source) {
    cw_stream_message_t page = {.kind = CW_STREAM_PAGE, .host = request->host};
    streams_write_page(source, request->cursor, &page);
    page.entries[0].left_ms = 600000; /* the source has run for so long */
    streams_on_page(s, &page);
}

static void request_page(streams_t* s, int64_t now_ms, streams_t* source) {
    static const uint64_t host = 9;
    cw_handover_request_t request;
    ck_assert(streams_next_handover(s, now_ms, &host, 1, &request));
    send_page(s, &request, source);
}

/* A source that has seen a version leave, and a host that starts and has no configuration yet. */
static void start_beside(rig_t* other, streams_t* source, bool is_configured) {
    int64_t age_ms = is_configured ? 0 : -1;
    rig_t* r = rig_setup(is_configured ? POOLS : NULL, 2);
    streams_t* s = make_streams(r, &age_ms);
    int64_t now_ms = clock_ms();
    r->versions[0] = r->versions[1] = "2";
    if (is_configured) {
        rig_set_servers_at(r, now_ms, 2, 0, false);
    }
    request_page(s, now_ms, source);
    if (!is_configured) {
        rig_set_catalog(r, POOLS);
        rig_set_servers_at(r, clock_ms(), 2, 0, false);
        age_ms = 0;
    }
    streams_tick(s, clock_ms());
    request_page(s, now_ms + CW_HANDOVER_FOLLOW_INTERVAL_MS + 100, source);
    ck_assert_uint_eq(resolve(s, r), 0); /* it may have begun at version 1 */
    const pool_t* pool = upstreams_pool(other->upstreams, "p");
    cw_stream_record_t reply;
    ck_assert(!streams_on_query(s, 5, pool->id, &reply) || reply.version == 0);
    streams_shutdown(s);
    rig_shutdown(r);
}

/* A host finds the others before it has read its configuration, so the versions that they hand over are of pools that
   it doesn't know yet. */
START_TEST(versions_handed_over_before_the_configuration_are_not_lost) {
    int64_t age_ms = 0;
    rig_t* r = rig_setup(POOLS, 2);
    streams_t* source = make_streams(r, &age_ms);
    r->versions[0] = "1";
    r->versions[1] = "2";
    rig_set_servers_at(r, clock_ms(), 2, 0, false);
    r->versions[0] = "2";
    rig_set_servers_at(r, clock_ms(), 2, 0, false);
    streams_tick(source, clock_ms());
    start_beside(r, source, _i != 0);
    streams_shutdown(source);
    rig_shutdown(r);
}
END_TEST

/* The configuration declares the pool after the history was read. */
START_TEST(a_history_with_entries_of_an_undeclared_pool_is_not_complete) {
    int64_t age_ms = 0;
    rig_t* r = rig_setup(NULL, 0);
    streams_t* s = make_streams(r, &age_ms);
    settle_alone(s);
    streams_learn_listed(s, &(cw_server_t){.id = "left", .pool = "p", .version = "1"});
    streams_on_history(s, SOURCE_HISTORY_COMPLETE);
    rig_set_catalog(r, POOLS);
    r->versions[0] = "2";
    rig_set_servers_at(r, clock_ms(), 1, 0, false);
    ck_assert_uint_eq(resolve(s, r), 0);
    streams_shutdown(s);
    rig_shutdown(r);
}
END_TEST

/* -- engines that were not queried ---------------------------------------- */

static uint64_t version_id(const char* version) {
    cw_server_t server = {0};
    cw_copy(server.version, sizeof(server.version), version);
    return cw_server_version_id(&server);
}

static void list_part(streams_t* s, const rig_t* r, const char* version, uint32_t tokens) {
    const cw_prompt_part_t part = {.id = 77, .tokens = tokens};
    streams_on_cached_parts(s, upstreams_pool(r->upstreams, "p"), version_id(version), &part, 1);
}

/* One engine of version 2 that started so long ago. */
static void set_started_server(rig_t* r, int64_t ago_ms) {
    cw_servers_t list = {0};
    cw_server_t server = {
        .id = "e", .pool = "p", .hall = "a", .version = "2", .slots = 8, .started_ms = cw_clock_unix_ms() - ago_ms};
    cw_copy(server.address, sizeof(server.address), r->addresses[0]);
    cw_servers_add(&list, &server);
    upstreams_set_servers(r->upstreams, clock_ms(), &list, false);
    cw_servers_free(&list);
}

/* All hosts were lost and the source has forgotten its history. The engines of version 1 have just left; those of
   version 2, which began long ago, have the prompt of the session and none of the events. */
START_TEST(an_engine_that_left_without_a_successor_may_have_begun_a_stream) {
    static const int64_t ago_ms[] = {1000, 600000};
    int64_t age_ms = 0;
    rig_t* r = rig_setup(POOLS, 0);
    set_started_server(r, ago_ms[_i]);
    streams_t* s = make_streams(r, &age_ms);
    settle_alone(s);
    list_part(s, r, "2", 1000);
    ck_assert_uint_eq(resolve(s, r), 0);
    streams_on_history(s, SOURCE_HISTORY_COMPLETE);
    ck_assert_uint_eq(resolve(s, r), version_id("2"));
    streams_shutdown(s);
    rig_shutdown(r);
}
END_TEST

/* Of a part that engines of three versions have, two are recorded. The events are found at one version then, since the
   other one that has them was dropped. */
START_TEST(a_version_that_found_no_room_is_not_ruled_out) {
    int64_t age_ms = 0;
    rig_t* r = rig_setup(POOLS, 0);
    set_started_server(r, 600000);
    streams_t* s = make_streams(r, &age_ms);
    settle_alone(s);
    list_part(s, r, "1", 1050);
    list_part(s, r, "2", 1060);
    list_part(s, r, "3", 9000);
    ck_assert_uint_eq(resolve(s, r), 0);
    streams_shutdown(s);
    rig_shutdown(r);
}
END_TEST

/* -- records that were not kept -------------------------------------------- */

#define RECORDS_MAX 4
#define TICK_MS 1000 /* shorter than a gap between lists */

/* Lets time pass in which the list stays fresh. */
static void pass(streams_t* s, int64_t ms) {
    for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += TICK_MS) {
        cw_clock_simulate_suspend(TICK_MS);
        streams_tick(s, clock_ms());
    }
}

/* A host that has heard all announcements, and had no room for all records. Another host would ask engines. */
START_TEST(a_stream_whose_record_was_dropped_is_not_taken_for_one_that_was_not_announced) {
    int64_t age_ms = 0;
    rig_t* r = rig_setup(POOLS, 2);
    r->versions[0] = "1";
    r->versions[1] = "2";
    rig_set_servers_at(r, clock_ms(), 2, 0, false);
    streams_t* s = streams_setup(&(streams_desc_t){.log = &r->log,
                                                   .upstreams = r->upstreams,
                                                   .capacity = RECORDS_MAX,
                                                   .list_age_ms = list_age,
                                                   .on_resolved = on_resolved,
                                                   .user_data = &age_ms});
    streams_set_longest_ms(s, TICK_MS);
    settle_alone(s);
    streams_tick(s, clock_ms());
    pass(s, 10L * TICK_MS);
    list_part(s, r, "1", 1000);
    for (uint64_t i = 0; i < 1 + (uint64_t)_i * RECORDS_MAX; i++) { /* the request's stream first */
        streams_on_announced(s, &(cw_stream_record_t){.stream = 5 + i,
                                                      .pool = upstreams_pool(r->upstreams, "p")->id,
                                                      .version = version_id("1"),
                                                      .expires_ms = clock_ms() + 60000});
    }
    ck_assert_uint_eq(streams_stats(s).evicted, (uint64_t)_i);
    ck_assert_uint_eq(resolve(s, r), version_id("1"));
    streams_shutdown(s);
    rig_shutdown(r);
}
END_TEST

/* -- other hosts ---------------------------------------------------------- */

static uint32_t take_retries(pool_t* pool) {
    uint32_t taken = 0;
    while (cw_retry_window_take(&pool->retries, clock_ms())) {
        taken++;
    }
    return taken;
}

/* It knows only itself, while others that its settings name may run. */
START_TEST(a_host_whose_seeds_have_not_answered_takes_a_share_of_the_retries) {
    static const uint64_t self[] = {1};
    rig_t* r = rig_setup(POOLS, 1);
    pool_t* pool = upstreams_pool(r->upstreams, "p");
    uint32_t all = (uint32_t)pool->retries.slack;
    upstreams_set_fleet(r->upstreams, &(cw_fleet_t){.ids = self, .count = 1, .missing = 7});
    ck_assert_uint_eq(take_retries(pool), all / 8);
    upstreams_set_fleet(r->upstreams, &(cw_fleet_t){.ids = self, .count = 1}); /* they have been silent for long */
    ck_assert_uint_eq(take_retries(pool), all - all / 8);
    rig_shutdown(r);
}
END_TEST

/* Hosts that were known stay in the count. */
START_TEST(a_host_that_has_lost_the_others_keeps_its_share_of_the_retries) {
    static const uint64_t self[] = {1};
    rig_t* r = rig_setup(POOLS, 1);
    pool_t* pool = upstreams_pool(r->upstreams, "p");
    uint32_t all = (uint32_t)pool->retries.slack;
    upstreams_set_peak_daemons(r->upstreams, 8);
    upstreams_set_fleet(r->upstreams, &(cw_fleet_t){.ids = self, .count = 1, .missing = 3});
    upstreams_set_fleet(r->upstreams, &(cw_fleet_t){.ids = self, .count = 1});
    ck_assert_uint_eq(take_retries(pool), all / 8);
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, engines_of_a_host_that_ended_do_not_count_as_queried);
    tcase_add_test(t, engines_that_pass_to_this_host_are_noticed_at_once);
    tcase_add_test(t, engines_that_pass_to_this_host_twice_are_asked);
    tcase_add_test(t, an_engine_whose_entry_returns_is_asked_again);
    tcase_add_test(t, an_engine_whose_list_was_dropped_does_not_count_as_queried);
    tcase_add_loop_test(t, hosts_with_the_same_list_have_the_same_view_of_it, 0, 3);
    tcase_add_test(t, no_engine_that_failed_to_list_its_parts_is_forgotten);
    tcase_add_loop_test(t, versions_handed_over_before_the_configuration_are_not_lost, 0, 2);
    tcase_add_test(t, a_history_with_entries_of_an_undeclared_pool_is_not_complete);
    tcase_add_loop_test(t, an_engine_that_left_without_a_successor_may_have_begun_a_stream, 0, 2);
    tcase_add_test(t, a_version_that_found_no_room_is_not_ruled_out);
    tcase_add_loop_test(t, a_stream_whose_record_was_dropped_is_not_taken_for_one_that_was_not_announced, 0, 2);
    tcase_add_test(t, a_host_whose_seeds_have_not_answered_takes_a_share_of_the_retries);
    tcase_add_test(t, a_host_that_has_lost_the_others_keeps_its_share_of_the_retries);
}

int main(void) {
    return run_suite("absence", add_tests, 30);
}
