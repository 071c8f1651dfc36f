/* Messages between daemons: what is encoded decodes to the same message, and invalid input is refused. */
#include <string.h>

#include "../chalkway_tunnel_frame.h"
#include "../chalkway_wire.h"
#include "test.h"

static cw_msg_t msg, decoded;

static void check_round_trip(cw_wire_t* wire) {
    cw_bytes_t frame = cw_wire_encode_frame(wire, &msg);
    ck_assert_uint_eq(cw_wire_body_size(frame.data), frame.size - CW_FRAME_HEADER);
    cw_error_t err = {0};
    cw_status_t status =
        cw_wire_decode(wire, frame.data + CW_FRAME_HEADER, frame.size - CW_FRAME_HEADER, &decoded, &err);
    ck_assert_msg(status == CW_OK, "%s", cw_error_text(&err).text);
    ck_assert_int_eq(decoded.type, msg.type);
}

START_TEST(slot_requests_and_actions_survive_the_round_trip) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    msg = (cw_msg_t){.type = CW_MSG_SLOT_REQUEST, .shard = 9};
    msg.slot_request =
        (cw_slot_request_t){.seq = 3, .tier = 2, .flags = 1, .workspace = UINT64_MAX, .cost = 77, .remaining_ms = 5};
    /* Guards against fields left over from an earlier message: one was applied as a limit of the workspace. */
    memset(&decoded, 0xff, sizeof(decoded));
    check_round_trip(wire);
    ck_assert_mem_eq(&decoded.slot_request, &msg.slot_request, sizeof(msg.slot_request));
    msg = (cw_msg_t){.type = CW_MSG_ACTION, .shard = 9, .wait_ms = 12};
    msg.action = (cw_shard_action_t){.kind = CW_SHARD_GRANT, .seq = 3, .grant = 1ULL << 40, .upstream = 5};
    check_round_trip(wire);
    ck_assert_uint_eq(decoded.action.grant, msg.action.grant);
    ck_assert_uint_eq(decoded.wait_ms, 12);
    cw_wire_shutdown(wire);
}
END_TEST

START_TEST(grant_lists_and_document_chunks_survive_the_round_trip) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    cw_held_grant_t held[3] = {{.grant = 1, .workspace = 1, .seq = 1},
                               {.grant = 2, .workspace = 1, .tier = 3},
                               {.grant = 3, .workspace = 1, .cost = 9}};
    msg = (cw_msg_t){.type = CW_MSG_GRANT_LIST, .shard = 4};
    msg.digest = (cw_grant_digest_t){.last = 3, .ids_xor = 0, .count = 3};
    msg.held = held;
    msg.held_count = 3;
    check_round_trip(wire);
    ck_assert_uint_eq(decoded.held_count, 3);
    ck_assert_uint_eq(decoded.held[2].cost, 9);
    msg = (cw_msg_t){.type = CW_MSG_DOCUMENT_CHUNK};
    msg.chunk.revision = 8;
    msg.chunk.last = true;
    msg.chunk.count = 2;
    msg.chunk.items[0] = (cw_document_t){.key = "pools/a", .value = "{}", .revision = 7};
    msg.chunk.items[1] = (cw_document_t){.key = "pools/b", .value = NULL, .revision = 8};
    check_round_trip(wire);
    ck_assert_str_eq(decoded.chunk.items[0].value, "{}");
    ck_assert_ptr_null(decoded.chunk.items[1].value);
    cw_wire_shutdown(wire);
}
END_TEST

/* Messages of older versions lack fields at the end, those of newer versions have additional ones. */
START_TEST(messages_of_other_versions_are_decoded) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    const uint8_t older[] = {0x93, CW_MSG_CANCEL, 9, 5};
    const uint8_t shorter[] = {0x92, CW_MSG_CANCEL, 9};
    const uint8_t newer[] = {0x95, CW_MSG_CANCEL, 9, 5, 1, 0xa1, 'x'};
    ck_assert_int_eq(cw_wire_decode(wire, older, sizeof(older), &decoded, NULL), CW_OK);
    ck_assert_uint_eq(decoded.cancel_seq, 5);
    ck_assert_int_eq(cw_wire_decode(wire, shorter, sizeof(shorter), &decoded, NULL), CW_OK);
    ck_assert_uint_eq(decoded.cancel_seq, 0);
    ck_assert_int_eq(cw_wire_decode(wire, newer, sizeof(newer), &decoded, NULL), CW_OK);
    ck_assert_uint_eq(decoded.cancel_seq, 5);
    cw_wire_shutdown(wire);
}
END_TEST

