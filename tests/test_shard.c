/* Slot allocator of a shard, with simulated time. */
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
    ck_assert_int_eq(cw_shard_set_upstreams(s, specs, UPSTREAMS), CW_OK);
    return s;
}

static cw_slot_request_t make_request(uint64_t entry, uint32_t seq, uint8_t tier, uint64_t workspace) {
    return (cw_slot_request_t){.entry = entry,
                               .seq = seq,
                               .tier = tier,
                               .weight = 1,
                               .workspace = workspace,
                               .cost = 10,
                               .est_ms = 10,
                               .queue_ms = 10000,
                               .remaining_ms = 20000};
}

static cw_slot_request_t make_protected_request(uint64_t entry, uint32_t seq) {
    cw_slot_request_t slot_request = make_request(entry, seq, 0, 1);
    slot_request.flags = CW_SLOT_REQUEST_PROTECTED;
    return slot_request;
}

static void request_slot(cw_shard_t* s, int64_t now, cw_slot_request_t slot_request) {
    ck_assert_int_eq(cw_shard_request_slot(s, now, &slot_request), CW_OK);
}

/* Actions of one call to drain_actions: their number by kind, and the last of each. */
typedef struct actions_t {
    int grants, refusals, preempts, resyncs;
    cw_shard_action_t grant, refusal, other;
} actions_t;

static actions_t drain_actions(cw_shard_t* s, int64_t now) {
    actions_t actions = {0};
    cw_shard_action_t a;
    while (cw_shard_next_action(s, now, &a)) {
        actions.grants += a.kind == CW_SHARD_GRANT;
        actions.refusals += a.kind == CW_SHARD_REFUSE;
        actions.preempts += a.kind == CW_SHARD_PREEMPT;
        actions.resyncs += a.kind == CW_SHARD_RESYNC;
        if (a.kind == CW_SHARD_GRANT) {
            actions.grant = a;
        } else if (a.kind == CW_SHARD_REFUSE) {
            actions.refusal = a;
        } else {
            actions.other = a;
        }
    }
    return actions;
}

static void release_grant(cw_shard_t* s, int64_t now, uint64_t grant) {
    const cw_grant_release_t release = {.grant = grant, .result = CW_PICK_SERVED, .took_ms = 10, .cost = 10};
    ck_assert_int_eq(cw_shard_release_grant(s, now, &release), CW_OK);
}

START_TEST(grants_are_limited_by_slots) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, SLOTS);
    for (uint32_t i = 1; i <= 20; i++) {
        request_slot(s, 0, make_request(ENTRY_A, i, 1, 1));
    }
    actions_t actions = drain_actions(s, 0);
    ck_assert_int_eq(actions.grants, ALL_SLOTS);
    release_grant(s, 5, actions.grant.grant);
    ck_assert_int_eq(drain_actions(s, 5).grants, 1);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(higher_tier_is_served_first) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    request_slot(s, 0, make_request(ENTRY_A, 1, 1, 1));
    request_slot(s, 0, make_request(ENTRY_A, 2, 1, 1));
    actions_t first = drain_actions(s, 0);
    request_slot(s, 1, make_request(ENTRY_A, 3, 2, 1));
    request_slot(s, 1, make_protected_request(ENTRY_B, 4));
    release_grant(s, 2, first.grant.grant);
    actions_t second = drain_actions(s, 2);
    ck_assert_int_eq(second.grants, 1);
    ck_assert_uint_eq(second.grant.seq, 4);
    cw_shard_shutdown(s);
}
END_TEST

