/*
    What remains of a stream after all hosts that knew its software version have ended: the engines that cache its
   prompt or still run it, and the history of the source.

    Seen: hosts that had started took the only listed version for that of a stream which had begun at another one.
*/
#include <string.h>

#include "../chalkway_part_versions.h"
#include "../chalkway_stream_inquiry.h"
#include "../gateway/request_head.h"
#include "../platform/platform.h"
#include "rig.h"

#define POOL 7U
#define V1 11U
#define V2 22U

/* -- parts that engines have listed ---------------------------------------- */

static void add(cw_part_versions_t* t, int64_t now_ms, uint64_t part, uint64_t version, uint32_t tokens) {
    cw_part_versions_add(t, now_ms,
                         &(cw_part_version_t){.pool = POOL, .part = part, .version = version, .tokens = tokens});
}

static uint32_t find(const cw_part_versions_t* t, uint64_t part, uint32_t min_tokens, uint64_t* version) {
    *version = 0;
    return cw_part_versions_find(t, &(cw_part_query_t){.pool = POOL, .part = part, .min_tokens = min_tokens}, version);
}

START_TEST(a_part_shows_the_version_of_the_engines_that_cache_enough_of_it) {
    cw_part_versions_t* t = cw_part_versions_setup(4, NULL);
    uint64_t version = 0;
    ck_assert_uint_eq(find(t, 1, 1, &version), 0);
    add(t, 5, 1, V1, 100);
    add(t, 5, 1, V1, 80); /* another engine of the version */
    ck_assert(find(t, 1, 100, &version) == 1 && version == V1);
    ck_assert_uint_eq(find(t, 1, 101, &version), 0);
    ck_assert_uint_eq(find(t, 2, 1, &version), 0);
    ck_assert_uint_eq(
        cw_part_versions_find(t, &(cw_part_query_t){.pool = POOL + 1, .part = 1, .min_tokens = 1}, &version), 0);
    add(t, 6, 1, V2, 120);
    cw_part_query_t few = {.pool = POOL, .part = 1, .min_tokens = 90, .max_tokens = 110};
    ck_assert(cw_part_versions_find(t, &few, &version) == 1 && version == V1);
    ck_assert_uint_eq(find(t, 1, 100, &version), 2);
    ck_assert(find(t, 1, 101, &version) == 1 && version == V2);
    add(t, 6, 1, V2 + 1, 130); /* a third version leaves two that differ */
    ck_assert_uint_eq(find(t, 1, 120, &version), 2);
    cw_part_query_t late = {.pool = POOL, .part = 1, .since_ms = 7, .min_tokens = 1}; /* listed too long ago */
    ck_assert_uint_eq(cw_part_versions_find(t, &late, &version), 0);
    cw_part_versions_shutdown(t);
}
END_TEST

START_TEST(a_full_table_drops_the_oldest_parts) {
    cw_part_versions_t* t = cw_part_versions_setup(4, NULL);
    uint64_t version = 0;
    for (uint64_t part = 1; part <= 100; part++) {
        add(t, 5, part, V1, 10);
        ck_assert_uint_eq(find(t, part, 10, &version), 1);
        ck_assert_uint_eq(find(t, part > 4 ? part - 4 : 101, 10, &version), 0);
        ck_assert(cw_part_versions_has_dropped(t, 5) == (part > 4));
    }
    ck_assert(!cw_part_versions_has_dropped(t, 6));
    cw_part_versions_shutdown(t);
}
END_TEST

/* -- inquiries ------------------------------------------------------------- */

#define VIEW 5U

static uint32_t next_host; /* that replies: each of them once a round */

/* To hosts 0 to hosts - 1. */
static void send_round(cw_stream_inquiry_t* q, int64_t now_ms, uint32_t hosts, uint32_t questions) {
    cw_stream_audience_t audience = {.hosts = hosts, .view = VIEW};
    for (uint32_t i = 0; i < hosts * questions; i++) {
        cw_stream_audience_add(&audience, i / questions, (cw_stream_question_t)(i % questions));
    }
    cw_stream_inquiry_on_round(q, now_ms, &audience);
}

