/* The allocator of a shard, on a clock of the test's own. */
#include "../chalkway_shard.h"
#include "test.h"

#define SLOTS 4
#define UPSTREAMS 2
#define ALL_SLOTS 8
#define ENTRY_A 101
#define ENTRY_B 102

static cw_shard_t* shard_with(cw_shard_desc_t desc, uint32_t slots) {
    desc.epoch = desc.epoch ? desc.epoch : 7;
    cw_shard_t* s = cw_shard_setup(&desc);
    cw_pick_spec_t specs[UPSTREAMS];
    for (uint32_t i = 0; i < UPSTREAMS; i++) {
        specs[i] = (cw_pick_spec_t){.id = 11 + i, .hall = 1, .slots = slots};
    }
    ck_assert_int_eq(cw_shard_upstreams(s, specs, UPSTREAMS), CW_OK);
    return s;
}

static cw_want_t want_of(uint64_t entry, uint32_t seq, uint8_t tier, uint64_t workspace) {
    return (cw_want_t){.entry = entry,
                       .seq = seq,
                       .tier = tier,
                       .weight = 1,
                       .workspace = workspace,
                       .cost = 10,
                       .est_ms = 10,
                       .queue_ms = 10000,
                       .left_ms = 20000};
}

static cw_want_t protected_want(uint64_t entry, uint32_t seq) {
    cw_want_t w = want_of(entry, seq, 0, 1);
    w.flags = CW_WANT_PROTECTED;
    return w;
}

static void must_want(cw_shard_t* s, int64_t now, cw_want_t w) {
    ck_assert_int_eq(cw_shard_want(s, now, &w), CW_OK);
}

/* Takes all actions; counts them by kind and keeps the last grant. */
typedef struct seen_t {
    int grants, refusals, preempts, resyncs;
    cw_shard_action_t grant, refusal, other;
} seen_t;

static seen_t take_all(cw_shard_t* s, int64_t now) {
    seen_t seen = {0};
    cw_shard_action_t a;
    while (cw_shard_next(s, now, &a)) {
        seen.grants += a.kind == CW_SHARD_GRANT;
        seen.refusals += a.kind == CW_SHARD_REFUSE;
        seen.preempts += a.kind == CW_SHARD_PREEMPT;
        seen.resyncs += a.kind == CW_SHARD_RESYNC;
        if (a.kind == CW_SHARD_GRANT) {
            seen.grant = a;
        } else if (a.kind == CW_SHARD_REFUSE) {
            seen.refusal = a;
        } else {
            seen.other = a;
        }
    }
    return seen;
}

static void must_done(cw_shard_t* s, int64_t now, uint64_t grant) {
    const cw_done_t done = {.grant = grant, .result = CW_PICK_SERVED, .took_ms = 10, .cost = 10};
    ck_assert_int_eq(cw_shard_done(s, now, &done), CW_OK);
}

START_TEST(grants_stop_at_the_slots) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, SLOTS);
    for (uint32_t i = 1; i <= 20; i++) {
        must_want(s, 0, want_of(ENTRY_A, i, 1, 1));
    }
    seen_t seen = take_all(s, 0);
    ck_assert_int_eq(seen.grants, ALL_SLOTS);
    must_done(s, 5, seen.grant.grant);
    ck_assert_int_eq(take_all(s, 5).grants, 1);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(higher_tier_goes_first) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    must_want(s, 0, want_of(ENTRY_A, 1, 1, 1));
    must_want(s, 0, want_of(ENTRY_A, 2, 1, 1));
    seen_t first = take_all(s, 0);
    must_want(s, 1, want_of(ENTRY_A, 3, 2, 1));
    must_want(s, 1, protected_want(ENTRY_B, 4));
    must_done(s, 2, first.grant.grant);
    seen_t second = take_all(s, 2);
    ck_assert_int_eq(second.grants, 1);
    ck_assert_uint_eq(second.grant.seq, 4);
    cw_shard_shutdown(s);
}
END_TEST