/* A lower tier under continuous load of the highest one gets its floor and little more. */
START_TEST(lower_tier_gets_its_floor_share) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.floor = {0, 0.10, 0, 0}}, 1);
    uint32_t seq = 0;
    int low = 0;
    const int rounds = 1000;
    for (int i = 0; i < 4; i++) {
        request_slot(s, 0, make_protected_request(ENTRY_A, ++seq));
        request_slot(s, 0, make_request(ENTRY_A, 100000 + seq, 1, 1));
    }
    uint32_t low_seq = 200000;
    cw_shard_action_t a;
    for (int now = 0; now < rounds;) {
        if (!cw_shard_next_action(s, now, &a)) {
            break;
        }
        if (a.kind != CW_SHARD_GRANT) {
            continue;
        }
        now++;
        bool is_low = a.seq >= 100000;
        low += is_low;
        request_slot(s, now, is_low ? make_request(ENTRY_A, ++low_seq, 1, 1) : make_protected_request(ENTRY_A, ++seq));
        release_grant(s, now, a.grant);
    }
    ck_assert_int_ge(low, rounds / 10 - 5);
    ck_assert_int_le(low, rounds / 10 + 5);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(workspaces_share_slots_evenly) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    uint32_t seq = 0;
    int served[3] = {0};
    for (int i = 0; i < 300; i++) {
        /* Workspace 1 sends 14 times as many requests as workspace 2. */
        request_slot(s, 0, make_request(ENTRY_A, ++seq, 1, i < 280 ? 1 : 2));
    }
    for (int now = 1; now <= 40; now++) {
        actions_t actions = drain_actions(s, now);
        ck_assert_int_ge(actions.grants, 1);
        served[actions.grant.seq <= 280 ? 1 : 2]++;
        release_grant(s, now, actions.grant.grant);
    }
    ck_assert_int_ge(served[2], 18);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(protected_request_evicts_lowest_tier_when_full) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.max_waiting = 8}, 1);
    request_slot(s, 0, make_protected_request(ENTRY_A, 1));
    request_slot(s, 0, make_protected_request(ENTRY_A, 2));
    ck_assert_int_eq(drain_actions(s, 0).grants, 2);
    for (uint32_t i = 0; i < 7; i++) {
        request_slot(s, 1, make_request(ENTRY_A, 10 + i, 3, 1));
    }
    request_slot(s, 2, make_protected_request(ENTRY_B, 30));
    actions_t actions = drain_actions(s, 2);
    ck_assert_int_eq(actions.refusals, 1);
    ck_assert_int_eq(actions.refusal.refusal, CW_REFUSED_EVICTED);
    ck_assert_uint_eq(actions.refusal.seq, 16); /* the newest of the lowest tier */
    ck_assert(cw_shard_is_queued(s, ENTRY_B, 30));
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(refusal_is_immediate_and_has_a_retry_delay) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    for (uint32_t i = 1; i <= 40; i++) {
        cw_slot_request_t slot_request = make_request(ENTRY_A, i, 1, 1);
        slot_request.est_ms = 1000;
        slot_request.queue_ms = 5000;
        request_slot(s, 0, slot_request);
    }
    actions_t actions = drain_actions(s, 0);
    ck_assert_int_eq(actions.refusal.refusal, CW_REFUSED_BUSY);
    ck_assert_int_gt(actions.refusals, 20);
    ck_assert_uint_ge(actions.refusal.retry_after_ms, 4000);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(requests_that_miss_their_deadline_are_refused) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    cw_slot_request_t slot_request = make_request(ENTRY_A, 1, 1, 1);
    slot_request.est_ms = 500;
    slot_request.remaining_ms = 400;
    request_slot(s, 0, slot_request);
    actions_t actions = drain_actions(s, 0);
    ck_assert_int_eq(actions.refusal.refusal, CW_REFUSED_LATE);
    ck_assert_uint_eq(actions.refusal.retry_after_ms, 0); /* a retry would have even less time */
    cw_shard_shutdown(s);
}
END_TEST

/* A workspace at its limit of running grants is skipped, regardless of the entry and tier of its requests; other
   workspaces are served. */