static cw_stream_inquiry_t begin(uint32_t hosts) {
    cw_stream_inquiry_t q;
    cw_stream_inquiry_begin(&q, 1000);
    ck_assert(cw_stream_inquiry_is_due(&q, 1000));
    ck_assert_uint_eq(cw_stream_inquiry_next_round(&q), 1);
    send_round(&q, 1000, hosts, 1);
    next_host = 0;
    ck_assert(!cw_stream_inquiry_is_due(&q, 1000));
    return q;
}

static void reply_as(cw_stream_inquiry_t* q, uint32_t host, cw_stream_reply_t reply) {
    reply.host = host;
    reply.view = VIEW;
    cw_stream_inquiry_on_reply(q, CW_STREAM_PROMPT, &reply);
}

/* By the next host. */
static void reply(cw_stream_inquiry_t* q, uint32_t round, uint64_t version, cw_stream_coverage_t coverage) {
    reply_as(q, next_host++ % q->audience.hosts,
             (cw_stream_reply_t){.round = round, .version = version, .coverage = coverage});
}

START_TEST(an_inquiry_is_decided_when_all_hosts_have_replied_in_full) {
    cw_stream_inquiry_t q = begin(3);
    reply(&q, 1, 0, CW_STREAM_COVERS_ALL);
    reply(&q, 1, V1, CW_STREAM_COVERS_ALL);
    reply(&q, 1, 0, CW_STREAM_COVERS_SOME);
    ck_assert(!cw_stream_inquiry_is_decided(&q, 1000) && !cw_stream_inquiry_version(&q));
    ck_assert_uint_eq(cw_stream_inquiry_next_round(&q), 2); /* counts anew, remembers what was named */
    send_round(&q, 1100, 3, 1);
    for (int i = 0; i < 3; i++) {
        ck_assert(!cw_stream_inquiry_is_decided(&q, 1100));
        reply(&q, 2, 0, CW_STREAM_COVERS_ALL);
    }
    ck_assert(cw_stream_inquiry_is_decided(&q, 1100));
    ck_assert_uint_eq(cw_stream_inquiry_version(&q), V1);
}
END_TEST

/* Guards against a version by the prompt alone while the host whose engines ran the stream is silent: a late reply to
   an earlier round was counted beside that to the next one. */
START_TEST(a_late_reply_is_not_counted_for_a_later_round) {
    cw_stream_inquiry_t q = begin(2);
    cw_stream_inquiry_next_round(&q);
    send_round(&q, 1100, 2, 1);
    reply(&q, 1, V1, CW_STREAM_COVERS_ALL);
    reply(&q, 2, V1, CW_STREAM_COVERS_ALL);
    ck_assert(!cw_stream_inquiry_is_decided(&q, 1100) && !cw_stream_inquiry_version(&q));
    reply(&q, 2, 0, CW_STREAM_COVERS_ALL);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1100) && cw_stream_inquiry_version(&q) == V1);
}
END_TEST

START_TEST(an_inquiry_without_replies_ends_without_a_version) {
    cw_stream_inquiry_t q = begin(3);
    reply(&q, 1, V1, CW_STREAM_COVERS_ALL);
    ck_assert(!cw_stream_inquiry_is_decided(&q, 1000 + CW_STREAM_INQUIRY_MS - 1));
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000 + CW_STREAM_INQUIRY_MS));
    ck_assert_uint_eq(cw_stream_inquiry_version(&q), 0);
    q = begin(0); /* the only host */
    q.is_own_open = true;
    ck_assert(!cw_stream_inquiry_is_decided(&q, 1000));
    q.is_own_open = false;
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000));
}
END_TEST

