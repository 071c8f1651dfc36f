/* The gateway's modules on a simulated clock: catalog, choice of a server, load reports, events, retry budget. */
#include <stdio.h>
#include <string.h>

#include "../chalkway_backlog.h"
#include "../chalkway_catalog.h"
#include "../chalkway_epoch.h"
#include "../chalkway_limit.h"
#include "../chalkway_load.h"
#include "../chalkway_occupancy.h"
#include "../chalkway_prefix_cache.h"
#include "../chalkway_request.h"
#include "../chalkway_servers.h"
#include "../chalkway_sse.h"
#include "test.h"

/* The same backlog for every urgency. */
#define BACKLOG(ms)                                                                                                    \
    { ms, ms, ms, ms, ms, ms, ms, ms, ms, ms }

/* -- catalog -------------------------------------------------------------- */

static const char document[] =
    "{\"revision\":5,\"newer_field\":{},\"routes\":["
    "{\"name\":\"a\",\"host\":\"H.example\",\"prefix\":\"/a/\",\"kind\":\"once\",\"pools\":[{\"pool\":\"p\"}]},"
    "{\"name\":\"ab\",\"host\":\"h.example\",\"prefix\":\"/a/b/\",\"kind\":\"stream\",\"resume\":true,"
    "\"pools\":[{\"pool\":\"p\",\"weight\":90},{\"pool\":\"q\",\"weight\":10}]}],"
    "\"pools\":[{\"name\":\"p\"},{\"name\":\"q\",\"engine\":{\"slots\":4,\"memory_tokens\":1000}}],"
    "\"workspaces\":[{\"name\":\"w\",\"keys\":[\"k1\",\"k2\"],\"tier\":2}]}";

static const cw_route_t* find_route(const cw_catalog_t* c, const char* host, const char* path) {
    return cw_catalog_find_route(c, host, path, strlen(path));
}

START_TEST(catalog_finds_the_longest_prefix_and_the_workspace_of_a_key) {
    cw_error_t err = {0};
    cw_catalog_t* c = cw_catalog_parse(document, strlen(document), &err);
    ck_assert_msg(c != NULL, "%s", err.message);
    ck_assert_str_eq(find_route(c, "h.EXAMPLE", "/a/x")->name, "a");
    ck_assert_str_eq(find_route(c, "h.example", "/a/b/c/d")->name, "ab");
    ck_assert_str_eq(find_route(c, "h.example", "/a/b")->name, "a");
    ck_assert_ptr_null(find_route(c, "h.example", "/b/a/"));
    ck_assert_ptr_null(find_route(c, "other.example", "/a/x"));
    ck_assert_str_eq(cw_catalog_find_workspace(c, "k2")->name, "w");
    ck_assert_ptr_null(cw_catalog_find_workspace(c, "k"));
    ck_assert(c->requires_keys);
    cw_catalog_release(c);
}
END_TEST

START_TEST(catalog_chooses_pools_by_weight) {
    cw_catalog_t* c = cw_catalog_parse(document, strlen(document), NULL);
    const cw_route_t* split = find_route(c, "h.example", "/a/b/");
    int q = 0;
    for (uint64_t draw = 0; draw < 1000; draw++) {
        q += strcmp(cw_catalog_choose_pool(c, split, draw)->name, "q") == 0;
    }
    ck_assert_int_eq(q, 100);
    cw_catalog_release(c);
}
END_TEST

START_TEST(catalog_refuses_an_invalid_document_with_a_reason) {
    static const struct {
        const char* text;
        const char* why;
    } cases[] = {
        {"", "no JSON object"},
        {"[]", "no JSON object"},
        {"{\"revision\":1}", "must be lists"},
        {"{\"routes\":[],\"pools\":[]}", "revision"},
        {"{\"revision\":\"x\",\"routes\":[],\"pools\":[]}", "revision"},
        {"{\"revision\":1,\"routes\":[{}],\"pools\":[]}", "name"},
        {"{\"revision\":1,\"pools\":[],\"routes\":[{\"name\":\"a\",\"host\":\"h\",\"prefix\":\"/a/\","
         "\"kind\":\"once\",\"pools\":[{\"pool\":\"none\"}]}]}",
         "is no pool"},
        {"{\"revision\":1,\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"a\",\"host\":\"h\","
         "\"prefix\":\"a\",\"kind\":\"once\",\"pools\":[{\"pool\":\"p\"}]}]}",
         "slash"},
        {"{\"revision\":1,\"pools\":[{\"name\":\"p\"}],\"routes\":[{\"name\":\"a\",\"host\":\"h\","
         "\"prefix\":\"/\",\"kind\":\"odd\",\"pools\":[{\"pool\":\"p\"}]}]}",
         "kind"},
        {"{\"revision\":1,\"pools\":[],\"routes\":[],\"workspaces\":[{\"name\":\"w\",\"keys\":[7]}]}", "keys"}};
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        cw_error_t err = {0};
        ck_assert_ptr_null(cw_catalog_parse(cases[i].text, strlen(cases[i].text), &err));
        ck_assert_msg(strstr(err.message, cases[i].why) != NULL, "case %zu: %s", i, err.message);
    }
}
END_TEST

START_TEST(a_list_of_servers_survives_the_json_round_trip) {
    cw_servers_t list = {.at = 9, .age_ms = 120};
    cw_server_t one = {.id = "i-1", .address = "10.0.0.1:80", .pool = "p", .hall = "a", .slots = 4, .cold_ms = 7};
    cw_server_t two = {.id = "i-2", .address = "10.0.0.2:80", .pool = "p", .hall = "b", .slots = 4, .leaving = true};
    cw_servers_add(&list, &one);
    cw_servers_add(&list, &two);
    char* text = cw_servers_to_json(&list);
    cw_servers_t copy = {0};
    ck_assert_int_eq(cw_servers_from_json(&copy, text, strlen(text), NULL), CW_OK);
    ck_assert_uint_eq(copy.count, 2);
    ck_assert_str_eq(copy.items[0].id, "i-1");
    ck_assert(copy.items[1].leaving);
    ck_assert_uint_eq(copy.age_ms, 120);
    ck_assert_uint_eq(cw_servers_hash(&copy), cw_servers_hash(&list));
    copy.items[0].leaving = true;
    ck_assert_uint_ne(cw_servers_hash(&copy), cw_servers_hash(&list));
    cw_servers_t bad = {0};
    cw_error_t err = {0};
    ck_assert_int_eq(cw_servers_from_json(&bad, "{\"servers\":[{}]}", 16, &err), CW_ERR_INVALID);
    ck_assert_int_eq(cw_servers_from_json(&bad, "nonsense", 8, &err), CW_ERR_INVALID);
    free(text);
    cw_servers_free(&list);
    cw_servers_free(&copy);
}
END_TEST

/* -- choice of a server --------------------------------------------------- */

static cw_balance_t* make_engines(uint32_t count) {
    cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.seed = 5});
    cw_server_spec_t specs[8];
    for (uint32_t i = 0; i < count; i++) {
        specs[i] = (cw_server_spec_t){.id = i + 1, .slots = 8, .memory_tokens = 100000};
    }
    cw_balance_set_servers(b, 0, specs, count);
    return b;
}

static uint64_t choose_and_begin(cw_balance_t* b, int64_t now_ms, const cw_work_t* work, cw_run_t* run) {
    cw_choice_t c = cw_balance_choose(b, now_ms, work, NULL, 0);
    if (c.server == CW_BALANCE_NONE) {
        return 0;
    }
    *run = cw_balance_begin(b, now_ms, c.server, work);
    return run->id;
}