START_TEST(workspace_concurrency_is_limited_across_entries) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 4);
    for (uint32_t i = 1; i <= 6; i++) {
        cw_slot_request_t slot_request = make_request(i % 2 ? ENTRY_A : ENTRY_B, i, (uint8_t)(1 + i % 3), 1);
        slot_request.max_running = 2;
        request_slot(s, 0, slot_request);
    }
    actions_t limited = drain_actions(s, 0);
    ck_assert_int_eq(limited.grants, 2);
    for (uint32_t i = 11; i <= 13; i++) {
        request_slot(s, 1, make_request(ENTRY_A, i, 3, 2));
    }
    ck_assert_int_eq(drain_actions(s, 1).grants, 3);
    release_grant(s, 2, limited.grant.grant);
    ck_assert_int_eq(drain_actions(s, 2).grants, 1);
    ck_assert_uint_eq(cw_shard_stats(s, 2).waiting, 3);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(workspace_rate_is_limited_with_a_retry_delay) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 50);
    int refused = 0;
    cw_shard_action_t last_refusal = {0};
    int64_t now = 0;
    for (uint32_t i = 1; i <= 100; i++) { /* 20 per second for 5 s; 10 per second are allowed */
        now += 50;
        cw_slot_request_t slot_request = make_request(ENTRY_A + i % 2, i, 1, 1);
        slot_request.max_rate = 10;
        request_slot(s, now, slot_request);
        actions_t actions = drain_actions(s, now);
        refused += actions.refusals;
        last_refusal = actions.refusals ? actions.refusal : last_refusal;
    }
    ck_assert_int_ge(refused, 38);
    ck_assert_int_le(refused, 42);
    ck_assert_int_eq(last_refusal.refusal, CW_REFUSED_RATE);
    ck_assert_uint_ge(last_refusal.retry_after_ms, 1);
    ck_assert_uint_le(last_refusal.retry_after_ms, 101);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(queued_request_is_refused_after_its_queue_time) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    for (uint32_t i = 1; i <= 3; i++) {
        cw_slot_request_t slot_request = make_request(ENTRY_A, i, 1, 1);
        slot_request.queue_ms = 100;
        request_slot(s, 0, slot_request);
    }
    ck_assert_int_eq(drain_actions(s, 0).grants, 2);
    ck_assert_int_eq(drain_actions(s, 99).refusals, 0);
    ck_assert_int_eq(drain_actions(s, 100).refusals, 1);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(retransmitted_request_gets_the_same_grant) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    request_slot(s, 0, make_request(ENTRY_A, 1, 1, 1));
    actions_t first = drain_actions(s, 0);
    request_slot(s, 5, make_request(ENTRY_A, 1, 1, 1));
    actions_t again = drain_actions(s, 5);
    ck_assert_int_eq(again.grants, 1);
    ck_assert_uint_eq(again.grant.grant, first.grant.grant);
    ck_assert_uint_eq(cw_shard_stats(s, 5).running, 1);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(repeated_release_is_ignored) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    for (uint32_t i = 1; i <= 4; i++) {
        request_slot(s, 0, make_request(ENTRY_A, i, 1, 1));
    }
    actions_t actions = drain_actions(s, 0);
    release_grant(s, 1, actions.grant.grant);
    const cw_grant_release_t again = {.grant = actions.grant.grant};
    ck_assert_int_eq(cw_shard_release_grant(s, 1, &again), CW_ERR_NOT_FOUND);
    ck_assert_int_eq(drain_actions(s, 1).grants, 1);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(lost_release_is_found_by_digest) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    request_slot(s, 0, make_request(ENTRY_A, 1, 1, 1));
    request_slot(s, 0, make_request(ENTRY_A, 2, 1, 1));
    actions_t actions = drain_actions(s, 0);
    cw_grant_digest_t d = {.entry = ENTRY_A, .last = actions.grant.grant, .ids_xor = actions.grant.grant, .count = 1};
    cw_shard_check_digest(s, 100, &d); /* the entry reports only one of its two grants */
    ck_assert_int_eq(drain_actions(s, 100).resyncs, 1);
    const cw_held_grant_t held = {
        .grant = actions.grant.grant, .upstream = actions.grant.upstream, .seq = actions.grant.seq};
    cw_shard_sync_grants(s, 101, &d, &held, 1);
    ck_assert_uint_eq(cw_shard_stats(s, 101).running, 1);
    cw_shard_check_digest(s, 102, &d);
    ck_assert_int_eq(drain_actions(s, 102).resyncs, 0);
    cw_shard_shutdown(s);
}
END_TEST