START_TEST(engines_of_two_versions_decide_nothing) {
    cw_stream_inquiry_t q = begin(2);
    reply(&q, 1, V1, CW_STREAM_COVERS_ALL);
    reply(&q, 1, V2, CW_STREAM_COVERS_ALL);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == 0);
    q = begin(2);
    reply(&q, 1, 0, CW_STREAM_HAS_SEVERAL);
    ck_assert(!cw_stream_inquiry_is_decided(&q, 1000)); /* the other host's engines may run the stream */
    reply(&q, 1, 0, CW_STREAM_COVERS_ALL);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == 0);
    q = begin(2);
    cw_stream_inquiry_on_own(&q, CW_STREAM_PROMPT, &(cw_stream_reply_t){.version = V1});
    reply(&q, 1, V2, CW_STREAM_COVERS_ALL);
    reply(&q, 1, 0, CW_STREAM_COVERS_ALL);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == 0);
}
END_TEST

/* Guards against an engine that failed to list its parts and was taken for one that caches nothing. */
START_TEST(engines_that_cannot_be_queried_count_for_their_version_only) {
    cw_stream_inquiry_t q = begin(2);
    reply(&q, 1, V1, CW_STREAM_COVERS_ALL);
    reply(&q, 1, V1, CW_STREAM_COVERS_ALL_BUT);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == V1);
    q = begin(2);
    reply(&q, 1, V1, CW_STREAM_COVERS_ALL);
    reply(&q, 1, V2, CW_STREAM_COVERS_ALL_BUT);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == 0);
    q = begin(2);
    reply(&q, 1, V1, CW_STREAM_COVERS_ALL_BUT);
    reply(&q, 1, 0, CW_STREAM_COVERS_ALL);
    ck_assert_uint_eq(cw_stream_inquiry_version(&q), 0); /* none has shown the stream */
}
END_TEST

/* One host is asked each question. */
static cw_stream_inquiry_t begin_pair(cw_stream_question_t first, cw_stream_question_t second) {
    cw_stream_inquiry_t q = begin(0);
    cw_stream_audience_t audience = {.hosts = 2, .view = VIEW};
    cw_stream_audience_add(&audience, 0, first);
    cw_stream_audience_add(&audience, 1, second);
    cw_stream_inquiry_on_round(&q, 1000, &audience);
    return q;
}

static void reply_to(cw_stream_inquiry_t* q, cw_stream_question_t question, uint64_t version,
                     cw_stream_coverage_t coverage) {
    cw_stream_inquiry_on_reply(
        q, question,
        &(cw_stream_reply_t){.host = next_host++, .view = VIEW, .round = 1, .version = version, .coverage = coverage});
}

/* Guards against a prompt that counts as proof although another request of its session left it, and the engines that
   began the stream have left the list. */
START_TEST(a_prompt_decides_nothing_if_engines_of_another_version_were_not_queried) {
    static const struct {
        uint64_t version;
        cw_stream_coverage_t coverage;
    } unqueried[] = {{V1, CW_STREAM_COVERS_ALL_BUT}, {0, CW_STREAM_COVERS_LISTED}};
    for (int i = 0; i < 2; i++) {
        cw_stream_inquiry_t q = begin(2);
        reply_to(&q, CW_STREAM_PROMPT, V2, CW_STREAM_COVERS_LISTED);
        reply_to(&q, CW_STREAM_PROMPT, unqueried[i].version, unqueried[i].coverage);
        ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == 0);
    }
}
END_TEST

/* A run, or the events that only a run of this stream has left, prove its version whatever was not queried. */
START_TEST(a_run_or_its_events_decide_though_engines_were_not_queried) {
    static const cw_stream_question_t proofs[] = {CW_STREAM_RUN, CW_STREAM_EVENTS};
    for (int i = 0; i < 2; i++) {
        cw_stream_inquiry_t q = begin_pair(CW_STREAM_PROMPT, proofs[i]);
        reply_to(&q, CW_STREAM_PROMPT, V2, CW_STREAM_COVERS_LISTED);
        ck_assert(!cw_stream_inquiry_version(&q));
        reply_to(&q, proofs[i], V2, CW_STREAM_COVERS_LISTED);
        ck_assert_uint_eq(cw_stream_inquiry_version(&q), V2);
    }
}
END_TEST

