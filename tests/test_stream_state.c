/* What a host knows of streams and of the software versions of a pool, and the datagrams that carry it. */
#include <string.h>

#include "../chalkway_pool_versions.h"
#include "../chalkway_stream_message.h"
#include "../chalkway_stream_registry.h"
#include "rig.h"

#define MEMORY_MS 30000

static void list(cw_pool_versions_t* v, int64_t now_ms, uint32_t of_one, uint32_t of_two) {
    uint64_t versions[16];
    for (uint32_t i = 0; i < of_one + of_two; i++) {
        versions[i] = i < of_one ? 1 : 2;
    }
    cw_pool_versions_update(v, now_ms, versions, of_one + of_two);
}

START_TEST(a_version_is_remembered_after_its_last_server_left) {
    cw_pool_versions_t v = {0};
    ck_assert_uint_eq(cw_pool_versions_only(&v, 1000, MEMORY_MS), 0);
    list(&v, 1000, 4, 0);
    ck_assert_uint_eq(cw_pool_versions_only(&v, 1000, MEMORY_MS), 1);
    list(&v, 5000, 3, 1);
    ck_assert_uint_eq(cw_pool_versions_only(&v, 5000, MEMORY_MS), 0);
    list(&v, 9000, 0, 4);
    list(&v, 12000, 0, 4);
    ck_assert_uint_eq(cw_pool_versions_only(&v, 9000 + MEMORY_MS - 1, MEMORY_MS), 0);
    ck_assert_uint_eq(cw_pool_versions_recent(&v, 9000 + MEMORY_MS - 1, MEMORY_MS), 2);
    ck_assert_uint_eq(cw_pool_versions_only(&v, 9000 + MEMORY_MS, MEMORY_MS), 2);
}
END_TEST

/* Streams begin at a new version only when every host with a fresh list knows it; the first list's main version and a
   version that is alone are not new. */
START_TEST(a_new_version_settles_before_streams_begin_there) {
    cw_pool_versions_t v = {0};
    list(&v, 1000, 2, 1);
    ck_assert_int_le(cw_pool_versions_settled_ms(&v, 1), 1000);
    ck_assert_int_eq(cw_pool_versions_settled_ms(&v, 2), 1000 + CW_POOL_VERSIONS_SETTLE_MS);
    list(&v, 2000, 1, 2);
    ck_assert_int_eq(cw_pool_versions_settled_ms(&v, 2), 1000 + CW_POOL_VERSIONS_SETTLE_MS);
    list(&v, 2500, 0, 3);
    ck_assert_int_eq(cw_pool_versions_settled_ms(&v, 2), 0);
    ck_assert_int_gt(CW_POOL_VERSIONS_SETTLE_MS, CW_POOL_VERSIONS_FRESH_MS);
}
END_TEST

START_TEST(more_versions_than_can_be_recorded_are_several) {
    cw_pool_versions_t v = {0};
    uint64_t versions[CW_POOL_VERSIONS_MAX + 3];
    for (uint64_t i = 0; i < CW_POOL_VERSIONS_MAX + 3; i++) {
        versions[i] = 10 + i;
    }
    cw_pool_versions_update(&v, 1000, versions, CW_POOL_VERSIONS_MAX + 3);
    list(&v, 2000, 3, 0);
    ck_assert_uint_eq(cw_pool_versions_only(&v, 2000, MEMORY_MS), 0);
    ck_assert_uint_eq(cw_pool_versions_only(&v, 2000 + MEMORY_MS, MEMORY_MS), 1);
}
END_TEST

/* What another host knows of a version that this host has never seen listed. */
START_TEST(a_version_that_another_host_knows_has_served) {
    cw_pool_versions_t v = {0};
    list(&v, 1000, 0, 4);
    cw_pool_versions_learn(&v, 1500, 2, 0);
    ck_assert_uint_eq(cw_pool_versions_only(&v, 1500, MEMORY_MS), 2);
    cw_pool_versions_learn(&v, 2000, 1, 5000);
    ck_assert_uint_eq(cw_pool_versions_recent(&v, 2000, MEMORY_MS), 2);
    ck_assert_uint_eq(cw_pool_versions_only(&v, 2000 - 5000 + MEMORY_MS - 1, MEMORY_MS), 0);
    cw_pool_versions_learn(&v, 2000, 1, 9000); /* older knowledge */
    ck_assert_uint_eq(cw_pool_versions_only(&v, 2000 - 5000 + MEMORY_MS - 1, MEMORY_MS), 0);
    ck_assert_uint_eq(cw_pool_versions_only(&v, 2000 - 5000 + MEMORY_MS, MEMORY_MS), 2);
    /* a version that is new to both settles */
    cw_pool_versions_learn(&v, 3000, 3, 0);
    list(&v, 3100, 0, 4);
    uint64_t versions[] = {2, 2, 3};
    cw_pool_versions_update(&v, 3200, versions, 3);
    ck_assert_int_eq(cw_pool_versions_settled_ms(&v, 3), 3000 + CW_POOL_VERSIONS_SETTLE_MS);
}
END_TEST