/* A grant that the entry has not received yet is missing from its digest: that must not count as a difference. */
START_TEST(grant_in_transit_does_not_cause_a_resync) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    request_slot(s, 0, make_request(ENTRY_A, 1, 1, 1));
    actions_t first = drain_actions(s, 0);
    request_slot(s, 1, make_request(ENTRY_A, 2, 1, 1));
    ck_assert_int_eq(drain_actions(s, 1).grants, 1);
    const cw_grant_digest_t d = {.entry = ENTRY_A, .last = first.grant.grant, .ids_xor = first.grant.grant, .count = 1};
    cw_shard_check_digest(s, 2, &d);
    ck_assert_int_eq(drain_actions(s, 2).resyncs, 0);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(silent_entry_loses_its_grants_after_the_lease) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.lease_ms = 1000, .ttl_ms = 100}, 1);
    request_slot(s, 0, make_request(ENTRY_A, 1, 1, 1));
    request_slot(s, 0, make_request(ENTRY_A, 2, 1, 1));
    ck_assert_int_eq(drain_actions(s, 0).grants, 2);
    request_slot(s, 900, make_request(ENTRY_B, 3, 1, 1));
    ck_assert_int_eq(drain_actions(s, 900).grants, 0);
    ck_assert_int_eq(drain_actions(s, 1100).grants, 1);
    ck_assert_uint_eq(cw_shard_stats(s, 1100).reclaimed, 2);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(dead_entry_loses_its_grants_after_one_ttl) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.lease_ms = 10000, .ttl_ms = 100}, 1);
    request_slot(s, 0, make_request(ENTRY_A, 1, 1, 1));
    request_slot(s, 0, make_request(ENTRY_A, 2, 1, 1));
    request_slot(s, 0, make_request(ENTRY_A, 3, 1, 1));
    ck_assert_int_eq(drain_actions(s, 0).grants, 2);
    cw_shard_entry_failed(s, 10, ENTRY_A);
    ck_assert_uint_eq(cw_shard_stats(s, 10).waiting, 0);
    ck_assert_uint_eq(cw_shard_stats(s, 10).running, 2);
    drain_actions(s, 200);
    ck_assert_uint_eq(cw_shard_stats(s, 200).running, 0);
    cw_shard_shutdown(s);
}
END_TEST

/* A new allocator adopts the grants that entries hold, and during the takeover uses only the share of the slots that
   matches the entries that have reported. */
START_TEST(new_allocator_adopts_grants_and_limits_slots) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 4);
    cw_shard_begin_takeover(s, 500, 2);
    const cw_held_grant_t held[] = {{.grant = 900, .upstream = 11, .workspace = 1, .seq = 1},
                                    {.grant = 901, .upstream = 12, .workspace = 1, .seq = 2}};
    const cw_grant_digest_t d = {.entry = ENTRY_A, .count = 2};
    cw_shard_sync_grants(s, 0, &d, held, 2);
    for (uint32_t i = 10; i < 30; i++) {
        request_slot(s, 1, make_request(ENTRY_A, i, 1, 1));
    }
    ck_assert_int_eq(drain_actions(s, 1).grants, 2); /* half of the 8 slots, of which 2 are held */
    ck_assert_uint_eq(cw_shard_stats(s, 1).adopted, 2);
    ck_assert_int_eq(drain_actions(s, 500).grants, 4);
    cw_shard_shutdown(s);
}
END_TEST

/* Guards against refusals during a takeover: the demo's first burst was refused because the wait was estimated from the
   two slots usable during the takeover instead of from the full capacity. */