/* Guards against a guess between engines of two versions that have as many events. */
START_TEST(events_at_two_versions_decide_nothing) {
    cw_stream_inquiry_t q = begin_pair(CW_STREAM_PROMPT, CW_STREAM_EVENTS);
    reply_to(&q, CW_STREAM_PROMPT, V2, CW_STREAM_COVERS_LISTED);
    reply_to(&q, CW_STREAM_EVENTS, 0, CW_STREAM_HAS_SEVERAL);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == 0);
    q = begin_pair(CW_STREAM_EVENTS, CW_STREAM_EVENTS);
    reply_to(&q, CW_STREAM_EVENTS, V1, CW_STREAM_COVERS_ALL);
    reply_to(&q, CW_STREAM_EVENTS, V2, CW_STREAM_COVERS_ALL);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == 0);
}
END_TEST

/* Guards against refusing a stream whose caller had begun it again: an attempt that wrote nothing left the prompt at
   another version, and engines of one version only have its events. */
START_TEST(events_decide_beside_a_prompt_at_another_version) {
    cw_stream_inquiry_t q = begin_pair(CW_STREAM_PROMPT, CW_STREAM_EVENTS);
    reply_to(&q, CW_STREAM_PROMPT, 0, CW_STREAM_HAS_SEVERAL);
    reply_to(&q, CW_STREAM_EVENTS, V2, CW_STREAM_COVERS_ALL);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == V2);
}
END_TEST

/* A run decides beside a prompt that another request left; two runs decide nothing. */
START_TEST(a_run_decides_beside_prompts_at_other_versions) {
    cw_stream_inquiry_t q = begin_pair(CW_STREAM_PROMPT, CW_STREAM_RUN);
    reply_to(&q, CW_STREAM_PROMPT, 0, CW_STREAM_HAS_SEVERAL);
    reply_to(&q, CW_STREAM_RUN, V1, CW_STREAM_COVERS_ALL);
    ck_assert_uint_eq(cw_stream_inquiry_version(&q), V1);
    cw_stream_inquiry_on_own(&q, CW_STREAM_RUN, &(cw_stream_reply_t){.version = V2});
    ck_assert_uint_eq(cw_stream_inquiry_version(&q), 0);
}
END_TEST

/* Guards against a datagram that arrives twice and counts for a host that has not replied. */
START_TEST(a_reply_that_arrives_twice_counts_once) {
    cw_stream_inquiry_t q = begin(2);
    for (uint32_t times = 1; times <= 5; times++) {
        reply_as(&q, 0, (cw_stream_reply_t){.round = 1, .version = V2});
        ck_assert(!cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == 0);
    }
    for (uint32_t copies = 1; copies <= 3; copies++) { /* a copy takes nothing back */
        reply_as(&q, 1, (cw_stream_reply_t){.round = 1, .version = V2});
        ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == V2);
    }
}
END_TEST

/* Guards against an engine that nobody has queried: the host that owned it has ended, and this one knows of that while
   the other, which owns the engine now, replies as one of three. */
START_TEST(a_reply_by_a_host_that_sees_another_fleet_does_not_count) {
    cw_stream_inquiry_t q = begin(1);
    cw_stream_inquiry_on_reply(&q, CW_STREAM_PROMPT, &(cw_stream_reply_t){.view = VIEW + 1, .round = 1, .version = V2});
    ck_assert(!cw_stream_inquiry_is_decided(&q, 1000) && !cw_stream_inquiry_version(&q) && q.other_views == 1);
    reply(&q, 1, V2, CW_STREAM_COVERS_ALL);
    ck_assert(cw_stream_inquiry_is_decided(&q, 1000) && cw_stream_inquiry_version(&q) == V2);
    q.own_view = VIEW + 1; /* this host sees the other's end after the replies have arrived */
    ck_assert(!cw_stream_inquiry_is_decided(&q, 1000) && !cw_stream_inquiry_version(&q));
}
END_TEST