/* A lower tier under an endless flow of the highest one gets its floor and not much more. */
START_TEST(lower_tier_gets_its_floor) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.floor = {0, 0.10, 0, 0}}, 1);
    uint32_t seq = 0;
    int low = 0;
    const int rounds = 1000;
    for (int i = 0; i < 4; i++) {
        must_want(s, 0, protected_want(ENTRY_A, ++seq));
        must_want(s, 0, want_of(ENTRY_A, 100000 + seq, 1, 1));
    }
    uint32_t low_seq = 200000;
    cw_shard_action_t a;
    for (int now = 0; now < rounds;) {
        if (!cw_shard_next(s, now, &a)) {
            break;
        }
        if (a.kind != CW_SHARD_GRANT) {
            continue;
        }
        now++;
        bool is_low = a.seq >= 100000;
        low += is_low;
        must_want(s, now, is_low ? want_of(ENTRY_A, ++low_seq, 1, 1) : protected_want(ENTRY_A, ++seq));
        must_done(s, now, a.grant);
    }
    ck_assert_int_ge(low, rounds / 10 - 5);
    ck_assert_int_le(low, rounds / 10 + 5);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(workspaces_share_evenly) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    uint32_t seq = 0;
    int served[3] = {0};
    for (int i = 0; i < 300; i++) {
        must_want(s, 0, want_of(ENTRY_A, ++seq, 1, i < 280 ? 1 : 2)); /* workspace 1 asks for 14 times as much */
    }
    for (int now = 1; now <= 40; now++) {
        seen_t seen = take_all(s, now);
        ck_assert_int_ge(seen.grants, 1);
        served[seen.grant.seq <= 280 ? 1 : 2]++;
        must_done(s, now, seen.grant.grant);
    }
    ck_assert_int_ge(served[2], 18);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(protected_evicts_the_lowest_when_full) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.max_waiting = 8}, 1);
    must_want(s, 0, protected_want(ENTRY_A, 1));
    must_want(s, 0, protected_want(ENTRY_A, 2));
    ck_assert_int_eq(take_all(s, 0).grants, 2);
    for (uint32_t i = 0; i < 7; i++) {
        must_want(s, 1, want_of(ENTRY_A, 10 + i, 3, 1));
    }
    must_want(s, 2, protected_want(ENTRY_B, 30));
    seen_t seen = take_all(s, 2);
    ck_assert_int_eq(seen.refusals, 1);
    ck_assert_int_eq(seen.refusal.refusal, CW_REFUSED_EVICTED);
    ck_assert_uint_eq(seen.refusal.seq, 16); /* the newest */
    ck_assert(cw_shard_waits(s, ENTRY_B, 30));
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(refusal_comes_at_once_with_a_time_to_come_back) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    for (uint32_t i = 1; i <= 40; i++) {
        cw_want_t w = want_of(ENTRY_A, i, 1, 1);
        w.est_ms = 1000;
        w.queue_ms = 5000;
        must_want(s, 0, w);
    }
    seen_t seen = take_all(s, 0);
    ck_assert_int_eq(seen.refusal.refusal, CW_REFUSED_BUSY);
    ck_assert_int_gt(seen.refusals, 20);
    ck_assert_uint_ge(seen.refusal.retry_after_ms, 4000);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(late_wants_are_refused_before_they_run) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    cw_want_t w = want_of(ENTRY_A, 1, 1, 1);
    w.est_ms = 500;
    w.left_ms = 400;
    must_want(s, 0, w);
    seen_t seen = take_all(s, 0);
    ck_assert_int_eq(seen.refusal.refusal, CW_REFUSED_LATE);
    ck_assert_uint_eq(seen.refusal.retry_after_ms, 0); /* to come back later would be worse */
    cw_shard_shutdown(s);
}
END_TEST