START_TEST(takeover_ends_when_all_entries_report_without_refusals) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 8);
    cw_shard_begin_takeover(s, 500, 2);
    cw_shard_request_resync(s, 0, ENTRY_A);
    cw_shard_request_resync(s, 0, ENTRY_B);
    for (uint32_t i = 1; i <= 30; i++) {
        cw_slot_request_t slot_request = make_request(ENTRY_A, i, 1, 1);
        slot_request.est_ms = 50;
        slot_request.queue_ms = 100;
        request_slot(s, 0, slot_request);
    }
    actions_t actions = drain_actions(s, 0);
    ck_assert_int_eq(actions.resyncs, 2);
    ck_assert_int_eq(actions.refusals, 0);
    const cw_grant_digest_t none[] = {{.entry = ENTRY_A}, {.entry = ENTRY_B}};
    cw_shard_sync_grants(s, 1, &none[0], NULL, 0);
    cw_shard_sync_grants(s, 1, &none[1], NULL, 0);
    drain_actions(s, 2);
    ck_assert_uint_eq(cw_shard_stats(s, 2).running, 16);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(partition_uses_its_share_of_slots) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 8);
    cw_shard_set_visible_entries(s, 3, 4);
    for (uint32_t i = 1; i < 30; i++) {
        request_slot(s, 1, make_request(ENTRY_A, i, 1, 1));
    }
    ck_assert_int_eq(drain_actions(s, 1).grants, 12);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(only_preemptible_lower_tier_is_preempted) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){.preempt_ms = 50}, 1);
    cw_slot_request_t low = make_request(ENTRY_A, 1, 3, 1);
    low.flags = CW_SLOT_REQUEST_PREEMPTIBLE;
    request_slot(s, 0, low);
    request_slot(s, 0, make_request(ENTRY_A, 2, 3, 1));
    ck_assert_int_eq(drain_actions(s, 0).grants, 2);
    request_slot(s, 1, make_protected_request(ENTRY_B, 3));
    request_slot(s, 1, make_protected_request(ENTRY_B, 4));
    ck_assert_int_eq(drain_actions(s, 40).preempts, 0);
    actions_t actions = drain_actions(s, 60);
    ck_assert_int_eq(actions.preempts, 1);
    ck_assert_uint_eq(actions.other.seq, 1);
    ck_assert_int_eq(drain_actions(s, 200).preempts, 0); /* the other one is not preemptible */
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(leaving_upstream_gets_no_new_requests) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 2);
    cw_shard_report_load(s, 0, 11, 0, true);
    for (uint32_t i = 1; i <= 6; i++) {
        request_slot(s, 1, make_request(ENTRY_A, i, 1, 1));
    }
    cw_shard_action_t a;
    int grants = 0;
    while (cw_shard_next_action(s, 1, &a)) {
        ck_assert_uint_eq(a.upstream, 12);
        grants++;
    }
    ck_assert_int_eq(grants, 2);
    cw_shard_shutdown(s);
}
END_TEST

/* Upstreams 11 and 12 have version 1, 13 and 14 version 2; one slot each. */
static cw_shard_t* shard_of_two_versions(void) {
    cw_shard_t* s = shard_with((cw_shard_desc_t){0}, 1);
    cw_pick_spec_t specs[4];
    for (uint32_t i = 0; i < 4; i++) {
        specs[i] = (cw_pick_spec_t){.id = 11 + i, .hall = 1, .version = i < 2 ? 1 : 2, .slots = 1};
    }
    ck_assert_int_eq(cw_shard_set_upstreams(s, specs, 4), CW_OK);
    return s;
}

static cw_slot_request_t make_resuming_request(uint32_t seq, uint8_t tier, uint64_t version) {
    cw_slot_request_t slot_request = make_request(ENTRY_A, seq, tier, 1);
    slot_request.version = version;
    return slot_request;
}

/* A stream that is resumed gets slots of its version only, and precedes what waits. While its version has no free slot,
   it holds up neither other requests nor streams of the other version. */