static cw_stream_record_t record(uint64_t stream, uint64_t version, int64_t expires_ms) {
    return (cw_stream_record_t){
        .stream = stream, .pool = 7, .version = version, .expires_ms = expires_ms, .is_own = stream % 2};
}

static bool put(cw_stream_registry_t* r, int64_t now_ms, uint64_t stream, uint64_t version, int64_t expires_ms) {
    cw_stream_record_t item = record(stream, version, expires_ms);
    return cw_stream_registry_put(r, now_ms, &item);
}

START_TEST(a_stream_keeps_its_first_version_until_it_expires) {
    cw_stream_registry_t* r = cw_stream_registry_setup(4, NULL);
    ck_assert(put(r, 0, 1, 10, 1000));
    ck_assert(!put(r, 0, 1, 11, 2000));
    ck_assert(!put(r, 0, 0, 11, 2000)); /* no id */
    ck_assert_uint_eq(cw_stream_registry_find(r, 999, 1)->version, 10);
    ck_assert(!cw_stream_registry_find(r, 1000, 1) && !cw_stream_registry_find(r, 0, 2));
    cw_stream_registry_shutdown(r);
}
END_TEST

/* A stream that is taken up lives longer than the attempt that began it. Its version stays the same, until an expired
   id is used again. */
START_TEST(a_known_stream_is_remembered_for_longer) {
    cw_stream_registry_t* r = cw_stream_registry_setup(4, NULL);
    ck_assert(put(r, 0, 1, 10, 1000) && put(r, 0, 2, 20, 1000));
    ck_assert(!put(r, 0, 1, 10, 1000 + CW_STREAM_PROLONG_MIN_MS - 1) && !put(r, 0, 1, 11, 5000));
    ck_assert(put(r, 500, 1, 10, 2000));
    ck_assert_uint_eq(cw_stream_registry_find(r, 1999, 1)->version, 10);
    ck_assert(!cw_stream_registry_find(r, 1000, 2));
    ck_assert_uint_eq(cw_stream_registry_count(r), 2);
    ck_assert(put(r, 2000, 1, 11, 3000));
    ck_assert_uint_eq(cw_stream_registry_find(r, 2000, 1)->version, 11);
    for (int64_t i = 1; i < 100; i++) {
        ck_assert(put(r, 2000, 1, 11, 3000 + i * CW_STREAM_PROLONG_MIN_MS));
        ck_assert(cw_stream_registry_find(r, 2000, 1));
        ck_assert_uint_eq(cw_stream_registry_count(r), 1);
    }
    ck_assert_uint_eq(cw_stream_registry_evicted(r), 0);
    cw_stream_registry_shutdown(r);
}
END_TEST

START_TEST(a_full_registry_forgets_the_oldest_stream) {
    cw_stream_registry_t* r = cw_stream_registry_setup(4, NULL);
    for (uint64_t stream = 1; stream <= 100; stream++) {
        ck_assert(put(r, 0, stream, stream, stream < 50 ? 1000 : 2000));
    }
    ck_assert_uint_eq(cw_stream_registry_count(r), 4);
    ck_assert_uint_eq(cw_stream_registry_evicted(r), 96);
    for (uint64_t stream = 90; stream <= 100; stream++) {
        ck_assert_int_eq(cw_stream_registry_find(r, 0, stream) != NULL, stream > 96);
    }
    ck_assert(put(r, 2000, 101, 1, 3000)); /* the others have expired */
    ck_assert_uint_eq(cw_stream_registry_count(r), 1);
    cw_stream_registry_shutdown(r);
}
END_TEST

START_TEST(own_streams_are_listed_in_parts) {
    cw_stream_registry_t* r = cw_stream_registry_setup(64, NULL);
    for (uint64_t stream = 1; stream <= 20; stream++) {
        put(r, 0, stream, 1, stream > 15 ? 1000 : 5000);
    }
    cw_stream_record_t out[3];
    uint32_t at = 0;
    uint32_t total = 0;
    do {
        uint32_t count = cw_stream_registry_list_own(r, 2000, 7, &at, out, 3);
        for (uint32_t i = 0; i < count; i++) {
            ck_assert(out[i].is_own && out[i].stream <= 15);
        }
        total += count;
    } while (at);
    ck_assert_uint_eq(total, 8); /* 1, 3 ... 15 */
    ck_assert_uint_eq(cw_stream_registry_list_own(r, 2000, 8, &at, out, 3), 0);
    cw_stream_registry_shutdown(r);
}
END_TEST

