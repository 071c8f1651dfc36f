/* Servers that restart under their id: state that was learned of one incarnation must not apply to the next one. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../gateway/inventory.h"
#include "../gateway/request_head.h"
#include "../platform/platform.h"
#include "rig.h"

#define ROUTES                                                                                                         \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\",\"engine\":{\"slots\":8,\"memory_tokens\":100000,"                     \
    "\"token_bytes\":100000,\"link_mbps\":400000}}],\"routes\":["                                                      \
    "{\"name\":\"r\",\"host\":\"h.example\",\"prefix\":\"/r/\",\"kind\":\"stream\",\"timeout_ms\":5000,"               \
    "\"target_ms\":1000,\"attempts\":3,\"pools\":[{\"pool\":\"p\"}]},"                                                 \
    "{\"name\":\"once\",\"host\":\"h.example\",\"prefix\":\"/once/\",\"kind\":\"once\",\"timeout_ms\":5000,"           \
    "\"target_ms\":2000,\"attempts\":3,\"pools\":[{\"pool\":\"p\"}]}]}"

#define CALL(path)                                                                                                     \
    "POST " path " HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: q1\r\nChalkway-Tokens: 4000,10\r\n"             \
    "Chalkway-Prompt-Parts: a1:4000\r\nContent-Length: 0\r\n\r\n"

#define FIRST_START_MS 1767744000000
#define SECOND_START_MS (FIRST_START_MS + 9000)
#define THIRD_START_MS (FIRST_START_MS + 12000)

/* Lists server s0 of the rig with a start time, at a revision of the source (0: not known). Returns how many servers
   changed. */
static uint32_t list_server(rig_t* r, int64_t started_ms, int64_t at) {
    cw_servers_t list = {.at = at};
    rig_make_list(r, &list, 1, 0);
    list.items[0].started_ms = started_ms;
    uint32_t changes = upstreams_set_servers(r->upstreams, clock_ms(), &list, false);
    cw_servers_free(&list);
    return changes;
}

static uint64_t incarnation_id(int64_t started_ms) {
    cw_server_t s = {.id = "s0", .started_ms = started_ms};
    return cw_server_incarnation_id(&s);
}

/* Whether the incarnation may be chosen. */
static bool is_usable(const rig_t* r, int64_t started_ms) {
    const server_t* s = upstreams_server(r->upstreams, incarnation_id(started_ms));
    return s && !s->is_removed;
}

static cw_choice_t choose(const rig_t* r) {
    cw_work_t work = {
        .prompt_tokens = 4000, .target_ms = 1000, .part_count = 1, .parts = {{request_part_id("a1"), 4000}}};
    return cw_balance_choose(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), &work, NULL, 0);
}

/* Reports the server as full, with a long backlog, suspected, unreachable, and with cached prompt parts. */
static void report_bad_state(rig_t* r, int64_t started_ms) {
    cw_balance_t* b = upstreams_pool(r->upstreams, "p")->balance;
    uint64_t key = incarnation_id(started_ms);
    cw_load_t load = {.running = 8,
                      .streaming = 2,
                      .gap_ms = 100,
                      .longest_prompt_tokens = 9000,
                      .tokens = 90000,
                      .event_interval_us = 90000};
    for (uint32_t i = 0; i < CW_URGENCY_LEVELS; i++) {
        load.backlog_ms[i] = 4000;
    }
    cw_balance_on_peer_prompt(b, key, &(cw_prompt_part_t){request_part_id("a1"), 4000});
    cw_balance_on_peer_load(b, clock_ms(), 7, key, &load);
    cw_balance_on_peer_load(b, clock_ms(), 8, key, &(cw_load_t){.failed_ago_ms = 2});
    cw_balance_on_peer_load(b, clock_ms(), 9, key, &(cw_load_t){.failed_ago_ms = 1});
    cw_balance_set_unreachable(b, clock_ms(), key, true);
}