/* A workspace at its limit is passed over, whatever entry and tier its wants come from; the others go on. */
START_TEST(concurrency_of_a_workspace_is_limited_over_all_entries) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 4);
    for (uint32_t i = 1; i <= 6; i++) {
        cw_want_t w = want_of(i % 2 ? ENTRY_A : ENTRY_B, i, (uint8_t)(1 + i % 3), 1);
        w.max_running = 2;
        must_want(s, 0, w);
    }
    seen_t limited = take_all(s, 0);
    ck_assert_int_eq(limited.grants, 2);
    for (uint32_t i = 11; i <= 13; i++) {
        must_want(s, 1, want_of(ENTRY_A, i, 3, 2));
    }
    ck_assert_int_eq(take_all(s, 1).grants, 3);
    must_done(s, 2, limited.grant.grant);
    ck_assert_int_eq(take_all(s, 2).grants, 1);
    ck_assert_uint_eq(cw_shard_stats(s, 2).waiting, 3);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(rate_of_a_workspace_is_limited_and_says_when) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 50);
    int refused = 0;
    cw_shard_action_t last = {0};
    int64_t now = 0;
    for (uint32_t i = 1; i <= 100; i++) { /* 20 a second for 5 s, 10 allowed */
        now += 50;
        cw_want_t w = want_of(ENTRY_A + i % 2, i, 1, 1);
        w.max_rate = 10;
        must_want(s, now, w);
        seen_t seen = take_all(s, now);
        refused += seen.refusals;
        last = seen.refusals ? seen.refusal : last;
    }
    ck_assert_int_ge(refused, 38);
    ck_assert_int_le(refused, 42);
    ck_assert_int_eq(last.refusal, CW_REFUSED_RATE);
    ck_assert_uint_ge(last.retry_after_ms, 1);
    ck_assert_uint_le(last.retry_after_ms, 101);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(waiting_ends_at_the_queue_time) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    for (uint32_t i = 1; i <= 3; i++) {
        cw_want_t w = want_of(ENTRY_A, i, 1, 1);
        w.queue_ms = 100;
        must_want(s, 0, w);
    }
    ck_assert_int_eq(take_all(s, 0).grants, 2);
    ck_assert_int_eq(take_all(s, 99).refusals, 0);
    ck_assert_int_eq(take_all(s, 100).refusals, 1);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(a_repeated_want_gets_the_same_grant) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    must_want(s, 0, want_of(ENTRY_A, 1, 1, 1));
    seen_t first = take_all(s, 0);
    must_want(s, 5, want_of(ENTRY_A, 1, 1, 1));
    seen_t again = take_all(s, 5);
    ck_assert_int_eq(again.grants, 1);
    ck_assert_uint_eq(again.grant.grant, first.grant.grant);
    ck_assert_uint_eq(cw_shard_stats(s, 5).running, 1);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(a_repeated_done_frees_nothing_twice) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    for (uint32_t i = 1; i <= 4; i++) {
        must_want(s, 0, want_of(ENTRY_A, i, 1, 1));
    }
    seen_t seen = take_all(s, 0);
    must_done(s, 1, seen.grant.grant);
    const cw_done_t again = {.grant = seen.grant.grant};
    ck_assert_int_eq(cw_shard_done(s, 1, &again), CW_ERR_NOT_FOUND);
    ck_assert_int_eq(take_all(s, 1).grants, 1);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(a_lost_done_is_found_by_the_digest) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    must_want(s, 0, want_of(ENTRY_A, 1, 1, 1));
    must_want(s, 0, want_of(ENTRY_A, 2, 1, 1));
    seen_t seen = take_all(s, 0);
    cw_digest_t d = {.entry = ENTRY_A, .last = seen.grant.grant, .xored = seen.grant.grant, .count = 1};
    cw_shard_digest(s, 100, &d); /* the entry holds one of the two */
    ck_assert_int_eq(take_all(s, 100).resyncs, 1);
    const cw_held_t held = {.grant = seen.grant.grant, .upstream = seen.grant.upstream, .seq = seen.grant.seq};
    cw_shard_list(s, 101, &d, &held, 1);
    ck_assert_uint_eq(cw_shard_stats(s, 101).running, 1);
    cw_shard_digest(s, 102, &d);
    ck_assert_int_eq(take_all(s, 102).resyncs, 0);
    cw_shard_shutdown(s);
}
END_TEST

/* A grant on its way is not in the entry's digest yet: that is no difference. */
START_TEST(a_grant_on_its_way_is_no_difference) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    must_want(s, 0, want_of(ENTRY_A, 1, 1, 1));
    seen_t first = take_all(s, 0);
    must_want(s, 1, want_of(ENTRY_A, 2, 1, 1));
    ck_assert_int_eq(take_all(s, 1).grants, 1);
    const cw_digest_t d = {.entry = ENTRY_A, .last = first.grant.grant, .xored = first.grant.grant, .count = 1};
    cw_shard_digest(s, 2, &d);
    ck_assert_int_eq(take_all(s, 2).resyncs, 0);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(a_silent_entry_loses_its_grants_after_the_lease) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.lease_ms = 1000, .ttl_ms = 100}, 1);
    must_want(s, 0, want_of(ENTRY_A, 1, 1, 1));
    must_want(s, 0, want_of(ENTRY_A, 2, 1, 1));
    ck_assert_int_eq(take_all(s, 0).grants, 2);
    must_want(s, 900, want_of(ENTRY_B, 3, 1, 1));
    ck_assert_int_eq(take_all(s, 900).grants, 0);
    ck_assert_int_eq(take_all(s, 1100).grants, 1);
    ck_assert_uint_eq(cw_shard_stats(s, 1100).reclaimed, 2);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(a_dead_entry_loses_its_grants_after_one_ttl) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.lease_ms = 10000, .ttl_ms = 100}, 1);
    must_want(s, 0, want_of(ENTRY_A, 1, 1, 1));
    must_want(s, 0, want_of(ENTRY_A, 2, 1, 1));
    must_want(s, 0, want_of(ENTRY_A, 3, 1, 1));
    ck_assert_int_eq(take_all(s, 0).grants, 2);
    cw_shard_entry_gone(s, 10, ENTRY_A);
    ck_assert_uint_eq(cw_shard_stats(s, 10).waiting, 0);
    ck_assert_uint_eq(cw_shard_stats(s, 10).running, 2);
    take_all(s, 200);
    ck_assert_uint_eq(cw_shard_stats(s, 200).running, 0);
    cw_shard_shutdown(s);
}
END_TEST