/* Reading goes on where it ended, also after streams have been added and dropped. */
START_TEST(all_streams_are_listed_in_the_order_of_arrival) {
    cw_stream_registry_t* r = cw_stream_registry_setup(16, NULL);
    cw_stream_record_t out[5];
    uint64_t at = 0;
    for (uint64_t stream = 1; stream <= 10; stream++) {
        put(r, 0, stream, 1, stream == 3 ? 500 : 5000);
    }
    ck_assert_uint_eq(cw_stream_registry_list(r, 1000, &at, out, 5), 5);
    ck_assert(out[0].stream == 1 && out[2].stream == 4 && out[4].stream == 6);
    for (uint64_t stream = 11; stream <= 24; stream++) {
        put(r, 1000, stream, 1, 5000); /* 1 to 8 are dropped */
    }
    uint64_t expected = 9;
    for (uint32_t count = 5; count == 5;) {
        count = cw_stream_registry_list(r, 1000, &at, out, 5);
        for (uint32_t i = 0; i < count; i++) {
            ck_assert_uint_eq(out[i].stream, expected++);
        }
    }
    ck_assert_uint_eq(expected, 25);
    put(r, 1000, 25, 1, 5000);
    ck_assert_uint_eq(cw_stream_registry_list(r, 1000, &at, out, 5), 1);
    ck_assert_uint_eq(out[0].stream, 25);
    cw_stream_registry_shutdown(r);
}
END_TEST

/* The largest datagram survives the round trip and fits; no cut or changed one makes the reader fail. */
START_TEST(datagrams_about_streams_survive_the_round_trip) {
    static cw_stream_message_t out, in;
    uint8_t bytes[CW_STREAM_BYTES];
    rng_t rng = {.state = 3};
    out = (cw_stream_message_t){.cluster = UINT64_MAX,
                                .host = 5,
                                .scope = CW_LOAD_RELAY_TO_HALL,
                                .kind = CW_STREAM_QUERY,
                                .count = CW_STREAM_ENTRIES};
    for (uint32_t i = 0; i < out.count; i++) {
        out.entries[i] = (cw_stream_entry_t){UINT64_MAX - i, UINT64_MAX, UINT64_MAX, UINT32_MAX};
    }
    size_t size = cw_stream_message_encode(&out, bytes, sizeof(bytes));
    ck_assert_uint_gt(size, 0);
    ck_assert_int_eq(cw_stream_message_decode(&in, bytes, size), CW_OK);
    ck_assert(in.count == out.count && in.kind == out.kind && in.scope == out.scope && in.host == 5);
    for (uint32_t i = 0; i < in.count; i++) {
        ck_assert(in.entries[i].stream == out.entries[i].stream && in.entries[i].pool == out.entries[i].pool);
        ck_assert(in.entries[i].version == out.entries[i].version && in.entries[i].left_ms == out.entries[i].left_ms);
    }
    for (size_t cut = 0; cut < size; cut++) {
        ck_assert_int_eq(cw_stream_message_decode(&in, bytes, cut), CW_ERR_PROTOCOL);
    }
    for (int i = 0; i < 20000; i++) {
        uint8_t changed[CW_STREAM_BYTES];
        memcpy(changed, bytes, size);
        changed[rng_below(&rng, (uint32_t)size)] = (uint8_t)rng_below(&rng, 256);
        if (cw_stream_message_decode(&in, changed, size) == CW_OK) {
            ck_assert_uint_le(in.count, CW_STREAM_ENTRIES);
        }
    }
    static cw_load_message_t load;
    ck_assert_int_eq(cw_load_decode(&load, bytes, size, NULL), CW_ERR_PROTOCOL); /* by hosts of earlier versions */
}
END_TEST

/* -- what a host concludes ------------------------------------------------ */

typedef struct peers_t {
    uint32_t announced, deposited, queried;
    uint64_t resolved;
    int64_t list_age_ms;
} peers_t;

static int64_t list_age(void* user) {
    return ((peers_t*)user)->list_age_ms;
}

static void on_announce(void* user, const cw_stream_record_t* records, uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        ck_assert(records[i].is_own);
    }
    ((peers_t*)user)->announced += count;
}

static void on_deposit(void* user, const cw_stream_record_t* record) {
    ck_assert(record->is_own);
    ((peers_t*)user)->deposited++;
}