/* Guards against large fleets in which an inquiry ended before its second round. */
START_TEST(rounds_are_spread_by_the_number_of_hosts) {
    cw_stream_inquiry_t q;
    cw_stream_inquiry_begin(&q, 1000);
    cw_stream_inquiry_next_round(&q);
    send_round(&q, 1000, 583, 2);
    ck_assert(q.audience.replies == 2 * 583 && cw_stream_inquiry_is_due(&q, 1000 + 583 * CW_STREAM_INQUIRY_HOST_MS));
}
END_TEST

/* -- what a request and an engine say -------------------------------------- */

static void ignore_head(void* owner) {
    (void)owner;
}

static request_run_t read_run(const char* fields) {
    static const cw_message_handlers_t handlers = {.on_head = ignore_head};
    cw_message_t m;
    char text[512];
    int size = snprintf(text, sizeof(text), "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: 0\r\n\r\n", fields);
    cw_message_setup(&m, CW_MESSAGE_REQUEST, &handlers, NULL);
    cw_message_parse(&m, text, (size_t)size);
    ck_assert_int_eq(m.state, CW_MESSAGE_COMPLETE);
    request_run_t run = request_run_read(&platform_dialect, &m);
    cw_message_shutdown(&m);
    return run;
}

START_TEST(a_resumed_request_names_the_last_part_of_its_prompt) {
    request_run_t run = read_run("Last-Event-Id: 12\r\nPrefix-Hash: 5c:800,91:410,e4:250\r\n");
    ck_assert(run.part.id == 0xe4 && run.part.tokens == 250 && run.events == 12);
    run = read_run("Last-Event-Id: 0\r\nPrefix-Hash: 5c:800\r\n");
    ck_assert(run.part.id == 0x5c && run.part.tokens == 800 && run.events == 1);
    /* more parts than are used for the choice of a server */
    run = read_run("Last-Event-Id: 1\r\nPrefix-Hash: 1:1,2:1,3:1,4:1,5:1,6:1,7:1,8:1,9:1,a:1\r\n");
    ck_assert(run.part.id == 0xa && run.part.tokens == 1);
    static const char* const unknown[] = {"Last-Event-Id: e12\r\nPrefix-Hash: 5c:800\r\n",
                                          "Last-Event-Id: 12b\r\nPrefix-Hash: 5c:800\r\n",
                                          "Last-Event-Id: 99999999999\r\nPrefix-Hash: 5c:800\r\n",
                                          "Last-Event-Id: 12\r\n",
                                          "Prefix-Hash: 5c:800\r\n",
                                          "Last-Event-Id: 12\r\nPrefix-Hash: 5c\r\n"};
    for (size_t i = 0; i < sizeof(unknown) / sizeof(unknown[0]); i++) {
        ck_assert_msg(!read_run(unknown[i]).part.id, "%s", unknown[i]);
    }
}
END_TEST

static void count_run(void* user, const char* request_id, uint32_t events) {
    uint32_t* sum = user;
    *sum += strcmp(request_id, "q1") == 0 ? events : 1000;
}

START_TEST(the_runs_of_an_engine_are_read) {
    cw_error_t err = {0};
    int64_t started_ms = 0;
    uint32_t events = 0;
    const char* report = "{\"born\":77,\"runs\":[[\"q1\",12497,148,7],[\"q0\",5,0,1],[7,1,2,3],[],3,[\"q0\",1,-4,0]]}";
    ck_assert_int_eq(platform_read_runs(report, strlen(report), &started_ms, count_run, &events, &err), CW_OK);
    ck_assert(events == 148 && started_ms == 77);
    ck_assert_int_ne(platform_read_runs("{}", 2, &started_ms, count_run, &events, &err), CW_OK);
    ck_assert_int_ne(platform_read_runs("[", 1, &started_ms, count_run, &events, &err), CW_OK);
}
END_TEST