START_TEST(resumed_stream_gets_a_slot_of_its_version) {
    cw_shard_t* s = shard_of_two_versions();
    uint64_t first = 0;
    for (uint32_t seq = 1; seq <= 2; seq++) {
        request_slot(s, 0, make_resuming_request(seq, 1, 1));
        actions_t actions = drain_actions(s, 0);
        ck_assert_int_eq(actions.grants, 1);
        ck_assert_uint_le(actions.grant.upstream, 12);
        first = first ? first : actions.grant.grant;
    }
    request_slot(s, 1, make_resuming_request(3, 3, 1));
    ck_assert_int_eq(drain_actions(s, 1).grants, 0);
    request_slot(s, 2, make_resuming_request(4, 3, 2));
    ck_assert_uint_gt(drain_actions(s, 2).grant.upstream, 12);
    for (uint32_t seq = 5; seq <= 6; seq++) {
        request_slot(s, 3, make_request(ENTRY_A, seq, 0, 1));
    }
    ck_assert_int_eq(drain_actions(s, 3).grants, 1); /* the last free slot */
    ck_assert_uint_eq(cw_shard_stats(s, 3).waiting, 2);
    release_grant(s, 4, first);
    actions_t actions = drain_actions(s, 4);
    ck_assert_int_eq(actions.grants, 1);
    ck_assert_uint_eq(actions.grant.seq, 3);
    cw_shard_shutdown(s);
}
END_TEST

START_TEST(resumed_stream_is_refused_without_an_upstream_of_its_version) {
    cw_shard_t* s = shard_of_two_versions();
    request_slot(s, 0, make_resuming_request(1, 1, 3));
    actions_t actions = drain_actions(s, 0);
    ck_assert_int_eq(actions.refusal.refusal, CW_REFUSED_NO_UPSTREAM);
    cw_shard_report_load(s, 1, 11, 0, true);
    cw_shard_report_load(s, 1, 12, 0, true); /* both drain */
    request_slot(s, 1, make_resuming_request(2, 1, 1));
    ck_assert_int_eq(drain_actions(s, 1).refusal.refusal, CW_REFUSED_NO_UPSTREAM);
    cw_shard_shutdown(s);
}
END_TEST

/* An upstream whose version is unknown may have it: its response shows it. */
START_TEST(resumed_stream_gets_a_slot_of_an_unknown_version) {
    cw_shard_t* s = shard_of_two_versions();
    const cw_pick_spec_t specs[] = {{.id = 11, .hall = 1, .version = 1, .slots = 1}, {.id = 12, .hall = 1, .slots = 1}};
    ck_assert_int_eq(cw_shard_set_upstreams(s, specs, 2), CW_OK);
    request_slot(s, 0, make_resuming_request(1, 1, 3));
    actions_t actions = drain_actions(s, 0);
    ck_assert_int_eq(actions.grants, 1);
    ck_assert_uint_eq(actions.grant.upstream, 12);
    cw_shard_shutdown(s);
}
END_TEST

/* It may be cancelled, its wait may end, and its workspace's limit holds. */
START_TEST(resumed_stream_that_waits_ends_like_others) {
    cw_shard_t* s = shard_of_two_versions();
    cw_slot_request_t limited = make_resuming_request(1, 1, 1);
    limited.max_running = 1;
    request_slot(s, 0, limited);
    ck_assert_int_eq(drain_actions(s, 0).grants, 1);
    for (uint32_t seq = 2; seq <= 3; seq++) {
        limited.seq = seq;
        limited.queue_ms = 50;
        request_slot(s, 1, limited);
    }
    ck_assert_int_eq(drain_actions(s, 1).grants, 0);
    cw_shard_cancel_request(s, ENTRY_A, 2);
    ck_assert(!cw_shard_is_queued(s, ENTRY_A, 2) && cw_shard_is_queued(s, ENTRY_A, 3));
    actions_t actions = drain_actions(s, 60);
    ck_assert_int_eq(actions.refusals, 1);
    ck_assert_int_eq(actions.refusal.refusal, CW_REFUSED_BUSY);
    ck_assert_uint_eq(cw_shard_stats(s, 60).waiting, 0);
    cw_shard_shutdown(s);
}
END_TEST

/* Random arrivals, releases, lost releases and silent entries. Invariants: no upstream runs more than its slots, and no
   protected request is refused while a lower tier waits. */