static uint32_t on_query(void* user, uint64_t stream, uint64_t pool) {
    (void)stream;
    (void)pool;
    ((peers_t*)user)->queried++;
    return 3;
}

static void on_resolved(void* user, uint64_t stream) {
    ((peers_t*)user)->resolved = stream;
}

static uint64_t resolve(streams_t* s, const pool_t* pool, uint64_t stream) {
    return streams_resolve(s, &(stream_request_t){.pool = pool, .stream = stream, .id = "q2", .resumes = "q1"});
}

static uint64_t resolve_unanswered(streams_t* s, const pool_t* pool, uint64_t stream) {
    const stream_request_t request = {.pool = pool, .stream = stream, .id = "q2", .resumes = "q1"};
    cw_stream_inquiry_t inquiry = {0};
    ck_assert(!streams_inquire(s, &request, &inquiry));
    return streams_resolve_unanswered(s, &request, &inquiry);
}

static streams_t* setup(rig_t* r, peers_t* peers) {
    return streams_setup(&(streams_desc_t){.log = &r->log,
                                           .upstreams = r->upstreams,
                                           .list_age_ms = list_age,
                                           .announce = on_announce,
                                           .deposit = on_deposit,
                                           .query = on_query,
                                           .on_resolved = on_resolved,
                                           .user_data = peers});
}

#define POOLS "{\"revision\":1,\"pools\":[{\"name\":\"p\"}],\"routes\":[]}"

/* One version and a fresh list: nothing is announced. Then the list grows old, or a second version appears. */
START_TEST(streams_are_announced_once_other_hosts_may_need_them) {
    for (int by_version = 0; by_version < 2; by_version++) {
        peers_t peers = {0};
        rig_t* r = rig_setup(POOLS, 2);
        streams_t* s = setup(r, &peers);
        const pool_t* pool = upstreams_pool(r->upstreams, "p");
        for (uint64_t stream = 1; stream <= 100; stream++) {
            streams_on_first_event(s, pool, stream, 1, clock_ms() + 5000);
        }
        streams_tick(s, clock_ms());
        ck_assert(peers.announced == 0 && peers.deposited == 100);
        r->versions[1] = by_version ? "2" : NULL;
        rig_set_servers_at(r, clock_ms(), 2, 0, false);
        peers.list_age_ms = by_version ? 0 : CW_POOL_VERSIONS_FRESH_MS + 1;
        streams_tick(s, clock_ms());
        streams_tick(s, clock_ms());
        ck_assert_uint_eq(peers.announced, 100);
        streams_on_first_event(s, pool, 101, 1, clock_ms() + 5000);
        ck_assert(peers.announced == 101 && peers.deposited == 100);
        streams_shutdown(s);
        rig_shutdown(r);
    }
}
END_TEST

/* There is no other host from which it could take over anything. */
static void settle_alone(streams_t* s) {
    cw_handover_request_t request;
    ck_assert(!streams_next_handover(s, clock_ms() + CW_HANDOVER_DISCOVERY_MS, NULL, 0, &request));
}

/* Takes over everything that the source, a host of this id, knows. */
static void take_over(streams_t* s, streams_t* source, uint64_t host) {
    cw_handover_request_t request;
    bool is_last = false;
    while (!is_last && streams_next_handover(s, clock_ms(), &host, 1, &request)) {
        cw_stream_message_t page = {.kind = CW_STREAM_PAGE, .host = host};
        streams_write_page(source, request.cursor, &page);
        is_last = page.entries[0].version != 0;
        streams_on_page(s, &page);
    }
    ck_assert(is_last);
}

/* A host starts when no server of version 1 is listed any more. */
START_TEST(a_host_that_starts_takes_over_streams_and_versions) {
    peers_t peers = {0};
    rig_t* r = rig_setup(POOLS, 2);
    rig_t* other = rig_setup(POOLS, 2);
    streams_t* source = setup(r, &peers);
    streams_t* s = setup(other, &peers);
    const pool_t* pool = upstreams_pool(r->upstreams, "p");
    const pool_t* own = upstreams_pool(other->upstreams, "p");
    r->versions[0] = "1";
    r->versions[1] = other->versions[0] = other->versions[1] = "2";
    rig_set_servers_at(r, clock_ms(), 2, 0, false);
    r->versions[0] = "2";
    rig_set_servers_at(r, clock_ms(), 2, 0, false);
    rig_set_servers_at(other, clock_ms(), 2, 0, false);
    for (uint64_t stream = 1; stream <= 1000; stream++) {
        streams_on_first_event(source, pool, stream, 11, clock_ms() + 5000);
    }
    take_over(s, source, 9);
    for (uint64_t stream = 1; stream <= 1000; stream++) {
        ck_assert_uint_eq(resolve(s, own, stream), 11);
    }
    settle_alone(s);
    ck_assert_uint_eq(resolve_unanswered(s, own, 1001), 0); /* it may have begun at version 1 */
    ck_assert(streams_on_query(s, 1001, cw_name_id("p"), &(cw_stream_record_t){0}));
    streams_shutdown(source);
    streams_shutdown(s);
    rig_shutdown(r);
    rig_shutdown(other);
}
END_TEST