/* A new allocator takes over what entries hold and uses the rest only as entries report. */
START_TEST(a_new_allocator_adopts_and_is_cautious) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 4);
    cw_shard_cautious(s, 500, 2);
    const cw_held_t held[] = {{.grant = 900, .upstream = 11, .workspace = 1, .seq = 1},
                              {.grant = 901, .upstream = 12, .workspace = 1, .seq = 2}};
    const cw_digest_t d = {.entry = ENTRY_A, .count = 2};
    cw_shard_list(s, 0, &d, held, 2);
    for (uint32_t i = 10; i < 30; i++) {
        must_want(s, 1, want_of(ENTRY_A, i, 1, 1));
    }
    ck_assert_int_eq(take_all(s, 1).grants, 2); /* half of the 8 slots, 2 of them held */
    ck_assert_uint_eq(cw_shard_stats(s, 1).adopted, 2);
    ck_assert_int_eq(take_all(s, 500).grants, 4);
    cw_shard_shutdown(s);
}
END_TEST

/* The demo's first burst met a cautious allocator: it was refused as if two slots were all there is. */
START_TEST(caution_ends_when_all_have_told_and_refuses_nobody) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 8);
    cw_shard_cautious(s, 500, 2);
    cw_shard_ask(s, 0, ENTRY_A);
    cw_shard_ask(s, 0, ENTRY_B);
    for (uint32_t i = 1; i <= 30; i++) {
        cw_want_t w = want_of(ENTRY_A, i, 1, 1);
        w.est_ms = 50;
        w.queue_ms = 100;
        must_want(s, 0, w);
    }
    seen_t seen = take_all(s, 0);
    ck_assert_int_eq(seen.resyncs, 2);
    ck_assert_int_eq(seen.refusals, 0);
    const cw_digest_t none[] = {{.entry = ENTRY_A}, {.entry = ENTRY_B}};
    cw_shard_list(s, 1, &none[0], NULL, 0);
    cw_shard_list(s, 1, &none[1], NULL, 0);
    take_all(s, 2);
    ck_assert_uint_eq(cw_shard_stats(s, 2).running, 16);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(a_partition_uses_its_share) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 8);
    cw_shard_visible(s, 3, 4);
    for (uint32_t i = 1; i < 30; i++) {
        must_want(s, 1, want_of(ENTRY_A, i, 1, 1));
    }
    ck_assert_int_eq(take_all(s, 1).grants, 12);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(only_preemptible_lower_work_is_preempted) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.preempt_ms = 50}, 1);
    cw_want_t low = want_of(ENTRY_A, 1, 3, 1);
    low.flags = CW_WANT_PREEMPTIBLE;
    must_want(s, 0, low);
    must_want(s, 0, want_of(ENTRY_A, 2, 3, 1));
    ck_assert_int_eq(take_all(s, 0).grants, 2);
    must_want(s, 1, protected_want(ENTRY_B, 3));
    must_want(s, 1, protected_want(ENTRY_B, 4));
    ck_assert_int_eq(take_all(s, 40).preempts, 0);
    seen_t seen = take_all(s, 60);
    ck_assert_int_eq(seen.preempts, 1);
    ck_assert_uint_eq(seen.other.seq, 1);
    ck_assert_int_eq(take_all(s, 200).preempts, 0); /* the other one may not be */
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(a_leaving_upstream_gets_nothing_new) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 2);
    cw_shard_report(s, 0, 11, 0, true);
    for (uint32_t i = 1; i <= 6; i++) {
        must_want(s, 1, want_of(ENTRY_A, i, 1, 1));
    }
    cw_shard_action_t a;
    int grants = 0;
    while (cw_shard_next(s, 1, &a)) {
        ck_assert_uint_eq(a.upstream, 12);
        grants++;
    }
    ck_assert_int_eq(grants, 2);
    cw_shard_shutdown(s);
}
END_TEST