START_TEST(long_prompts_are_spread_over_idle_servers) {
    cw_balance_t* b = make_engines(3);
    cw_work_t work = {.prompt_tokens = 10000, .target_ms = 2000};
    cw_run_t runs[3];
    uint64_t sum = 0;
    for (int i = 0; i < 3; i++) {
        sum += choose_and_begin(b, 0, &work, &runs[i]);
    }
    ck_assert_uint_eq(sum, 1 + 2 + 3);
    cw_balance_shutdown(b);
}
END_TEST

/* An engine that prefills a token in 20 us. Every other prompt also waits, for a slot or behind a prompt of another
   host that was not reported yet: these waits must not raise the learned prefill time. */
START_TEST(unreported_waits_do_not_raise_the_prefill_time) {
    cw_balance_t* b = make_engines(1);
    int64_t now_ms = 0;
    for (uint32_t i = 0; i < 400; i++) {
        cw_work_t work = {.prompt_tokens = 500 + 25 * (i % 20), .target_ms = 400};
        cw_run_t run;
        ck_assert_uint_eq(choose_and_begin(b, now_ms, &work, &run), 1);
        int64_t prefill_ms = 10 + (int64_t)work.prompt_tokens / 50;
        cw_balance_on_first_byte(b, now_ms + prefill_ms + (i % 2 ? 300 : 0), &run);
        cw_balance_end(b, now_ms + prefill_ms + 400, &run, CW_TRY_SERVED);
        now_ms += 1000;
    }
    ck_assert_double_le(cw_balance_prefill_ms_per_token(b), 0.04);
    ck_assert_double_ge(cw_balance_prefill_ms_per_token(b), 0.01);
    cw_balance_shutdown(b);
}
END_TEST

START_TEST(load_reports_of_other_daemons_expire) {
    cw_balance_t* b = make_engines(2);
    cw_work_t work = {.prompt_tokens = 100, .target_ms = 200};
    cw_run_t run;
    uint64_t first = choose_and_begin(b, 0, &work, &run);
    cw_balance_end(b, 1, &run, CW_TRY_CANCELLED);
    cw_balance_on_peer_load(b, 1, 77, first, &(cw_load_t){.running = 3, .backlog_ms = BACKLOG(500)});
    ck_assert_uint_ne(choose_and_begin(b, 2, &work, &run), first);
    cw_balance_end(b, 3, &run, CW_TRY_CANCELLED);
    ck_assert_uint_eq(choose_and_begin(b, 5000, &work, &run), first);
    cw_balance_shutdown(b);
}
END_TEST

/* Engines prefill more urgent prompts first, so an urgent prompt does not wait for less urgent ones. It would delay
   them though, so it goes to the server with the shortest total backlog. */
START_TEST(less_urgent_prompts_do_not_delay_urgent_ones) {
    cw_balance_t* b = make_engines(1);
    cw_work_t urgent = {.prompt_tokens = 600, .target_ms = 250};
    cw_work_t less_urgent = {.urgency = 1, .prompt_tokens = 20000, .target_ms = 2000};
    cw_run_t runs[2] = {{.server = CW_BALANCE_NONE}, {.server = CW_BALANCE_NONE}};
    choose_and_begin(b, 0, &less_urgent, &runs[0]);
    uint32_t at = runs[0].server;
    cw_load_t before = cw_balance_own_load(b, 0, at);
    ck_assert_uint_eq(before.backlog_ms[0], 0);
    ck_assert_uint_gt(before.backlog_ms[1], 100);
    ck_assert_uint_eq(before.backlog_ms[CW_URGENCY_LEVELS - 1], before.backlog_ms[1]);
    ck_assert_double_eq(cw_balance_choose(b, 0, &urgent, NULL, 0).wait_ms, 0);
    ck_assert_double_gt(cw_balance_choose(b, 0, &less_urgent, NULL, 0).wait_ms, 100);
    ck_assert_double_gt(cw_balance_choose(b, 0, &urgent, NULL, 0).cost_ms, 100);
    cw_balance_on_peer_load(b, 0, 7, 1,
                            &(cw_load_t){.running = 2, .backlog_ms = {30, 90, 90, 90, 90, 90, 90, 90, 90, 90}});
    ck_assert_double_eq(cw_balance_choose(b, 0, &urgent, NULL, 0).wait_ms, 30);
    choose_and_begin(b, 0, &urgent, &runs[1]);
    cw_balance_on_first_byte(b, 15, &runs[1]);
    ck_assert_uint_eq(cw_balance_own_load(b, 15, at).backlog_ms[0], 0);
    ck_assert_uint_gt(cw_balance_own_load(b, 15, at).backlog_ms[1], 100);
    cw_balance_end(b, 20, &runs[0], CW_TRY_CANCELLED);
    ck_assert_uint_eq(cw_balance_own_load(b, 20, at).backlog_ms[CW_URGENCY_LEVELS - 1], 0);
    cw_balance_shutdown(b);
}
END_TEST

/* Prompts of random urgencies arrive and are prefilled at random times: no urgency has a shorter backlog than a more
   urgent one, and every backlog is empty in the end. */
START_TEST(backlogs_grow_with_urgency_level_and_end_empty) {
    for (uint64_t seed = 1; seed <= 50; seed++) {
        cw_backlog_t b = {0};
        cw_backlog_plan_t plans[20];
        int64_t now_ms = 1000;
        for (uint32_t i = 0; i < 20; i++) {
            uint32_t urgency = cw_urgency_level((uint32_t)(cw_mix(seed, i) % 12));
            double before_ms = cw_backlog_ms(&b, now_ms, urgency);
            plans[i] = cw_backlog_add(&b, now_ms, urgency, 50);
            ck_assert_double_eq_tol(cw_backlog_ms(&b, now_ms, urgency), before_ms + 50, 0.001);
            for (uint32_t t = 1; t < CW_URGENCY_LEVELS; t++) {
                ck_assert_uint_ge(b.pending[t], b.pending[t - 1]);
                ck_assert(b.pending[t] > b.pending[t - 1] ||
                          cw_backlog_ms(&b, now_ms, t) >= cw_backlog_ms(&b, now_ms, t - 1) - 0.001);
            }
        }
        for (uint32_t i = 0; i < 20; i++) {
            now_ms += (int64_t)(cw_mix(seed, 100 + i) % 80);
            cw_backlog_remove(&b, now_ms, &plans[i]);
        }
        for (uint32_t t = 0; t < CW_URGENCY_LEVELS; t++) {
            ck_assert_uint_eq(b.pending[t], 0);
            ck_assert_double_eq(cw_backlog_ms(&b, now_ms + 500, t), 0);
        }
    }
}
END_TEST

/* The wait for the response of a plain call is not a backlog of prompts. */
START_TEST(plain_calls_have_no_backlog) {
    cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.seed = 1});
    cw_server_spec_t spec = {.id = 1, .slots = 4};
    cw_balance_set_servers(b, 0, &spec, 1);
    cw_work_t call = {.target_ms = 300};
    cw_run_t run;
    ck_assert_uint_eq(choose_and_begin(b, 1000, &call, &run), 1);
    ck_assert_uint_eq(cw_balance_own_load(b, 5000, run.server).backlog_ms[CW_URGENCY_LEVELS - 1], 0);
    ck_assert_double_eq(cw_balance_choose(b, 5000, &call, NULL, 0).wait_ms, 0);
    cw_balance_shutdown(b);
}
END_TEST

