/* Load reports between hosts: encoding, limits, and what a host learns from them. */
#include <stdio.h>
#include <string.h>

#include "../chalkway_load.h"
#include "test.h"

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

static void add_tests(TCase* t) {
    tcase_add_test(t, load_messages_survive_the_round_trip_or_are_refused);
    tcase_add_test(t, load_reports_in_tokens_survive_the_round_trip_or_are_refused);
    tcase_add_test(t, the_largest_load_message_fits_into_a_datagram);
    tcase_add_test(t, an_advertised_rate_from_another_host_is_respected);
    tcase_add_test(t, encoded_backlogs_do_not_decrease_with_urgency_level);
}

int main(void) {
    return run_suite("load", add_tests, 30);
}