static void expect_clean_state(const rig_t* r, int64_t started_ms) {
    cw_choice_t c = choose(r);
    ck_assert_uint_eq(c.id, incarnation_id(started_ms));
    ck_assert_uint_eq(c.running + c.cached_tokens + c.streaming, 0);
    ck_assert_double_eq(c.wait_ms, 0);
    ck_assert(
        !cw_balance_is_suspected(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), incarnation_id(started_ms)));
}

START_TEST(a_restarted_server_is_a_new_incarnation) {
    rig_t* r = rig_setup(ROUTES, 0);
    ck_assert_uint_eq(list_server(r, FIRST_START_MS, 10), 1);
    report_bad_state(r, FIRST_START_MS);
    ck_assert_uint_eq(choose(r).server, CW_BALANCE_NONE);
    ck_assert_uint_eq(list_server(r, SECOND_START_MS, 11), 1);
    ck_assert(is_usable(r, SECOND_START_MS) && !is_usable(r, FIRST_START_MS));
    expect_clean_state(r, SECOND_START_MS);
    report_bad_state(r, FIRST_START_MS); /* a late report on the old incarnation */
    expect_clean_state(r, SECOND_START_MS);
    ck_assert_uint_eq(list_server(r, SECOND_START_MS, 12), 0);
    rig_shutdown(r);
}
END_TEST

START_TEST(two_restarts_between_two_polls_are_one_change) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_server(r, FIRST_START_MS, 10);
    report_bad_state(r, FIRST_START_MS);
    ck_assert_uint_eq(list_server(r, THIRD_START_MS, 20), 1);
    expect_clean_state(r, THIRD_START_MS);
    ck_assert(!is_usable(r, FIRST_START_MS) && !is_usable(r, SECOND_START_MS));
    rig_shutdown(r);
}
END_TEST

/* The list comes from a peer or by a delayed poll, with an older revision or an unknown one. */
START_TEST(an_older_list_with_an_earlier_start_changes_nothing) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_server(r, SECOND_START_MS, 20);
    cw_balance_on_peer_prompt(upstreams_pool(r->upstreams, "p")->balance, incarnation_id(SECOND_START_MS),
                              &(cw_prompt_part_t){request_part_id("a1"), 4000});
    ck_assert_uint_eq(list_server(r, FIRST_START_MS, 10), 0);
    ck_assert_uint_eq(list_server(r, FIRST_START_MS, 0), 0);
    ck_assert_uint_eq(list_server(r, FIRST_START_MS, 20), 0);
    ck_assert(is_usable(r, SECOND_START_MS) && !is_usable(r, FIRST_START_MS));
    ck_assert_uint_eq(choose(r).cached_tokens, 4000);
    ck_assert_uint_eq(list_server(r, 0, 21), 0); /* a list without start times */
    ck_assert_uint_eq(choose(r).cached_tokens, 4000);
    rig_shutdown(r);
}
END_TEST

/* The server's clock was set back between two starts: the start that the source listed last is current. */
START_TEST(an_earlier_start_of_a_later_revision_is_the_current_incarnation) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_server(r, SECOND_START_MS, 20);
    report_bad_state(r, SECOND_START_MS);
    ck_assert_uint_eq(list_server(r, FIRST_START_MS, 21), 1);
    expect_clean_state(r, FIRST_START_MS);
    ck_assert(!is_usable(r, SECOND_START_MS));
    rig_shutdown(r);
}
END_TEST

/* Guards against requests to a server that leaves: it had started again after the source was restored from an older
   copy, whose revisions are lower, and passed for an earlier start, so that what it wrote was ignored. */