/* Among equal servers, the one with an idle connection is chosen; a shorter wait is worth a new connection. */
START_TEST(an_idle_connection_decides_among_equal_servers) {
    cw_balance_t* b = make_engines(4);
    cw_work_t work = {.prompt_tokens = 100, .target_ms = 250};
    cw_run_t run;
    for (uint64_t id = 1; id <= 4; id++) {
        cw_balance_set_idle_connection(b, id, true);
        ck_assert_uint_eq(choose_and_begin(b, 0, &work, &run), id);
        cw_balance_end(b, 0, &run, CW_TRY_CANCELLED);
        cw_balance_set_idle_connection(b, id, false);
    }
    cw_balance_set_idle_connection(b, 2, true);
    cw_balance_on_peer_load(b, 0, 7, 2, &(cw_load_t){.running = 1, .backlog_ms = BACKLOG(40)});
    ck_assert_uint_ne(choose_and_begin(b, 0, &work, &run), 2);
    cw_balance_shutdown(b);
}
END_TEST

START_TEST(a_prompt_goes_to_the_server_that_caches_its_prefix) {
    cw_balance_t* b = make_engines(4);
    cw_work_t work = {.prompt_tokens = 6000, .target_ms = 2000, .part_count = 1, .parts = {{.id = 9, .tokens = 5000}}};
    cw_run_t first;
    cw_run_t second;
    uint64_t first_server = choose_and_begin(b, 0, &work, &first);
    ck_assert_uint_eq(choose_and_begin(b, 10, &work, &second), first_server); /* a short wait beats a new prefill */
    cw_work_t other = work;
    other.parts[0].id = 10;
    ck_assert_uint_ne(choose_and_begin(b, 20, &other, &second), first_server);
    cw_balance_shutdown(b);
}
END_TEST

/* Eight engines that can fetch cached prompt parts from each other. */
static cw_balance_t* make_fetching_engines(uint64_t host) {
    cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.seed = host});
    cw_server_spec_t specs[8];
    for (uint32_t i = 0; i < 8; i++) {
        specs[i] = (cw_server_spec_t){.id = i + 1, .slots = 8, .memory_tokens = 100000, .fetch_ms_per_token = 0.007};
    }
    cw_balance_set_servers(b, 0, specs, 8);
    return b;
}

/* A prompt of three parts: one that all prompts share, a document that many share, and one of its own. */
static cw_work_t make_document_work(uint64_t document, uint64_t own) {
    return (cw_work_t){
        .prompt_tokens = 12000, .target_ms = 2000, .part_count = 3, .parts = {{1, 500}, {document, 5000}, {own, 6500}}};
}

/* In a burst, prompts about the same document were spread over all engines: with 140 engines, of 41 million shared
   tokens in one class of prompts, a fifth was found in a cache, and the rest was fetched or recomputed. Thirty hosts
   without load reports of each other must send prompts about one document to few engines, and other documents to other
   engines; when these are busy, the prompts go elsewhere. */
START_TEST(hosts_send_a_shared_prompt_part_to_the_same_engines) {
    uint32_t used_by_all = 0;
    for (uint64_t document = 100; document < 110; document++) {
        uint32_t used = 0;
        for (uint64_t host = 1; host <= 30; host++) {
            cw_balance_t* b = make_fetching_engines(host);
            cw_balance_on_peer_prompt(b, 1 + host % 8, &(cw_prompt_part_t){1, 500});
            cw_work_t work = make_document_work(document, 1000 + host);
            used |= 1U << cw_balance_choose(b, 0, &work, NULL, 0).server;
            cw_balance_shutdown(b);
        }
        ck_assert_uint_le((uint32_t)__builtin_popcount(used), 2);
        used_by_all |= used;
    }
    ck_assert_uint_ge((uint32_t)__builtin_popcount(used_by_all), 5);
    cw_balance_t* b = make_fetching_engines(1);
    uint32_t engines_used = 0;
    /* The document's owners have slots for all, but a cached part is not worth a long wait. */
    for (uint32_t i = 0; i < 16; i++) {
        cw_work_t work = make_document_work(100, 1000 + i);
        cw_run_t run;
        engines_used |= 1U << (choose_and_begin(b, 0, &work, &run) - 1);
    }
    ck_assert_uint_gt((uint32_t)__builtin_popcount(engines_used), 2);
    cw_balance_shutdown(b);
}
END_TEST

START_TEST(cached_parts_expire_when_the_cache_was_refilled) {
    cw_balance_t* b = make_engines(1);
    cw_work_t work = {.prompt_tokens = 6000, .part_count = 1, .parts = {{.id = 9, .tokens = 5000}}};
    cw_run_t run;
    choose_and_begin(b, 0, &work, &run);
    ck_assert_uint_eq(cw_balance_choose(b, 0, &work, NULL, 0).cached_tokens, 5000);
    for (uint64_t i = 0; i < 20; i++) {
        cw_balance_on_peer_prompt(b, 1, &(cw_prompt_part_t){.id = 100 + i, .tokens = 5000});
    }
    ck_assert_uint_eq(cw_balance_choose(b, 0, &work, NULL, 0).cached_tokens, 0);
    cw_balance_shutdown(b);
}
END_TEST

/* Token counters are stored modulo 2^32, and a full table evicts the least recently used entry. */
START_TEST(cached_parts_survive_counter_wraparound) {
    cw_prefix_cache_t* k = cw_prefix_cache_setup(64, NULL);
    ck_assert(!cw_prefix_cache_has(k, 1, 2, 0, 1000)); /* nothing was added yet */
    uint64_t prefilled_tokens = UINT32_MAX - 10;
    cw_prefix_cache_add(k, 1, 2, prefilled_tokens);
    ck_assert(cw_prefix_cache_has(k, 1, 2, prefilled_tokens + 500, 1000));
    ck_assert(!cw_prefix_cache_has(k, 1, 2, prefilled_tokens + 1500, 1000));
    ck_assert(!cw_prefix_cache_has(k, 2, 2, prefilled_tokens, 1000)); /* another server */
    for (uint64_t part = 100; part < 400; part++) {
        cw_prefix_cache_add(k, 1, part, prefilled_tokens);
        ck_assert(cw_prefix_cache_has(k, 1, part, prefilled_tokens, 1000));
    }
    ck_assert(!cw_prefix_cache_has(k, 1, 2, prefilled_tokens, 1000));
    cw_prefix_cache_shutdown(k);
}
END_TEST

/* A long prompt stalled the streams of its server: the next long prompt avoids servers with such streams. */
START_TEST(long_prompts_avoid_streams_that_they_would_stall) {
    cw_balance_t* b = make_engines(2);
    cw_work_t chat = {.prompt_tokens = 500, .target_ms = 250, .gap_ms = 100};
    cw_work_t long_prompt = {.prompt_tokens = 20000, .target_ms = 2000};
    cw_run_t stream;
    uint64_t stream_server = choose_and_begin(b, 0, &chat, &stream);
    cw_balance_on_first_byte(b, 20, &stream);
    for (int i = 0; i < 20; i++) { /* another host's long prompt at the same server, and long gaps */
        int64_t now_ms = 100 + i * 200;
        cw_balance_on_peer_load(b, now_ms, 7, stream_server,
                                &(cw_load_t){.running = 1, .backlog_ms = BACKLOG(900), .longest_prompt_tokens = 20000});
        cw_balance_on_event(b, now_ms, &stream);
    }
    ck_assert_double_gt(cw_balance_stall_ms(b, 20000), 100);
    /* A short prompt stalls streams for no longer than its prefill. */
    ck_assert_double_le(cw_balance_stall_ms(b, 500), 500 * cw_balance_prefill_ms_per_token(b));
    cw_balance_on_peer_load(b, 5000, 7, stream_server, &(cw_load_t){0});
    cw_run_t run;
    cw_balance_on_peer_load(b, 5000, 8, 3 - stream_server, &(cw_load_t){.running = 2, .backlog_ms = BACKLOG(300)});
    /* The other server is chosen, despite the wait there. */
    ck_assert_uint_eq(choose_and_begin(b, 5000, &long_prompt, &run), 3 - stream_server);
    cw_balance_shutdown(b);
}
END_TEST