START_TEST(gossip_of_other_clusters_is_refused) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    static cw_gossip_t g, in;
    g = (cw_gossip_t){.kind = CW_GOSSIP_PING, .seq = 1};
    cw_copy(g.from.name, sizeof(g.from.name), "a");
    cw_bytes_t bytes = cw_wire_encode_datagram(wire, "one", &g);
    uint8_t copy[2048];
    memcpy(copy, bytes.data, bytes.size);
    size_t size = bytes.size;
    ck_assert_int_eq(cw_wire_decode_datagram(wire, "one", copy, size, &in, NULL), CW_OK);
    ck_assert_uint_eq(in.from.id, cw_name_id("a"));
    ck_assert_int_eq(cw_wire_decode_datagram(wire, "two", copy, size, &in, NULL), CW_ERR_PROTOCOL);
    cw_wire_shutdown(wire);
}
END_TEST

/* The first frame of a connection comes in any pieces, and nothing may follow it yet. */
START_TEST(a_single_frame_is_decoded_once_it_is_complete) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    static cw_msg_t msg;
    uint8_t bytes[64] = {0};
    const cw_msg_t out = {.type = CW_MSG_TUNNEL_REPLY, .tunnel_reply = {.result = CW_TUNNEL_REFUSED}};
    cw_bytes_t frame = cw_wire_encode_frame(wire, &out);
    size_t size = frame.size;
    memcpy(bytes, frame.data, size);
    for (size_t received = 0; received < size; received++) {
        ck_assert_int_eq(cw_wire_decode_single_frame(wire, bytes, received, sizeof(bytes), &msg), CW_ERR_FULL);
    }
    ck_assert_int_eq(cw_wire_decode_single_frame(wire, bytes, size, sizeof(bytes), &msg), CW_OK);
    ck_assert_int_eq(msg.tunnel_reply.result, CW_TUNNEL_REFUSED);
    ck_assert_int_eq(cw_wire_decode_single_frame(wire, bytes, size + 1, sizeof(bytes), &msg), CW_ERR_PROTOCOL);
    size_t body_size = size - CW_FRAME_HEADER;
    ck_assert_int_eq(cw_wire_decode_single_frame(wire, bytes, size, body_size, &msg), CW_OK);
    ck_assert_int_eq(cw_wire_decode_single_frame(wire, bytes, size, body_size - 1, &msg), CW_ERR_PROTOCOL);
    static const uint8_t empty[CW_FRAME_HEADER] = {0};
    ck_assert_int_eq(cw_wire_decode_single_frame(wire, empty, sizeof(empty), sizeof(bytes), &msg), CW_ERR_PROTOCOL);
    cw_wire_shutdown(wire);
}
END_TEST