/* A host that is cut off from the source and the others sees one version, but can't know of a second one. */
START_TEST(a_host_with_an_old_list_concludes_nothing) {
    peers_t peers = {.list_age_ms = CW_POOL_VERSIONS_FRESH_MS + 1};
    rig_t* r = rig_setup(POOLS, 2);
    streams_t* s = setup(r, &peers);
    const pool_t* pool = upstreams_pool(r->upstreams, "p");
    ck_assert_uint_eq(resolve(s, pool, 5), 0);
    ck_assert_uint_eq(streams_query(s, &(stream_request_t){.pool = pool, .stream = 5}), 3);
    ck_assert_uint_eq(resolve_unanswered(s, pool, 5), 0);
    peers.list_age_ms = 0;
    settle_alone(s);
    ck_assert_uint_eq(resolve_unanswered(s, pool, 5), 0); /* it has just started: another version may have served */
    streams_on_history(s, SOURCE_HISTORY_NONE);
    ck_assert_uint_eq(resolve_unanswered(s, pool, 5), 0);
    streams_on_history(s, SOURCE_HISTORY_COMPLETE);
    ck_assert_uint_ne(resolve(s, pool, 5), 0);
    peers.list_age_ms = CW_POOL_VERSIONS_FRESH_MS + 1;
    ck_assert_uint_eq(resolve(s, pool, 5), 0);
    peers.list_age_ms = 0;
    streams_learn_listed(s, &(cw_server_t){.id = "left",
                                           .pool = "p",
                                           .version = "77"}); /* the history shows that another version has served */
    ck_assert_uint_eq(resolve_unanswered(s, pool, 5), 0);
    cw_stream_record_t denial = {.stream = 5, .pool = cw_name_id("p"), .expires_ms = clock_ms() + 5000};
    streams_on_announced(s, &denial);
    ck_assert_uint_eq(peers.resolved, 0);
    ck_assert_uint_eq(resolve_unanswered(s, pool, 5), 0);
    cw_stream_record_t expired = {.stream = 5, .pool = cw_name_id("p"), .version = 9, .expires_ms = clock_ms()};
    streams_on_announced(s, &expired); /* must not wake requests that could not be resolved by it */
    ck_assert_uint_eq(peers.resolved, 0);
    cw_stream_record_t known = {.stream = 5, .pool = cw_name_id("p"), .version = 9, .expires_ms = clock_ms() + 5000};
    streams_on_announced(s, &known);
    ck_assert_uint_eq(peers.resolved, 5);
    ck_assert_uint_eq(resolve(s, pool, 5), 9);
    streams_shutdown(s);
    rig_shutdown(r);
}
END_TEST

/* A host that is asked vouches for nothing that it doesn't know itself. */
START_TEST(a_queried_host_replies_only_what_it_knows) {
    peers_t peers = {0};
    rig_t* r = rig_setup(POOLS, 2);
    streams_t* s = setup(r, &peers);
    const pool_t* pool = upstreams_pool(r->upstreams, "p");
    cw_stream_record_t reply;
    streams_on_first_event(s, pool, 1, 44, clock_ms() + 5000);
    ck_assert(streams_on_query(s, 1, cw_name_id("p"), &reply) && reply.version == 44);
    ck_assert(!streams_on_query(s, 2, cw_name_id("p"), &reply)); /* it has just started */
    ck_assert(!streams_on_query(s, 2, cw_name_id("other"), &reply));
    r->versions[1] = "2";
    rig_set_servers_at(r, clock_ms(), 2, 0, false);
    ck_assert(streams_on_query(s, 2, cw_name_id("p"), &reply) && reply.version == 0);
    streams_shutdown(s);
    rig_shutdown(r);
}
END_TEST