START_TEST(revisions_of_a_restored_source_are_not_compared_with_earlier_ones) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_server(r, FIRST_START_MS, 1000);
    upstreams_reset_revisions(r->upstreams);
    list_server(r, FIRST_START_MS, 900);
    ck_assert_uint_eq(list_server(r, SECOND_START_MS, 901), 1);
    ck_assert(is_usable(r, SECOND_START_MS) && !is_usable(r, FIRST_START_MS));
    upstreams_reset_revisions(r->upstreams);
    list_server(r, FIRST_START_MS, 800); /* the copy is older than the second start */
    ck_assert(is_usable(r, SECOND_START_MS) && !is_usable(r, FIRST_START_MS));
    rig_shutdown(r);
}
END_TEST

/* Between two lists with the same start, a list with a wrong start arrives. The incarnation that the source lists again
   keeps its running requests. */
START_TEST(an_incarnation_that_is_listed_again_keeps_its_state) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_server(r, FIRST_START_MS, 10);
    cw_work_t work = {.prompt_tokens = 4000, .target_ms = 1000};
    cw_run_t run = cw_balance_begin(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), choose(r).server, &work);
    list_server(r, SECOND_START_MS, 11);
    ck_assert(is_usable(r, SECOND_START_MS) && !is_usable(r, FIRST_START_MS));
    ck_assert_uint_eq(list_server(r, FIRST_START_MS, 12), 1);
    ck_assert(is_usable(r, FIRST_START_MS) && !is_usable(r, SECOND_START_MS));
    ck_assert_uint_eq(choose(r).running, 1);
    ck_assert_uint_eq(list_server(r, FIRST_START_MS, 13), 0);
    cw_balance_end(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), &run, CW_TRY_SERVED);
    rig_shutdown(r);
}
END_TEST

/* A connection that breaks before or after the new incarnation was listed must not count as its failure. */
START_TEST(a_broken_connection_of_the_old_incarnation_is_no_failure_of_the_new_one) {
    for (uint32_t is_before_list = 0; is_before_list < 2; is_before_list++) {
        rig_t* r = rig_setup(ROUTES, 0);
        list_server(r, FIRST_START_MS, 10);
        cw_balance_t* b = upstreams_pool(r->upstreams, "p")->balance;
        cw_work_t work = {.prompt_tokens = 4000, .target_ms = 1000};
        cw_run_t runs[3];
        for (uint32_t i = 0; i < 3; i++) {
            runs[i] = cw_balance_begin(b, clock_ms(), choose(r).server, &work);
        }
        if (!is_before_list) {
            list_server(r, SECOND_START_MS, 11);
            ck_assert_uint_eq(choose(r).running, 0);
        }
        for (uint32_t i = 0; i < 3; i++) {
            cw_balance_end(b, clock_ms(), &runs[i], i ? CW_TRY_BROKEN : CW_TRY_UNREACHABLE);
        }
        list_server(r, SECOND_START_MS, 11);
        expect_clean_state(r, SECOND_START_MS);
        rig_shutdown(r);
    }
}
END_TEST