/* A server that one host found slow gets no streams with a gap limit from any host. */
START_TEST(the_event_interval_of_a_server_is_reported) {
    cw_balance_t* reporter = make_engines(2);
    cw_balance_t* b = make_engines(2);
    cw_work_t chat = {.prompt_tokens = 500, .target_ms = 250, .gap_ms = 100};
    cw_work_t long_prompt = {.prompt_tokens = 20000, .target_ms = 2000};
    cw_run_t run;
    for (uint32_t at = 0; at < 2; at++) { /* the first server's event interval is 1.5 times the second one's */
        run = cw_balance_begin(reporter, 0, at, &chat);
        cw_balance_on_first_byte(reporter, 10, &run);
        for (int i = 1; i <= 30; i++) {
            cw_balance_on_event(reporter, 10 + i * (at ? 20 : 30), &run);
        }
        ck_assert_uint_eq(cw_balance_own_load(reporter, 1000, at).event_interval_us, at ? 20000 : 30000);
        cw_load_t load = {.event_interval_us = cw_balance_own_load(reporter, 1000, at).event_interval_us};
        cw_balance_on_peer_load(b, 0, 7, run.id, &load);
    }
    for (int i = 0; i < 30; i++) { /* prompts that stall such streams are frequent */
        choose_and_begin(b, 0, &long_prompt, &run);
        cw_balance_end(b, 0, &run, CW_TRY_CANCELLED);
    }
    ck_assert_uint_eq(choose_and_begin(b, 0, &chat, &run), 2);
    ck_assert_double_eq(cw_balance_choose(b, 0, &chat, (uint64_t[]){2}, 1).interval_ratio, 1.5);
    /* A received event interval is not reported further. */
    ck_assert_uint_eq(cw_balance_own_load(b, 0, 0).event_interval_us, 0);
    cw_balance_shutdown(b);
    cw_balance_shutdown(reporter);
}
END_TEST

/* Before any stall was observed, a prompt is expected to stall streams for the whole time of its prefill. */
START_TEST(long_prompts_avoid_streams_before_any_stall_was_observed) {
    cw_balance_t* b = make_engines(2);
    cw_work_t chat = {.prompt_tokens = 500, .target_ms = 250, .gap_ms = 100};
    cw_work_t long_prompt = {.prompt_tokens = 20000, .target_ms = 2000};
    cw_run_t stream;
    cw_run_t run;
    uint64_t stream_server = choose_and_begin(b, 0, &chat, &stream);
    cw_balance_on_first_byte(b, 20, &stream);
    cw_balance_on_peer_load(b, 20, 8, 3 - stream_server, &(cw_load_t){.running = 2, .backlog_ms = BACKLOG(300)});
    ck_assert_uint_eq(choose_and_begin(b, 30, &long_prompt, &run), 3 - stream_server);
    cw_balance_shutdown(b);
}
END_TEST

START_TEST(a_full_engine_gets_no_requests) {
    cw_balance_t* b = make_engines(1);
    cw_work_t work = {.prompt_tokens = 10};
    cw_run_t run;
    for (int i = 0; i < 8; i++) {
        ck_assert_uint_eq(choose_and_begin(b, 0, &work, &run), 1);
    }
    ck_assert_uint_eq(choose_and_begin(b, 0, &work, &run), 0);
    cw_balance_end(b, 1, &run, CW_TRY_SERVED);
    ck_assert_uint_eq(choose_and_begin(b, 2, &work, &run), 1);
    cw_balance_shutdown(b);
}
END_TEST

/* Eighty hosts, each with a request now and then, learn at the same time that an engine has a free slot. */
START_TEST(few_hosts_compete_for_one_free_slot) {
    uint32_t allowed_count = 0;
    uint32_t slices = 50;
    for (uint64_t host = 1; host <= 80; host++) {
        cw_contention_t c = {.seed = host};
        cw_contention_use_t one = {.server = 7, .free_slots = 1, .hosts = 80, .delay_ms = 12};
        cw_contention_use_t many = {.server = 7, .free_slots = 24, .hosts = 80, .delay_ms = 12};
        for (int64_t now_ms = 0; now_ms < 3000; now_ms += 50) {
            cw_contention_on_request(&c, now_ms, 0); /* 20 per second */
        }
        for (uint32_t i = 0; i < slices; i++) {
            bool may_use = cw_contention_may_use(&c, 3000 + 12 * i, &one);
            /* The decision holds until load reports can arrive. */
            ck_assert_int_eq(may_use, cw_contention_may_use(&c, 3000 + 12 * i, &one));
            allowed_count += may_use;
        }
        ck_assert(cw_contention_may_use(&c, 3000, &many)); /* more slots than requesting hosts: all may use them */
    }
    ck_assert_uint_ge(allowed_count, slices);      /* the slot is used */
    ck_assert_uint_le(allowed_count / slices, 10); /* of 80 hosts */
}
END_TEST

START_TEST(few_hosts_or_fast_reports_need_no_contention_control) {
    cw_contention_t c = {.seed = 3};
    /* This host is the only one. */
    ck_assert(cw_contention_may_use(&c, 5, &(cw_contention_use_t){.server = 7, .free_slots = 0.5}));
    cw_contention_use_t use = {.server = 7, .free_slots = 1, .hosts = 9, .delay_ms = 2};
    for (int64_t now_ms = 0; now_ms < 3000; now_ms += 50) {
        cw_contention_on_request(&c, now_ms, 0);
    }
    ck_assert(cw_contention_may_use(&c, 3000, &use));
    cw_contention_set_waiting(&c, 3000, 0, 20); /* while requests wait at all hosts, the hosts take turns */
    uint32_t allowed_servers = 0;
    for (use.server = 0; use.server < 100; use.server++) {
        allowed_servers += cw_contention_may_use(&c, 4000, &use);
    }
    ck_assert_uint_ge(allowed_servers, 5);
    ck_assert_uint_le(allowed_servers, 20); /* one of nine hosts at a time */
}
END_TEST

/* Twenty delay-tolerant requests wait: they do not keep urgent ones from the one free slot, and take turns for it. */
START_TEST(delay_tolerant_requests_do_not_compete_with_urgent_ones) {
    cw_contention_t c = {.seed = 3};
    cw_contention_set_waiting(&c, 1000, 5, 20);
    uint32_t allowed_servers[2] = {0};
    for (uint64_t server = 0; server < 100; server++) {
        cw_contention_use_t use = {.server = server, .free_slots = 1, .hosts = 80, .delay_ms = 12};
        allowed_servers[0] += cw_contention_may_use(&c, 3000, &use);
        use.urgency = 5;
        allowed_servers[1] += cw_contention_may_use(&c, 3000, &use);
    }
    ck_assert_uint_eq(allowed_servers[0], 100);
    ck_assert_uint_le(allowed_servers[1], 10);
}
END_TEST

START_TEST(all_hosts_agree_on_the_owners_which_share_servers_evenly) {
    uint64_t ids[80];
    uint32_t others[CW_OWNER_HOSTS];
    for (uint32_t i = 0; i < 80; i++) {
        ids[i] = cw_mix(i, 77);
    }
    uint32_t owned_by_first = 0;
    for (uint64_t server = 1; server <= 140; server++) {
        uint32_t owners = 0;
        for (uint32_t i = 0; i < 80; i++) {
            bool is_owner = cw_owner_includes(server, ids[i], ids, 80);
            uint32_t count = cw_owner_list_others(server, ids[i], ids, 80, others);
            owners += is_owner;
            ck_assert_uint_eq(count, is_owner ? CW_OWNER_HOSTS - 1 : 0);
            for (uint32_t k = 0; k < count; k++) {
                ck_assert_uint_ne(others[k], i);
                ck_assert(cw_owner_includes(server, ids[others[k]], ids, 80));
            }
        }
        ck_assert_uint_eq(owners, CW_OWNER_HOSTS);
        owned_by_first += cw_owner_includes(server, ids[0], ids, 80);
    }
    ck_assert_uint_ge(owned_by_first, 14); /* an even share is 28 */
    ck_assert_uint_le(owned_by_first, 56);
    /* In a small fleet, all hosts own every server. */
    ck_assert(cw_owner_includes(1, ids[0], ids, CW_OWNER_SMALL_FLEET));
    ck_assert(!cw_owner_includes(1, 12345, ids, 80)); /* not a live host */
}
END_TEST

