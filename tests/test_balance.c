/* Choice of a server on a simulated clock: backlogs, cached parts, contention, cold and unreachable servers. */
#include <stdio.h>
#include <string.h>

#include "../chalkway_backlog.h"
#include "../chalkway_load.h"
#include "../chalkway_prefix_cache.h"
#include "test.h"

/* The same backlog for every urgency. */
#define BACKLOG(ms)                                                                                                    \
    { ms, ms, ms, ms, ms, ms, ms, ms, ms, ms }

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

static void add_tests(TCase* t) {
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
}

int main(void) {
    return run_suite("balance", add_tests, 30);
}