/* -- the history of the source --------------------------------------------- */

/* The entry of a server of version v1, in base64. */
#define ENTRY_A                                                                                                        \
    "\"value\":"                                                                                                       \
    "\"eyJzZXJ2aWNlIjoicCIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJ6IiwidmVyc2lvbiI6InYxIiwic2xvdHMiOjQsInN0YXRlIj" \
    "oicmVhZHkiLCJjb2xkX3JlbWFpbmluZ19tcyI6MCwic2VxIjoxfQ==\""
/* The same with a start time. */
#define ENTRY_STARTED                                                                                                  \
    "\"value\":"                                                                                                       \
    "\"eyJzZXJ2aWNlIjoicCIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJ6IiwidmVyc2lvbiI6InYxIiwic2xvdHMiOjQsInN0YXRlIj" \
    "oicmVhZHkiLCJjb2xkX3JlbWFpbmluZ19tcyI6MCwic2VxIjoxLCJib3JuIjoxNzY3NzQ0MDAwMTIzfQ==\""
#define WRITTEN(key, revision) "{\"tls_key\":\"servers/" key "\"," ENTRY_A ",\"revision\":" revision ",\"made\":1}"
#define STARTED(key, revision, made)                                                                                   \
    "{\"tls_key\":\"servers/" key "\"," ENTRY_STARTED ",\"revision\":" revision ",\"made\":" made "}"
#define GONE(key, revision) "{\"tls_key\":\"servers/" key "\",\"revision\":" revision ",\"gone\":true}"

#define UNREADABLE(key, revision, made)                                                                                \
    "{\"tls_key\":\"servers/" key "\",\"value\":\"AAAA\",\"revision\":" revision ",\"made\":" made "}"

static source_history_t read_history(const char* events) {
    source_history_t history;
    cw_error_t err = {0};
    char body[2048];
    int size = snprintf(body, sizeof(body), "{\"events\":[%s],\"at\":9}", events);
    ck_assert_msg(platform_source.read_history(body, (size_t)size, &history, &err) == CW_OK, "%s", err.message);
    ck_assert_int_eq(history.at, 9);
    return history;
}

/* An entry that went without having been shown may have had any version. */
START_TEST(a_history_is_complete_if_each_entry_that_went_is_in_it) {
    static const struct {
        const char* events;
        uint32_t entries;
        bool is_complete;
    } cases[] = {{"", 0, true},
                 {WRITTEN("a", "3"), 1, true},
                 {WRITTEN("a", "3") "," GONE("a", "4"), 1, true},
                 {WRITTEN("a", "3") "," WRITTEN("a", "5") "," GONE("a", "6"), 2, true},
                 {GONE("a", "4"), 0, false},
                 {WRITTEN("b", "3") "," GONE("a", "4"), 1, false},
                 {GONE("a", "4") "," WRITTEN("a", "5"), 1, false},
                 {STARTED("a", "3", "3") "," STARTED("a", "5", "3"), 2, true},
                 {STARTED("a", "5", "3"), 1, false}}; /* an earlier start may have had another version */
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        source_history_t history = read_history(cases[i].events);
        ck_assert_msg(history.is_complete == cases[i].is_complete && history.entries.count == cases[i].entries, "%s",
                      cases[i].events);
        for (uint32_t k = 0; k < history.entries.count; k++) {
            ck_assert_str_eq(history.entries.items[k].version, "v1");
        }
        cw_servers_free(&history.entries);
    }
}
END_TEST