static bool is_odd(void* user, uint64_t server) {
    (void)user;
    return server % 2;
}

/* Servers 1 and 2 are cold for a second and accept ten requests in it; this host owns the first one only. */
START_TEST(a_cold_server_gets_a_limited_rate_from_one_daemon) {
    cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.seed = 5, .owns_server = is_odd});
    cw_server_spec_t specs[2] = {{.id = 1, .slots = 200, .memory_tokens = 1000000, .cold_ms = 1000, .cold_per_s = 10},
                                 {.id = 2, .slots = 200, .memory_tokens = 1000000, .cold_ms = 1000, .cold_per_s = 10}};
    cw_balance_set_servers(b, 0, specs, 2);
    cw_work_t work = {.prompt_tokens = 100, .target_ms = 400};
    cw_run_t run;
    uint32_t sent = 0;
    for (int64_t now_ms = 0; now_ms < 1000; now_ms += 10) {
        uint64_t server = choose_and_begin(b, now_ms, &work, &run);
        ck_assert_uint_ne(server, 2);
        sent += server == 1;
    }
    ck_assert_uint_ge(sent, 8);
    ck_assert_uint_le(sent, 10);
    uint32_t second = 0;
    for (int64_t now_ms = 1000; now_ms < 1100; now_ms += 10) {
        second += choose_and_begin(b, now_ms, &work, &run) == 2;
    }
    ck_assert_uint_gt(second, 0); /* both are warm and used */
    cw_balance_shutdown(b);
}
END_TEST

/* Delay-tolerant work leaves the last slots of an engine free for urgent work, as long as there is such work. */
START_TEST(delay_tolerant_work_leaves_slots_for_urgent_work) {
    cw_balance_t* b = make_engines(1);
    cw_work_t delay_tolerant = {.prompt_tokens = 100, .target_ms = 2000};
    cw_work_t urgent_work = {.prompt_tokens = 100, .target_ms = 200};
    cw_run_t run;
    cw_run_t runs[8];
    uint32_t count = 0;
    while (choose_and_begin(b, 0, &delay_tolerant, &run)) { /* without urgent work, it uses all slots */
        runs[count++] = run;
    }
    ck_assert_uint_eq(count, 8);
    for (uint32_t i = 0; i < count; i++) {
        cw_balance_end(b, 0, &runs[i], CW_TRY_CANCELLED);
    }
    for (int i = 0; i < 50; i++) {
        ck_assert_uint_eq(choose_and_begin(b, 0, &urgent_work, &run), 1);
        cw_balance_end(b, 0, &run, CW_TRY_CANCELLED);
    }
    /* The target is at most twice the shortest one. */
    cw_work_t similarly_urgent_work = {.prompt_tokens = 100, .target_ms = 400};
    for (count = 0; choose_and_begin(b, 0, &similarly_urgent_work, &run); count++) {
        runs[count] = run;
    }
    ck_assert_uint_eq(count, 8);
    for (uint32_t i = 0; i < count; i++) {
        cw_balance_end(b, 0, &runs[i], CW_TRY_CANCELLED);
    }
    for (int i = 0; i < 50; i++) {
        ck_assert_uint_eq(choose_and_begin(b, 0, &urgent_work, &run), 1);
        cw_balance_end(b, 0, &run, CW_TRY_CANCELLED);
    }
    for (count = 0; choose_and_begin(b, 0, &delay_tolerant, &run); count++) {
    }
    ck_assert_uint_eq(count, 6);
    ck_assert_uint_eq(choose_and_begin(b, 0, &urgent_work, &run), 1);
    ck_assert_uint_eq(choose_and_begin(b, 0, &urgent_work, &run), 1);
    cw_balance_shutdown(b);
}
END_TEST

START_TEST(failures_divert_work_until_they_expire) {
    cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.seed = 5});
    cw_server_spec_t specs[2] = {{.id = 1, .slots = 8}, {.id = 2, .slots = 8}};
    cw_balance_set_servers(b, 0, specs, 2);
    cw_work_t work = {.target_ms = 300, .repeatable = true};
    cw_run_t run;
    uint64_t first = choose_and_begin(b, 0, &work, &run);
    cw_balance_end(b, 50, &run, CW_TRY_FAILED);
    ck_assert_uint_ne(choose_and_begin(b, 60, &work, &run), first);
    cw_balance_end(b, 110, &run, CW_TRY_SERVED);
    ck_assert_uint_eq(choose_and_begin(b, 60000, &work, &run), first);
    cw_balance_shutdown(b);
}
END_TEST

START_TEST(an_unreachable_server_is_probed_with_exponential_backoff) {
    cw_balance_t* b = make_engines(1);
    cw_work_t work = {0};
    cw_run_t run;
    choose_and_begin(b, 0, &work, &run);
    cw_balance_end(b, 10, &run, CW_TRY_UNREACHABLE);
    ck_assert_uint_eq(choose_and_begin(b, 20, &work, &run), 0);
    ck_assert_uint_eq(cw_balance_next_probe(b, 100), 0);
    ck_assert_uint_eq(cw_balance_next_probe(b, 300), 1);
    ck_assert_uint_eq(cw_balance_next_probe(b, 600), 0);
    ck_assert_uint_eq(cw_balance_next_probe(b, 900), 1);
    cw_balance_set_unreachable(b, 900, 1, false);
    ck_assert_uint_eq(choose_and_begin(b, 910, &work, &run), 1);
    cw_balance_shutdown(b);
}
END_TEST

START_TEST(a_run_may_end_after_its_server_was_removed) {
    cw_balance_t* b = make_engines(2);
    cw_work_t work = {.prompt_tokens = 100, .gap_ms = 100};
    cw_run_t run;
    uint64_t removed_id = choose_and_begin(b, 0, &work, &run);
    cw_server_spec_t remaining = {.id = 3 - removed_id, .slots = 8, .memory_tokens = 100000};
    cw_balance_set_servers(b, 10, &remaining, 1);
    cw_balance_on_first_byte(b, 20, &run);
    cw_balance_end(b, 30, &run, CW_TRY_SERVED);
    cw_balance_set_servers(b, 40, &remaining, 1);
    ck_assert_uint_eq(cw_balance_find(b, removed_id), CW_BALANCE_NONE);
    cw_balance_end(b, 50, &run, CW_TRY_SERVED);
    cw_balance_shutdown(b);
}
END_TEST

/* -- load reports --------------------------------------------------------- */