/* Random arrivals, ends, losses and silences. Always: no upstream above its slots; a protected want is never refused
   while lower work waits. */
START_TEST(random_runs_keep_the_promises) {
    rng_t rng = {.state = (uint64_t)_i + 1};
    cw_shard_t* s = shard_with((cw_shard_desc_t){.max_waiting = 32, .max_grants = 64, .lease_ms = 800, .ttl_ms = 50},
                               1 + rng_below(&rng, 4));
    uint32_t slots = cw_shard_stats(s, 0).limit;
    uint64_t held[64];
    uint32_t held_count = 0;
    uint32_t seq = 0;
    int lower_waiting_before = 0;
    static uint8_t tiers[4000]; /* by seq */
    for (int64_t now = 1; now < 3000; now += 1 + rng_below(&rng, 4)) {
        uint8_t tier = (uint8_t)rng_below(&rng, CW_TIERS);
        cw_want_t w = tier ? want_of(ENTRY_A + rng_below(&rng, 3), ++seq, tier, 1 + rng_below(&rng, 5))
                           : protected_want(ENTRY_A + rng_below(&rng, 3), ++seq);
        w.est_ms = 5 + rng_below(&rng, 50);
        w.queue_ms = 20 + rng_below(&rng, 400);
        lower_waiting_before = 0;
        tiers[seq] = tier;
        for (uint32_t i = 1; !tier && i < seq; i++) {
            for (uint32_t e = 0; tiers[i] && e < 3; e++) {
                lower_waiting_before += cw_shard_waits(s, ENTRY_A + e, i);
            }
        }
        cw_status_t status = cw_shard_want(s, now, &w);
        ck_assert(status == CW_OK || status == CW_ERR_FULL);
        cw_shard_action_t a;
        while (cw_shard_next(s, now, &a)) {
            if (a.kind == CW_SHARD_GRANT && held_count < 64) {
                held[held_count++] = a.grant;
            }
            bool own = a.kind == CW_SHARD_REFUSE && a.seq == seq && !tier;
            ck_assert_msg(!own || !lower_waiting_before, "seed %d: protected want refused (%s) while lower work waits",
                          _i, cw_refusal_name(a.refusal));
        }
        ck_assert_uint_le(cw_shard_stats(s, now).running, slots);
        if (held_count && rng_below(&rng, 3)) {
            uint32_t i = rng_below(&rng, held_count);
            const cw_done_t done = {.grant = held[i], .took_ms = 5, .cost = 1 + rng_below(&rng, 30)};
            if (rng_below(&rng, 20)) { /* else the report is lost */
                cw_shard_done(s, now, &done);
            }
            held[i] = held[--held_count];
        }
    }
    cw_shard_shutdown(s);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, grants_stop_at_the_slots);
    tcase_add_test(t, higher_tier_goes_first);
    tcase_add_test(t, lower_tier_gets_its_floor);
    tcase_add_test(t, workspaces_share_evenly);
    tcase_add_test(t, protected_evicts_the_lowest_when_full);
    tcase_add_test(t, refusal_comes_at_once_with_a_time_to_come_back);
    tcase_add_test(t, late_wants_are_refused_before_they_run);
    tcase_add_test(t, concurrency_of_a_workspace_is_limited_over_all_entries);
    tcase_add_test(t, rate_of_a_workspace_is_limited_and_says_when);
    tcase_add_test(t, waiting_ends_at_the_queue_time);
    tcase_add_test(t, a_repeated_want_gets_the_same_grant);
    tcase_add_test(t, a_repeated_done_frees_nothing_twice);
    tcase_add_test(t, a_lost_done_is_found_by_the_digest);
    tcase_add_test(t, a_grant_on_its_way_is_no_difference);
    tcase_add_test(t, a_silent_entry_loses_its_grants_after_the_lease);
    tcase_add_test(t, a_dead_entry_loses_its_grants_after_one_ttl);
    tcase_add_test(t, a_new_allocator_adopts_and_is_cautious);
    tcase_add_test(t, caution_ends_when_all_have_told_and_refuses_nobody);
    tcase_add_test(t, a_partition_uses_its_share);
    tcase_add_test(t, only_preemptible_lower_work_is_preempted);
    tcase_add_test(t, a_leaving_upstream_gets_nothing_new);
    tcase_add_loop_test(t, random_runs_keep_the_promises, 0, 100);
}

int main(void) {
    return run_suite("shard", add_tests, 60);
}