/* A host that was cut off while another version came and went: its next list shows the one that it knew before. */
START_TEST(a_host_that_has_read_no_list_for_a_while_vouches_for_no_version) {
    peers_t peers = {0};
    rig_t* r = rig_setup(POOLS, 2);
    streams_t* s = setup(r, &peers);
    const pool_t* pool = upstreams_pool(r->upstreams, "p");
    cw_stream_record_t reply;
    streams_on_history(s, SOURCE_HISTORY_COMPLETE);
    ck_assert_uint_ne(resolve(s, pool, 5), 0);
    peers.list_age_ms = 20000;
    streams_tick(s, clock_ms());
    ck_assert_uint_eq(resolve(s, pool, 5), 0);
    peers.list_age_ms = 0;
    rig_set_servers_at(r, clock_ms(), 2, 0, false);
    streams_tick(s, clock_ms());
    ck_assert_uint_eq(resolve(s, pool, 5), 0);
    ck_assert(!streams_on_query(s, 5, cw_name_id("p"), &reply) || reply.version == 0);
    streams_shutdown(s);
    rig_shutdown(r);
}
END_TEST

#define GAP_MS (CW_POOL_VERSIONS_FRESH_MS + 1)

/* Its list has not been fresh lately. */
static void miss_lists(streams_t* s, peers_t* peers) {
    peers->list_age_ms = GAP_MS;
    streams_tick(s, clock_ms());
    peers->list_age_ms = 0;
    streams_tick(s, clock_ms());
}

#define STREAM_MS 100
#define HOST_MAX 3

/* Hosts, each with its own list, that have run for longer than streams last and see one version. */
typedef struct hosts_t {
    rig_t* rigs[HOST_MAX];
    peers_t peers[HOST_MAX];
    streams_t* streams[HOST_MAX];
} hosts_t;

static void start_host(hosts_t* h, uint32_t i) {
    h->rigs[i] = rig_setup(POOLS, 2);
    h->streams[i] = setup(h->rigs[i], &h->peers[i]);
    streams_set_longest_ms(h->streams[i], STREAM_MS);
    streams_set_peak_hosts(h->streams[i], HOST_MAX);
    streams_tick(h->streams[i], clock_ms());
}

static void end_host(hosts_t* h, uint32_t i) {
    streams_shutdown(h->streams[i]);
    rig_shutdown(h->rigs[i]);
}

static void shift_start(hosts_t* h, uint32_t i) {
    cw_stream_message_t page = {.kind = CW_STREAM_PAGE, .host = 99, .count = 1};
    cw_handover_request_t request;
    const uint64_t older = 99;
    ck_assert(streams_next_handover(h->streams[i], clock_ms(), &older, 1, &request));
    page.entries[0] = (cw_stream_entry_t){.pool = 1ULL << 32U, .version = 1, .left_ms = 600000};
    streams_on_page(h->streams[i], &page);
}

static bool concludes(hosts_t* h, uint32_t i) {
    return resolve(h->streams[i], upstreams_pool(h->rigs[i]->upstreams, "p"), 5) != 0;
}

static hosts_t* start_hosts(void) {
    hosts_t* h = calloc(1, sizeof(*h));
    for (uint32_t i = 0; i < HOST_MAX; i++) {
        start_host(h, i);
        shift_start(h, i);
        ck_assert(concludes(h, i));
    }
    return h;
}

static void end_hosts(hosts_t* h) {
    for (uint32_t i = 0; i < HOST_MAX; i++) {
        end_host(h, i);
    }
    free(h);
}

/* Guards against refusing streams for as long as they last, though another host has missed nothing. */
START_TEST(a_host_that_missed_lists_takes_over_what_another_host_knows) {
    hosts_t* h = start_hosts();
    miss_lists(h->streams[0], &h->peers[0]);
    ck_assert(!concludes(h, 0));
    take_over(h->streams[0], h->streams[1], 1);
    ck_assert(concludes(h, 0));
    end_hosts(h);
}
END_TEST

/* The same with a version that came and went meanwhile. */
START_TEST(a_host_that_missed_lists_hears_of_a_version_that_came_and_went) {
    hosts_t* h = start_hosts();
    h->rigs[1]->versions[1] = "2";
    rig_set_servers_at(h->rigs[1], clock_ms(), 2, 0, false);
    h->rigs[1]->versions[1] = NULL;
    rig_set_servers_at(h->rigs[1], clock_ms(), 2, 0, false);
    miss_lists(h->streams[0], &h->peers[0]);
    take_over(h->streams[0], h->streams[1], 1);
    ck_assert(!concludes(h, 0));
    end_hosts(h);
}
END_TEST