START_TEST(an_observation_survives_the_round_trip_and_an_invalid_one_is_refused) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    static cw_msg_t in;
    uint8_t bytes[128];
    cw_msg_t out = {.type = CW_MSG_OBSERVATION,
                    .observation = {.kind = CW_OBSERVED_CRASH,
                                    .suspect = cw_fingerprint_of_part(7),
                                    .incarnation = UINT64_MAX,
                                    .pool = 9,
                                    .version = 5,
                                    .phase = CW_RUN_BEGINNING,
                                    .is_known = true,
                                    .age_ms = 1234}};
    cw_bytes_t frame = cw_wire_encode_frame(wire, &out);
    size_t size = frame.size;
    memcpy(bytes, frame.data, size);
    ck_assert_int_eq(cw_wire_decode_single_frame(wire, bytes, size, sizeof(bytes), &in), CW_OK);
    ck_assert_int_eq(in.observation.kind, out.observation.kind);
    ck_assert(cw_fingerprint_equal(&in.observation.suspect, &out.observation.suspect));
    ck_assert_uint_eq(in.observation.incarnation, out.observation.incarnation);
    ck_assert_uint_eq(in.observation.pool, out.observation.pool);
    ck_assert_uint_eq(in.observation.version, out.observation.version);
    ck_assert_int_eq(in.observation.phase, out.observation.phase);
    ck_assert(in.observation.is_known);
    ck_assert_uint_eq(in.observation.age_ms, out.observation.age_ms);
    static const uint8_t pool_to_known[] = {9, 5, CW_RUN_BEGINNING, 1};
    uint8_t* at = memmem(bytes, size, pool_to_known, sizeof(pool_to_known));
    ck_assert_ptr_nonnull(at);
    at[2] = CW_RUN_PHASE_COUNT;
    ck_assert_int_eq(cw_wire_decode_single_frame(wire, bytes, size, sizeof(bytes), &in), CW_ERR_PROTOCOL);
    cw_wire_shutdown(wire);
}
END_TEST

/* The bytes of a server and the end of its connection, in any pieces. */
START_TEST(frames_of_a_tunnel_are_read_for_any_split) {
    uint8_t stream[64];
    size_t size = 0;
    static const char* const pieces[] = {"abc", "d", "efghij"};
    for (size_t i = 0; i < 3; i++) {
        size_t length = strlen(pieces[i]);
        cw_tunnel_frame_begin(stream + size, (uint32_t)length);
        memcpy(stream + size + CW_TUNNEL_FRAME_HEADER, pieces[i], length);
        size += CW_TUNNEL_FRAME_HEADER + length;
    }
    cw_tunnel_frame_end(stream + size, CW_TUNNEL_END_RESET);
    size += CW_TUNNEL_FRAME_HEADER;
    for (size_t step = 1; step <= size; step++) {
        char out[32] = "";
        cw_tunnel_frames_t f = {0};
        for (size_t at = 0; at < size;) {
            cw_bytes_view_t bytes;
            size_t available = size - at < step ? size - at : step;
            ck_assert_int_eq(f.end, CW_TUNNEL_END_NONE);
            at += cw_tunnel_frames_read(&f, (const char*)stream + at, available, &bytes);
            strncat(out, bytes.data, bytes.size);
        }
        ck_assert_str_eq(out, "abcdefghij");
        ck_assert_int_eq(f.end, CW_TUNNEL_END_RESET);
    }
}
END_TEST

START_TEST(messages_about_tunnels_survive_the_round_trip) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    static cw_msg_t out, in;
    out = (cw_msg_t){.type = CW_MSG_TUNNEL_OPEN,
                     .tunnel_open = {.host = 7, .server = 1ULL << 63U, .cluster = "c", .accepts_frames = true}};
    cw_bytes_t frame = cw_wire_encode_frame(wire, &out);
    ck_assert_int_eq(cw_wire_decode(wire, frame.data + CW_FRAME_HEADER, frame.size - CW_FRAME_HEADER, &in, NULL),
                     CW_OK);
    ck_assert_int_eq(in.type, CW_MSG_TUNNEL_OPEN);
    ck_assert_uint_eq(in.tunnel_open.host, 7);
    ck_assert_uint_eq(in.tunnel_open.server, 1ULL << 63U);
    ck_assert_str_eq(in.tunnel_open.cluster, "c");
    ck_assert(in.tunnel_open.accepts_frames);
    for (int result = 0; result < CW_TUNNEL_RESULT_COUNT; result++) {
        out = (cw_msg_t){.type = CW_MSG_TUNNEL_REPLY,
                         .tunnel_reply = {.result = (cw_tunnel_result_t)result, .is_framed = result == 0}};
        frame = cw_wire_encode_frame(wire, &out);
        cw_status_t status =
            cw_wire_decode(wire, frame.data + CW_FRAME_HEADER, frame.size - CW_FRAME_HEADER, &in, NULL);
        ck_assert_int_eq(status, CW_OK);
        ck_assert_int_eq((int)in.tunnel_reply.result, result);
        ck_assert_int_eq(in.tunnel_reply.is_framed, result == 0);
    }
    cw_wire_shutdown(wire);
}
END_TEST