START_TEST(load_messages_survive_the_round_trip_or_are_refused) {
    cw_load_message_t out = {.cluster = 3,
                             .host = UINT64_MAX,
                             .source_state = {.revision = 7, .servers = UINT64_MAX, .revision_age_ms = 5},
                             .scope = CW_LOAD_RELAY_TO_ALL,
                             .count = 2,
                             .entries = {{.host = UINT64_MAX,
                                          .server = 99,
                                          .leaving = true,
                                          .load = {.running = 1,
                                                   .gap_ms = 2,
                                                   .streaming = 3,
                                                   .backlog_ms = {4, 7, 8, 9, 9, 9, 9, 12, 12, 12},
                                                   .longest_prompt_tokens = 5,
                                                   .tokens = 6,
                                                   .event_interval_us = 7,
                                                   .failed_ago_ms = 10,
                                                   .answered_ago_ms = 11,
                                                   .rate = CW_RATE_WITHDRAWN,
                                                   .rate_per_ks = 13,
                                                   .rate_ago_ms = 14},
                                          .part_count = 1,
                                          .parts = {{.id = UINT64_MAX, .tokens = 8}}},
                                         {.host = 5, .server = UINT64_MAX}}};
    uint8_t bytes[CW_LOAD_BYTES];
    cw_load_message_t in;
    size_t size = cw_load_encode(&out, bytes, sizeof(bytes));
    ck_assert_uint_gt(size, 0);
    ck_assert_int_eq(cw_load_decode(&in, bytes, size, NULL), CW_OK);
    ck_assert_uint_eq(in.host, UINT64_MAX);
    ck_assert_uint_eq(in.source_state.servers, UINT64_MAX);
    ck_assert_int_eq(memcmp(&in.entries[0].load, &out.entries[0].load, sizeof(cw_load_t)), 0);
    ck_assert_uint_eq(in.entries[0].parts[0].id, UINT64_MAX);
    ck_assert_int_eq(in.scope, CW_LOAD_RELAY_TO_ALL);
    ck_assert_uint_eq(in.entries[0].host, UINT64_MAX); /* the sender's own entry */
    ck_assert_uint_eq(in.entries[0].server, 99);
    ck_assert_uint_eq(in.entries[1].host, 5); /* another host's entry, forwarded */
    ck_assert_uint_eq(in.entries[1].server, UINT64_MAX);
    for (size_t cut = 0; cut < size; cut++) {
        ck_assert_int_eq(cw_load_decode(&in, bytes, cut, NULL), CW_ERR_PROTOCOL);
    }
    for (size_t at = 0; at < size; at++) { /* one changed byte: decoded or refused, with no more entries than fit */
        uint8_t original = bytes[at];
        for (int v = 0; v < 256; v += 5) {
            bytes[at] = (uint8_t)v;
            cw_load_decode(&in, bytes, size, NULL);
            ck_assert_uint_le(in.count, CW_LOAD_ENTRIES);
        }
        bytes[at] = original;
    }
}
END_TEST

/* Hosts with the shared forecast report pending tokens and a pace. A receiver that took them for ms and an interval
   would see other backlogs, so the unit is part of the entry. */
START_TEST(load_reports_in_tokens_survive_the_round_trip_or_are_refused) {
    cw_load_message_t out = {
        .cluster = 3,
        .host = 9,
        .count = 2,
        .entries = {{.host = 9,
                     .server = 99,
                     .load = {.running = 1,
                              .backlog_ms = {0, 17, 17, 17, 60000, 60000, 60000, 60000, 60000, UINT16_MAX},
                              .backlog_unit = CW_LOAD_UNIT_TOKENS,
                              .pace_ns = UINT32_MAX,
                              .longest_gap_ms = 390}},
                    {.host = 9, .server = 98, .load = {.event_interval_us = 7}}}};
    uint8_t bytes[CW_LOAD_BYTES];
    cw_load_message_t in;
    size_t size = cw_load_encode(&out, bytes, sizeof(bytes));
    ck_assert_int_eq(cw_load_decode(&in, bytes, size, NULL), CW_OK);
    ck_assert_int_eq(memcmp(&in.entries[0].load, &out.entries[0].load, sizeof(cw_load_t)), 0);
    ck_assert_int_eq(memcmp(&in.entries[1].load, &out.entries[1].load, sizeof(cw_load_t)), 0);
    for (size_t cut = 0; cut < size; cut++) {
        ck_assert_int_eq(cw_load_decode(&in, bytes, cut, NULL), CW_ERR_PROTOCOL);
    }
    static const uint8_t max_pace[] = {0xce, 0xff, 0xff, 0xff, 0xff}; /* msgpack: uint32, the only such value */
    uint8_t* pace = memmem(bytes, size, max_pace, sizeof(max_pace));
    ck_assert_ptr_nonnull(pace);
    *pace = 0xd2; /* int32: a negative pace */
    ck_assert_int_eq(cw_load_decode(&in, bytes, size, NULL), CW_ERR_PROTOCOL);
    *pace = 0xca; /* float32 */
    ck_assert_int_eq(cw_load_decode(&in, bytes, size, NULL), CW_ERR_PROTOCOL);
    *pace = 0xce;
    static const uint8_t gap[] = {0xcd, 0x01, 0x86}; /* uint16 390 */
    uint8_t* longest_gap = memmem(bytes, size, gap, sizeof(gap));
    ck_assert_ptr_nonnull(longest_gap);
    longest_gap[0] = 0xd1; /* int16 */
    longest_gap[1] = 0xff; /* -122 */
    ck_assert_int_eq(cw_load_decode(&in, bytes, size, NULL), CW_ERR_PROTOCOL);
}
END_TEST

/* The largest message fits into one datagram. */
START_TEST(the_largest_load_message_fits_into_a_datagram) {
    cw_load_message_t out = {.cluster = UINT64_MAX, .host = UINT64_MAX, .count = CW_LOAD_ENTRIES};
    memset(&out.source_state, 0xff, sizeof(out.source_state));
    for (uint32_t i = 0; i < CW_LOAD_ENTRIES; i++) {
        cw_load_entry_t* entry = &out.entries[i];
        *entry = (cw_load_entry_t){
            .host = UINT64_MAX - 1 - i, .server = UINT64_MAX, .leaving = true, .part_count = CW_LOAD_PARTS};
        memset(&entry->load, 0xff, sizeof(entry->load));
        entry->load.rate = CW_RATE_ADVERTISED; /* 0xff is not a value of this enum */
        memset(entry->parts, 0xff, sizeof(entry->parts));
        for (uint32_t u = 0; u < CW_URGENCY_LEVELS; u++) {
            entry->load.backlog_ms[u] = 6000 * (u + 1); /* each differs from the one before, so all are encoded */
        }
    }
    uint8_t bytes[CW_LOAD_BYTES];
    cw_load_message_t in;
    out.source_state.revision = INT64_MAX;
    size_t size = cw_load_encode(&out, bytes, sizeof(bytes));
    ck_assert_uint_gt(size, 0);
    ck_assert_int_eq(cw_load_decode(&in, bytes, size, NULL), CW_OK);
    ck_assert_uint_eq(in.count, CW_LOAD_ENTRIES);
}
END_TEST

/* A server's advertised rate that one host received reaches another host in a datagram, and throttles it if it owns no
   part of the rate. */
START_TEST(an_advertised_rate_from_another_host_is_respected) {
    static const uint64_t ids[] = {11, 12};
    cw_fleet_t fleet = {.ids = ids, .count = 2, .propagation_ms = 5};
    cw_balance_t* host[2];
    uint32_t throttled_count = 0;
    for (uint32_t i = 0; i < 2; i++) {
        host[i] = cw_balance_setup(&(cw_balance_desc_t){.seed = ids[i]});
        cw_balance_set_servers(host[i], 1000, &(cw_server_spec_t){.id = 99, .slots = 4}, 1);
        cw_balance_set_fleet(host[i], 1000, &fleet);
    }
    ck_assert(cw_balance_on_rate(host[0], 1000, 99, 990, 1.5));
    cw_load_message_t out = {.cluster = 1, .host = 11, .count = 1};
    out.entries[0] = (cw_load_entry_t){
        .host = 11, .server = 99, .load = cw_balance_own_load(host[0], 1010, cw_balance_find(host[0], 99))};
    uint8_t bytes[CW_LOAD_BYTES];
    cw_load_message_t in;
    size_t size = cw_load_encode(&out, bytes, sizeof(bytes));
    ck_assert_int_eq(cw_load_decode(&in, bytes, size, NULL), CW_OK);
    cw_balance_on_peer_load(host[1], 1015, 11, 99, &in.entries[0].load);
    ck_assert(cw_balance_rate_per_s(host[1], 1015, 99) == 1.5);
    cw_work_t work = {.target_ms = 100};
    for (uint32_t i = 0; i < 2; i++) { /* one of the two owns the rate, and has had time to fill its bucket */
        throttled_count += cw_balance_choose(host[i], 5000, &work, NULL, 0).server == CW_BALANCE_NONE;
        cw_balance_shutdown(host[i]);
    }
    ck_assert_uint_eq(throttled_count, 1);
}
END_TEST

