/* Servers that start again under the id that they had: nothing that was believed of one life counts for the next. */
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

#define FIRST 1767744000000
#define SECOND (FIRST + 9000)
#define THIRD (FIRST + 12000)

/* Server s0 of the rig as listed with a start, at a revision of the source (0: not known). Returns how many changed. */
static uint32_t list_start(rig_t* r, int64_t started_ms, int64_t at) {
    cw_servers_t list = {.at = at};
    rig_list(r, &list, 1, 0);
    list.items[0].started_ms = started_ms;
    uint32_t changes = upstreams_set_servers(r->upstreams, clock_ms(), &list, false);
    cw_servers_free(&list);
    return changes;
}

static uint64_t life(int64_t started_ms) {
    cw_server_t s = {.id = "s0", .started_ms = started_ms};
    return cw_server_life(&s);
}

/* Whether the life may be chosen. */
static bool used(const rig_t* r, int64_t started_ms) {
    const server_t* s = upstreams_server(r->upstreams, life(started_ms));
    return s && !s->gone;
}

static cw_choice_t choice(const rig_t* r) {
    cw_work_t work = {
        .prompt_tokens = 4000, .target_ms = 1000, .part_count = 1, .parts = {{request_part_id("a1"), 4000}}};
    return cw_balance_choose(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), &work, NULL, 0);
}

/* All that can be believed of a server: that it is full, far behind, suspected, away, and keeps parts of prompts. */
static void believe_much(rig_t* r, int64_t started_ms) {
    cw_balance_t* b = upstreams_pool(r->upstreams, "p")->balance;
    uint64_t key = life(started_ms);
    cw_load_t load = {.running = 8, .streaming = 2, .gap_ms = 100, .deepest = 9000, .tokens = 90000, .pace_us = 90000};
    for (uint32_t i = 0; i < CW_URGENCIES; i++) {
        load.backlog_ms[i] = 4000;
    }
    cw_balance_kept(b, key, &(cw_work_part_t){request_part_id("a1"), 4000});
    cw_balance_news(b, clock_ms(), 7, key, &load);
    cw_balance_news(b, clock_ms(), 8, key, &(cw_load_t){.failed_ago_ms = 2});
    cw_balance_news(b, clock_ms(), 9, key, &(cw_load_t){.failed_ago_ms = 1});
    cw_balance_away(b, clock_ms(), key, true);
}

static void expect_new(const rig_t* r, int64_t started_ms) {
    cw_choice_t c = choice(r);
    ck_assert_uint_eq(c.id, life(started_ms));
    ck_assert_uint_eq(c.running + c.kept + c.streaming, 0);
    ck_assert_double_eq(c.wait_ms, 0);
    ck_assert(!cw_balance_suspected(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), life(started_ms)));
}

START_TEST(a_server_that_started_again_is_a_new_one) {
    rig_t* r = rig_setup(ROUTES, 0);
    ck_assert_uint_eq(list_start(r, FIRST, 10), 1);
    believe_much(r, FIRST);
    ck_assert_uint_eq(choice(r).server, CW_BALANCE_NONE);
    ck_assert_uint_eq(list_start(r, SECOND, 11), 1);
    ck_assert(used(r, SECOND) && !used(r, FIRST));
    expect_new(r, SECOND);
    believe_much(r, FIRST); /* told late, of the life that is over */
    expect_new(r, SECOND);
    ck_assert_uint_eq(list_start(r, SECOND, 12), 0);
    rig_shutdown(r);
}
END_TEST

START_TEST(two_starts_between_two_readings_are_one_change) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_start(r, FIRST, 10);
    believe_much(r, FIRST);
    ck_assert_uint_eq(list_start(r, THIRD, 20), 1);
    expect_new(r, THIRD);
    ck_assert(!used(r, FIRST) && !used(r, SECOND));
    rig_shutdown(r);
}
END_TEST

/* By a peer's list, or a read that was held up: of an older revision, or of one that isn't known. */
START_TEST(an_earlier_start_that_is_told_late_changes_nothing) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_start(r, SECOND, 20);
    cw_balance_kept(upstreams_pool(r->upstreams, "p")->balance, life(SECOND),
                    &(cw_work_part_t){request_part_id("a1"), 4000});
    ck_assert_uint_eq(list_start(r, FIRST, 10), 0);
    ck_assert_uint_eq(list_start(r, FIRST, 0), 0);
    ck_assert_uint_eq(list_start(r, FIRST, 20), 0);
    ck_assert(used(r, SECOND) && !used(r, FIRST));
    ck_assert_uint_eq(choice(r).kept, 4000);
    ck_assert_uint_eq(list_start(r, 0, 21), 0); /* who knows of no starts says nothing of them */
    ck_assert_uint_eq(choice(r).kept, 4000);
    rig_shutdown(r);
}
END_TEST