/* The pools follow all other fields, so that a host of an earlier version can still read them. */
START_TEST(pools_from_which_a_host_is_cut_off_survive_the_round_trip) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    static cw_gossip_t g, in;
    g = (cw_gossip_t){.kind = CW_GOSSIP_PING, .seq = 1, .update_count = 1};
    cw_copy(g.from.name, sizeof(g.from.name), "a");
    cw_copy(g.updates[0].name, sizeof(g.updates[0].name), "b");
    g.from.unreachable_pools = 5;
    g.updates[0].unreachable_pools = 1;
    cw_bytes_t bytes = cw_wire_encode_datagram(wire, "one", &g);
    ck_assert_int_eq(cw_wire_decode_datagram(wire, "one", bytes.data, bytes.size, &in, NULL), CW_OK);
    ck_assert_uint_eq(in.from.unreachable_pools, 5);
    ck_assert_uint_eq(in.updates[0].unreachable_pools, 1);
    cw_wire_shutdown(wire);
}
END_TEST

/* A summary of the sender's membership view decodes to the same; one whose size is not a power of two is refused. */
START_TEST(summaries_survive_the_round_trip) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    static cw_gossip_t g, in;
    static const uint32_t sizes[] = {0, 1, 256, CW_SUMMARY_MAX_BUCKETS, 4};
    cw_bytes_t bytes;
    for (size_t k = 0; k < sizeof(sizes) / sizeof(sizes[0]); k++) {
        g = (cw_gossip_t){.kind = CW_GOSSIP_PING, .seq = 1, .summary = {.buckets = sizes[k]}};
        cw_copy(g.from.name, sizeof(g.from.name), "a");
        for (uint32_t i = 0; i < sizes[k]; i++) {
            g.summary.sums[i] = (uint16_t)cw_mix(k, i);
        }
        bytes = cw_wire_encode_datagram(wire, "one", &g);
        ck_assert_int_eq(cw_wire_decode_datagram(wire, "one", bytes.data, bytes.size, &in, NULL), CW_OK);
        ck_assert_mem_eq(&in.summary, &g.summary, sizeof(in.summary));
    }
    uint8_t three[2048];
    size_t size = bytes.size - 2; /* without the last sum; one byte, the set of pools, follows the sums */
    memcpy(three, bytes.data, size - 1);
    three[size - 1] = bytes.data[bytes.size - 1];
    ck_assert_uint_eq(three[size - 8], 0xa8); /* fixstr of 8 bytes */
    three[size - 8] = 0xa6;
    ck_assert_int_eq(cw_wire_decode_datagram(wire, "one", three, size, &in, NULL), CW_ERR_PROTOCOL);
    cw_wire_shutdown(wire);
}
END_TEST

/* Five bytes can announce 2^32 - 1 fields: without the check, the library would allocate them all. */
START_TEST(announced_sizes_are_checked_before_allocation) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    static const uint8_t bad[][8] = {{0xdd, 0xff, 0xff, 0xff, 0xff},
                                     {0x92, CW_MSG_CANCEL, 0xdd, 0xff, 0xff, 0xff, 0xff},
                                     {0x92, CW_MSG_CANCEL, 0xdf, 0xff, 0xff, 0xff, 0xff},
                                     {0x92, CW_MSG_CANCEL, 0xdb, 0xff, 0xff, 0xff, 0xff},
                                     {0x92, CW_MSG_CANCEL, 0xcf, 1, 1}};
    for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
        ck_assert_int_eq(cw_wire_decode(wire, bad[i],
                                        8 - (i == 0   ? 3
                                             : i == 4 ? 3
                                                      : 1),
                                        &decoded, NULL),
                         CW_ERR_PROTOCOL);
    }
    cw_wire_shutdown(wire);
}
END_TEST