/* When a prefill takes longer than planned, the estimate of an urgent backlog may exceed that of a less urgent one,
   which includes it: the less urgent one is then encoded as no shorter. A backlog beyond the range is encoded as the
   longest possible one. */
START_TEST(encoded_backlogs_do_not_decrease_with_urgency_level) {
    cw_load_message_t out = {.cluster = 1, .host = 2, .count = 1};
    out.entries[0] = (cw_load_entry_t){
        .host = 2, .server = 3, .load = {.backlog_ms = {0, 50, 20, 20, 70, 70, 70, 70, 70, UINT32_MAX}}};
    static const uint32_t expected[CW_URGENCY_LEVELS] = {0, 50, 50, 50, 70, 70, 70, 70, 70, UINT16_MAX};
    uint8_t bytes[CW_LOAD_BYTES];
    cw_load_message_t in;
    size_t size = cw_load_encode(&out, bytes, sizeof(bytes));
    ck_assert_int_eq(cw_load_decode(&in, bytes, size, NULL), CW_OK);
    ck_assert_int_eq(memcmp(in.entries[0].load.backlog_ms, expected, sizeof(expected)), 0);
}
END_TEST

/* -- events --------------------------------------------------------------- */

static void append_all_events(cw_sse_t* e, char* out) {
    for (cw_bytes_view_t v = cw_sse_take(e); v.size; v = cw_sse_take(e)) {
        strncat(out, v.data, v.size);
    }
}

START_TEST(events_are_returned_complete_for_any_split) {
    static const char stream[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n: note\n\nid: 3\ndata: c\n\n";
    for (size_t cut = 1; cut < sizeof(stream) - 1; cut++) {
        char out[256] = "";
        cw_sse_t e = {0};
        cw_sse_feed(&e, stream, cut);
        append_all_events(&e, out);
        ck_assert(out[0] == 0 || strcmp(out + strlen(out) - 2, "\n\n") == 0);
        cw_sse_feed(&e, stream + cut, sizeof(stream) - 1 - cut);
        append_all_events(&e, out);
        ck_assert_str_eq(out, stream);
        ck_assert_str_eq(e.last_id, "3");
        ck_assert(cw_sse_ends_after_event(&e) && cw_sse_take_rest(&e).size == 0);
        cw_sse_free(&e);
    }
}
END_TEST

/* Lines end with LF, CRLF or CR; of a CRLF cut in the middle, the LF is missing. */
START_TEST(a_stream_ends_after_an_event_only_at_its_blank_line) {
    static const char* const line_ends[] = {"\n", "\r\n", "\r"};
    for (size_t l = 0; l < 3; l++) {
        char text[100];
        size_t blank[2];
        int size = snprintf(text, sizeof(text), "id: 1%sdata: a%s%s", line_ends[l], line_ends[l], line_ends[l]);
        blank[0] = (size_t)size;
        size += snprintf(text + size, sizeof(text) - (size_t)size, "id: 2%sdata: b%s%s", line_ends[l], line_ends[l],
                         line_ends[l]);
        blank[1] = (size_t)size;
        cw_sse_t e = {0};
        for (size_t i = 1; i <= (size_t)size; i++) {
            cw_sse_track(&e, text + i - 1, 1);
            ck_assert_msg(cw_sse_ends_after_event(&e) == (i == blank[0] || i == blank[1]), "line end %zu, byte %zu", l,
                          i);
        }
        ck_assert_uint_eq(e.scan.count, 2);
        cw_sse_free(&e);
    }
}
END_TEST

START_TEST(a_stream_resumes_after_a_break_at_any_byte) {
    static const char stream[] = "id: 8\ndata: a\n\nid: 9\ndata: b\n\nid: 10\ndata: c\n\n";
    for (size_t cut = 0; cut < sizeof(stream) - 1; cut++) {
        char out[256] = "";
        cw_sse_t e = {0};
        cw_sse_feed(&e, stream, cut);
        append_all_events(&e, out);
        cw_sse_restart(&e);
        cw_sse_feed(&e, stream, sizeof(stream) - 1); /* the other server sends all events again */
        append_all_events(&e, out);
        ck_assert_str_eq(out, stream);
        cw_sse_free(&e);
    }
}
END_TEST

/* -- retry budget --------------------------------------------------------- */

START_TEST(retries_stay_within_the_budget_in_any_window) {
    enum { DAEMONS = 9, STEP_MS = 50, STEPS = 1200, SPAN = 10000 / STEP_MS };
    cw_retry_window_t w = {.ratio = 0.2, .slack = 58, .window_ms = 10000, .daemons = DAEMONS};
    int first[STEPS] = {0};
    int retries[STEPS] = {0};
    for (int i = 0; i < STEPS; i++) {
        int arrivals = i % 400 < 60 ? 6 : i % 3 == 0; /* bursts, and times with few requests */
        for (int k = 0; k < arrivals; k++) {
            cw_retry_window_on_first_attempt(&w, (int64_t)i * STEP_MS);
            first[i]++;
            retries[i] += cw_retry_window_take(&w, (int64_t)i * STEP_MS);
        }
    }
    for (int from = 0; from + SPAN < STEPS; from++) {
        int f = 0;
        int r = 0;
        for (int i = from; i < from + SPAN; i++) {
            f += first[i];
            r += retries[i];
        }
        for (int i = from > SPAN ? from - SPAN : 0, before = 0; i < from; i++) {
            before += first[i];
            f = before > f ? before : f; /* the budget counts the fuller of this window and the one before */
        }
        ck_assert_msg(r <= 0.2 * f + 58.0 / DAEMONS + 1, "at %d: %d retries for %d first attempts", from, r, f);
    }
}
END_TEST

/* -- outcomes, epochs, slot occupancy ------------------------------------- */

START_TEST(a_rejected_attempt_restores_the_outcome_before_it) {
    cw_request_t r = cw_request_new(&(cw_request_desc_t){.max_attempts = 3, .counts_sent_only = true});
    cw_request_event(&r, CW_EV_START);
    cw_request_event(&r, CW_EV_GRANT);
    cw_request_event(&r, CW_EV_SENDING);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_UNKNOWN);
    ck_assert(cw_request_event(&r, CW_EV_REJECTED) & CW_DO_REQUEST_SLOT);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_NOT_RUN);
    cw_request_event(&r, CW_EV_GRANT);
    cw_request_event(&r, CW_EV_SENDING);
    ck_assert(cw_request_event(&r, CW_EV_UPSTREAM_FAILED) & CW_DO_RESPOND);
    ck_assert_int_eq(cw_request_outcome(&r), CW_OUTCOME_UNKNOWN);
}
END_TEST

/* The first epoch that is received does not count as newer, a lower epoch is always older, and an invalid one changes
   nothing. */