/* A request that may have run at the old incarnation must not be sent to the new one. */
START_TEST(a_call_that_may_have_run_is_not_retried_at_the_new_incarnation) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_server(r, FIRST_START_MS, 10);
    rig_script(
        r,
        (rig_step_t[]){{RIG_RESPOND_RESET, ""},
                       {RIG_RESPOND, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: 1\r\n\r\na"}},
        2);
    rig_write(r, CALL("/once/"));
    while (!r->arrival_count) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    list_server(r, SECOND_START_MS, 11); /* while the request runs */
    r->stop_on_response = true;
    if (!rig_is_response_complete(cw_buffer_text(&r->response))) {
        rig_run(r);
    }
    ck_assert(strncmp(cw_buffer_text(&r->response), "HTTP/1.1 502", 12) == 0);
    ck_assert_uint_eq(r->arrival_count, 1);
    const char* response = rig_call(r, CALL("/once/")); /* a new request uses the new incarnation */
    ck_assert(strncmp(response, "HTTP/1.1 200", 12) == 0);
    rig_shutdown(r);
}
END_TEST

static bool owns_server(void* user, uint64_t server) {
    (void)user;
    (void)server;
    return true;
}

static void on_cached_parts(void* user, server_t* server, const cw_prompt_part_t* parts, uint32_t count) {
    (void)server;
    (void)parts;
    *(uint32_t*)user += count;
}

/* The inventory of the old incarnation is requested, and the new one responds with its own start time: the parts are
   not taken as cached at the old one, which is retired. */
START_TEST(an_inventory_of_another_incarnation_retires_the_old_one) {
    static const int64_t answered_starts[] = {FIRST_START_MS, SECOND_START_MS};
    for (uint32_t i = 0; i < 2; i++) {
        char body[256];
        char text[512];
        uint32_t learned = 0;
        rig_t* r = rig_setup(ROUTES, 0);
        list_server(r, FIRST_START_MS, 10);
        int size = snprintf(body, sizeof(body), "{\"born\":%lld,\"epoch\":1,\"held\":[[\"\",\"a1\",4000,\"m\"]]}",
                            (long long)answered_starts[i]);
        snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body);
        rig_script(r, (rig_step_t[]){{RIG_RESPOND_CLOSE, text}}, 1);
        inventory_t* v = inventory_setup(&(inventory_desc_t){.loop = r->loop,
                                                             .log = &r->log,
                                                             .dialect = &platform_dialect,
                                                             .upstreams = r->upstreams,
                                                             .settle_delay_ms = 1,
                                                             .owns_server = owns_server,
                                                             .on_cached_parts = on_cached_parts,
                                                             .user_data = &learned});
        int64_t now_ms = clock_ms();
        inventory_tick(v, now_ms);
        for (int n = 0; n < 2000 && !inventory_stats(v).is_done; n++) {
            inventory_tick(v, now_ms + 2);
            ev_run(r->loop, EVRUN_ONCE);
        }
        ck_assert_uint_eq(learned, i == 0);
        ck_assert(is_usable(r, FIRST_START_MS) == (i == 0));
        list_server(r, SECOND_START_MS, 11);
        expect_clean_state(r, SECOND_START_MS);
        inventory_shutdown(v);
        rig_shutdown(r);
    }
}
END_TEST

/* An entry may name any pool. A server of a pool that is not configured is ignored until the pool is added. */
START_TEST(a_server_of_an_undeclared_pool_is_ignored) {
    static const char more[] =
        "{\"revision\":2,\"pools\":[{\"name\":\"p\"},{\"name\":\"late\"}],\"routes\":[{\"name\":\"r\",\"host\":"
        "\"h.example\",\"prefix\":\"/r/\",\"kind\":\"once\",\"timeout_ms\":5000,\"target_ms\":1000,\"attempts\":1,"
        "\"pools\":[{\"pool\":\"p\"}]}]}";
    rig_t* r = rig_setup(ROUTES, 0);
    cw_servers_t list = {.at = 10};
    rig_make_list(r, &list, 2, 0);
    cw_copy(list.items[1].pool, sizeof(list.items[1].pool), "late");
    ck_assert_uint_eq(upstreams_set_servers(r->upstreams, clock_ms(), &list, false), 1);
    ck_assert_ptr_null(upstreams_pool(r->upstreams, "late"));
    rig_set_catalog(r, more);
    ck_assert_uint_eq(upstreams_set_servers(r->upstreams, clock_ms(), &list, false), 1);
    ck_assert_uint_eq(upstreams_pool(r->upstreams, "late")->ready, 1);
    cw_servers_free(&list);
    rig_shutdown(r);
}
END_TEST