/* An entry that was made again, or was overwritten by another writer, may have had any version before. */
START_TEST(a_history_that_lacks_an_event_is_not_complete) {
    static const char* const cut[] = {
        WRITTEN("a", "3") "," GONE("a", "4") "," GONE("a", "9"), /* made between 4 and 9 */
        STARTED("a", "3", "3") "," STARTED("a", "9", "6"),       /* made at 6 */
        STARTED("a", "3", "3") "," GONE("a", "4") "," STARTED("a", "9", "6"), UNREADABLE("a", "5", "3"), /* made at 3 */
        UNREADABLE("a", "5", "3") "," GONE("a", "6")};
    for (size_t i = 0; i < sizeof(cut) / sizeof(cut[0]); i++) {
        source_history_t history = read_history(cut[i]);
        cw_servers_free(&history.entries);
        ck_assert_msg(!history.is_complete, "%s", cut[i]);
    }
}
END_TEST

/* A server that started again under its id at another version has two entries there. */
START_TEST(a_native_history_keeps_each_entry_of_an_id) {
    static const char body[] =
        "{\"at\":9,\"complete\":true,\"servers\":[{\"id\":\"i-1\",\"address\":\"10.0.0.9:80\",\"pool\":\"p\","
        "\"hall\":\"a\",\"slots\":4,\"version\":\"v1\",\"started_ms\":1000},{\"id\":\"i-1\",\"address\":"
        "\"10.0.0.9:80\",\"pool\":\"p\",\"hall\":\"a\",\"slots\":4,\"version\":\"v2\",\"started_ms\":2000}]}";
    source_history_t history;
    bool has_v1 = false;
    bool has_v2 = false;
    ck_assert(source_native.read_history(body, sizeof(body) - 1, &history, NULL) == CW_OK);
    ck_assert(history.is_complete && history.at == 9);
    for (uint32_t i = 0; i < history.entries.count; i++) {
        has_v1 = has_v1 || strcmp(history.entries.items[i].version, "v1") == 0;
        has_v2 = has_v2 || strcmp(history.entries.items[i].version, "v2") == 0;
    }
    cw_servers_free(&history.entries);
    ck_assert(has_v1 && has_v2);
}
END_TEST

static void add_tests(TCase* t) {
    tcase_add_test(t, a_part_shows_the_version_of_the_engines_that_cache_enough_of_it);
    tcase_add_test(t, a_full_table_drops_the_oldest_parts);
    tcase_add_test(t, an_inquiry_is_decided_when_all_hosts_have_replied_in_full);
    tcase_add_test(t, an_inquiry_without_replies_ends_without_a_version);
    tcase_add_test(t, engines_of_two_versions_decide_nothing);
    tcase_add_test(t, a_late_reply_is_not_counted_for_a_later_round);
    tcase_add_test(t, engines_that_cannot_be_queried_count_for_their_version_only);
    tcase_add_test(t, a_prompt_decides_nothing_if_engines_of_another_version_were_not_queried);
    tcase_add_test(t, a_run_or_its_events_decide_though_engines_were_not_queried);
    tcase_add_test(t, events_at_two_versions_decide_nothing);
    tcase_add_test(t, events_decide_beside_a_prompt_at_another_version);
    tcase_add_test(t, a_run_decides_beside_prompts_at_other_versions);
    tcase_add_test(t, a_reply_that_arrives_twice_counts_once);
    tcase_add_test(t, a_reply_by_a_host_that_sees_another_fleet_does_not_count);
    tcase_add_test(t, rounds_are_spread_by_the_number_of_hosts);
    tcase_add_test(t, a_resumed_request_names_the_last_part_of_its_prompt);
    tcase_add_test(t, the_runs_of_an_engine_are_read);
    tcase_add_test(t, a_history_is_complete_if_each_entry_that_went_is_in_it);
    tcase_add_test(t, a_history_that_lacks_an_event_is_not_complete);
    tcase_add_test(t, a_native_history_keeps_each_entry_of_an_id);
}

int main(void) {
    return run_suite("stream_evidence", add_tests, 30);
}