/* An id of zero means none and would violate the preconditions of the modules: the decoder refuses it. */
START_TEST(zero_ids_are_refused) {
    cw_wire_t* wire = cw_wire_setup(NULL);
    cw_held_grant_t held = {.grant = 0, .workspace = 1};
    msg = (cw_msg_t){.type = CW_MSG_GRANT_LIST, .shard = 4};
    msg.held = &held;
    msg.held_count = 1;
    cw_bytes_t f = cw_wire_encode_frame(wire, &msg);
    ck_assert_int_eq(cw_wire_decode(wire, f.data + CW_FRAME_HEADER, f.size - CW_FRAME_HEADER, &decoded, NULL),
                     CW_ERR_PROTOCOL);
    msg = (cw_msg_t){.type = CW_MSG_SLOT_REQUEST, .shard = 4};
    msg.slot_request.seq = 1;
    f = cw_wire_encode_frame(wire, &msg);
    ck_assert_int_eq(cw_wire_decode(wire, f.data + CW_FRAME_HEADER, f.size - CW_FRAME_HEADER, &decoded, NULL),
                     CW_ERR_PROTOCOL);
    msg = (cw_msg_t){.type = CW_MSG_HELLO};
    f = cw_wire_encode_frame(wire, &msg);
    ck_assert_int_eq(cw_wire_decode(wire, f.data + CW_FRAME_HEADER, f.size - CW_FRAME_HEADER, &decoded, NULL),
                     CW_ERR_PROTOCOL);
    cw_wire_shutdown(wire);
}
END_TEST

/* Corrupted messages are decoded or refused, but never break the decoder. */
START_TEST(corrupted_messages_are_decoded_or_refused) {
    rng_t rng = {.state = (uint64_t)_i};
    cw_wire_t* wire = cw_wire_setup(NULL);
    static cw_gossip_t in;
    msg = (cw_msg_t){.type = CW_MSG_SLOT_REQUEST, .shard = 9};
    msg.slot_request.seq = 1;
    msg.slot_request.workspace = 1;
    cw_bytes_t frame = cw_wire_encode_frame(wire, &msg);
    uint8_t good[256];
    size_t size = frame.size - CW_FRAME_HEADER;
    memcpy(good, frame.data + CW_FRAME_HEADER, size);
    for (int k = 0; k < 2000; k++) {
        uint8_t bytes[256];
        memcpy(bytes, good, size);
        for (uint32_t n = 1 + rng_below(&rng, 6); n; n--) {
            bytes[rng_below(&rng, (uint32_t)size)] = (uint8_t)rng_below(&rng, 256);
        }
        cw_status_t status = cw_wire_decode(wire, bytes, 1 + rng_below(&rng, (uint32_t)size), &decoded, NULL);
        ck_assert(status == CW_OK || status == CW_ERR_PROTOCOL);
        ck_assert(status != CW_OK || decoded.type != CW_MSG_SLOT_REQUEST ||
                  (decoded.slot_request.tier < CW_TIERS && decoded.slot_request.seq));
        cw_wire_decode_datagram(wire, "x", bytes, size, &in, NULL);
    }
    cw_wire_shutdown(wire);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, slot_requests_and_actions_survive_the_round_trip);
    tcase_add_test(t, grant_lists_and_document_chunks_survive_the_round_trip);
    tcase_add_test(t, messages_of_other_versions_are_decoded);
    tcase_add_test(t, gossip_of_other_clusters_is_refused);
    tcase_add_test(t, summaries_survive_the_round_trip);
    tcase_add_test(t, a_single_frame_is_decoded_once_it_is_complete);
    tcase_add_test(t, frames_of_a_tunnel_are_read_for_any_split);
    tcase_add_test(t, messages_about_tunnels_survive_the_round_trip);
    tcase_add_test(t, pools_from_which_a_host_is_cut_off_survive_the_round_trip);
    tcase_add_test(t, announced_sizes_are_checked_before_allocation);
    tcase_add_test(t, an_observation_survives_the_round_trip_and_an_invalid_one_is_refused);
    tcase_add_test(t, zero_ids_are_refused);
    tcase_add_loop_test(t, corrupted_messages_are_decoded_or_refused, 0, 10);
}

int main(void) {
    return run_suite("wire", add_tests, 30);
}