/* Either all servers of a source write their start time or none does: entries without one among others are invalid. */
START_TEST(entries_without_a_start_are_refused_if_others_have_one) {
    cw_servers_t list = {0};
    for (uint32_t i = 0; i < 4; i++) {
        cw_server_t s = {.address = "127.0.0.1:9", .pool = "p", .hall = "a", .slots = 4};
        snprintf(s.id, sizeof(s.id), "s%u", i);
        cw_servers_add(&list, &s);
    }
    cw_servers_refuse_without_start(&list);
    ck_assert_uint_eq(list.count, 4); /* no entry has a start time */
    list.items[0].started_ms = list.items[3].started_ms = FIRST_START_MS;
    cw_servers_refuse_without_start(&list);
    ck_assert_uint_eq(list.count, 2);
    ck_assert_str_eq(list.items[1].id, "s3");
    ck_assert_uint_eq(list.refused.count, 2);
    cw_servers_free(&list);
}
END_TEST

/* Guards against the loss of all servers by one entry of another writer, which has a start time where servers write
   none, also if the list is short. */
START_TEST(one_entry_with_a_start_refuses_no_other) {
    for (uint32_t servers = 1; servers < 8; servers++) {
        cw_servers_t list = {0};
        for (uint32_t i = 0; i <= servers; i++) {
            cw_server_t s = {.address = "127.0.0.1:9", .hall = "a", .slots = 4, .started_ms = i ? 0 : FIRST_START_MS};
            snprintf(s.id, sizeof(s.id), "s%u", i);
            cw_copy(s.pool, sizeof(s.pool), i ? "p" : "unknown");
            cw_servers_add(&list, &s);
        }
        cw_servers_refuse_without_start(&list);
        ck_assert_uint_eq(list.count, servers + 1);
        ck_assert_uint_eq(list.refused.count, 0);
        cw_servers_free(&list);
    }
}
END_TEST

/* A list retains the start times when hosts pass it on, and a changed start time changes the id of the list. */
START_TEST(a_start_is_part_of_the_list_id) {
    cw_servers_t list = {.at = 3};
    cw_servers_t back = {0};
    cw_server_t s = {
        .id = "s0", .address = "127.0.0.1:9", .pool = "p", .hall = "a", .slots = 4, .started_ms = FIRST_START_MS};
    cw_servers_add(&list, &s);
    char* text = cw_servers_to_json(&list);
    ck_assert_int_eq(cw_servers_from_json(&back, text, strlen(text), NULL), CW_OK);
    ck_assert(cw_servers_equal(&list, &back));
    ck_assert_uint_eq(cw_servers_hash(&list), cw_servers_hash(&back));
    back.items[0].started_ms = SECOND_START_MS;
    ck_assert(!cw_servers_equal(&list, &back));
    ck_assert_uint_ne(cw_servers_hash(&list), cw_servers_hash(&back));
    free(text);
    cw_servers_free(&list);
    cw_servers_free(&back);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_restarted_server_is_a_new_incarnation);
    tcase_add_test(t, two_restarts_between_two_polls_are_one_change);
    tcase_add_test(t, an_older_list_with_an_earlier_start_changes_nothing);
    tcase_add_test(t, an_earlier_start_of_a_later_revision_is_the_current_incarnation);
    tcase_add_test(t, revisions_of_a_restored_source_are_not_compared_with_earlier_ones);
    tcase_add_test(t, an_incarnation_that_is_listed_again_keeps_its_state);
    tcase_add_test(t, a_broken_connection_of_the_old_incarnation_is_no_failure_of_the_new_one);
    tcase_add_test(t, a_call_that_may_have_run_is_not_retried_at_the_new_incarnation);
    tcase_add_test(t, an_inventory_of_another_incarnation_retires_the_old_one);
    tcase_add_test(t, a_server_of_an_undeclared_pool_is_ignored);
    tcase_add_test(t, entries_without_a_start_are_refused_if_others_have_one);
    tcase_add_test(t, one_entry_with_a_start_refuses_no_other);
    tcase_add_test(t, a_start_is_part_of_the_list_id);
}

int main(void) {
    return run_suite("restart", add_tests, 30);
}