/* The server's clock was set back between two starts: what the source listed later is what lives. */
START_TEST(a_smaller_start_of_a_later_revision_is_the_present_life) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_start(r, SECOND, 20);
    believe_much(r, SECOND);
    ck_assert_uint_eq(list_start(r, FIRST, 21), 1);
    expect_new(r, FIRST);
    ck_assert(!used(r, SECOND));
    rig_shutdown(r);
}
END_TEST

/* An entry with another start came in between, and was wrong: the life that the source lists again goes on, with what
   is under way there. */
START_TEST(a_life_that_is_listed_again_goes_on) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_start(r, FIRST, 10);
    cw_work_t work = {.prompt_tokens = 4000, .target_ms = 1000};
    cw_run_t run = cw_balance_begin(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), choice(r).server, &work);
    list_start(r, SECOND, 11);
    ck_assert(used(r, SECOND) && !used(r, FIRST));
    ck_assert_uint_eq(list_start(r, FIRST, 12), 1);
    ck_assert(used(r, FIRST) && !used(r, SECOND));
    ck_assert_uint_eq(choice(r).running, 1);
    ck_assert_uint_eq(list_start(r, FIRST, 13), 0);
    cw_balance_end(upstreams_pool(r->upstreams, "p")->balance, clock_ms(), &run, CW_TRY_SERVED);
    rig_shutdown(r);
}
END_TEST

/* The connection breaks after the list told of the new life, and before: neither harms the new one. */
START_TEST(a_break_of_the_old_life_is_no_failure_of_the_new_one) {
    for (uint32_t before = 0; before < 2; before++) {
        rig_t* r = rig_setup(ROUTES, 0);
        list_start(r, FIRST, 10);
        cw_balance_t* b = upstreams_pool(r->upstreams, "p")->balance;
        cw_work_t work = {.prompt_tokens = 4000, .target_ms = 1000};
        cw_run_t runs[3];
        for (uint32_t i = 0; i < 3; i++) {
            runs[i] = cw_balance_begin(b, clock_ms(), choice(r).server, &work);
        }
        if (!before) {
            list_start(r, SECOND, 11);
            ck_assert_uint_eq(choice(r).running, 0);
        }
        for (uint32_t i = 0; i < 3; i++) {
            cw_balance_end(b, clock_ms(), &runs[i], i ? CW_TRY_BROKEN : CW_TRY_UNREACHABLE);
        }
        list_start(r, SECOND, 11);
        expect_new(r, SECOND);
        rig_shutdown(r);
    }
}
END_TEST

/* What may have run at the old life is never sent to the new one; what was not sent at all may be. */
START_TEST(a_call_that_may_have_run_is_not_run_again_by_the_new_life) {
    rig_t* r = rig_setup(ROUTES, 0);
    list_start(r, FIRST, 10);
    rig_script(
        r,
        (rig_step_t[]){{RIG_ANSWER_RESET, ""},
                       {RIG_ANSWER, "HTTP/1.1 200 OK\r\nChalkway-Request-Id: @ID@\r\nContent-Length: 1\r\n\r\na"}},
        2);
    rig_write(r, CALL("/once/"));
    while (!r->arrival_count) {
        ev_run(r->loop, EVRUN_ONCE);
    }
    list_start(r, SECOND, 11); /* while it is under way */
    r->stop_on_answer = true;
    if (!rig_answer_whole(cw_buffer_text(&r->answer))) {
        rig_run(r);
    }
    ck_assert(strncmp(cw_buffer_text(&r->answer), "HTTP/1.1 502", 12) == 0);
    ck_assert_uint_eq(r->arrival_count, 1);
    const char* answer = rig_call(r, CALL("/once/")); /* the next one goes to the new life */
    ck_assert(strncmp(answer, "HTTP/1.1 200", 12) == 0);
    rig_shutdown(r);
}
END_TEST

static bool is_mine(void* user, uint64_t server) {
    (void)user;
    (void)server;
    return true;
}

static void on_parts(void* user, server_t* server, const cw_work_part_t* parts, uint32_t count) {
    (void)server;
    (void)parts;
    *(uint32_t*)user += count;
}