START_TEST(random_runs_keep_invariants) {
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
        cw_slot_request_t slot_request =
            tier ? make_request(ENTRY_A + rng_below(&rng, 3), ++seq, tier, 1 + rng_below(&rng, 5))
                 : make_protected_request(ENTRY_A + rng_below(&rng, 3), ++seq);
        slot_request.est_ms = 5 + rng_below(&rng, 50);
        slot_request.queue_ms = 20 + rng_below(&rng, 400);
        lower_waiting_before = 0;
        tiers[seq] = tier;
        for (uint32_t i = 1; !tier && i < seq; i++) {
            for (uint32_t e = 0; tiers[i] && e < 3; e++) {
                lower_waiting_before += cw_shard_is_queued(s, ENTRY_A + e, i);
            }
        }
        cw_status_t status = cw_shard_request_slot(s, now, &slot_request);
        ck_assert(status == CW_OK || status == CW_ERR_FULL);
        cw_shard_action_t a;
        while (cw_shard_next_action(s, now, &a)) {
            if (a.kind == CW_SHARD_GRANT && held_count < 64) {
                held[held_count++] = a.grant;
            }
            bool own = a.kind == CW_SHARD_REFUSE && a.seq == seq && !tier;
            ck_assert_msg(!own || !lower_waiting_before,
                          "seed %d: protected slot request refused (%s) while a lower tier waits", _i,
                          cw_refusal_name(a.refusal));
        }
        ck_assert_uint_le(cw_shard_stats(s, now).running, slots);
        if (held_count && rng_below(&rng, 3)) {
            uint32_t i = rng_below(&rng, held_count);
            const cw_grant_release_t release = {.grant = held[i], .took_ms = 5, .cost = 1 + rng_below(&rng, 30)};
            if (rng_below(&rng, 20)) { /* otherwise the release is lost */
                cw_shard_release_grant(s, now, &release);
            }
            held[i] = held[--held_count];
        }
    }
    cw_shard_shutdown(s);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, grants_are_limited_by_slots);
    tcase_add_test(t, higher_tier_is_served_first);
    tcase_add_test(t, lower_tier_gets_its_floor_share);
    tcase_add_test(t, workspaces_share_slots_evenly);
    tcase_add_test(t, protected_request_evicts_lowest_tier_when_full);
    tcase_add_test(t, refusal_is_immediate_and_has_a_retry_delay);
    tcase_add_test(t, requests_that_miss_their_deadline_are_refused);
    tcase_add_test(t, workspace_concurrency_is_limited_across_entries);
    tcase_add_test(t, workspace_rate_is_limited_with_a_retry_delay);
    tcase_add_test(t, queued_request_is_refused_after_its_queue_time);
    tcase_add_test(t, retransmitted_request_gets_the_same_grant);
    tcase_add_test(t, repeated_release_is_ignored);
    tcase_add_test(t, lost_release_is_found_by_digest);
    tcase_add_test(t, grant_in_transit_does_not_cause_a_resync);
    tcase_add_test(t, silent_entry_loses_its_grants_after_the_lease);
    tcase_add_test(t, dead_entry_loses_its_grants_after_one_ttl);
    tcase_add_test(t, new_allocator_adopts_grants_and_limits_slots);
    tcase_add_test(t, takeover_ends_when_all_entries_report_without_refusals);
    tcase_add_test(t, partition_uses_its_share_of_slots);
    tcase_add_test(t, only_preemptible_lower_tier_is_preempted);
    tcase_add_test(t, leaving_upstream_gets_no_new_requests);
    tcase_add_test(t, resumed_stream_gets_a_slot_of_its_version);
    tcase_add_test(t, resumed_stream_gets_a_slot_of_an_unknown_version);
    tcase_add_test(t, resumed_stream_is_refused_without_an_upstream_of_its_version);
    tcase_add_test(t, resumed_stream_that_waits_ends_like_others);
    tcase_add_loop_test(t, random_runs_keep_invariants, 0, 100);
}

int main(void) {
    return run_suite("shard", add_tests, 60);
}