START_TEST(source_epochs_only_increase) {
    static const struct {
        const char* text;
        cw_epoch_verdict_t verdict;
        int64_t number;
    } received[] = {{NULL, CW_EPOCH_SAME, 0},      {"4", CW_EPOCH_SAME, 4},
                    {"4", CW_EPOCH_SAME, 4},       {"6", CW_EPOCH_NEWER, 6},
                    {"5", CW_EPOCH_OLDER, 6},      {"", CW_EPOCH_MALFORMED, 6},
                    {"7x", CW_EPOCH_MALFORMED, 6}, {"-9", CW_EPOCH_MALFORMED, 6},
                    {"0", CW_EPOCH_MALFORMED, 6},  {"99999999999999999999", CW_EPOCH_MALFORMED, 6},
                    {NULL, CW_EPOCH_SAME, 6},      {"7", CW_EPOCH_NEWER, 7}};
    cw_epoch_t epoch = {0};
    for (size_t i = 0; i < sizeof(received) / sizeof(received[0]); i++) {
        ck_assert_int_eq(cw_epoch_observe(&epoch, received[i].text), received[i].verdict);
        ck_assert_int_eq(epoch.number, received[i].number);
    }
}
END_TEST

/* Each urgency has its own statistics, and values beyond the last urgency count as the last one. */
START_TEST(slot_hold_times_are_learned_by_urgency) {
    cw_occupancy_t h = {0};
    ck_assert_double_eq(cw_occupancy_hold_ms(&h, 0), 0);
    for (uint32_t i = 0; i < 100; i++) {
        cw_occupancy_begin(&h, 0);
        cw_occupancy_begin(&h, CW_URGENCY_LEVELS + 3);
        cw_occupancy_learn(&h, 0, i < 20 ? 4000 : 2000);
        cw_occupancy_learn(&h, CW_URGENCY_LEVELS + 3, 100);
    }
    ck_assert_double_eq_tol(cw_occupancy_hold_ms(&h, 0), 2000, 100);
    ck_assert_double_eq_tol(cw_occupancy_hold_ms(&h, CW_URGENCY_LEVELS - 1), 100, 1e-6);
    ck_assert_double_eq(cw_occupancy_hold_ms(&h, 1), 0);
    ck_assert_uint_eq(cw_occupancy_running(&h, 0, 0), 100);
    ck_assert_uint_eq(cw_occupancy_running(&h, 1, CW_URGENCY_LEVELS - 1), 100);
    cw_occupancy_end(&h, 0);
    cw_occupancy_end(&h, 5); /* no run of this urgency is active */
    ck_assert_uint_eq(cw_occupancy_running(&h, 0, CW_URGENCY_LEVELS - 1), 199);
}
END_TEST

/* A run releases its slot exactly once, also when its server was removed meanwhile, and only served runs count for the
   hold time. */
START_TEST(slot_occupancy_survives_the_removal_of_a_server) {
    cw_server_spec_t spec = {.id = 5, .slots = 8, .memory_tokens = 10000};
    cw_work_t work = {.urgency = 3, .prompt_tokens = 100, .target_ms = 400};
    cw_balance_t* b = cw_balance_setup(&(cw_balance_desc_t){.seed = 1});
    cw_balance_set_servers(b, 0, &spec, 1);
    cw_run_t served = cw_balance_begin(b, 1000, 0, &work);
    cw_run_t broken = cw_balance_begin(b, 1000, 0, &work);
    cw_run_t orphan = cw_balance_begin(b, 1000, 0, &work);
    ck_assert_uint_eq(cw_occupancy_running(cw_balance_occupancy(b), 3, 3), 3);
    cw_balance_end(b, 1300, &served, CW_TRY_SERVED);
    cw_balance_end(b, 1301, &served, CW_TRY_SERVED); /* a second end is ignored */
    cw_balance_end(b, 1010, &broken, CW_TRY_BROKEN);
    ck_assert_double_eq(cw_occupancy_hold_ms(cw_balance_occupancy(b), 3), 300);
    cw_balance_set_servers(b, 1400, NULL, 0);
    cw_balance_end(b, 1500, &orphan, CW_TRY_FAILED);
    ck_assert_uint_eq(cw_occupancy_running(cw_balance_occupancy(b), 0, CW_URGENCY_LEVELS - 1), 0);
    cw_balance_shutdown(b);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, source_epochs_only_increase);
    tcase_add_test(t, slot_hold_times_are_learned_by_urgency);
    tcase_add_test(t, slot_occupancy_survives_the_removal_of_a_server);
    tcase_add_test(t, catalog_finds_the_longest_prefix_and_the_workspace_of_a_key);
    tcase_add_test(t, catalog_chooses_pools_by_weight);
    tcase_add_test(t, catalog_refuses_an_invalid_document_with_a_reason);
    tcase_add_test(t, a_list_of_servers_survives_the_json_round_trip);
    tcase_add_test(t, long_prompts_are_spread_over_idle_servers);
    tcase_add_test(t, unreported_waits_do_not_raise_the_prefill_time);
    tcase_add_test(t, load_reports_of_other_daemons_expire);
    tcase_add_test(t, less_urgent_prompts_do_not_delay_urgent_ones);
    tcase_add_test(t, backlogs_grow_with_urgency_level_and_end_empty);
    tcase_add_test(t, plain_calls_have_no_backlog);
    tcase_add_test(t, an_idle_connection_decides_among_equal_servers);
    tcase_add_test(t, a_prompt_goes_to_the_server_that_caches_its_prefix);
    tcase_add_test(t, hosts_send_a_shared_prompt_part_to_the_same_engines);
    tcase_add_test(t, cached_parts_expire_when_the_cache_was_refilled);
    tcase_add_test(t, cached_parts_survive_counter_wraparound);
    tcase_add_test(t, long_prompts_avoid_streams_that_they_would_stall);
    tcase_add_test(t, the_event_interval_of_a_server_is_reported);
    tcase_add_test(t, long_prompts_avoid_streams_before_any_stall_was_observed);
    tcase_add_test(t, a_full_engine_gets_no_requests);
    tcase_add_test(t, few_hosts_compete_for_one_free_slot);
    tcase_add_test(t, few_hosts_or_fast_reports_need_no_contention_control);
    tcase_add_test(t, delay_tolerant_requests_do_not_compete_with_urgent_ones);
    tcase_add_test(t, all_hosts_agree_on_the_owners_which_share_servers_evenly);
    tcase_add_test(t, a_cold_server_gets_a_limited_rate_from_one_daemon);
    tcase_add_test(t, delay_tolerant_work_leaves_slots_for_urgent_work);
    tcase_add_test(t, failures_divert_work_until_they_expire);
    tcase_add_test(t, an_unreachable_server_is_probed_with_exponential_backoff);
    tcase_add_test(t, a_run_may_end_after_its_server_was_removed);
    tcase_add_test(t, load_messages_survive_the_round_trip_or_are_refused);
    tcase_add_test(t, load_reports_in_tokens_survive_the_round_trip_or_are_refused);
    tcase_add_test(t, the_largest_load_message_fits_into_a_datagram);
    tcase_add_test(t, an_advertised_rate_from_another_host_is_respected);
    tcase_add_test(t, encoded_backlogs_do_not_decrease_with_urgency_level);
    tcase_add_test(t, events_are_returned_complete_for_any_split);
    tcase_add_test(t, a_stream_ends_after_an_event_only_at_its_blank_line);
    tcase_add_test(t, a_stream_resumes_after_a_break_at_any_byte);
    tcase_add_test(t, retries_stay_within_the_budget_in_any_window);
    tcase_add_test(t, a_rejected_attempt_restores_the_outcome_before_it);
}

int main(void) {
    return run_suite("gateway-parts", add_tests, 30);
}