/* Which parts the old life kept was asked, and the new one answers: it says so, and nothing is learned of the old. */
START_TEST(an_inventory_that_another_life_answers_ends_the_old_one) {
    static const int64_t answered[] = {FIRST, SECOND};
    for (uint32_t i = 0; i < 2; i++) {
        char body[256];
        char text[512];
        uint32_t learned = 0;
        rig_t* r = rig_setup(ROUTES, 0);
        list_start(r, FIRST, 10);
        int size = snprintf(body, sizeof(body), "{\"born\":%lld,\"epoch\":1,\"held\":[[\"\",\"a1\",4000,\"m\"]]}",
                            (long long)answered[i]);
        snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body);
        rig_script(r, (rig_step_t[]){{RIG_ANSWER_CLOSE, text}}, 1);
        inventory_t* v = inventory_setup(&(inventory_desc_t){.loop = r->loop,
                                                             .log = &r->log,
                                                             .dialect = &platform_dialect,
                                                             .upstreams = r->upstreams,
                                                             .settle_ms = 1,
                                                             .is_mine = is_mine,
                                                             .on_parts = on_parts,
                                                             .user_data = &learned});
        int64_t now_ms = clock_ms();
        inventory_tick(v, now_ms);
        for (int n = 0; n < 2000 && !inventory_stats(v).done; n++) {
            inventory_tick(v, now_ms + 2);
            ev_run(r->loop, EVRUN_ONCE);
        }
        ck_assert_uint_eq(learned, i == 0);
        ck_assert(used(r, FIRST) == (i == 0));
        list_start(r, SECOND, 11);
        expect_new(r, SECOND);
        inventory_shutdown(v);
        rig_shutdown(r);
    }
}
END_TEST

/* Another writer may name any pool: a server of one that nobody declared is left out until somebody does. */
START_TEST(a_server_of_an_undeclared_pool_is_left_out) {
    static const char more[] =
        "{\"revision\":2,\"pools\":[{\"name\":\"p\"},{\"name\":\"late\"}],\"routes\":[{\"name\":\"r\",\"host\":"
        "\"h.example\",\"prefix\":\"/r/\",\"kind\":\"once\",\"timeout_ms\":5000,\"target_ms\":1000,\"attempts\":1,"
        "\"pools\":[{\"pool\":\"p\"}]}]}";
    rig_t* r = rig_setup(ROUTES, 0);
    cw_servers_t list = {.at = 10};
    rig_list(r, &list, 2, 0);
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

/* Servers of one source all tell their start: an entry without, beside others that have one, is another writer's. */
START_TEST(entries_without_a_start_are_dropped_where_others_have_one) {
    cw_servers_t list = {0};
    for (uint32_t i = 0; i < 4; i++) {
        cw_server_t s = {.address = "127.0.0.1:9", .pool = "p", .hall = "a", .slots = 4};
        snprintf(s.id, sizeof(s.id), "s%u", i);
        cw_servers_add(&list, &s);
    }
    cw_servers_drop_unstarted(&list);
    ck_assert_uint_eq(list.count, 4); /* a source that tells none */
    list.items[0].started_ms = list.items[3].started_ms = FIRST;
    cw_servers_drop_unstarted(&list);
    ck_assert_uint_eq(list.count, 2);
    ck_assert_str_eq(list.items[1].id, "s3");
    ck_assert_uint_eq(list.refused.count, 2);
    cw_servers_free(&list);
}
END_TEST

/* A start is handed on among hosts, and makes another list of it. */
START_TEST(a_start_is_part_of_what_a_list_says) {
    cw_servers_t list = {.at = 3};
    cw_servers_t back = {0};
    cw_server_t s = {.id = "s0", .address = "127.0.0.1:9", .pool = "p", .hall = "a", .slots = 4, .started_ms = FIRST};
    cw_servers_add(&list, &s);
    char* text = cw_servers_text(&list);
    ck_assert_int_eq(cw_servers_read(&back, text, strlen(text), NULL), CW_OK);
    ck_assert(cw_servers_equal(&list, &back));
    ck_assert_uint_eq(cw_servers_id(&list), cw_servers_id(&back));
    back.items[0].started_ms = SECOND;
    ck_assert(!cw_servers_equal(&list, &back));
    ck_assert_uint_ne(cw_servers_id(&list), cw_servers_id(&back));
    free(text);
    cw_servers_free(&list);
    cw_servers_free(&back);
}
END_TEST

static void add(TCase* t) {
    tcase_add_test(t, a_server_that_started_again_is_a_new_one);
    tcase_add_test(t, two_starts_between_two_readings_are_one_change);
    tcase_add_test(t, an_earlier_start_that_is_told_late_changes_nothing);
    tcase_add_test(t, a_smaller_start_of_a_later_revision_is_the_present_life);
    tcase_add_test(t, a_life_that_is_listed_again_goes_on);
    tcase_add_test(t, a_break_of_the_old_life_is_no_failure_of_the_new_one);
    tcase_add_test(t, a_call_that_may_have_run_is_not_run_again_by_the_new_life);
    tcase_add_test(t, an_inventory_that_another_life_answers_ends_the_old_one);
    tcase_add_test(t, a_server_of_an_undeclared_pool_is_left_out);
    tcase_add_test(t, entries_without_a_start_are_dropped_where_others_have_one);
    tcase_add_test(t, a_start_is_part_of_what_a_list_says);
}

int main(void) {
    return run_suite("restart", add, 30);
}