/* Guards against refusing streams after the source was away for all hosts: nobody can have used another version. */
START_TEST(a_gap_of_all_hosts_hides_no_version) {
    hosts_t* h = start_hosts();
    usleep(1000 * (GAP_MS + 100));
    for (uint32_t i = 0; i < HOST_MAX; i++) {
        miss_lists(h->streams[i], &h->peers[i]);
    }
    take_over(h->streams[0], h->streams[1], 1);
    ck_assert(!concludes(h, 0)); /* the third one may have read lists */
    take_over(h->streams[0], h->streams[2], 2);
    ck_assert(concludes(h, 0));
    end_hosts(h);
}
END_TEST

/* The host that ended may have read lists, and begun streams, where the others were cut off. */
START_TEST(a_gap_in_which_a_host_started_again_may_hide_a_version) {
    hosts_t* h = start_hosts();
    usleep(1000 * (GAP_MS + 100));
    end_host(h, HOST_MAX - 1);
    start_host(h, HOST_MAX - 1);
    for (uint32_t i = 0; i < HOST_MAX - 1; i++) {
        miss_lists(h->streams[i], &h->peers[i]);
    }
    take_over(h->streams[0], h->streams[1], 1);
    take_over(h->streams[0], h->streams[2], 2);
    ck_assert(!concludes(h, 0));
    end_hosts(h);
}
END_TEST

/* The host that started again doesn't know what it was told and began before: that the others had no list closes no gap
   in which it wasn't there itself. */
START_TEST(a_host_that_starts_closes_no_gap_from_before_its_start) {
    hosts_t* h = start_hosts();
    usleep(1000 * (GAP_MS + 100));
    for (uint32_t i = 0; i < HOST_MAX - 1; i++) {
        miss_lists(h->streams[i], &h->peers[i]);
    }
    end_host(h, HOST_MAX - 1);
    start_host(h, HOST_MAX - 1);
    take_over(h->streams[HOST_MAX - 1], h->streams[0], 1);
    take_over(h->streams[HOST_MAX - 1], h->streams[1], 2);
    ck_assert(!concludes(h, HOST_MAX - 1));
    end_hosts(h);
}
END_TEST

/* Lists that are late end no gap: another host, whose list is old, tells of one that is less old. The host that is
   asked has missed the begin of the gap as well. */
START_TEST(a_late_list_hides_no_begin_of_a_gap) {
    hosts_t* h = start_hosts();
    static const int64_t ages_ms[] = {5000, 2000, 0};
    cw_stream_message_t page = {.kind = CW_STREAM_PAGE, .host = 1, .count = 3};
    cw_handover_request_t request;
    for (uint32_t i = 0; i < sizeof(ages_ms) / sizeof(ages_ms[0]); i++) {
        h->peers[0].list_age_ms = ages_ms[i];
        streams_tick(h->streams[0], clock_ms());
    }
    ck_assert(!concludes(h, 0));
    ck_assert(streams_next_handover(h->streams[0], clock_ms(), &page.host, 1, &request));
    page.entries[0] = (cw_stream_entry_t){.pool = 1ULL << 32U, .version = 1, .left_ms = 3000};
    page.entries[1] = (cw_stream_entry_t){.left_ms = 600000};
    page.entries[2] = (cw_stream_entry_t){.version = 1500, .left_ms = 3000};
    streams_on_page(h->streams[0], &page);
    ck_assert(!concludes(h, 0));
    end_hosts(h);
}
END_TEST

/* Two lists follow one another, and nobody has looked at the first one's age while it was old: the process stood still
   in the midst of its events, and a newer list is the next of them. */
START_TEST(a_gap_that_nobody_saw_counts) {
    hosts_t* h = start_hosts();
    streams_tick(h->streams[0], clock_ms());
    usleep(1000 * (GAP_MS + 100));
    streams_tick(h->streams[0], clock_ms());
    ck_assert_uint_eq(streams_stats(h->streams[0]).list_gaps, 1);
    ck_assert(!concludes(h, 0));
    end_hosts(h);
}
END_TEST

/* A host of an earlier release counts its own gaps as time known, and may have missed what this one has missed. */
START_TEST(a_host_of_an_earlier_release_closes_no_gap) {
    hosts_t* h = start_hosts();
    cw_stream_message_t page = {.kind = CW_STREAM_PAGE, .host = 1, .count = 1};
    cw_handover_request_t request;
    miss_lists(h->streams[0], &h->peers[0]);
    ck_assert(streams_next_handover(h->streams[0], clock_ms(), &page.host, 1, &request));
    page.entries[0] = (cw_stream_entry_t){.pool = 1ULL << 32U, .version = 1, .left_ms = 600000};
    streams_on_page(h->streams[0], &page);
    ck_assert(!concludes(h, 0));
    end_hosts(h);
}
END_TEST

/* Guards against a host that starts while the source is away, and takes its first list for all that has served. */
START_TEST(a_host_knows_versions_from_its_first_list_on) {
    peers_t peers = {.list_age_ms = -1};
    rig_t* r = rig_setup(POOLS, 2);
    streams_t* s = setup(r, &peers);
    cw_stream_message_t page = {.kind = CW_STREAM_PAGE};
    usleep(20000);
    int64_t first_list_ms = clock_ms();
    streams_tick(s, first_list_ms);
    peers.list_age_ms = 0;
    streams_write_page(s, 0, &page);
    ck_assert_int_le(page.entries[0].left_ms, clock_ms() - first_list_ms); /* for how long it knows the versions */
    streams_shutdown(s);
    rig_shutdown(r);
}
END_TEST

/* All hosts but one were lost, among them the stream's and those that kept its record, while one version served. Then a
   second one appears. The one host that is left hands over a long memory, but not the record. */
START_TEST(a_host_of_long_memory_asks_engines_for_a_stream_whose_record_is_lost) {
    peers_t peers = {0};
    rig_t* r = rig_setup(POOLS, 2);
    streams_t* s = setup(r, &peers);
    const pool_t* pool = upstreams_pool(r->upstreams, "p");
    const uint64_t host = 9;
    const cw_prompt_part_t part = {.id = 41, .tokens = 300};
    cw_handover_request_t request;
    cw_stream_inquiry_t inquiry = {0};
    r->versions[1] = "2";
    rig_set_servers_at(r, clock_ms(), 2, 0, false);
    ck_assert(streams_next_handover(s, clock_ms(), &host, 1, &request));
    cw_stream_message_t page = {.kind = CW_STREAM_PAGE, .host = host, .count = 1};
    page.entries[0] = (cw_stream_entry_t){.pool = 1ULL << 32U, .version = 1, .left_ms = 600000};
    streams_on_page(s, &page);
    streams_on_cached_parts(s, pool, 22, &part, 1);
    const stream_request_t resumed = {.pool = pool,
                                      .stream = 5,
                                      .inquiry = 6,
                                      .id = "q2",
                                      .resumes = "q1",
                                      .part = 41,
                                      .part_tokens = 250,
                                      .events = 10};
    ck_assert_uint_eq(streams_resolve(s, &resumed), 0);
    streams_inquire(s, &resumed, &inquiry);
    ck_assert_uint_eq(streams_resolve_unanswered(s, &resumed, &inquiry), 22);
    streams_shutdown(s);
    rig_shutdown(r);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_host_that_has_read_no_list_for_a_while_vouches_for_no_version);
    tcase_add_test(t, a_host_that_missed_lists_takes_over_what_another_host_knows);
    tcase_add_test(t, a_host_that_missed_lists_hears_of_a_version_that_came_and_went);
    tcase_add_test(t, a_gap_of_all_hosts_hides_no_version);
    tcase_add_test(t, a_gap_in_which_a_host_started_again_may_hide_a_version);
    tcase_add_test(t, a_host_that_starts_closes_no_gap_from_before_its_start);
    tcase_add_test(t, a_late_list_hides_no_begin_of_a_gap);
    tcase_add_test(t, a_gap_that_nobody_saw_counts);
    tcase_add_test(t, a_host_of_an_earlier_release_closes_no_gap);
    tcase_add_test(t, a_host_knows_versions_from_its_first_list_on);
    tcase_add_test(t, a_host_of_long_memory_asks_engines_for_a_stream_whose_record_is_lost);
    tcase_add_test(t, a_version_that_another_host_knows_has_served);
    tcase_add_test(t, a_host_that_starts_takes_over_streams_and_versions);
    tcase_add_test(t, all_streams_are_listed_in_the_order_of_arrival);
    tcase_add_test(t, a_version_is_remembered_after_its_last_server_left);
    tcase_add_test(t, a_new_version_settles_before_streams_begin_there);
    tcase_add_test(t, more_versions_than_can_be_recorded_are_several);
    tcase_add_test(t, a_stream_keeps_its_first_version_until_it_expires);
    tcase_add_test(t, a_known_stream_is_remembered_for_longer);
    tcase_add_test(t, a_full_registry_forgets_the_oldest_stream);
    tcase_add_test(t, own_streams_are_listed_in_parts);
    tcase_add_test(t, datagrams_about_streams_survive_the_round_trip);
    tcase_add_test(t, streams_are_announced_once_other_hosts_may_need_them);
    tcase_add_test(t, a_host_with_an_old_list_concludes_nothing);
    tcase_add_test(t, a_queried_host_replies_only_what_it_knows);
}

int main(void) {
    return run_suite("stream_state", add_tests, 60);
}
